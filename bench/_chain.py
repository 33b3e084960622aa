"""A chain of services in one zone, and callers that retry hard."""

from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import tempfile
import time
from typing import Any, NamedTuple

import anyio
import anyio.abc

from bench import _process
from clementinekeel.backends import connection
from clementinekeel.backends import errors
from clementinekeel.backends import pool
from clementinekeel.callers import headers as caller_headers
from standins import fleet

POLICIES: dict[str, dict[str, str]] = {
    "product": {},
    "baseline": {
        "limiter": "fixed",
        "balancer": "round_robin",
        "retry": "baseline",
    },
}
DEADLINE_MS = 2_000
WIDE_SLOTS = 300
SHALLOW_WORK_MS = 1.0
CALLER_RETRIES = 3
# A caller also waits for the answer that says what became of its request.
CALLER_TIMEOUT_S = DEADLINE_MS / 1000 + 1
CONNECTIONS = 2_000
ZONE = "[zone here]\nregion = home\n"
SERVICE = """\
[service {name}]
[endpoint {name}-1]
service = {name}
zone = here
slots = {slots}
connections = {connections}
"""
RULES = """\
[limits]
default_class = lookup
default_deadline_ms = {deadline}
retry_allowance = 2
retry_budget_share = 0.1
objective = goodput
[class booking]
rank = 0
[class lookup]
rank = 2
"""
OPERATIONS = """\
[operation look-up-{name}]
service = {name}
methods = GET
path = /items/*
class = lookup
idempotent = yes
deadline_ms = {deadline}
[operation book-{name}]
service = {name}
methods = POST
path = /items/*
class = booking
idempotent = no
deadline_ms = {deadline}
"""
METHODS = {"booking": "POST", "lookup": "GET"}


class Chain(NamedTuple):
    """Services that call each other, outermost first.

    Attributes
    ----------
    deep_slots : int
        Slots of the last service; the others have ``WIDE_SLOTS``.
    deep_work_ms : float
        Time that a request holds one of them.
    """

    services: tuple[str, ...]
    deep_slots: int
    deep_work_ms: float

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that the last service can serve."""
        return self.deep_slots * 1000 / self.deep_work_ms

    def plan(self, method: str) -> dict[str, Any]:
        """Return what the first service does for a request."""
        plan: dict[str, Any] = {"work_ms": self.deep_work_ms}
        for service in self.services[:0:-1]:
            call = {
                "service": service,
                "method": method,
                "path": "/items/1",
                "plan": plan,
            }
            plan = {"work_ms": SHALLOW_WORK_MS, "calls": [call]}
        return plan

    def run_at(self, depth: int, run: str) -> str:
        """Return the name under which a service counts a request."""
        return run + ".0" * depth


class RequestResult(NamedTuple):
    """How a request of a caller ended.

    Attributes
    ----------
    sent_s, ended_s : float
        Intended time of sending and time of the end, from the start.
    """

    run: str
    kind: str
    is_good: bool
    attempts: int
    sent_s: float
    ended_s: float


class Callers:
    """Sends requests to the first node; retries at once, obeying no hint."""

    def __init__(
        self, chain: Chain, running_fleet: fleet.Fleet, retries: int
    ) -> None:
        self.results: list[RequestResult] = []
        self._service = chain.services[0]
        self._address = running_fleet.vms[f"{self._service}-1"].callers_address
        host, _, port = self._address.rpartition(":")
        self._pool = pool.ConnectionPool(host, int(port), CONNECTIONS)
        self._retries = retries
        self._plans = {
            kind: json.dumps(chain.plan(method))
            for kind, method in METHODS.items()
        }
        self._start_s = time.monotonic()
        self._count = 0

    async def close(self) -> None:
        """Close the connections, whose ports new processes may need."""
        await self._pool.close()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._start_s

    async def send(
        self, kinds: tuple[str, ...], rate_per_s: float, duration_s: float
    ) -> None:
        """Send requests evenly spaced, the kinds in turn; await the ends."""
        first_s = self.now_s()
        async with anyio.create_task_group() as tasks:
            for number in range(int(rate_per_s * duration_s)):
                due_s = first_s + number / rate_per_s
                await anyio.sleep(max(0.0, due_s - self.now_s()))
                kind = kinds[number % len(kinds)]
                self._count += 1
                run = f"{kind}-{self._count}"
                tasks.start_soon(self._send_one, kind, run, due_s)

    async def _send_one(self, kind: str, run: str, sent_s: float) -> None:
        key = ""
        outcome = ""
        attempts = 0
        while outcome != "completed" and attempts <= self._retries:
            attempts += 1
            if kind == "booking" and not key:
                key = await self._fetch_key()
                if not key:
                    continue
            outcome = await self._attempt(kind, run, key)
            if outcome in ("refused", "failed"):
                # The key is used up, so that another attempt needs a new one.
                key = ""
        ended_s = self.now_s()
        is_good = outcome == "completed"
        is_good = is_good and (ended_s - sent_s) * 1000 <= DEADLINE_MS
        self.results.append(
            RequestResult(run, kind, is_good, attempts, sent_s, ended_s)
        )

    async def _fetch_key(self) -> str:
        _, body = await self._exchange("POST", f"/v1/keys/{self._service}", ())
        try:
            return str(json.loads(body)["idempotency_key"])
        except (ValueError, KeyError):
            return ""

    async def _attempt(self, kind: str, run: str, key: str) -> str:
        headers = [
            ("standin-plan", self._plans[kind]),
            ("standin-run", run),
            (caller_headers.TIMEOUT, str(DEADLINE_MS)),
        ]
        if key:
            headers.append((caller_headers.IDEMPOTENCY_KEY, key))
        head, _ = await self._exchange(
            METHODS[kind],
            f"/services/{self._service}/items/1",
            tuple(headers),
        )
        if head is None:
            return "unknown"
        outcome = caller_headers.find(head.headers, caller_headers.OUTCOME)
        return outcome or "unknown"

    async def _exchange(
        self, method: str, target: str, headers: connection.Headers
    ) -> tuple[connection.Head | None, bytes]:
        try:
            used = await self._pool.acquire()
        except errors.BackendError:
            return None, b""
        try:
            with anyio.fail_after(CALLER_TIMEOUT_S):
                length = (("content-length", "0"),) * (method == "POST")
                await used.send_head(
                    method,
                    target,
                    (("host", self._address), *length, *headers),
                    b"",
                )
                await used.send_end()
                head = await used.receive_head()
                body = b"".join([part async for part in used.receive_body()])
        except (errors.BackendError, TimeoutError):
            await self._pool.discard(used)
            return None, b""
        await self._pool.release(used)
        return head, body


@contextlib.asynccontextmanager
async def run(chain: Chain, policies: str) -> AsyncIterator[fleet.Fleet]:
    """Start the chain's processes, and end them with the context."""
    slots = [WIDE_SLOTS] * (len(chain.services) - 1) + [chain.deep_slots]
    inventory = ZONE + "".join(
        SERVICE.format(name=name, slots=count, connections=CONNECTIONS)
        for name, count in zip(chain.services, slots, strict=True)
    )
    rules = RULES.format(deadline=DEADLINE_MS) + "".join(
        OPERATIONS.format(name=name, deadline=DEADLINE_MS)
        for name in chain.services
    )
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / f"{n}.ini" for n in ("fleet", "rules")]
        for path, text in zip(paths, (inventory, rules), strict=True):
            path.write_text(text)
        options = fleet.Options(*paths, policies=POLICIES[policies])
        async with fleet.run(options) as running_fleet:
            yield running_fleet


def cpu_s(running_fleet: fleet.Fleet) -> dict[str, float]:
    """Return the processor time used by each process so far."""
    used = {}
    for vm in running_fleet.vms.values():
        used[vm.node.name] = _process.cpu_s(vm.node)
        used[vm.backend.name] = _process.cpu_s(vm.backend)
    return used
