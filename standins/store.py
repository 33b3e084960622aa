"""Stand-in for the platform's key-value store.

It serves a subset of the JSON gateway of etcd v3, keeps all data in memory
and limits the rates of reads and writes. ``PUT /faults`` sets faults.
"""

import argparse
import asyncio
from collections.abc import Awaitable, Callable
import json
import random
from typing import Any, NamedTuple

import anyio
import hypercorn.asyncio
import hypercorn.config

from standins import _key_values

DEFAULT_WRITES_PER_S = 400
DEFAULT_READS_PER_S = 2_000
MAX_REQUEST_BYTES = 4_000_000
MS_PER_S = 1000

Json = dict[str, Any]
Receive = Callable[[], Awaitable[Json]]
Send = Callable[[Json], Awaitable[None]]


class Faults(NamedTuple):
    """Faults in force.

    Attributes
    ----------
    down : str
        How all requests fail: ``"503"`` for an error answer, ``"closed"`` for
        a connection closed without an answer; empty for no failure.
    delay_ms : int
        Delay before a request takes effect.
    spare_writes : int
        Number of next writes that the following three faults do not affect.
    lose_answers : int
        Number of next writes that take effect but are not answered.
    lose_share : float
        Share of writes that take effect but are not answered.
    hold_writes : int
        Number of next writes that are not answered and take effect only on
        ``release``.
    watches_broken : bool
        Whether open watches are closed and new ones rejected.
    """

    down: str = ""
    delay_ms: int = 0
    spare_writes: int = 0
    lose_answers: int = 0
    lose_share: float = 0.0
    hold_writes: int = 0
    watches_broken: bool = False


class TokenBucket:
    """Rate limit that allows a burst of the calls of one second.

    Parameters
    ----------
    rate_per_s : float
        Calls a second.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_ms = 0.0

    def try_consume(self, now_ms: float) -> bool:
        """Count a call; return whether it is within the rate."""
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / MS_PER_S
        self._refilled_ms = now_ms
        refilled = self._tokens + elapsed_s * self.rate_per_s
        self._tokens = min(self.rate_per_s, refilled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def is_write(path: str, request: Json) -> bool:
    """Return whether a request counts towards the rate of writes."""
    if path != "/v3/kv/txn":
        return path not in ("/v3/kv/range", "/v3/watch")
    operations = [
        *(request.get("success") or []),
        *(request.get("failure") or []),
    ]
    return any(
        name in operation
        for operation in operations
        for name in _key_values.WRITE_OPERATIONS
    )


class StoreApplication:
    """ASGI application of the stand-in.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Rate limits; a watch counts as one read when it is opened.
    seed : int
        Seed for the choice of the answers that ``lose_share`` loses.
    """

    def __init__(
        self,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
        reads_per_s: float = DEFAULT_READS_PER_S,
        seed: int = 0,
    ) -> None:
        self.state = _key_values.KeyValues()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self._random = random.Random(seed)
        self._writes = TokenBucket(writes_per_s)
        self._reads = TokenBucket(reads_per_s)
        self._held_writes: list[tuple[str, Json]] = []
        self._saved_state: _key_values.KeyValues | None = None
        self._change_event: anyio.Event | None = None
        self._handlers: dict[str, Callable[[Json], Json]] = {
            "/v3/kv/range": lambda r: self.state.range(r),
            "/v3/kv/put": lambda r: self.state.put(r),
            "/v3/kv/deleterange": lambda r: self.state.delete_range(r),
            "/v3/kv/txn": lambda r: self.state.txn(r),
            "/v3/lease/grant": lambda r: self.state.grant(r, self._now_ms),
            "/v3/lease/keepalive": lambda r: {
                "result": self.state.keep_alive(r, self._now_ms)
            },
            "/v3/lease/revoke": lambda r: self.state.revoke(r),
        }

    @property
    def _now_ms(self) -> float:
        return anyio.current_time() * MS_PER_S

    # Faults

    def set_faults(self, **fields: Any) -> None:
        """Replace the faults in force; faults that are not named end."""
        self.faults = Faults(**fields)
        self._notify()

    def compact(self, revision: int = 0) -> None:
        """Compact up to a revision, by default the current one."""
        self.state.compact(revision or self.state.revision)

    def expire_leases(self) -> None:
        """Expire all leases now."""
        self.state.expire_all()
        self._notify()

    def release(self) -> None:
        """Apply the held writes in the order of their arrival."""
        held, self._held_writes = self._held_writes, []
        for path, request in held:
            try:
                self._handlers[path](request)
            except _key_values.GatewayError:
                continue
        self._notify()

    def save(self) -> None:
        """Save a copy of the state, as a backup does."""
        self._saved_state = self.state.copy()

    def restore(self) -> None:
        """Return to the saved state, as a restore from a backup does."""
        if self._saved_state is not None:
            self.state = self._saved_state.copy()
        self._notify()

    # Requests

    async def __call__(
        self, scope: Json, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await self._serve_lifespan(receive, send)
            return
        path = scope["path"]
        try:
            request = json.loads(await self._read_body(receive) or b"{}")
            if not isinstance(request, dict):
                raise ValueError("request is not an object")
            if path == "/faults":
                answer = self.handle_faults_request(scope["method"], request)
                await self._answer(send, 200, answer)
            elif path == "/v3/watch":
                await self._serve_watch(request, send)
            else:
                await self._serve_call(path, request, send)
        except _key_values.GatewayError as error:
            fields = {
                "error": error.message,
                "code": error.code,
                "message": error.message,
            }
            await self._answer(send, error.status, fields)
        except ValueError as error:
            fields = {"error": str(error), "code": 3, "message": str(error)}
            await self._answer(send, 400, fields)

    async def _serve_lifespan(self, receive: Receive, send: Send) -> None:
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return

    async def _read_body(self, receive: Receive) -> bytes:
        body = bytearray()
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
            if len(body) > MAX_REQUEST_BYTES:
                raise _key_values.GatewayError(413, 3, "request is too large")
        self.bytes_in += len(body)
        return bytes(body)

    def handle_faults_request(self, method: str, request: Json) -> Json:
        """Answer a request to ``/faults``."""
        if method == "PUT":
            actions: dict[str, Callable[[], None]] = {
                "compact": self.compact,
                "expire_leases": self.expire_leases,
                "release": self.release,
                "save": self.save,
                "restore": self.restore,
            }
            requested = [name for name in actions if request.pop(name, False)]
            try:
                self.set_faults(**request)
            except TypeError as error:
                raise ValueError(f"unknown fault: {error}") from error
            for name in requested:
                actions[name]()
        return {
            **self.faults._asdict(),
            "reads": self.reads,
            "writes": self.writes,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }

    async def _serve_call(self, path: str, request: Json, send: Send) -> None:
        if path not in self._handlers:
            raise _key_values.GatewayError(404, 5, "Not Found")
        writes = is_write(path, request)
        if not await self._admit(writes, send):
            return
        is_spared = writes and self._consume_fault("spare_writes")
        if writes and not is_spared and self._consume_fault("hold_writes"):
            self._held_writes.append((path, request))
            await self._close(send)
            return
        self._expire()
        answer = self._handlers[path](request)
        if writes:
            self._notify()
        if writes and not is_spared and self._loses_answer():
            await self._close(send)
            return
        await self._answer(send, 200, answer)

    async def _admit(self, writes: bool, send: Send) -> bool:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down == "closed":
            await self._close(send)
            return False
        if self.faults.down:
            message = "etcdserver: no leader"
            raise _key_values.GatewayError(503, 14, message)
        bucket = self._writes if writes else self._reads
        if not bucket.try_consume(self._now_ms):
            message = "etcdserver: too many requests"
            raise _key_values.GatewayError(429, 8, message)
        self.writes += writes
        self.reads += not writes
        return True

    def _consume_fault(self, name: str) -> bool:
        """Decrement a fault's counter; return whether the fault applies."""
        left = getattr(self.faults, name)
        if left > 0:
            self.faults = self.faults._replace(**{name: left - 1})
        return bool(left > 0)

    def _loses_answer(self) -> bool:
        if self._consume_fault("lose_answers"):
            return True
        return self._random.random() < self.faults.lose_share

    def _expire(self) -> None:
        if self.state.expire(self._now_ms):
            self._notify()

    def _notify(self) -> None:
        if self._change_event is not None:
            self._change_event.set()
        self._change_event = None

    # Watches

    async def _serve_watch(self, request: Json, send: Send) -> None:
        create = request.get("create_request") or {}
        if not await self._admit(False, send):
            return
        if self.faults.watches_broken:
            await self._close(send)
            return
        await self._start(send, 200)
        state = self.state
        start = _key_values.integer_field(create, "start_revision")
        start = start or state.revision + 1
        created = {"header": state.header(), "created": True}
        await self._send_line(send, created)
        if start <= state.compacted:
            await self._send_line(send, self._compaction_answer(state))
            await send({"type": "http.response.body"})
            return
        await self._stream_events(state, create, start, send)

    def _compaction_answer(self, state: _key_values.KeyValues) -> Json:
        return {
            "header": state.header(),
            "canceled": True,
            "compact_revision": str(state.compacted + 1),
            "cancel_reason": "required revision has been compacted",
        }

    async def _stream_events(
        self,
        state: _key_values.KeyValues,
        create: Json,
        start: int,
        send: Send,
    ) -> None:
        key = _key_values.bytes_field(create, "key")
        range_end = _key_values.bytes_field(create, "range_end")
        puts_only = "NODELETE" in (create.get("filters") or [])
        while not self._is_watch_broken(state):
            self._expire()
            events = [
                event.body
                for event in state.events_from(start, key, range_end)
                if not (puts_only and "type" in event.body)
            ]
            start = max(start, state.revision + 1)
            if events:
                batch = {"header": state.header(), "events": events}
                await self._send_line(send, batch)
                continue
            await self._wait_for_change()
        # Since the body is not ended, the server closes the connection.

    def _is_watch_broken(self, state: _key_values.KeyValues) -> bool:
        # A restore replaces the state and, as at a real store, closes all
        # connections.
        faults = self.faults
        return (
            faults.watches_broken
            or bool(faults.down)
            or self.state is not state
        )

    async def _wait_for_change(self) -> None:
        if self._change_event is None:
            self._change_event = anyio.Event()
        wait_ms = self.state.next_expiry_ms - self._now_ms
        with anyio.move_on_after(max(0.0, wait_ms) / MS_PER_S):
            await self._change_event.wait()

    # Answers

    async def _send_line(self, send: Send, result: Json) -> None:
        line = json.dumps({"result": result}).encode() + b"\n"
        self.bytes_out += len(line)
        message = {"type": "http.response.body", "body": line}
        await send({**message, "more_body": True})

    async def _start(self, send: Send, status: int, length: int = -1) -> None:
        headers = [(b"content-type", b"application/json")]
        if length >= 0:
            headers.append((b"content-length", str(length).encode()))
        start = {"type": "http.response.start", "status": status}
        await send({**start, "headers": headers})

    async def _answer(self, send: Send, status: int, answer: Json) -> None:
        body = json.dumps(answer).encode()
        self.bytes_out += len(body)
        await self._start(send, status, len(body))
        await send({"type": "http.response.body", "body": body})

    async def _close(self, send: Send) -> None:
        # ASGI has no message that closes a connection, but the server closes
        # it when the application returns with an unfinished body.
        await self._start(send, 200, 2)
        message = {"type": "http.response.body", "body": b"{"}
        await send({**message, "more_body": True})


async def serve(application: StoreApplication, address: str) -> None:
    """Serve an application and print its address as a JSON line."""
    config = hypercorn.config.Config()
    config.bind = [address]
    config.loglevel = "WARNING"
    config.keep_alive_max_requests = 2**31
    sockets = config.create_sockets()
    listener = sockets.insecure_sockets[0]
    host, port = listener.getsockname()[:2]
    listener.listen(config.backlog)
    config.bind = [f"fd://{listener.detach()}"]
    print(json.dumps({"listening": f"{host}:{port}"}), flush=True)
    await hypercorn.asyncio.serve(application, config)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(prog="standins.store")
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument(
        "--writes-per-s", type=float, default=DEFAULT_WRITES_PER_S
    )
    parser.add_argument(
        "--reads-per-s", type=float, default=DEFAULT_READS_PER_S
    )
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    application = StoreApplication(
        arguments.writes_per_s, arguments.reads_per_s, arguments.seed
    )
    asyncio.run(serve(application, arguments.listen))


if __name__ == "__main__":
    main()
