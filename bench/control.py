"""Cost of the control plane per node, and time to apply a change everywhere.

Starts nodes without backend servers and without calls, so that they use CPU
and network only for membership, relays and configuration.
"""

import argparse
import pathlib
import statistics
import tempfile
import time
from typing import Any, NamedTuple

import anyio
import httpx

from bench import _process
from standins import fleet

SIZES = (16, 60, 200)
ZONES = (("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "r2"))
ENDPOINTS_PER_SERVICE = 4
STARTS_AT_A_TIME = 8
SAMPLE_INTERVAL_S = 20.0
CHANGES = 5
SETTLE_S = 15.0
POLL_INTERVAL_S = 0.1
CHANGE_TIMEOUT_S = 60.0


class Sample(NamedTuple):
    """Counters of a node at one point in time."""

    at_s: float
    cpu_s: float
    bytes_out: int
    bytes_in: int
    store_calls: int


def write_configuration(folder: str, nodes: int) -> fleet.Options:
    """Write an inventory for a number of nodes, and rules."""
    lines = [f"[zone {zone}]\nregion = {region}" for zone, region in ZONES]
    lines.append("[link r1 r2]\nbits_per_s = 30000000")
    services = nodes // ENDPOINTS_PER_SERVICE
    for service in range(services):
        lines.append(f"[service s{service}]")
        for number, (zone, _) in enumerate(ZONES):
            lines.append(
                f"[endpoint s{service}-{number}]\nservice = s{service}\n"
                f"zone = {zone}\nslots = 50\nconnections = 300"
            )
    inventory = pathlib.Path(folder) / "inventory.ini"
    rules = pathlib.Path(folder) / "rules.ini"
    inventory.write_text("\n".join(lines))
    rules.write_text(
        "[limits]\ndefault_class = lookup\ndefault_deadline_ms = 10000\n"
        "retry_allowance = 2\nretry_budget_share = 0.1\n"
        "objective = goodput\n[class lookup]\nrank = 2\n"
    )
    return fleet.Options(inventory, rules)


async def start(running_fleet: fleet.Fleet) -> float:
    """Start all nodes; return the time that this took, in seconds."""
    started_s = time.monotonic()
    for spec in running_fleet.specs[: fleet.SEED_COUNT]:
        await running_fleet.start_node(spec)
    limiter = anyio.CapacityLimiter(STARTS_AT_A_TIME)

    async def start_one(spec: Any) -> None:
        async with limiter:
            await running_fleet.start_node(spec)

    async with anyio.create_task_group() as tasks:
        for spec in running_fleet.specs[fleet.SEED_COUNT :]:
            tasks.start_soon(start_one, spec)
    return time.monotonic() - started_s


async def fetch_status(
    http: httpx.AsyncClient, vm: fleet.Vm
) -> dict[str, Any]:
    """Return the status of a node."""
    address = vm.node.addresses["operators"]
    answer = await http.get(f"http://{address}/v1/status", timeout=10)
    content: dict[str, Any] = answer.json()
    return content


async def fetch_sample(http: httpx.AsyncClient, vm: fleet.Vm) -> Sample:
    """Read the counters of a node."""
    counters = (await fetch_status(http, vm))["counters"]
    return Sample(
        time.monotonic(),
        _process.cpu_s(vm.node),
        counters["gossip_bytes_out"],
        counters["gossip_bytes_in"],
        counters["store_calls"],
    )


async def measure_change_s(
    http: httpx.AsyncClient, running_fleet: fleet.Fleet
) -> float:
    """Apply a change; return the seconds until all nodes have it in force."""
    started_s = time.monotonic()
    await running_fleet.apply("measurement")
    pending = list(running_fleet.vms.values())
    with anyio.fail_after(CHANGE_TIMEOUT_S):
        while pending:
            outdated = []
            for vm in pending:
                status = await fetch_status(http, vm)
                if status["configuration_version"] < running_fleet.version:
                    outdated.append(vm)
            pending = outdated
            await anyio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s


async def measure(nodes: int) -> None:
    """Print the line for a number of nodes."""
    with tempfile.TemporaryDirectory() as folder:
        options = write_configuration(folder, nodes)
        async with (
            fleet.run(options, with_nodes=False) as running_fleet,
            httpx.AsyncClient() as http,
        ):
            start_s = await start(running_fleet)
            first_change_s = await measure_change_s(http, running_fleet)
            await anyio.sleep(SETTLE_S)
            vms = list(running_fleet.vms.values())
            before = [await fetch_sample(http, vm) for vm in vms]
            await anyio.sleep(SAMPLE_INTERVAL_S)
            after = [await fetch_sample(http, vm) for vm in vms]
            changes = [
                await measure_change_s(http, running_fleet)
                for _ in range(CHANGES)
            ]
            print_line(
                nodes, start_s, first_change_s, before, after, vms, changes
            )


def print_line(
    nodes: int,
    start_s: float,
    first_change_s: float,
    before: list[Sample],
    after: list[Sample],
    vms: list[fleet.Vm],
    changes: list[float],
) -> None:
    """Print the medians and maxima over the nodes."""
    rates = [
        [
            (new - old) / (last.at_s - first.at_s)
            for old, new in zip(first[1:], last[1:], strict=True)
        ]
        for first, last in zip(before, after, strict=True)
    ]
    cpu, out, received, calls = (
        list(values) for values in zip(*rates, strict=True)
    )
    rss = [_process.rss_mib(vm.node) for vm in vms]
    print(
        f"{nodes:>5}{start_s:>8.1f}{first_change_s:>8.1f}"
        f"{statistics.median(cpu) * 100:>9.2f}{max(cpu) * 100:>8.2f}"
        f"{statistics.median(out):>9.0f}{max(out):>8.0f}"
        f"{statistics.median(received):>9.0f}{max(received):>8.0f}"
        f"{sum(calls):>9.1f}"
        f"{statistics.median(rss):>9.1f}{max(rss):>8.1f}"
        f"{statistics.median(changes):>9.2f}{max(changes):>8.2f}",
        flush=True,
    )


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(prog="bench.control")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    options = parser.parse_args()
    print(
        "nodes  start s first s  cpu %    max   B/s out    max   B/s in"
        "    max  store/s  RSS MiB    max  change s   max"
    )
    for nodes in options.sizes:
        anyio.run(measure, nodes)


if __name__ == "__main__":
    main()
