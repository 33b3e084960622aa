"""Stand-in of a backend server beside a node, with its faults."""

import asyncio
import hashlib
import json
import random
import time

from soak import _http
from soak import judge as judge_module
from soak import relay

BEAT_S = 1.5
HEALTH_PATH = "/health"
CALL_TIMEOUT_S = 1.0
BODY_BYTES = 2_000
LONG_BODY_BYTES = 200_000
"""Longer than what nodes send to each other in one frame."""
LONG_SHARE = 0.05
LEAVE_AFTER_S = judge_module.DRAIN_S + 0.5
"""It serves a little longer than it has to after its leaving is known."""


class Faults:
    """Faults in force; shares are parts of all requests."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.lost_share = 0.0
        self.garbled_share = 0.0
        self.extra_share = 0.0
        self.refused_share = 0.0
        self.late_beat_s = 0.0


class Plan:
    """What a backend server is, apart from its incarnation."""

    def __init__(
        self,
        node: str,
        service: str,
        called: str,
        work_s: float,
        slots: int,
        listen: relay.Address,
        announced: relay.Address,
        control: relay.Address,
        outbound: relay.Address,
    ) -> None:
        self.node = node
        self.service = service
        self.called = called
        self.work_s = work_s
        self.slots = slots
        self.listen = listen
        self.announced = announced
        self.control = control
        self.outbound = outbound


class Endpoint:
    """One incarnation of a backend server.

    Parameters
    ----------
    routes : dict
        Host and path prefix by which a service is called.
    """

    def __init__(
        self,
        plan: Plan,
        name: str,
        judge: judge_module.Judge,
        draw: random.Random,
        routes: dict[str, str],
    ) -> None:
        self.plan = plan
        self.name = name
        self.faults = Faults()
        self._judge = judge
        self._draw = draw
        self._routes = routes
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = "ready"
        self._running = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_http.Connection] = set()
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await self._loop.create_server(
            self._accept, *self.plan.listen, reuse_address=True
        )
        self._beats = asyncio.ensure_future(self._send_beats())

    def crash(self) -> None:
        """End at once; what runs is lost."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    async def leave(self, is_announced: bool) -> None:
        """Leave as planned: drain, serve on for a while, and end."""
        self._state = "draining"
        if is_announced:
            await self._until_acknowledged("PUT", self._beat())
            await asyncio.sleep(LEAVE_AFTER_S)
        await self._until_acknowledged("DELETE", b"")
        await asyncio.sleep(LEAVE_AFTER_S)
        self.crash()

    def send_later(self, delay_s: float) -> None:
        """Send a heartbeat of now later, as a delayed one arrives."""
        self._keep(
            asyncio.ensure_future(self._stale_beat(delay_s, self._beat()))
        )

    async def _stale_beat(self, delay_s: float, body: bytes) -> None:
        await asyncio.sleep(delay_s)
        await self._call_control("PUT", body)

    def drop_idle(self) -> None:
        """Forget all connections without notice."""
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> _http.Connection:
        connection = _http.Connection(self._on_request)
        self._connections.add(connection)
        return connection

    async def _send_beats(self) -> None:
        while True:
            if self.faults.late_beat_s:
                self.send_later(self.faults.late_beat_s)
            elif self._state == "ready":
                await self._call_control("PUT", self._beat())
            await asyncio.sleep(BEAT_S)

    def _beat(self) -> bytes:
        self._sequence += 1
        plan = self.plan
        content = {
            "address": f"{plan.announced.host}:{plan.announced.port}",
            "born": self._born,
            "info": {
                "service": plan.service,
                "version": "v1",
                "zone": "",
                "concurrency": plan.slots,
            },
            "status": {
                "state": self._state,
                "seq": self._sequence,
                "cold_left_s": 0,
            },
        }
        return json.dumps(content).encode()

    async def _until_acknowledged(self, method: str, body: bytes) -> None:
        for _ in range(4):
            if await self._call_control(method, body):
                self._judge.on_leaving(self.name, self._loop.time())
                return
            await asyncio.sleep(1)

    async def _call_control(self, method: str, body: bytes) -> bool:
        path = f"/clementinekeel/instances/{self.name}"
        try:
            async with asyncio.timeout(1):
                client = await _http.Client.open(*self.plan.control)
                try:
                    answer = await client.ask(
                        method, path, {"Host": "control"}, body
                    )
                finally:
                    client.close()
        except (_http.NoAnswerError, TimeoutError):
            return False
        return answer.status == 200

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_request(
        self, connection: _http.Connection, request: _http.Request
    ) -> None:
        named = {"Instance-Id": self.name}
        if request.path == HEALTH_PATH:
            status = 200 if self._state == "ready" else 503
            connection.respond(status, named, b"")
            return
        request_id = request.headers.get("request-id", "")
        self._judge.on_arrival(
            self._loop.time(), request_id, self.plan.service
        )
        target = request.headers.get("target-instance")
        if target is not None and target != self.name:
            connection.respond(421, {**named, "Not-Executed": "1"}, b"")
        elif self._draw.random() < self.faults.refused_share:
            connection.respond(503, {"Not-Executed": "1"}, b"")
        elif self._running < self.plan.slots:
            # One that can't be queued is never answered.
            self._keep(
                asyncio.ensure_future(
                    self._run(connection, request, request_id)
                )
            )

    async def _run(
        self,
        connection: _http.Connection,
        request: _http.Request,
        request_id: str,
    ) -> None:
        now = self._loop.time()
        given = request.headers.get("request-deadline", "")
        left_s = int(given) / 1000 if given.isdigit() else None
        run = judge_module.Run(now, self.name, self.plan.node)
        self._judge.on_run(request_id, run, left_s)
        left_at: list[float] = []
        connection.on_lost = lambda: left_at.append(self._loop.time())
        self._running += 1
        try:
            work_s = self.plan.work_s * self._draw.uniform(0.5, 1.5)
            await self._work(work_s * self.faults.slowness, left_at)
            status = 200
            if self.plan.called and not left_at:
                until = now + (left_s or CALL_TIMEOUT_S)
                status = await self._call(request_id, until)
        finally:
            self._running -= 1
        if left_at:
            self._judge.on_worked_on(request_id, left_at[0], left_at[0])
            return
        self._answer(connection, request, request_id, status)

    async def _work(self, duration_s: float, left_at: list[float]) -> None:
        # Dropped when its connection closes, as most backend servers do.
        end = self._loop.time() + duration_s
        while self._loop.time() < end and not left_at:
            await asyncio.sleep(0.01)

    async def _call(self, request_id: str, until: float) -> int:
        call_id = f"{request_id}.{self._draw.getrandbits(40):010x}"
        left_s = min(CALL_TIMEOUT_S, until - self._loop.time())
        if left_s <= 0:
            return 504
        sent = judge_module.Sent(
            self._loop.time(), self.plan.node, self.plan.called, True, left_s
        )
        self._judge.on_sent(call_id, sent)
        headers = {
            "Host": "soak.example",
            "Request-Id": call_id,
            "Request-Deadline": str(max(1, round(left_s * 1000))),
        }
        path = self._routes[self.plan.called]
        try:
            async with asyncio.timeout(left_s + 1):
                client = await _http.Client.open(*self.plan.outbound)
                try:
                    answer = await client.ask("GET", path, headers, b"")
                finally:
                    client.close()
        except (_http.NoAnswerError, TimeoutError):
            return 500
        self._judge.on_answer(
            call_id,
            self._loop.time(),
            answer.status,
            answer.headers.get("response-seal", ""),
            answer.body,
        )
        return 200 if answer.status == 200 else 500

    def _answer(
        self,
        connection: _http.Connection,
        request: _http.Request,
        request_id: str,
        status: int,
    ) -> None:
        seed = f"{request_id}/{self.name}/{len(request.body)}".encode()
        seal = hashlib.blake2b(seed, digest_size=8).hexdigest()
        is_long = self._draw.random() < LONG_SHARE
        size = LONG_BODY_BYTES if is_long else BODY_BYTES
        body = (seal * (size // len(seal))).encode()
        headers = {"Request-Id": request_id, "Response-Seal": seal}
        draw = self._draw.random()
        faults = self.faults
        if draw < faults.lost_share:
            connection.abort()
            return
        draw -= faults.lost_share
        if draw < faults.garbled_share:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            head += f"Response-Seal: {seal}\r\nContent-Length: {len(body)}"
            connection.write(head.encode() + b"\r\n\r\n" + body[:500])
            connection.abort()
            return
        draw -= faults.garbled_share
        self._judge.on_made(request_id, seal, status, body)
        connection.respond(status, headers, body)
        if draw < faults.extra_share:
            connection.respond(status, headers, body)
