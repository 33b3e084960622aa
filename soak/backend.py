"""Stand-in for a backend server beside a node, with injected faults.

Its answers have a seal, the ``Response-Seal`` header: a hash that identifies
the answer, because it covers the request identifier, the server and the size
of the request. The body of the answer repeats it.
"""

import asyncio
from collections.abc import Callable
import hashlib
import json
import random
import time

from soak import _http
from soak import checker as checker_module
from soak import relay
from soak import stops as stops_module

HEARTBEAT_INTERVAL_S = 1.5
HEALTH_PATH = "/health"
BODY_BYTES = 2_000
LONG_BODY_BYTES = 200_000
"""Longer than the part of a body that nodes send in one frame."""
LONG_BODY_SHARE = 0.05
LEAVE_WAIT_S = checker_module.DRAIN_S + 0.5
"""A leaving backend server serves a little longer than it has to after its
node has acknowledged the leaving."""


CRASHING_PREFIX = "crashing-"
"""Requests with this in their path crash the backend server."""
MAX_CRASH_DELAY_S = 0.2


class Faults:
    """Faults in force; shares refer to all requests.

    Attributes
    ----------
    slowness : float
        Factor on the duration of the work.
    lost_share : float
        Answers replaced by a reset of the connection.
    garbled_share : float
        Answers of which only the first 500 bytes of the body are sent.
    extra_share : float
        Answers that are sent twice.
    refused_share : float
        Requests refused with 503.
    heartbeat_delay_s : float
        Delay of each heartbeat.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self.lost_share = 0.0
        self.garbled_share = 0.0
        self.extra_share = 0.0
        self.refused_share = 0.0
        self.heartbeat_delay_s = 0.0


class BackendSpec:
    """Properties of a backend server that all its incarnations share.

    Attributes
    ----------
    called_service : str
        Service that it calls for each request; empty for none.
    call_timeout_s : float
        Longest time for a call; the deadline of the request may be sooner.
    work_s : float
        Mean duration of the work on a request.
    listen : relay.Address
        Address at which the server itself listens.
    advertised : relay.Address
        Address in its heartbeats, at which its relay listens.
    control, outbound : relay.Address
        Addresses of its node, for heartbeats and for downstream calls.
    """

    def __init__(
        self,
        node: str,
        service: str,
        called_service: str,
        call_timeout_s: float,
        work_s: float,
        slots: int,
        listen: relay.Address,
        advertised: relay.Address,
        control: relay.Address,
        outbound: relay.Address,
    ) -> None:
        self.node = node
        self.service = service
        self.called_service = called_service
        self.call_timeout_s = call_timeout_s
        self.work_s = work_s
        self.slots = slots
        self.listen = listen
        self.advertised = advertised
        self.control = control
        self.outbound = outbound


class BackendServer:
    """One incarnation of a backend server.

    Parameters
    ----------
    routes : dict
        Path at which each service is called.
    on_crash : callable
        Called when a request makes it crash; returns false if it is leaving
        and only loses the answer.
    """

    def __init__(
        self,
        spec: BackendSpec,
        name: str,
        checker: checker_module.Checker,
        random_source: random.Random,
        routes: dict[str, str],
        on_crash: Callable[[], bool],
    ) -> None:
        self._on_crash = on_crash
        self.spec = spec
        self.name = name
        self.faults = Faults()
        self._checker = checker
        self._random = random_source
        self._routes = routes
        self._started_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = "ready"
        self._states_leaving = False
        self._rate_limit_per_s: float | None = None
        self._running = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_http.ServerConnection] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await self._loop.create_server(
            self._accept, *self.spec.listen, reuse_address=True
        )
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    def crash(self) -> None:
        """Stop at once; the requests that are running are lost."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def limit_rate(self, limit_per_s: float | None) -> None:
        """State a limit in all answers from now on; None to cease."""
        self._rate_limit_per_s = limit_per_s
        self._checker.statements.state_limit(
            self.name, limit_per_s, self._loop.time()
        )

    async def leave(self, is_announced: bool, silent_s: float) -> None:
        """Leave as planned: drain, continue to serve for a while, and stop.

        All answers state the leaving. Unless ``is_announced``, it deregisters
        without a draining heartbeat before. For ``silent_s`` it tells its node
        nothing besides.
        """
        self._states_leaving = True
        self._checker.statements.state_leaving(self.name)
        await asyncio.sleep(silent_s)
        self._state = "draining"
        if is_announced:
            await self._announce_leaving("PUT", self._heartbeat())
            await asyncio.sleep(LEAVE_WAIT_S)
        await self._announce_leaving("DELETE", b"")
        await asyncio.sleep(LEAVE_WAIT_S)
        self.crash()

    def send_delayed_heartbeat(self, delay_s: float) -> None:
        """Send the present heartbeat after a delay."""
        self._track(
            asyncio.ensure_future(
                self._send_heartbeat_after(delay_s, self._heartbeat())
            )
        )

    async def _send_heartbeat_after(self, delay_s: float, body: bytes) -> None:
        await asyncio.sleep(delay_s)
        await self._send_control("PUT", body)

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> _http.ServerConnection:
        connection = _http.ServerConnection(self._on_request)
        self._connections.add(connection)
        return connection

    async def _send_heartbeats(self) -> None:
        while True:
            if self.faults.heartbeat_delay_s:
                self.send_delayed_heartbeat(self.faults.heartbeat_delay_s)
            elif self._state == "ready":
                await self._send_control("PUT", self._heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat(self) -> bytes:
        self._sequence += 1
        spec = self.spec
        content = {
            "address": f"{spec.advertised.host}:{spec.advertised.port}",
            "born": self._started_ms,
            "info": {
                "service": spec.service,
                "version": "v1",
                "zone": "",
                "concurrency": spec.slots,
            },
            "status": {
                "state": self._state,
                "seq": self._sequence,
                "cold_left_s": 0,
            },
        }
        return json.dumps(content).encode()

    async def _announce_leaving(self, method: str, body: bytes) -> None:
        for _ in range(4):
            if await self._send_control(method, body):
                self._checker.on_leaving(self.name, self._loop.time())
                return
            await asyncio.sleep(1)

    async def _send_control(self, method: str, body: bytes) -> bool:
        path = f"/clementinekeel/instances/{self.name}"
        try:
            async with asyncio.timeout(1):
                connection = await _http.ClientConnection.open(
                    *self.spec.control
                )
                try:
                    answer = await connection.request(
                        method, path, {"Host": "control"}, body
                    )
                finally:
                    connection.close()
        except (_http.NoAnswerError, TimeoutError):
            return False
        return answer.status == 200

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_request(
        self, connection: _http.ServerConnection, request: _http.Request
    ) -> None:
        instance_header = {"Instance-Id": self.name, **self._statements()}
        if request.path == HEALTH_PATH:
            status = 200 if self._state == "ready" else 503
            connection.respond(status, instance_header, b"")
            return
        request_id = request.headers.get("request-id", "")
        self._checker.on_arrival(
            self._loop.time(), request_id, self.spec.service, self.name
        )
        target = request.headers.get("target-instance")
        if target is not None and target != self.name:
            connection.respond(
                421, {**instance_header, "Not-Executed": "1"}, b""
            )
        elif self._random.random() < self.faults.refused_share:
            connection.respond(
                503, {**instance_header, "Not-Executed": "1"}, b""
            )
        elif self._running < self.spec.slots:
            # Without a free slot, the request is never answered.
            self._track(
                asyncio.ensure_future(
                    self._run(connection, request, request_id)
                )
            )

    def _statements(self) -> dict[str, str]:
        headers = {}
        if self._rate_limit_per_s is not None:
            headers["Server-Limit"] = f"{self._rate_limit_per_s:.1f}"
        if self._states_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _run(
        self,
        connection: _http.ServerConnection,
        request: _http.Request,
        request_id: str,
    ) -> None:
        now = self._loop.time()
        deadline_header = request.headers.get("request-deadline", "")
        remaining_s = (
            int(deadline_header) / 1000 if deadline_header.isdigit() else None
        )
        run = checker_module.Run(now, self.name, self.spec.node)
        self._checker.on_run(request_id, run, remaining_s)
        disconnected_at: list[float] = []
        connection.on_lost = lambda: disconnected_at.append(self._loop.time())
        self._running += 1
        try:
            if CRASHING_PREFIX in request.path:
                await self._crash_by(request.path, request_id)
                connection.abort()
                return
            work_s = self.spec.work_s * self._random.uniform(0.5, 1.5)
            await self._work(work_s * self.faults.slowness, disconnected_at)
            status = 200
            if self.spec.called_service and not disconnected_at:
                timeout_s = self.spec.call_timeout_s
                expires_at = now + (remaining_s or timeout_s)
                status = await self._call_service(request_id, expires_at)
        finally:
            self._running -= 1
            ended_at = (disconnected_at or [self._loop.time()])[0]
            work = stops_module.Work(
                now, ended_at, is_finished=not disconnected_at
            )
            self._checker.stops.on_run_end(request_id, self.name, work)
        if disconnected_at:
            self._checker.on_work_after_disconnect(
                request_id, disconnected_at[0], disconnected_at[0]
            )
            return
        self._answer(connection, request, request_id, status)

    async def _crash_by(self, path: str, request_id: str) -> None:
        self._checker.on_crashing_run(request_id, path, self._loop.time())
        await asyncio.sleep(self._random.uniform(0, MAX_CRASH_DELAY_S))
        if self._on_crash():
            self._checker.crashes.on_end(path, self._loop.time())

    async def _work(
        self, duration_s: float, disconnected_at: list[float]
    ) -> None:
        # Ends early when the connection closes, as in most backend servers.
        end = self._loop.time() + duration_s
        while self._loop.time() < end and not disconnected_at:
            await asyncio.sleep(0.01)

    async def _call_service(self, request_id: str, expires_at: float) -> int:
        call_id = f"{request_id}.{self._random.getrandbits(40):010x}"
        remaining_s = min(
            self.spec.call_timeout_s, expires_at - self._loop.time()
        )
        if remaining_s <= 0:
            return 504
        sent = checker_module.SentRequest(
            self._loop.time(),
            self.spec.node,
            self.spec.called_service,
            True,
            remaining_s,
        )
        self._checker.on_sent(call_id, sent)
        headers = {
            "Host": "soak.example",
            "Request-Id": call_id,
            "Request-Deadline": str(max(1, round(remaining_s * 1000))),
        }
        path = self._routes[self.spec.called_service]
        try:
            async with asyncio.timeout(remaining_s + 1):
                connection = await _http.ClientConnection.open(
                    *self.spec.outbound
                )
                try:
                    answer = await connection.request(
                        "GET", path, headers, b""
                    )
                finally:
                    connection.close()
        except (_http.NoAnswerError, TimeoutError):
            return 500
        self._checker.on_answer(
            call_id,
            self._loop.time(),
            answer.status,
            answer.headers.get("response-seal", ""),
            answer.body,
        )
        if answer.status in checker_module.REFUSAL_STATUSES:
            self._checker.counts["failed by a refused call"] += 1
        return 200 if answer.status == 200 else 500

    def _answer(
        self,
        connection: _http.ServerConnection,
        request: _http.Request,
        request_id: str,
        status: int,
    ) -> None:
        seal_source = f"{request_id}/{self.name}/{len(request.body)}".encode()
        seal = hashlib.blake2b(seal_source, digest_size=8).hexdigest()
        is_long = self._random.random() < LONG_BODY_SHARE
        size = LONG_BODY_BYTES if is_long else BODY_BYTES
        body = (seal * (size // len(seal))).encode()
        headers = {
            "Request-Id": request_id,
            "Response-Seal": seal,
            **self._statements(),
        }
        sample = self._random.random()
        faults = self.faults
        if sample < faults.lost_share:
            connection.abort()
            return
        sample -= faults.lost_share
        if sample < faults.garbled_share:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            head += f"Response-Seal: {seal}\r\nContent-Length: {len(body)}"
            connection.write(head.encode() + b"\r\n\r\n" + body[:500])
            connection.abort()
            return
        sample -= faults.garbled_share
        self._checker.on_backend_answer(request_id, seal, status, body)
        connection.respond(status, headers, body)
        if sample < faults.extra_share:
            connection.respond(status, headers, body)
