"""Overload on the real path: three services deep, callers that retry hard.

The product's policies and the baseline's run in turn, each repetition with
new processes. Run with ``python -m bench.overload``.
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

# 25 requests a second: at 50 and four attempts each, no process may be the
# limit. At 100 the first backend server's stand-in was busy all the time.
CHAIN = _chain.Chain(("front", "middle", "deep"), 4, 160.0)
FAILING_CHAIN = _chain.Chain(("front", "middle", "inner", "deep"), 20, 5.0)
# Bookings alone offer the same rate as in the surge: 0.4 of capacity.
MIX = ("booking", "lookup", "lookup", "lookup", "lookup")
NORMAL_LOAD = 0.6
BOOKING_LOAD = 0.4
SURGE_LOAD = 2.0
# The backend server's limit ramps up over its first 10 s.
WARM_S = 11.0
ALONE_S = 10.0
NORMAL_S = 5.0
SURGE_S = 20.0
TAIL_S = 10.0
FAIL_S = 20.0
FAIL_RATE_PER_S = 20.0
RECOVERED_SHARE = 0.95
RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.1

Figures = dict[str, float]


async def measure_surge(policies: str, slowness: float) -> Figures:
    """Run one surge and return its figures."""
    capacity = CHAIN.capacity_per_s
    async with _chain.run(CHAIN, policies) as running_fleet:
        warm = _chain.Callers(CHAIN, running_fleet, 0)
        await warm.send(MIX, BOOKING_LOAD * capacity, WARM_S)
        await warm.close()
        alone = _chain.Callers(CHAIN, running_fleet, _chain.CALLER_RETRIES)
        await alone.send(("booking",), BOOKING_LOAD * capacity, ALONE_S)
        await alone.close()
        before = await ledgers(running_fleet, CHAIN)
        callers = _chain.Callers(CHAIN, running_fleet, _chain.CALLER_RETRIES)
        await callers.send(MIX, NORMAL_LOAD * capacity, NORMAL_S)
        start_s = callers.now_s()
        cpu_before = _chain.cpu_s(running_fleet)
        await set_faults(running_fleet, {"slow_factor": slowness})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.send, MIX, SURGE_LOAD * capacity, SURGE_S)
            await anyio.sleep(SURGE_S)
            cpu = _chain.cpu_s(running_fleet)
            await callers.send(MIX, NORMAL_LOAD * capacity, TAIL_S)
        after = await ledgers(running_fleet, CHAIN)
        await callers.close()
    surge = [
        result
        for result in callers.results
        if start_s <= result.sent_s < start_s + SURGE_S
    ]
    busy = {name: cpu[name] - cpu_before[name] for name in cpu}
    possible = capacity * SURGE_S / slowness
    figures = goodput(surge, possible)
    figures |= work(callers.results, surge, before, after)
    figures["booking p99 alone ms"] = p99(alone.results, "booking")
    figures["booking p99 surge ms"] = p99(surge, "booking")
    figures["lookup p99 surge ms"] = p99(surge, "lookup")
    figures["recovery s"] = recovery_s(
        callers.results, start_s, min(NORMAL_LOAD, 1 / slowness) * capacity
    )
    for name, used_s in sorted(busy.items()):
        figures[f"{name} cpu %"] = 100 * used_s / SURGE_S
    return figures


async def measure_failing(policies: str) -> Figures:
    """Count attempts at the last of four services, which always fails."""
    async with _chain.run(FAILING_CHAIN, policies) as running_fleet:
        callers = _chain.Callers(FAILING_CHAIN, running_fleet, 0)
        await callers.send(("lookup",), FAIL_RATE_PER_S, WARM_S)
        await callers.close()
        await set_faults(running_fleet, {"fail": True})
        callers = _chain.Callers(FAILING_CHAIN, running_fleet, 0)
        before = await ledgers(running_fleet, FAILING_CHAIN)
        await callers.send(("lookup",), FAIL_RATE_PER_S, FAIL_S)
        after = await ledgers(running_fleet, FAILING_CHAIN)
        await callers.close()
    started = started_since(before[-1], after[-1])
    depth = len(FAILING_CHAIN.services) - 1
    attempts = [
        started[FAILING_CHAIN.run_at(depth, result.run)]
        for result in callers.results
    ]
    return {
        "attempts mean": statistics.mean(attempts),
        "attempts median": statistics.median(attempts),
        "attempts highest": max(attempts),
    }


async def ledgers(
    running_fleet: fleet.Fleet, chain: _chain.Chain
) -> list[dict[str, Any]]:
    """Return the ledgers of the backend servers, outermost first."""
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
    """Set faults at the last service."""
    deep = running_fleet.vms["deep-1"].backend.addresses["listen"]
    async with httpx.AsyncClient() as http:
        await http.put(f"http://{deep}/standin/faults", json=faults)


def started_since(
    before: dict[str, Any], after: dict[str, Any]
) -> collections.Counter[str]:
    """Return how often each run was started between two ledgers."""
    return collections.Counter(after["started"]) - collections.Counter(
        before["started"]
    )


def goodput(surge: list[_chain.RequestResult], possible: float) -> Figures:
    """Return whole requests in time, as a share of capacity."""
    figures = {}
    good = [result for result in surge if result.is_good]
    figures["goodput %"] = 100 * len(good) / possible
    for kind in _chain.METHODS:
        sent = sum(result.kind == kind for result in surge)
        done = sum(result.kind == kind for result in good)
        figures[f"{kind} goodput %"] = 100 * done / possible
        figures[f"{kind} success %"] = 100 * done / max(1, sent)
    tries = sum(result.attempts for result in surge)
    figures["caller attempts"] = tries / max(1, len(surge))
    return figures


def work(
    results: list[_chain.RequestResult],
    surge: list[_chain.RequestResult],
    before: list[dict[str, Any]],
    after: list[dict[str, Any]],
) -> Figures:
    """Return runs at the last service and work that served nobody."""
    spent = [
        late["work_ms"] - early["work_ms"]
        for early, late in zip(before, after, strict=True)
    ]
    failed = {result.run for result in results if not result.is_good}
    wasted = 0.0
    for depth, (early, late) in enumerate(zip(before, after, strict=True)):
        started = started_since(early, late)
        runs = {CHAIN.run_at(depth, run) for run in failed}
        count = sum(started[run] for run in runs)
        wasted += spent[depth] * count / max(1, started.total())
    deep = started_since(before[-1], after[-1])
    depth = len(CHAIN.services) - 1
    runs = [deep[CHAIN.run_at(depth, result.run)] for result in surge]
    return {
        "deep runs/request": statistics.mean(runs),
        "deep runs highest": max(runs),
        "work of failed %": 100 * wasted / sum(spent),
    }


def p99(results: Iterable[_chain.RequestResult], kind: str) -> float:
    """Return the 99th percentile of completed requests, in ms."""
    values = sorted(
        (result.ended_s - result.sent_s) * 1000
        for result in results
        if result.kind == kind and result.is_good
    )
    return values[int(0.99 * (len(values) - 1))] if values else 0.0


def recovery_s(
    results: list[_chain.RequestResult], start_s: float, normal_per_s: float
) -> float:
    """Return the time from the surge's end to normal goodput.

    It is the first window of 1 s, counted by its start.
    """
    end_s = start_s + SURGE_S
    done = [result.ended_s for result in results if result.is_good]
    steps = int((TAIL_S - RECOVERY_WINDOW_S) / RECOVERY_STEP_S)
    for step in range(steps):
        first_s = end_s + step * RECOVERY_STEP_S
        last_s = first_s + RECOVERY_WINDOW_S
        count = sum(first_s <= moment < last_s for moment in done)
        if count >= RECOVERED_SHARE * normal_per_s * RECOVERY_WINDOW_S:
            return first_s - end_s
    return TAIL_S


def print_table(title: str, found: dict[str, list[Figures]]) -> None:
    """Print median, lowest and highest of each figure."""
    print(f"{title} ({time.strftime('%H:%M:%S')})")
    print(f"{'':<28}" + "".join(f"{name:>26}" for name in found))
    for figure in next(iter(found.values()))[0]:
        cells = ""
        for runs in found.values():
            values = [run[figure] for run in runs]
            middle = statistics.median(values)
            cell = f"{middle:.2f} ({min(values):.2f}-{max(values):.2f})"
            cells += f"{cell:>26}"
        print(f"{figure:<28}{cells}", flush=True)


async def measure(repetitions: int, slowness: float) -> None:
    """Measure both sets of policies in turn."""
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
