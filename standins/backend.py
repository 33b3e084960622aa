"""Stand-in for a backend server.

It runs what the ``standin-plan`` header of a request tells it, counts each
run, announces itself to its node, and has switchable faults. A plan is JSON:

``work_ms``
    Time a slot is held.
``calls``
    Onward calls through the node, each with ``service``, ``method``,
    ``path`` and ``plan``; made one after the other, or all at once when
    ``parallel`` is true.
``status``, ``answer_bytes``
    The answer.

``GET /standin/ledger`` returns how often each ``standin-run`` was started and
finished. ``PUT /standin/faults`` sets faults: ``slow_factor``, ``stuck``,
``fail``, ``healthy`` (what the health endpoint says), ``load`` (what the load
endpoint says). ``PUT /standin/state`` sets the announced state.
"""

import argparse
import collections
import gc
import json
import secrets
import sys
from typing import Any, NamedTuple, TypedDict

import anyio
import httpx
import uvloop

from clementinekeel.runtime import http_server

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0
ONWARD_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 64 * 1024
LOAD_LAG_S = 5.0
"""The load endpoint shows what was true this long ago."""

CONTEXT_HEADER = "clementinekeel-context"
TIMEOUT_HEADER = "clementinekeel-timeout-ms"


class Plan(TypedDict, total=False):
    """What a request does; see the module's documentation."""

    work_ms: float
    calls: list[dict[str, Any]]
    parallel: bool
    status: int
    answer_bytes: int


class Options(NamedTuple):
    """Command line of the stand-in."""

    listen: str
    node: str
    service: str
    endpoint: str
    slots: int
    connections: int
    trace: bool


class Faults:
    """Faults that tests switch on."""

    def __init__(self) -> None:
        self.slow_factor = 1.0
        self.fail = False
        self.healthy = True
        self.load: float | None = None
        self._unstuck = anyio.Event()
        self._unstuck.set()

    @property
    def stuck(self) -> bool:
        """Whether requests make no progress."""
        return not self._unstuck.is_set()

    @stuck.setter
    def stuck(self, is_stuck: bool) -> None:
        self._unstuck.set()
        if is_stuck:
            self._unstuck = anyio.Event()

    async def wait_unstuck(self) -> None:
        """Wait while requests make no progress."""
        while self.stuck:
            await self._unstuck.wait()

    def update(self, fields: dict[str, Any]) -> None:
        """Set some of the faults."""
        for name, value in fields.items():
            if not hasattr(self, name):
                raise KeyError(name)
            setattr(self, name, value)


class OnwardError(Exception):
    """An onward call gave no success."""

    def __init__(self, status: int) -> None:
        super().__init__(f"onward call ended with status {status}")
        self.status = status


class Backend:
    """State of the stand-in and its ASGI application."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.faults = Faults()
        self.state = "ready"
        self.started: collections.Counter[str] = collections.Counter()
        self.finished: collections.Counter[str] = collections.Counter()
        self.cancelled = 0
        self.work_ms = 0.0
        self.received_bytes = 0
        self._slots = anyio.Semaphore(options.slots)
        self._instance = secrets.token_hex(4)
        self._old_load: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._client = httpx.AsyncClient(timeout=ONWARD_TIMEOUT_S)

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path in ("/health", "/load") or path.startswith("/standin/"):
            await self._control(path, receive, send)
        else:
            await self._serve(scope, receive, send)

    async def announce(self, address: str) -> None:
        """Announce the backend server to its node, for ever."""
        url = f"http://{self.options.node}/v1/backend"
        while True:
            content = {
                "service": self.options.service,
                "endpoint": self.options.endpoint,
                "address": address,
                "instance": self._instance,
                "state": self.state,
            }
            try:
                await self._client.put(
                    url, json=content, timeout=ANNOUNCE_TIMEOUT_S
                )
            except httpx.HTTPError as error:
                print(f"announcement failed: {error!r}", file=sys.stderr)
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _serve(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        plan: Plan = json.loads(headers.get("standin-plan", "{}"))
        run = headers.get("standin-run", "")
        size = await self._read_body(receive)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_disconnect, receive, tasks.cancel_scope)
            try:
                status, body = await self._run(plan, run, headers, size)
            except anyio.get_cancelled_exc_class():
                self.cancelled += 1
                raise
            await _answer(send, status, body)
            tasks.cancel_scope.cancel()

    async def _run(
        self, plan: Plan, run: str, headers: dict[str, str], size: int
    ) -> tuple[int, bytes]:
        async with self._slots:
            self._count("started", self.started, run)
            work_ms = plan.get("work_ms", 1.0) * self.faults.slow_factor
            await self.faults.wait_unstuck()
            await anyio.sleep(work_ms / 1000)
            self.work_ms += work_ms
            if self.faults.fail:
                return 500, b"failed\n"
            try:
                await self._call_onward(plan, run, headers)
            except OnwardError as error:
                return 502, f"{error}\n".encode()
            self._count("finished", self.finished, run)
        body = json.dumps(
            {
                "endpoint": self.options.endpoint,
                "run": run,
                "received_bytes": size,
            }
        ).encode()
        padding = max(0, plan.get("answer_bytes", 0) - len(body))
        return plan.get("status", 200), body + b" " * padding

    def _count(
        self, kind: str, counter: collections.Counter[str], run: str
    ) -> None:
        counter[run] += 1
        if self.options.trace:
            # A pipe keeps the line when this process is killed.
            sys.stdout.write(f"{kind} {run}\n")
            sys.stdout.flush()

    async def _call_onward(
        self, plan: Plan, run: str, headers: dict[str, str]
    ) -> None:
        calls = plan.get("calls", [])
        if not plan.get("parallel", False):
            for number, call in enumerate(calls):
                await self._call_one(call, f"{run}.{number}", headers)
            return
        # The first failure cancels the siblings.
        try:
            async with anyio.create_task_group() as tasks:
                for number, call in enumerate(calls):
                    tasks.start_soon(
                        self._call_one, call, f"{run}.{number}", headers
                    )
        except* OnwardError as group:
            raise group.exceptions[0] from None

    async def _call_one(
        self, call: dict[str, Any], run: str, headers: dict[str, str]
    ) -> None:
        url = (
            f"http://{self.options.node}/services/{call['service']}"
            f"{call['path']}"
        )
        onward_headers = {
            "standin-plan": json.dumps(call.get("plan", {})),
            "standin-run": run,
        }
        for name in (CONTEXT_HEADER, TIMEOUT_HEADER):
            if name in headers:
                onward_headers[name] = headers[name]
        response = await self._client.request(
            call["method"], url, headers=onward_headers
        )
        if response.status_code >= 400:
            raise OnwardError(response.status_code)

    async def _control(self, path: str, receive: Any, send: Any) -> None:
        if path == "/health":
            status = 200 if self.faults.healthy else 503
            await _answer(send, status, b"{}")
        elif path == "/load":
            await _answer_json(send, {"load": self._shown_load()})
        elif path == "/standin/ledger":
            await _answer_json(send, self._ledger())
        else:
            fields = json.loads(await _body(receive) or b"{}")
            if path == "/standin/faults":
                self.faults.update(fields)
            elif path == "/standin/state":
                self.state = fields["state"]
            await _answer(send, 204, b"")

    def _ledger(self) -> dict[str, Any]:
        return {
            "started": self.started,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "work_ms": self.work_ms,
            "received_bytes": self.received_bytes,
        }

    def _shown_load(self) -> float:
        if self.faults.load is not None:
            return self.faults.load
        now = anyio.current_time()
        used = 1 - self._slots.value / self.options.slots
        self._old_load.append((now, used))
        while now - self._old_load[0][0] > LOAD_LAG_S:
            self._old_load.popleft()
        return self._old_load[0][1]

    async def _read_body(self, receive: Any) -> int:
        size = 0
        while True:
            message = await receive()
            size += len(message.get("body", b""))
            if not message.get("more_body", False):
                self.received_bytes += size
                return size


async def _body(receive: Any) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)


async def _watch_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _answer_json(send: Any, content: object) -> None:
    await _answer(send, 200, json.dumps(content).encode())


async def _answer(send: Any, status: int, body: bytes) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def run(options: Options) -> None:
    """Run the stand-in until it is cancelled."""
    backend = Backend(options)
    listener = http_server.bind(options.listen)
    address = http_server.address_of(listener)
    print(json.dumps({"listen": address}), flush=True)
    # Full collections over everything loaded would show as latency of nodes.
    gc.collect()
    gc.freeze()
    async with anyio.create_task_group() as tasks:
        if options.node:
            tasks.start_soon(backend.announce, address)
        await http_server.serve(
            backend, listener, anyio.Event(), MAX_HEADER_BYTES
        )


def parse(arguments: list[str]) -> Options:
    """Return the options on a command line."""
    parser = argparse.ArgumentParser(prog="standins.backend")
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--node", default="")
    parser.add_argument("--service", required=True)
    parser.add_argument("--endpoint", required=True)
    parser.add_argument("--slots", type=int, default=90)
    parser.add_argument("--connections", type=int, default=630)
    parser.add_argument(
        "--trace", action="store_true", help="print each run that starts"
    )
    return Options(**vars(parser.parse_args(arguments)))


def main() -> None:
    """Run the stand-in from the command line."""
    options = parse(sys.argv[1:])
    uvloop.install()
    anyio.run(run, options)


if __name__ == "__main__":
    main()
