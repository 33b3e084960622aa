"""Demonstration: the Office's fleet as processes on loopback.

Sends mixed calls three to four services deep, kills the VM of one endpoint
and stops another one as planned on the way, and compares what callers were
told with what the backend servers ran. Exits with 1 if a promise was broken.
"""

import argparse
import collections
import pathlib
import random
import signal
import sys
import time
from typing import NamedTuple

import anyio
import anyio.abc
import hdrh.histogram
import httpx

from standins import caller
from standins import fleet

FOLDER = pathlib.Path(__file__).parent
RATE_PER_S = 60
DURATION_S = 40.0
KILL_AT = 0.3
STOP_AT = 0.6
"""Shares of the duration at which a VM is killed and another is stopped."""
END_TIMEOUT_S = 25.0
MAX_LATENCY_US = 120_000_000


class Kind(NamedTuple):
    """A kind of request in the mix.

    Attributes
    ----------
    share : float
        Share of all requests.
    body_bytes : int
        Size of the body.
    """

    name: str
    share: float
    service: str
    method: str
    path: str
    idempotent: bool
    body_bytes: int


class Deployment(NamedTuple):
    """What the demonstration does with a deployment."""

    kinds: tuple[Kind, ...]
    lookups: tuple[tuple[str, str], ...]
    killed: str
    stopped: str


DEPLOYMENTS = {
    "office": Deployment(
        (
            Kind("lookup", 0.5, "timetable", "GET", "/lessons/7", True, 0),
            Kind("internal", 0.1, "bursary", "GET", "/registry/9", True, 0),
            Kind("booking", 0.2, "bookings", "POST", "/seats/4", False, 200),
            Kind(
                "settlement",
                0.17,
                "bursary",
                "POST",
                "/settlements",
                False,
                300,
            ),
            Kind(
                "recording",
                0.03,
                "recordings",
                "POST",
                "/recordings",
                False,
                3_000_000,
            ),
        ),
        (
            ("timetable", "/repertoire/1"),
            ("recordings", "/recordings/2"),
            ("bursary", "/accounts/3"),
        ),
        killed="bookings-2",
        stopped="timetable-1",
    ),
}


def lookup_chain(
    deployment: Deployment, depth: int
) -> list[dict[str, object]]:
    """Return a chain of onward lookups, ``depth`` services deep."""
    calls: list[dict[str, object]] = []
    for service, path in deployment.lookups[:depth][::-1]:
        call = {
            "service": service,
            "method": "GET",
            "path": path,
            "plan": {"work_ms": 2, "calls": calls},
        }
        calls = [call]
    return calls


def make_request(
    deployment: Deployment, number: int, source: random.Random
) -> caller.Request:
    """Return the next request of the mix."""
    shares = [kind.share for kind in deployment.kinds]
    (kind,) = source.choices(deployment.kinds, shares)
    depth = source.choice((2, 3))
    return caller.Request(
        run=f"{kind.name}-{number}",
        kind=kind.name,
        service=kind.service,
        method=kind.method,
        path=kind.path,
        idempotent=kind.idempotent,
        plan={
            "work_ms": source.uniform(2, 10),
            "calls": lookup_chain(deployment, depth),
            "answer_bytes": 500,
        },
        body_bytes=kind.body_bytes,
        timeout_ms=8_000,
    )


class Demo:
    """Runs the load and the faults, and judges the result."""

    def __init__(
        self, running: fleet.Fleet, deployment: Deployment, seed: int
    ) -> None:
        self.endings: list[caller.Ending] = []
        self._fleet = running
        self._deployment = deployment
        self._random = random.Random(seed)
        self._gone: set[str] = set()
        self._events: list[str] = []

    async def run(self) -> None:
        """Send the load and cause the faults."""
        limits = httpx.Limits(max_connections=400)
        async with httpx.AsyncClient(limits=limits) as http:
            sender = caller.Caller(http, self._choose_node, self._random)
            with anyio.move_on_after(DURATION_S + END_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._cause_faults)
                    await self._send_all(sender, tasks)

    def report(self) -> list[str]:
        """Return the table and what was broken."""
        lines = [
            f"{'class':<12}{'sent':>6}{'completed':>11}{'not run':>9}"
            f"{'failed':>8}{'unknown':>9}{'runs':>7}{'dupl.':>7}"
            f"{'p50 ms':>9}{'p99 ms':>9}"
        ]
        for kind in self._deployment.kinds:
            endings = [
                ending
                for ending in self.endings
                if ending.request.kind == kind.name
            ]
            lines.append(self._line(kind, endings))
        reasons = collections.Counter(
            f"{ending.outcome}/{ending.reason}"
            for ending in self.endings
            if ending.outcome != "completed"
        )
        lines.append(f"not completed: {dict(reasons)}")
        return lines

    def broken(self) -> list[str]:
        """Return which promises were broken, and by which request."""
        faults = list(self._events)
        for ending in self.endings:
            faults += self._faults_of(ending)
        expected = int(RATE_PER_S * DURATION_S)
        if len(self.endings) != expected:
            faults.append(
                f"{expected - len(self.endings)} requests have no ending"
            )
        return faults

    def _faults_of(self, ending: caller.Ending) -> list[str]:
        request = ending.request
        runs = self._fleet.started[request.run]
        faults = []
        if not request.idempotent and runs > 1:
            faults.append(f"{request.run} ran {runs} times")
        if not request.idempotent and ending.outcome == "refused" and runs:
            faults.append(f"{request.run} was refused as not run, and ran")
        if ending.outcome == "completed":
            if not ending.is_own:
                faults.append(f"{request.run} got an answer not its own")
            if runs == 0:
                faults.append(f"{request.run} completed and never ran")
        if request.idempotent and runs > 3 * ending.attempts:
            faults.append(f"{request.run} was attempted {runs} times")
        return faults

    def _line(self, kind: Kind, endings: list[caller.Ending]) -> str:
        outcomes = collections.Counter(item.outcome for item in endings)
        runs = [self._fleet.started[item.request.run] for item in endings]
        doubles = sum(number > 1 for number in runs)
        histogram = hdrh.histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        for item in endings:
            if item.outcome == "completed":
                histogram.record_value(int(item.latency_s * 1e6))
        p50 = histogram.get_value_at_percentile(50) / 1000
        p99 = histogram.get_value_at_percentile(99) / 1000
        return (
            f"{kind.name:<12}{len(endings):>6}{outcomes['completed']:>11}"
            f"{outcomes['refused']:>9}{outcomes['failed']:>8}"
            f"{outcomes['unknown']:>9}{sum(runs):>7}{doubles:>7}"
            f"{p50:>9.1f}{p99:>9.1f}"
        )

    def _choose_node(self) -> str:
        names = sorted(set(self._fleet.vms) - self._gone)
        return self._fleet.vms[self._random.choice(names)].callers

    async def _send_all(
        self, sender: caller.Caller, tasks: anyio.abc.TaskGroup
    ) -> None:
        start_s = time.monotonic()
        total = int(RATE_PER_S * DURATION_S)
        for number in range(total):
            intended_s = start_s + number / RATE_PER_S
            await anyio.sleep(max(0.0, intended_s - time.monotonic()))
            request = make_request(self._deployment, number, self._random)
            tasks.start_soon(self._send_one, sender, request, intended_s)
            if number % (RATE_PER_S * 5) == 0:
                print(f"{number}/{total} sent", flush=True)

    async def _send_one(
        self, sender: caller.Caller, request: caller.Request, intended_s: float
    ) -> None:
        self.endings.append(await sender.run(request, intended_s))

    async def _cause_faults(self) -> None:
        await anyio.sleep(DURATION_S * KILL_AT)
        killed = self._fleet.vms[self._deployment.killed]
        print(f"killing the VM of {killed.spec.name}", flush=True)
        killed.send_signal(signal.SIGKILL)
        self._gone.add(killed.spec.name)
        await anyio.sleep(DURATION_S * (STOP_AT - KILL_AT))
        await self._stop_as_planned()

    async def _stop_as_planned(self) -> None:
        stopped = self._fleet.vms[self._deployment.stopped]
        print(f"stopping the VM of {stopped.spec.name}", flush=True)
        stopped.node.send_signal(signal.SIGTERM)
        self._gone.add(stopped.spec.name)
        with anyio.move_on_after(20):
            code = await stopped.node.wait()
            if code != 0:
                self._events.append(f"the planned stop ended with {code}")
            stopped.backend.send_signal(signal.SIGTERM)
            return
        self._events.append("the planned stop did not end in 20 s")


async def run(name: str, seed: int) -> int:
    """Run the demonstration; return the exit code."""
    options = fleet.Options(
        FOLDER / name / "inventory.ini", FOLDER / name / "rules.ini"
    )
    started_s = time.monotonic()
    async with fleet.run(options) as running:
        print(f"{len(running.vms)} nodes ready", flush=True)
        demo = Demo(running, DEPLOYMENTS[name], seed)
        await demo.run()
        # The last lines of the backend servers are still in the pipes.
        await anyio.sleep(0.5)
    for line in demo.report():
        print(line)
    faults = demo.broken()
    for fault in faults:
        print(f"BROKEN: {fault}")
    print(f"seed {seed}, {time.monotonic() - started_s:.0f} s")
    return 1 if faults else 0


def main() -> None:
    """Run the demonstration from the command line."""
    parser = argparse.ArgumentParser(prog="examples.demo")
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="office"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(anyio.run(run, options.deployment, options.seed))


if __name__ == "__main__":
    main()
