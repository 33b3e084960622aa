"""Attempts at the last of four services when it fails every call.

Each service has several endpoints, so that a retry can use another endpoint.
The default policies ("product") and the baseline are measured one after the
other.
"""

import argparse
import pathlib
import random
import statistics
import tempfile

import anyio
import httpx

from bench import _chain
from standins import caller
from standins import fleet
from standins import load

SERVICES = ("first", "second", "third", "last")
ENDPOINTS = 4
RATE_PER_S = 5.0
DURATION_S = 30.0
END_TIMEOUT_S = 30.0
TIMEOUT_MS = 10_000
LAST_SERVICE_SUFFIX = ".0" * (len(SERVICES) - 1)
"""Suffix of a request's run ID at the last service."""


def write_configuration(folder: str) -> tuple[pathlib.Path, pathlib.Path]:
    """Write the inventory and the rules."""
    inventory = [_chain.ZONE_SECTION]
    rules = [_chain.RULES_SECTIONS.format(deadline=TIMEOUT_MS)]
    for name in SERVICES:
        inventory.append(f"[service {name}]\n")
        for number in range(1, ENDPOINTS + 1):
            inventory.append(
                f"[endpoint {name}-{number}]\nservice = {name}\n"
                "zone = here\nslots = 50\nconnections = 300\n"
            )
        rules.append(
            _chain.OPERATION_SECTIONS.format(name=name, deadline=TIMEOUT_MS)
        )
    paths = pathlib.Path(folder) / "fleet.ini", pathlib.Path(folder) / "r.ini"
    for path, lines in zip(paths, (inventory, rules), strict=True):
        path.write_text("".join(lines))
    return paths


def make_request(number: int) -> caller.Request:
    """Return a lookup that calls all services."""
    chain = _chain.Chain(SERVICES, 1, 1.0)
    return caller.Request(
        run_id=f"lookup-{number}",
        kind="lookup",
        service=SERVICES[0],
        method="GET",
        path="/items/1",
        idempotent=True,
        plan=chain.make_plan("GET"),
        body_bytes=0,
        timeout_ms=TIMEOUT_MS,
    )


async def measure(policies: str) -> list[int]:
    """Return the number of attempts at the last service for each request."""
    with tempfile.TemporaryDirectory() as folder:
        paths = write_configuration(folder)
        options = fleet.Options(*paths, policies=_chain.POLICIES[policies])
        async with fleet.run(options) as running_fleet:
            await make_last_service_fail(running_fleet)
            sender = load.Load(running_fleet, make_request, random.Random(1))
            await sender.run(RATE_PER_S, DURATION_S, END_TIMEOUT_S)
            await running_fleet.wait_for_traces()
            return [
                running_fleet.runs_started[
                    result.request.run_id + LAST_SERVICE_SUFFIX
                ]
                for result in sender.results
            ]


async def make_last_service_fail(running_fleet: fleet.Fleet) -> None:
    """Make every backend server of the last service fail."""
    async with httpx.AsyncClient() as http:
        for name, vm in running_fleet.vms.items():
            if name.startswith(SERVICES[-1]):
                address = vm.backend.addresses["listen"]
                await http.put(
                    f"http://{address}/standin/faults", json={"fail": True}
                )


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(prog="bench.failing_chain")
    parser.parse_args()
    attempts_by_policies = {
        name: anyio.run(measure, name) for name in _chain.POLICIES
    }
    print("policies  requests  attempts mean  median  highest")
    for name, attempts in attempts_by_policies.items():
        print(
            f"{name:<10}{len(attempts):>8}{statistics.mean(attempts):>15.2f}"
            f"{statistics.median(attempts):>8.0f}{max(attempts):>9}"
        )


if __name__ == "__main__":
    main()
