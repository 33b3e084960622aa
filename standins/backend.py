"""Stand-in for a backend server.

It executes the plan in the ``standin-plan`` header of a request, counts the
runs by the run ID in the ``standin-run`` header, announces itself to its node,
and has faults that can be set. A plan is JSON:

``work_ms``
    Time for which the request works in its slot before downstream calls.
``calls``
    Downstream calls through the node, each with ``service``, ``method``,
    ``path`` and ``plan``; made one after the other, or all at once when
    ``parallel`` is true. The run ID of a call is that of the request, a dot
    and the number of the call.
``status``, ``answer_bytes``
    Status and size of the answer.

``GET /standin/ledger`` returns how often each run ID was started and
finished. ``PUT /standin/faults`` sets faults: ``slow_factor``, ``stuck``,
``fail``, ``healthy`` (result of the health endpoint), ``load`` (result of the
load endpoint). ``PUT /standin/state`` sets the announced state.
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
DOWNSTREAM_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 64 * 1024
LOAD_LAG_S = 5.0
"""Age of the load that the load endpoint reports."""

CONTEXT_HEADER = "clementinekeel-context"
TIMEOUT_HEADER = "clementinekeel-timeout-ms"


class Plan(TypedDict, total=False):
    """Work of a request; see the module's docstring."""

    work_ms: float
    calls: list[dict[str, Any]]
    parallel: bool
    status: int
    answer_bytes: int


class Options(NamedTuple):
    """Options of the command line."""

    listen: str
    node: str
    service: str
    endpoint: str
    slots: int
    connections: int
    trace: bool


class Faults:
    """Faults in force; public attributes can be set by their names."""

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


class DownstreamError(Exception):
    """A downstream call was answered with an error status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"onward call ended with status {status}")
        self.status = status


class Backend:
    """ASGI application of the stand-in.

    Attributes
    ----------
    state : str
        Announced state.
    runs_started, runs_finished : Counter
        Number of runs for each run ID.
    cancelled : int
        Requests that were cancelled because the node disconnected.
    work_ms : float
        Total work time of all requests.
    """

    def __init__(self, options: Options) -> None:
        self.options = options
        self.faults = Faults()
        self.state = "ready"
        self.runs_started: collections.Counter[str] = collections.Counter()
        self.runs_finished: collections.Counter[str] = collections.Counter()
        self.cancelled = 0
        self.work_ms = 0.0
        self.received_bytes = 0
        self._slots = anyio.Semaphore(options.slots)
        self._instance = secrets.token_hex(4)
        self._load_samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._client = httpx.AsyncClient(timeout=DOWNSTREAM_TIMEOUT_S)

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path in ("/health", "/load") or path.startswith("/standin/"):
            await self._serve_control(path, receive, send)
        else:
            await self._serve(scope, receive, send)

    async def announce(self, address: str) -> None:
        """Announce the backend server to its node at regular intervals."""
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
        run_id = headers.get("standin-run", "")
        size = await self._read_body_size(receive)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_disconnect, receive, tasks.cancel_scope)
            try:
                status, body = await self._run(plan, run_id, headers, size)
            except anyio.get_cancelled_exc_class():
                self.cancelled += 1
                raise
            await _answer(send, status, body)
            tasks.cancel_scope.cancel()

    async def _run(
        self, plan: Plan, run_id: str, headers: dict[str, str], size: int
    ) -> tuple[int, bytes]:
        async with self._slots:
            self._count_run("started", self.runs_started, run_id)
            work_ms = plan.get("work_ms", 1.0) * self.faults.slow_factor
            await self.faults.wait_unstuck()
            await anyio.sleep(work_ms / 1000)
            self.work_ms += work_ms
            if self.faults.fail:
                return 500, b"failed\n"
            try:
                await self._call_downstream(plan, run_id, headers)
            except DownstreamError as error:
                return 502, f"{error}\n".encode()
            self._count_run("finished", self.runs_finished, run_id)
        body = json.dumps(
            {
                "endpoint": self.options.endpoint,
                "run": run_id,
                "received_bytes": size,
            }
        ).encode()
        padding = max(0, plan.get("answer_bytes", 0) - len(body))
        return plan.get("status", 200), body + b" " * padding

    def _count_run(
        self, kind: str, counter: collections.Counter[str], run_id: str
    ) -> None:
        counter[run_id] += 1
        if self.options.trace:
            # Once written to the pipe, the line outlives this process.
            sys.stdout.write(f"{kind} {run_id}\n")
            sys.stdout.flush()

    async def _call_downstream(
        self, plan: Plan, run_id: str, headers: dict[str, str]
    ) -> None:
        calls = plan.get("calls", [])
        if not plan.get("parallel", False):
            for number, call in enumerate(calls):
                await self._call_one(call, f"{run_id}.{number}", headers)
            return
        # The first failure cancels the other calls.
        try:
            async with anyio.create_task_group() as tasks:
                for number, call in enumerate(calls):
                    tasks.start_soon(
                        self._call_one, call, f"{run_id}.{number}", headers
                    )
        except* DownstreamError as group:
            raise group.exceptions[0] from None

    async def _call_one(
        self, call: dict[str, Any], run_id: str, headers: dict[str, str]
    ) -> None:
        url = (
            f"http://{self.options.node}/services/{call['service']}"
            f"{call['path']}"
        )
        downstream_headers = {
            "standin-plan": json.dumps(call.get("plan", {})),
            "standin-run": run_id,
        }
        for name in (CONTEXT_HEADER, TIMEOUT_HEADER):
            if name in headers:
                downstream_headers[name] = headers[name]
        response = await self._client.request(
            call["method"], url, headers=downstream_headers
        )
        if response.status_code >= 400:
            raise DownstreamError(response.status_code)

    async def _serve_control(self, path: str, receive: Any, send: Any) -> None:
        if path == "/health":
            status = 200 if self.faults.healthy else 503
            await _answer(send, status, b"{}")
        elif path == "/load":
            await _answer_json(send, {"load": self._reported_load()})
        elif path == "/standin/ledger":
            await _answer_json(send, self._ledger())
        else:
            fields = json.loads(await _read_body(receive) or b"{}")
            if path == "/standin/faults":
                self.faults.update(fields)
            elif path == "/standin/state":
                self.state = fields["state"]
            await _answer(send, 204, b"")

    def _ledger(self) -> dict[str, Any]:
        return {
            "started": self.runs_started,
            "finished": self.runs_finished,
            "cancelled": self.cancelled,
            "work_ms": self.work_ms,
            "received_bytes": self.received_bytes,
        }

    def _reported_load(self) -> float:
        if self.faults.load is not None:
            return self.faults.load
        now = anyio.current_time()
        used = 1 - self._slots.value / self.options.slots
        self._load_samples.append((now, used))
        while now - self._load_samples[0][0] > LOAD_LAG_S:
            self._load_samples.popleft()
        return self._load_samples[0][1]

    async def _read_body_size(self, receive: Any) -> int:
        size = 0
        while True:
            message = await receive()
            size += len(message.get("body", b""))
            if not message.get("more_body", False):
                self.received_bytes += size
                return size


async def _read_body(receive: Any) -> bytes:
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
    # Full garbage collections over all modules would be measured as latency
    # of the nodes.
    gc.collect()
    gc.freeze()
    async with anyio.create_task_group() as tasks:
        if options.node:
            tasks.start_soon(backend.announce, address)
        await http_server.serve(
            backend, listener, anyio.Event(), MAX_HEADER_BYTES
        )


def parse_options(arguments: list[str]) -> Options:
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
    options = parse_options(sys.argv[1:])
    uvloop.install()
    anyio.run(run, options)


if __name__ == "__main__":
    main()
