"""Clients that send requests to the nodes and report the answers."""

import asyncio
from collections.abc import Callable
import random
from typing import NamedTuple

from soak import _http
from soak import checker as checker_module
from soak import relay

MAX_IDLE_CONNECTIONS = 40
"""Most idle connections kept to one node."""
MAX_REQUESTS_PER_CONNECTION = 20


class RequestType(NamedTuple):
    """Requests of one kind and the rate at which they are sent."""

    name: str
    method: str
    path: str
    service: str
    is_idempotent: bool
    timeout_s: float
    rate_per_s: float
    body_bytes: int


class Load:
    """Current traffic, which some faults change.

    Attributes
    ----------
    rate_factor : float
        Factor on the rate of each type of request.
    abandoned_share : float
        Share of the requests whose client closes the connection early.
    immediate_retry_share : float
        Share of the requests that are retried without a delay when they
        fail.
    """

    def __init__(self) -> None:
        self.rate_factor = 1.0
        self.abandoned_share = 0.0
        self.immediate_retry_share = 0.0


class Clients:
    """Sends requests to random nodes and reports the answers to the checker.

    Parameters
    ----------
    is_stopping : callable
        Tells whether a node was told to stop and is within its grace time.
    is_in_rotation : callable
        Tells whether clients use a node, according to its readiness checks.
    """

    def __init__(
        self,
        nodes: dict[str, relay.Address],
        checker: checker_module.Checker,
        random_source: random.Random,
        is_stopping: Callable[[str], bool],
        is_in_rotation: Callable[[str], bool],
    ) -> None:
        self._nodes = nodes
        self._checker = checker
        self._random = random_source
        self._is_stopping = is_stopping
        self._is_in_rotation = is_in_rotation
        self._idle_connections: dict[str, list[_http.ClientConnection]] = {
            n: [] for n in nodes
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.load = Load()

    async def run(self, request_type: RequestType) -> None:
        """Send requests of one type until cancelled."""
        due = self._loop.time()
        while True:
            due += self._random.expovariate(
                request_type.rate_per_s * self.load.rate_factor
            )
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            task = asyncio.ensure_future(self._request(request_type))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def send(self, request_type: RequestType) -> None:
        """Send one request, beside those of the load."""
        task = asyncio.ensure_future(self._request(request_type))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_for_requests(self) -> None:
        """Wait for the requests in flight."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=6)

    async def _request(self, request_type: RequestType) -> None:
        status = await self._attempt(request_type)
        if self._random.random() >= self.load.immediate_retry_share:
            return
        for _ in range(3):
            if status == 200 or (
                status == 0 and not request_type.is_idempotent
            ):
                return
            status = await self._attempt(request_type)

    async def _attempt(self, request_type: RequestType) -> int:
        """Send one request; return the status, or 0 without an answer."""
        # Open connections are used until the process is gone.
        candidates = [
            n
            for n in self._nodes
            if self._is_in_rotation(n) or self._idle_connections[n]
        ]
        if not candidates:
            return 0
        node = self._random.choice(candidates)
        request_id = f"{self._random.getrandbits(64):016x}"
        connection = await self._acquire_connection(node)
        if connection is None:
            return 0
        timeout_s = request_type.timeout_s
        headers = {
            "Host": "soak.example",
            "Request-Id": request_id,
            "Request-Deadline": str(round(timeout_s * 1000)),
        }
        sent = checker_module.SentRequest(
            self._loop.time(),
            node,
            request_type.service,
            request_type.is_idempotent,
            timeout_s,
        )
        self._checker.on_sent(request_id, sent)
        is_abandoned = self._random.random() < self.load.abandoned_share
        was_stopping = self._is_stopping(node)
        try:
            async with asyncio.timeout(
                0.04 if is_abandoned else timeout_s + 3
            ):
                answer = await connection.request(
                    request_type.method,
                    request_type.path,
                    headers,
                    b"x" * request_type.body_bytes,
                )
        except _http.NoAnswerError:
            connection.close()
            is_planned = was_stopping or self._is_stopping(node)
            self._checker.on_cut(request_id, self._loop.time(), is_planned)
            return 0
        except TimeoutError:
            connection.close()
            return 0
        self._checker.on_answer(
            request_id,
            self._loop.time(),
            answer.status,
            answer.headers.get("response-seal", ""),
            answer.body,
        )
        self._release_connection(node, connection)
        return answer.status

    async def _acquire_connection(
        self, node: str
    ) -> _http.ClientConnection | None:
        idle = self._idle_connections[node]
        is_in_rotation = self._is_in_rotation(node)
        if idle and (not is_in_rotation or self._random.random() < 0.7):
            return idle.pop()
        if not is_in_rotation:
            return None
        try:
            return await _http.ClientConnection.open(*self._nodes[node])
        except _http.NoAnswerError:
            return None

    def _release_connection(
        self, node: str, connection: _http.ClientConnection
    ) -> None:
        idle = self._idle_connections[node]
        if (
            connection.is_reusable
            and connection.request_count < MAX_REQUESTS_PER_CONNECTION
            and len(idle) < MAX_IDLE_CONNECTIONS
        ):
            idle.append(connection)
        else:
            connection.close()
