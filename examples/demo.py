"""Demonstration: the Office's fleet as processes on loopback.

Sends mixed calls three to four services deep, kills the VM of one endpoint
and stops another one as planned on the way, and compares what callers were
told with what the backend servers ran. Exits with 1 if a promise was broken.
"""

import argparse
import pathlib
import random
import signal
import sys
import time

import anyio

from standins import caller
from standins import fleet
from standins import judge
from standins import load
from standins import workload

FOLDER = pathlib.Path(__file__).parent / "office"
RATE_PER_S = 60
DURATION_S = 40.0
KILL_AFTER_S = 12.0
STOP_AFTER_S = 24.0
STOP_TIMEOUT_S = 20.0
END_TIMEOUT_S = 25.0
REQUEST_TIMEOUT_MS = 8_000
KILLED = "bookings-2"
STOPPED = "timetable-1"


class Demo:
    """Runs the load and the faults, and judges the result."""

    def __init__(self, running: fleet.Fleet, seed: int) -> None:
        self._fleet = running
        self._random = random.Random(seed)
        self._load = load.Load(running, self._make_request, self._random)
        self._faults: list[str] = []

    async def run(self) -> None:
        """Send the load and cause the faults."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cause_faults)
            sent = await self._load.run(RATE_PER_S, DURATION_S, END_TIMEOUT_S)
            tasks.cancel_scope.cancel()
        if len(self._load.endings) != sent:
            missing = sent - len(self._load.endings)
            self._faults.append(f"{missing} requests have no ending")

    def report(self) -> list[str]:
        """Return the lines of the table."""
        rows = judge.rows(self._load.endings, self._fleet.started)
        reasons = judge.reasons(self._load.endings)
        return [
            judge.HEADING,
            *map(str, rows),
            f"not completed: {reasons}",
        ]

    def broken(self) -> list[str]:
        """Return which promises were broken."""
        found = list(self._faults)
        for ending in self._load.endings:
            found += judge.broken_promises(ending, self._fleet.started)
        return found

    def _make_request(self, number: int) -> caller.Request:
        return workload.make_request(
            workload.OFFICE, number, self._random, REQUEST_TIMEOUT_MS
        )

    async def _cause_faults(self) -> None:
        await anyio.sleep(KILL_AFTER_S)
        print(f"killing the VM of {KILLED}", flush=True)
        self._load.avoid.add(KILLED)
        self._fleet.vms[KILLED].send_signal(signal.SIGKILL)
        await anyio.sleep(STOP_AFTER_S - KILL_AFTER_S)
        print(f"stopping the VM of {STOPPED}", flush=True)
        self._load.avoid.add(STOPPED)
        stopped = self._fleet.vms[STOPPED]
        stopped.node.send_signal(signal.SIGTERM)
        code = None
        with anyio.move_on_after(STOP_TIMEOUT_S):
            code = await stopped.node.wait()
        if code != 0:
            self._faults.append(f"the planned stop ended with {code}")
        stopped.backend.send_signal(signal.SIGTERM)


async def run(seed: int) -> int:
    """Run the demonstration; return the exit code."""
    options = fleet.Options(FOLDER / "inventory.ini", FOLDER / "rules.ini")
    started_s = time.monotonic()
    async with fleet.run(options) as running:
        print(f"{len(running.vms)} nodes ready", flush=True)
        demo = Demo(running, seed)
        await demo.run()
        await running.drain_traces()
    print("\n".join(demo.report()))
    faults = demo.broken()
    for fault in faults:
        print(f"BROKEN: {fault}")
    print(f"seed {seed}, {time.monotonic() - started_s:.0f} s")
    return 1 if faults else 0


def main() -> None:
    """Run the demonstration from the command line."""
    parser = argparse.ArgumentParser(prog="examples.demo")
    parser.add_argument("--seed", type=int, default=1)
    sys.exit(anyio.run(run, parser.parse_args().seed))


if __name__ == "__main__":
    main()
