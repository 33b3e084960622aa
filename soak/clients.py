"""Clients of the nodes, and what they are told."""

import asyncio
from collections.abc import Callable
import random
from typing import NamedTuple

from soak import _http
from soak import judge as judge_module
from soak import relay

MAX_KEPT = 40
"""Kept connections to one node."""
KEPT_USES = 20


class Kind(NamedTuple):
    """A kind of request."""

    name: str
    method: str
    path: str
    service: str
    is_idempotent: bool
    timeout_s: float
    per_s: float
    body_bytes: int


class Load:
    """Traffic in force, changed by the plan."""

    def __init__(self) -> None:
        self.factor = 1.0
        self.leaving_share = 0.0
        self.hasty_share = 0.0


class Clients:
    """Sends requests to random nodes and notes what comes back.

    Parameters
    ----------
    is_stopping : callable
        Tells whether a node is told to stop and still has its notice time.
    is_entry : callable
        Tells whether clients use a node: it said lately that it is ready.
    """

    def __init__(
        self,
        nodes: dict[str, relay.Address],
        judge: judge_module.Judge,
        draw: random.Random,
        is_stopping: Callable[[str], bool],
        is_entry: Callable[[str], bool],
    ) -> None:
        self._nodes = nodes
        self._judge = judge
        self._draw = draw
        self._is_stopping = is_stopping
        self._is_entry = is_entry
        self._kept: dict[str, list[_http.Client]] = {n: [] for n in nodes}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.load = Load()

    async def run(self, kind: Kind) -> None:
        """Send requests of one kind until cancelled."""
        due = self._loop.time()
        while True:
            due += self._draw.expovariate(kind.per_s * self.load.factor)
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            task = asyncio.ensure_future(self._request(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait for the requests in flight."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=6)

    async def _request(self, kind: Kind) -> None:
        status = await self._attempt(kind)
        if self._draw.random() >= self.load.hasty_share:
            return
        for _ in range(3):
            if status == 200 or (status == 0 and not kind.is_idempotent):
                return
            status = await self._attempt(kind)

    async def _attempt(self, kind: Kind) -> int:
        """Send one request; return the status, 0 without an answer."""
        entries = [n for n in self._nodes if self._is_entry(n)]
        if not entries:
            return 0
        node = self._draw.choice(entries)
        request_id = f"{self._draw.getrandbits(64):016x}"
        client = await self._take(node)
        if client is None:
            return 0
        timeout_s = kind.timeout_s
        headers = {
            "Host": "soak.example",
            "Request-Id": request_id,
            "Request-Deadline": str(round(timeout_s * 1000)),
        }
        sent = judge_module.Sent(
            self._loop.time(),
            node,
            kind.service,
            kind.is_idempotent,
            timeout_s,
        )
        self._judge.on_sent(request_id, sent)
        leaves = self._draw.random() < self.load.leaving_share
        was_stopping = self._is_stopping(node)
        try:
            async with asyncio.timeout(0.04 if leaves else timeout_s + 3):
                answer = await client.ask(
                    kind.method, kind.path, headers, b"x" * kind.body_bytes
                )
        except _http.NoAnswerError:
            client.close()
            is_planned = was_stopping or self._is_stopping(node)
            self._judge.on_cut(request_id, self._loop.time(), is_planned)
            return 0
        except TimeoutError:
            client.close()
            return 0
        self._judge.on_answer(
            request_id,
            self._loop.time(),
            answer.status,
            answer.headers.get("response-seal", ""),
            answer.body,
        )
        self._give_back(node, client)
        return answer.status

    async def _take(self, node: str) -> _http.Client | None:
        kept = self._kept[node]
        if kept and self._draw.random() < 0.7:
            return kept.pop()
        try:
            return await _http.Client.open(*self._nodes[node])
        except _http.NoAnswerError:
            return None

    def _give_back(self, node: str, client: _http.Client) -> None:
        kept = self._kept[node]
        if (
            client.is_reusable
            and client.uses < KEPT_USES
            and len(kept) < MAX_KEPT
        ):
            kept.append(client)
        else:
            client.close()
