"""Overload of three services in a chain, with callers that retry at once.

The default policies ("product") and the baseline are measured in turn, each
repetition with new processes. Run with ``python -m bench.overload``.
"""

import argparse
import collections
from collections.abc import Iterable
import statistics
import time
from typing import Any

import anyio
import httpx
import uvloop

from bench import _chain
from standins import fleet

# The capacity is 25 requests per second, so that the CPU of no process limits
# the surge of 50 with up to four attempts each. At 100, the stand-in of the
# first backend server was busy all the time.
CHAIN = _chain.Chain(("front", "middle", "deep"), 4, 160.0)
FAILING_CHAIN = _chain.Chain(("front", "middle", "inner", "deep"), 20, 5.0)
# Kinds in turn. Bookings are a fifth, 0.4 of capacity in the surge, and are
# also sent alone at this rate.
KINDS = ("booking", "lookup", "lookup", "lookup", "lookup")
NORMAL_LOAD = 0.6
BOOKING_LOAD = 0.4
SURGE_LOAD = 2.0
# The concurrency limit of a backend server ramps up over its first 10 s.
WARMUP_S = 11.0
BOOKINGS_ALONE_S = 10.0
NORMAL_S = 5.0
SURGE_S = 20.0
AFTER_SURGE_S = 10.0
FAILING_S = 20.0
FAILING_RATE_PER_S = 20.0
RECOVERED_SHARE = 0.95
RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.1

Figures = dict[str, float]


async def measure_surge(policies: str, slowness: float) -> Figures:
    """Return the figures of one surge."""
    capacity = CHAIN.capacity_per_s
    async with _chain.run(CHAIN, policies) as running_fleet:
        warmup = _chain.Callers(CHAIN, running_fleet, 0)
        await warmup.send(KINDS, BOOKING_LOAD * capacity, WARMUP_S)
        await warmup.close()
        alone = _chain.Callers(CHAIN, running_fleet, _chain.MAX_CALLER_RETRIES)
        await alone.send(
            ("booking",), BOOKING_LOAD * capacity, BOOKINGS_ALONE_S
        )
        await alone.close()
        before = await fetch_ledgers(running_fleet, CHAIN)
        callers = _chain.Callers(
            CHAIN, running_fleet, _chain.MAX_CALLER_RETRIES
        )
        await callers.send(KINDS, NORMAL_LOAD * capacity, NORMAL_S)
        start_s = callers.now_s()
        cpu_before = _chain.cpu_s(running_fleet)
        await set_faults(running_fleet, {"slow_factor": slowness})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                callers.send, KINDS, SURGE_LOAD * capacity, SURGE_S
            )
            await anyio.sleep(SURGE_S)
            cpu = _chain.cpu_s(running_fleet)
            await callers.send(KINDS, NORMAL_LOAD * capacity, AFTER_SURGE_S)
        after = await fetch_ledgers(running_fleet, CHAIN)
        await callers.close()
    surge = [
        result
        for result in callers.results
        if start_s <= result.sent_s < start_s + SURGE_S
    ]
    cpu_used_s = {name: cpu[name] - cpu_before[name] for name in cpu}
    possible_requests = capacity * SURGE_S / slowness
    figures = goodput_figures(surge, possible_requests)
    figures |= work_figures(callers.results, surge, before, after)
    figures["booking p99 alone ms"] = p99(alone.results, "booking")
    figures["booking p99 surge ms"] = p99(surge, "booking")
    figures["lookup p99 surge ms"] = p99(surge, "lookup")
    figures["recovery s"] = recovery_s(
        callers.results, start_s, min(NORMAL_LOAD, 1 / slowness) * capacity
    )
    for name, used_s in sorted(cpu_used_s.items()):
        figures[f"{name} cpu %"] = 100 * used_s / SURGE_S
    return figures


async def measure_failing(policies: str) -> Figures:
    """Count attempts at the last of four services, which always fails."""
    async with _chain.run(FAILING_CHAIN, policies) as running_fleet:
        callers = _chain.Callers(FAILING_CHAIN, running_fleet, 0)
        await callers.send(("lookup",), FAILING_RATE_PER_S, WARMUP_S)
        await callers.close()
        await set_faults(running_fleet, {"fail": True})
        callers = _chain.Callers(FAILING_CHAIN, running_fleet, 0)
        before = await fetch_ledgers(running_fleet, FAILING_CHAIN)
        await callers.send(("lookup",), FAILING_RATE_PER_S, FAILING_S)
        after = await fetch_ledgers(running_fleet, FAILING_CHAIN)
        await callers.close()
    started = count_started(before[-1], after[-1])
    depth = len(FAILING_CHAIN.services) - 1
    attempts = [
        started[FAILING_CHAIN.run_id_at(depth, result.run_id)]
        for result in callers.results
    ]
    return {
        "attempts mean": statistics.mean(attempts),
        "attempts median": statistics.median(attempts),
        "attempts highest": max(attempts),
    }


async def fetch_ledgers(
    running_fleet: fleet.Fleet, chain: _chain.Chain
) -> list[dict[str, Any]]:
    """Return the run counts of the backend servers, outermost first."""
    services = chain.services
    async with httpx.AsyncClient() as http:
        return [
            (
                await http.get(
                    f"http://{vm.backend.addresses['listen']}/standin/ledger"
                )
            ).json()
            for vm in (running_fleet.vms[f"{name}-1"] for name in services)
        ]


async def set_faults(
    running_fleet: fleet.Fleet, faults: dict[str, Any]
) -> None:
    """Set faults at the backend server of the last service."""
    last_address = running_fleet.vms["deep-1"].backend.addresses["listen"]
    async with httpx.AsyncClient() as http:
        await http.put(f"http://{last_address}/standin/faults", json=faults)


def count_started(
    before: dict[str, Any], after: dict[str, Any]
) -> collections.Counter[str]:
    """Return how often each run ID was started between two ledgers."""
    return collections.Counter(after["started"]) - collections.Counter(
        before["started"]
    )


def goodput_figures(
    surge: list[_chain.RequestResult], possible_requests: float
) -> Figures:
    """Return the good requests as a share of capacity and by kind."""
    figures = {}
    good = [result for result in surge if result.is_good]
    figures["goodput %"] = 100 * len(good) / possible_requests
    for kind in _chain.METHODS:
        sent = sum(result.kind == kind for result in surge)
        completed = sum(result.kind == kind for result in good)
        figures[f"{kind} goodput %"] = 100 * completed / possible_requests
        figures[f"{kind} success %"] = 100 * completed / max(1, sent)
    attempts = sum(result.attempts for result in surge)
    figures["caller attempts"] = attempts / max(1, len(surge))
    return figures


def work_figures(
    results: list[_chain.RequestResult],
    surge: list[_chain.RequestResult],
    before: list[dict[str, Any]],
    after: list[dict[str, Any]],
) -> Figures:
    """Return the runs at the last service and the share of wasted work.

    Work is wasted if its request did not complete within its deadline.
    """
    work_ms = [
        ledger_after["work_ms"] - ledger_before["work_ms"]
        for ledger_before, ledger_after in zip(before, after, strict=True)
    ]
    failed = {result.run_id for result in results if not result.is_good}
    wasted = 0.0
    for depth, (ledger_before, ledger_after) in enumerate(
        zip(before, after, strict=True)
    ):
        started = count_started(ledger_before, ledger_after)
        run_ids = {CHAIN.run_id_at(depth, run_id) for run_id in failed}
        count = sum(started[run_id] for run_id in run_ids)
        wasted += work_ms[depth] * count / max(1, started.total())
    last_started = count_started(before[-1], after[-1])
    depth = len(CHAIN.services) - 1
    runs = [
        last_started[CHAIN.run_id_at(depth, result.run_id)] for result in surge
    ]
    return {
        "deep runs/request": statistics.mean(runs),
        "deep runs highest": max(runs),
        "work of failed %": 100 * wasted / sum(work_ms),
    }


def p99(results: Iterable[_chain.RequestResult], kind: str) -> float:
    """Return the 99th percentile latency of good requests, in ms."""
    values = sorted(
        (result.ended_s - result.sent_s) * 1000
        for result in results
        if result.kind == kind and result.is_good
    )
    return values[int(0.99 * (len(values) - 1))] if values else 0.0


def recovery_s(
    results: list[_chain.RequestResult], start_s: float, normal_per_s: float
) -> float:
    """Return the time from the end of the surge to normal goodput.

    Goodput is normal from the start of the first window of 1 s in which it
    reaches ``RECOVERED_SHARE``.
    """
    end_s = start_s + SURGE_S
    completion_times_s = [
        result.ended_s for result in results if result.is_good
    ]
    steps = int((AFTER_SURGE_S - RECOVERY_WINDOW_S) / RECOVERY_STEP_S)
    for step in range(steps):
        first_s = end_s + step * RECOVERY_STEP_S
        last_s = first_s + RECOVERY_WINDOW_S
        count = sum(
            first_s <= ended_s < last_s for ended_s in completion_times_s
        )
        if count >= RECOVERED_SHARE * normal_per_s * RECOVERY_WINDOW_S:
            return first_s - end_s
    return AFTER_SURGE_S


def print_table(
    title: str, figures_by_policies: dict[str, list[Figures]]
) -> None:
    """Print the median, minimum and maximum of each figure."""
    print(f"{title} ({time.strftime('%H:%M:%S')})")
    print(f"{'':<28}" + "".join(f"{name:>26}" for name in figures_by_policies))
    for figure in next(iter(figures_by_policies.values()))[0]:
        cells = ""
        for runs in figures_by_policies.values():
            values = [run[figure] for run in runs]
            median = statistics.median(values)
            cell = f"{median:.2f} ({min(values):.2f}-{max(values):.2f})"
            cells += f"{cell:>26}"
        print(f"{figure:<28}{cells}", flush=True)


async def measure(repetitions: int, slowness: float) -> None:
    """Measure both sets of policies in turn and print the tables."""
    surges: dict[str, list[Figures]] = {name: [] for name in _chain.POLICIES}
    failing: dict[str, list[Figures]] = {name: [] for name in _chain.POLICIES}
    for _ in range(repetitions):
        for name in _chain.POLICIES:
            surges[name].append(await measure_surge(name, slowness))
            failing[name].append(await measure_failing(name))
    print_table(
        f"surge of {SURGE_LOAD} x capacity for {SURGE_S:.0f} s, deep service "
        f"{slowness:g} x as slow, median (range)",
        surges,
    )
    print_table("last of 4 services fails every call", failing)


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(prog="bench.overload")
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--slowness", type=float, default=1.0)
    options = parser.parse_args()
    uvloop.install()
    anyio.run(measure, options.repetitions, options.slowness)


if __name__ == "__main__":
    main()
