"""Random faults on the fleet of ``examples/office`` under load.

Every few seconds a process is killed, frozen, stopped or replaced, or the
store fails; some faults come in pairs. At the end, the runs at the backend
servers are compared with the results of the callers. Exits with 1 if a
guarantee was violated.
"""

import argparse
from collections.abc import Awaitable, Callable, Iterable
import pathlib
import random
import signal
import sys
import time
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

from standins import caller
from standins import checker
from standins import fleet
from standins import load
from standins import workload

OFFICE_FOLDER = pathlib.Path(__file__).parent.parent / "examples" / "office"
DEFAULT_SECONDS = 45.0
RATE_PER_S = 50.0
REQUEST_TIMEOUT_MS = 6_000
END_TIMEOUT_S = 30.0
FAULT_INTERVAL_S = (2.0, 5.0)
FREEZE_S = (0.5, 8.0)
REPLACE_DELAY_S = (0.2, 2.0)
STORE_FAULT_S = (2.0, 6.0)
STOP_TIMEOUT_S = 25.0
SECOND_FAULT_SHARE = 0.3
"""Share of the times at which two faults are caused instead of one."""
AFTER_FAULT_S = 3.0
"""Time after the end of a fault in which new requests are counted as affected
by it."""
STORE_FAULTS = (
    {"down": "503"},
    {"down": "closed"},
    {"delay_ms": 1_500},
    {"lose_share": 0.5},
)

CauseFault = Callable[[str], Awaitable[None]]


class FaultWindow(NamedTuple):
    """Time in which a fault was in force, on the monotonic clock."""

    kind: str
    name: str
    start_s: float
    end_s: float


class Run:
    """Load and faults of one seed."""

    def __init__(
        self, running_fleet: fleet.Fleet, seed: int, kinds: Iterable[str]
    ) -> None:
        self.violations: list[str] = []
        self.windows: list[FaultWindow] = []
        self._load_random = random.Random(seed)
        self.load = load.Load(
            running_fleet, self._make_request, self._load_random
        )
        self._fleet = running_fleet
        # Separate from the load's generator, whose draws depend on timing.
        self._random = random.Random(seed + 1_000_000)
        self._sent_s: dict[str, float] = {}
        self._faulty_names: set[str] = set()
        self._faults: dict[str, CauseFault] = {
            "kill VM": self._kill_vm,
            "freeze node": self._freeze_node,
            "freeze backend": self._freeze_backend,
            "kill backend": self._kill_backend,
            "planned stop": self._stop_vm,
            "store": self._fail_store,
        }
        self._kinds = sorted(kinds) or list(self._faults)

    async def run(self, seconds: float) -> None:
        """Send the load, cause faults and wait for both to end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cause_faults, seconds)
            sent = await self.load.run(RATE_PER_S, seconds, END_TIMEOUT_S)
        missing = sent - len(self.load.results)
        if missing:
            self.violations.append(f"{missing} requests have no result")

    async def check_nodes(self) -> None:
        """Check for ended nodes, errors and slots that were not freed."""
        async with httpx.AsyncClient() as http:
            for name, vm in self._fleet.vms.items():
                if not vm.node.is_running:
                    self.violations.append(f"the node of {name} has ended")
                    continue
                url = f"http://{vm.node.addresses['operators']}/v1/status"
                status = (await http.get(url)).json()
                self._check_status(name, status)

    def check_results(self) -> None:
        """Compare the results of the callers with the runs."""
        for result in self.load.results:
            self.violations += checker.find_violations(
                result, self._fleet.runs_started
            )

    def format_report(self) -> list[str]:
        """Return the lines of the report."""
        results = self.load.results
        rows = checker.make_rows(results, self._fleet.runs_started)
        return [
            checker.HEADING,
            *map(str, rows),
            f"not completed: {checker.count_reasons(results)}",
            f"{'fault':<16}{'times':>6}{'requests':>10}{'unknown':>9}",
            *(self._fault_row(kind) for kind in self._kinds),
        ]

    def _check_status(self, name: str, status: dict[str, object]) -> None:
        counters = status["counters"]
        assert isinstance(counters, dict)
        for field in ("running", "queued"):
            if status[field]:
                self.violations.append(
                    f"{name}: {status[field]} still {field}"
                )
        for counter in ("owner_errors", "entry_errors"):
            if counters.get(counter):
                self.violations.append(
                    f"{name}: {counter} {counters[counter]}"
                )

    def _fault_row(self, kind: str) -> str:
        windows = [item for item in self.windows if item.kind == kind]
        affected = [
            item for item in self.load.results if self._overlaps(item, windows)
        ]
        unknown = sum(item.outcome == "unknown" for item in affected)
        share = 100 * unknown / max(1, len(affected))
        return f"{kind:<16}{len(windows):>6}{len(affected):>10}{share:>8.2f}%"

    def _overlaps(
        self, result: caller.RequestResult, windows: Iterable[FaultWindow]
    ) -> bool:
        start_s = self._sent_s[result.request.run_id]
        end_s = start_s + result.latency_s
        return any(
            start_s < item.end_s + AFTER_FAULT_S and end_s > item.start_s
            for item in windows
        )

    def _make_request(self, number: int) -> caller.Request:
        request = workload.make_request(
            workload.OFFICE, number, self._load_random, REQUEST_TIMEOUT_MS
        )
        self._sent_s[request.run_id] = time.monotonic()
        return request

    async def _cause_faults(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._random.uniform(*FAULT_INTERVAL_S))
                if time.monotonic() > end_s:
                    return
                count = 2 if self._random.random() < SECOND_FAULT_SHARE else 1
                for _ in range(count):
                    self._start_fault(tasks)

    def _start_fault(self, tasks: anyio.abc.TaskGroup) -> None:
        kind = self._random.choice(self._kinds)
        candidates = sorted(set(self._fleet.vms) - self._faulty_names)
        name = "store" if kind == "store" else self._random.choice(candidates)
        if name not in self._faulty_names:
            tasks.start_soon(self._run_fault, kind, name)

    async def _run_fault(self, kind: str, name: str) -> None:
        self._faulty_names.add(name)
        start_s = time.monotonic()
        print(f"{kind}: {name}", flush=True)
        try:
            await self._faults[kind](name)
        finally:
            self._faulty_names.discard(name)
        self.windows.append(FaultWindow(kind, name, start_s, time.monotonic()))

    async def _kill_vm(self, name: str) -> None:
        vm = self._fleet.vms[name]
        self.load.excluded_endpoints.add(name)
        vm.send_signal(signal.SIGKILL)
        await self._replace(vm)

    async def _freeze_node(self, name: str) -> None:
        await self._freeze(self._fleet.vms[name].node)

    async def _freeze_backend(self, name: str) -> None:
        await self._freeze(self._fleet.vms[name].backend)

    async def _kill_backend(self, name: str) -> None:
        self._fleet.vms[name].backend.send_signal(signal.SIGKILL)
        await anyio.sleep(self._random.uniform(*REPLACE_DELAY_S))
        await self._fleet.restart_backend(name)

    async def _stop_vm(self, name: str) -> None:
        vm = self._fleet.vms[name]
        self.load.excluded_endpoints.add(name)
        vm.node.send_signal(signal.SIGTERM)
        code = None
        with anyio.move_on_after(STOP_TIMEOUT_S):
            code = await vm.node.wait()
        if code != 0:
            self.violations.append(
                f"the planned stop of {name} ended with {code}"
            )
        vm.send_signal(signal.SIGKILL)
        await self._replace(vm)

    async def _fail_store(self, name: str) -> None:
        fault = self._random.choice(STORE_FAULTS)
        url = f"{self._fleet.store_url}/faults"
        async with httpx.AsyncClient() as http:
            await http.put(url, json=fault)
            await anyio.sleep(self._random.uniform(*STORE_FAULT_S))
            await http.put(url, json={})

    async def _freeze(self, process: fleet.Process) -> None:
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self._random.uniform(*FREEZE_S))
        process.send_signal(signal.SIGCONT)

    async def _replace(self, vm: fleet.Vm) -> None:
        await anyio.sleep(self._random.uniform(*REPLACE_DELAY_S))
        await self._fleet.start_vm(vm.spec)
        self.load.excluded_endpoints.discard(vm.spec.name)


async def run(seed: int, seconds: float, kinds: Iterable[str]) -> int:
    """Run one seed; return the exit code."""
    options = fleet.Options(
        OFFICE_FOLDER / "inventory.ini", OFFICE_FOLDER / "rules.ini"
    )
    async with fleet.run(options) as running_fleet:
        current_run = Run(running_fleet, seed, kinds)
        await current_run.run(seconds)
        await running_fleet.wait_for_traces()
        await current_run.check_nodes()
        current_run.check_results()
    print("\n".join(current_run.format_report()))
    for violation in current_run.violations:
        print(f"BROKEN: {violation}")
    print(
        f"seed {seed}, {seconds:.0f} s, {len(current_run.violations)} broken"
    )
    return 1 if current_run.violations else 0


def main() -> None:
    """Run one seed from the command line."""
    parser = argparse.ArgumentParser(prog="bench.randomised")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--fault",
        action="append",
        default=[],
        help="cause only faults of this kind; can be repeated",
    )
    options = parser.parse_args()
    sys.exit(anyio.run(run, options.seed, options.seconds, options.fault))


if __name__ == "__main__":
    main()
