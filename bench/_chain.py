"""A chain of services in one zone, and callers that retry at once."""

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
UPSTREAM_SLOTS = 300
UPSTREAM_WORK_MS = 1.0
MAX_CALLER_RETRIES = 3
# Longer than the deadline, so that the answer with the outcome of a late
# request still arrives.
CALLER_TIMEOUT_S = DEADLINE_MS / 1000 + 1
CONNECTIONS = 2_000
ZONE_SECTION = "[zone here]\nregion = home\n"
SERVICE_SECTIONS = """\
[service {name}]
[endpoint {name}-1]
service = {name}
zone = here
slots = {slots}
connections = {connections}
"""
RULES_SECTIONS = """\
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
OPERATION_SECTIONS = """\
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
    """Services of which each calls the next one, outermost first.

    Attributes
    ----------
    last_slots : int
        Slots of the last service; the others have ``UPSTREAM_SLOTS``.
    last_work_ms : float
        Time for which a request holds a slot of the last service.
    """

    services: tuple[str, ...]
    last_slots: int
    last_work_ms: float

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the last service can serve."""
        return self.last_slots * 1000 / self.last_work_ms

    def make_plan(self, method: str) -> dict[str, Any]:
        """Return the plan of a request to the first service."""
        plan: dict[str, Any] = {"work_ms": self.last_work_ms}
        for service in self.services[:0:-1]:
            call = {
                "service": service,
                "method": method,
                "path": "/items/1",
                "plan": plan,
            }
            plan = {"work_ms": UPSTREAM_WORK_MS, "calls": [call]}
        return plan

    def run_id_at(self, depth: int, run_id: str) -> str:
        """Return the run ID of a request at a service of the chain.

        Parameters
        ----------
        depth : int
            Index of the service; 0 for the first one.
        """
        return run_id + ".0" * depth


class RequestResult(NamedTuple):
    """Final result of a request of a caller.

    Attributes
    ----------
    is_good : bool
        Whether the request completed within its deadline.
    sent_s, ended_s : float
        Intended time of sending and time of the end, since the start of the
        callers.
    """

    run_id: str
    kind: str
    is_good: bool
    attempts: int
    sent_s: float
    ended_s: float


class Callers:
    """Sends requests to the first node; retries without any delay.

    Retries ignore the nodes' hints on when to retry.
    """

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
            kind: json.dumps(chain.make_plan(method))
            for kind, method in METHODS.items()
        }
        self._start_s = time.monotonic()
        self._count = 0

    async def close(self) -> None:
        """Close the connections, to free their ports for new processes."""
        await self._pool.close()

    def now_s(self) -> float:
        """Return the time since these callers were created."""
        return time.monotonic() - self._start_s

    async def send(
        self, kinds: tuple[str, ...], rate_per_s: float, duration_s: float
    ) -> None:
        """Send evenly spaced requests, kinds in turn; await the results."""
        first_s = self.now_s()
        async with anyio.create_task_group() as tasks:
            for number in range(int(rate_per_s * duration_s)):
                due_s = first_s + number / rate_per_s
                await anyio.sleep(max(0.0, due_s - self.now_s()))
                kind = kinds[number % len(kinds)]
                self._count += 1
                run_id = f"{kind}-{self._count}"
                tasks.start_soon(self._send_one, kind, run_id, due_s)

    async def _send_one(self, kind: str, run_id: str, sent_s: float) -> None:
        key = ""
        outcome = ""
        attempts = 0
        while outcome != "completed" and attempts <= self._retries:
            attempts += 1
            if kind == "booking" and not key:
                key = await self._fetch_key()
                if not key:
                    continue
            outcome = await self._attempt(kind, run_id, key)
            if outcome in ("refused", "failed"):
                # The outcome is final for the key, so that another attempt
                # needs a new one.
                key = ""
        ended_s = self.now_s()
        is_good = outcome == "completed"
        is_good = is_good and (ended_s - sent_s) * 1000 <= DEADLINE_MS
        self.results.append(
            RequestResult(run_id, kind, is_good, attempts, sent_s, ended_s)
        )

    async def _fetch_key(self) -> str:
        _, body = await self._exchange("POST", f"/v1/keys/{self._service}", ())
        try:
            return str(json.loads(body)["idempotency_key"])
        except (ValueError, KeyError):
            return ""

    async def _attempt(self, kind: str, run_id: str, key: str) -> str:
        headers = [
            ("standin-plan", self._plans[kind]),
            ("standin-run", run_id),
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
            http_connection = await self._pool.acquire()
        except errors.BackendError:
            return None, b""
        try:
            with anyio.fail_after(CALLER_TIMEOUT_S):
                length = (("content-length", "0"),) * (method == "POST")
                await http_connection.send_head(
                    method,
                    target,
                    (("host", self._address), *length, *headers),
                    b"",
                )
                await http_connection.send_end()
                head = await http_connection.receive_head()
                body = b"".join(
                    [part async for part in http_connection.receive_body()]
                )
        except (errors.BackendError, TimeoutError):
            await self._pool.discard(http_connection)
            return None, b""
        await self._pool.release(http_connection)
        return head, body


@contextlib.asynccontextmanager
async def run(chain: Chain, policies: str) -> AsyncIterator[fleet.Fleet]:
    """Start the chain's processes; stop them at the end of the context."""
    slots = [UPSTREAM_SLOTS] * (len(chain.services) - 1) + [chain.last_slots]
    inventory = ZONE_SECTION + "".join(
        SERVICE_SECTIONS.format(
            name=name, slots=count, connections=CONNECTIONS
        )
        for name, count in zip(chain.services, slots, strict=True)
    )
    rules = RULES_SECTIONS.format(deadline=DEADLINE_MS) + "".join(
        OPERATION_SECTIONS.format(name=name, deadline=DEADLINE_MS)
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
    """Return the processor time that each process has used, in seconds."""
    seconds_by_process = {}
    for vm in running_fleet.vms.values():
        seconds_by_process[vm.node.name] = _process.cpu_s(vm.node)
        seconds_by_process[vm.backend.name] = _process.cpu_s(vm.backend)
    return seconds_by_process
