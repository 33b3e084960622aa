"""Latency that the nodes add to a call, and CPU time per call and node.

The same call is sent directly to the backend server and through two nodes,
alternating in one run, at increasing rates.
"""

import argparse
import statistics
import time

import anyio
import uvloop

from bench import _open_loop
from bench import _process
from bench import _two_nodes
from standins import fleet

RATES_PER_S = (125, 250, 500)
REPETITIONS = 5
SECONDS = 6
PLAN = '{"work_ms": 1}'


async def measure(seconds: int, repetitions: int) -> None:
    """Print the table."""
    print(
        "rate/s  path      n      p50 ms  p99 ms  p99.9   max     "
        "entry us  owner us"
    )
    async with _two_nodes.run() as running_fleet:
        front, echo = running_fleet.vms["front-1"], running_fleet.vms["echo-1"]
        headers = (("standin-plan", PLAN), ("standin-run", "bench"))
        senders = {
            "direct": _open_loop.HttpSender(
                echo.backend.addresses["listen"], "GET", "/items/1", headers
            ),
            "nodes": _open_loop.HttpSender(
                front.callers_address, "GET", "/services/echo/items/1", headers
            ),
        }
        await _open_loop.run(senders["nodes"].send, 100, 200)
        for rate in RATES_PER_S:
            await measure_rate(
                rate, senders, (front.node, echo.node), seconds, repetitions
            )
        print(
            f"RSS: entry node {_process.rss_mib(front.node):.1f} MiB, "
            f"owner node {_process.rss_mib(echo.node):.1f} MiB"
        )


async def measure_rate(
    rate: int,
    senders: dict[str, _open_loop.HttpSender],
    nodes: tuple[fleet.Process, fleet.Process],
    seconds: int,
    repetitions: int,
) -> None:
    """Measure both paths at one rate, alternating."""
    summaries_by_path: dict[str, list[_open_loop.Summary]] = {
        "direct": [],
        "nodes": [],
    }
    cpu_us: list[list[float]] = []
    for _ in range(repetitions):
        for path, sender in senders.items():
            before = [_process.cpu_s(node) for node in nodes]
            summary = await _open_loop.run(sender.send, rate, rate * seconds)
            summaries_by_path[path].append(summary)
            if path == "nodes":
                cpu_us.append(
                    [
                        (_process.cpu_s(node) - start) * 1e6 / summary.count
                        for node, start in zip(nodes, before, strict=True)
                    ]
                )
    print_rate(rate, summaries_by_path, cpu_us)


def print_rate(
    rate: int,
    summaries_by_path: dict[str, list[_open_loop.Summary]],
    cpu_us: list[list[float]],
) -> None:
    """Print the medians of both paths and the difference of their p99."""
    p99 = {}
    for path, summaries in summaries_by_path.items():
        medians = [
            statistics.median(values)
            for values in zip(*summaries, strict=True)
        ]
        p99[path] = [item.p99 for item in summaries]
        cpu = ""
        if path == "nodes":
            entry, owner = (
                statistics.median(values)
                for values in zip(*cpu_us, strict=True)
            )
            cpu = f"{entry:>9.0f}{owner:>10.0f}"
        print(
            f"{rate:<8}{path:<9}{medians[0]:>6.0f}{medians[2]:>9.2f}"
            f"{medians[3]:>8.2f}{medians[4]:>8.2f}{medians[5]:>8.2f}{cpu}"
        )
    added_ms = [
        through_nodes_ms - direct_ms
        for direct_ms, through_nodes_ms in zip(
            p99["direct"], p99["nodes"], strict=True
        )
    ]
    print(
        f"{rate:<8}added p99: median {statistics.median(added_ms):.2f} ms, "
        f"range {min(added_ms):.2f} to {max(added_ms):.2f} "
        f"({time.strftime('%H:%M:%S')})",
        flush=True,
    )


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(prog="bench.added_latency")
    parser.add_argument("--seconds", type=int, default=SECONDS)
    parser.add_argument("--repetitions", type=int, default=REPETITIONS)
    options = parser.parse_args()
    uvloop.install()
    anyio.run(measure, options.seconds, options.repetitions)


if __name__ == "__main__":
    main()
