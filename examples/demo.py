"""Demonstration: the fleet of ``examples/office`` as processes on loopback.

Sends mixed requests through three to four services. Meanwhile it kills the VM
of one endpoint and stops another VM as planned. At the end it compares the
results of the callers with the runs at the backend servers, and exits with 1
if a guarantee was violated.
"""

import argparse
import pathlib
import random
import signal
import sys
import time

import anyio

from standins import caller
from standins import checker
from standins import fleet
from standins import load
from standins import workload

OFFICE_FOLDER = pathlib.Path(__file__).parent / "office"
RATE_PER_S = 60
DURATION_S = 40.0
KILL_AFTER_S = 12.0
STOP_AFTER_S = 24.0
STOP_TIMEOUT_S = 20.0
END_TIMEOUT_S = 25.0
REQUEST_TIMEOUT_MS = 8_000
KILLED_ENDPOINT = "bookings-2"
STOPPED_ENDPOINT = "timetable-1"


class Demo:
    """Runs the load and the faults, and checks the results."""

    def __init__(self, running_fleet: fleet.Fleet, seed: int) -> None:
        self._fleet = running_fleet
        self._random = random.Random(seed)
        self._load = load.Load(running_fleet, self._make_request, self._random)
        self._violations: list[str] = []

    async def run(self) -> None:
        """Send the load and cause the faults."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cause_faults)
            sent = await self._load.run(RATE_PER_S, DURATION_S, END_TIMEOUT_S)
            tasks.cancel_scope.cancel()
        if len(self._load.results) != sent:
            missing = sent - len(self._load.results)
            self._violations.append(f"{missing} requests have no result")

    def format_report(self) -> list[str]:
        """Return the lines of the report."""
        rows = checker.make_rows(self._load.results, self._fleet.runs_started)
        reasons = checker.count_reasons(self._load.results)
        return [
            checker.HEADING,
            *map(str, rows),
            f"not completed: {reasons}",
        ]

    def find_violations(self) -> list[str]:
        """Return the violated guarantees."""
        violations = list(self._violations)
        for result in self._load.results:
            violations += checker.find_violations(
                result, self._fleet.runs_started
            )
        return violations

    def _make_request(self, number: int) -> caller.Request:
        return workload.make_request(
            workload.OFFICE, number, self._random, REQUEST_TIMEOUT_MS
        )

    async def _cause_faults(self) -> None:
        await anyio.sleep(KILL_AFTER_S)
        print(f"killing the VM of {KILLED_ENDPOINT}", flush=True)
        self._load.excluded_endpoints.add(KILLED_ENDPOINT)
        self._fleet.vms[KILLED_ENDPOINT].send_signal(signal.SIGKILL)
        await anyio.sleep(STOP_AFTER_S - KILL_AFTER_S)
        print(f"stopping the VM of {STOPPED_ENDPOINT}", flush=True)
        self._load.excluded_endpoints.add(STOPPED_ENDPOINT)
        stopped = self._fleet.vms[STOPPED_ENDPOINT]
        stopped.node.send_signal(signal.SIGTERM)
        code = None
        with anyio.move_on_after(STOP_TIMEOUT_S):
            code = await stopped.node.wait()
        if code != 0:
            self._violations.append(f"the planned stop ended with {code}")
        stopped.backend.send_signal(signal.SIGTERM)


async def run(seed: int) -> int:
    """Run the demonstration; return the exit code."""
    options = fleet.Options(
        OFFICE_FOLDER / "inventory.ini", OFFICE_FOLDER / "rules.ini"
    )
    started_s = time.monotonic()
    async with fleet.run(options) as running_fleet:
        print(f"{len(running_fleet.vms)} nodes ready", flush=True)
        demo = Demo(running_fleet, seed)
        await demo.run()
        await running_fleet.wait_for_traces()
    print("\n".join(demo.format_report()))
    violations = demo.find_violations()
    for violation in violations:
        print(f"BROKEN: {violation}")
    print(f"seed {seed}, {time.monotonic() - started_s:.0f} s")
    return 1 if violations else 0


def main() -> None:
    """Run the demonstration from the command line."""
    parser = argparse.ArgumentParser(prog="examples.demo")
    parser.add_argument("--seed", type=int, default=1)
    sys.exit(anyio.run(run, parser.parse_args().seed))


if __name__ == "__main__":
    main()
