"""Runs one seed: a fleet, its clients, an operator and injected faults."""

import asyncio
import collections
from collections.abc import Sequence
import functools
import os
import pathlib
import random
import shutil
import tempfile
from typing import NamedTuple

from soak import checker as checker_module
from soak import clients as clients_module
from soak import faults as faults_module
from soak import fleet as fleet_module
from soak import operator as operator_module
from soak import profiles

READY_TIMEOUT_S = 20.0
MEAN_FAULT_INTERVAL_S = 1.2
"""Mean time between the starts of two faults; most faults last longer, so they
overlap."""
RECOVERY_S = 15.0
"""Time after the last fault within which the fleet has to recover."""
RECOVERED_SHARE = 0.9
"""Least share of the requests that succeed after the recovery time. The rules
require a quarter; without any fault nearly all succeed."""
RECOVERY_WINDOW_S = 3.0
"""Requests are still sent for this long after the recovery time; those of the
last second are not counted."""

PAUSE_CHECK_S = 0.25
MIN_PAUSE_S = 0.25
"""A pause longer than this means that the machine was short of cores, so that
delays at that time are not faults of the product. For a node, half of it
suffices."""

ZONES = (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))


class RunResult(NamedTuple):
    """Result of a run; its fields are the keys of the JSON output.

    Attributes
    ----------
    broken : list of Violation
        Violations of guarantees.
    faults : list of str
        Names of the injected faults, in the order of their starts.
    served : float
        Share of the requests that succeeded while faults were injected.
    recovered : float
        Share of the requests that succeeded after the recovery time.
    logs : str
        Folder of the nodes' logs if they were kept, else empty.
    """

    seed: int
    broken: list[checker_module.Violation]
    counts: dict[str, int]
    faults: list[str]
    served: float
    recovered: float
    logs: str


def node_specs(
    count: int, services: Sequence[fleet_module.Service]
) -> list[fleet_module.NodeSpec]:
    """Return the nodes to run; services and zones are assigned in turn."""
    return [
        fleet_module.NodeSpec(
            f"node-{number}",
            number,
            *ZONES[number // len(services) % len(ZONES)],
            services[number % len(services)],
        )
        for number in range(count)
    ]


async def run_seed(
    seed: int,
    seconds: float,
    nodes: int,
    log_folder: str,
    sabotage: str,
    profile: profiles.Profile,
) -> RunResult:
    """Run one seed.

    Parameters
    ----------
    seconds : float
        How long new faults are started; recovery comes after.
    nodes : int
        Number of node processes.
    log_folder : str
        Folder for the logs of a run that violated a guarantee; empty to
        discard them.
    sabotage : str
        Sabotage of the nodes, see ``soak.sabotage``; empty for none.
    profile : Profile
        Services, load and faults.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    random_source = random.Random(seed)
    checker = checker_module.Checker()
    fleet = fleet_module.Fleet(
        node_specs(nodes, profile.services),
        fleet_module.LoopbackAddresses(os.getpid()),
        folder,
        checker,
        random_source,
        {s.name: f"/to-{s.name}/" for s in profile.services},
        fleet_module.node_command(sabotage),
    )
    try:
        result = await _run_fleet(
            seed, seconds, profile, fleet, checker, random_source
        )
    finally:
        fleet.kill_all()
    if result.broken and log_folder:
        target = pathlib.Path(log_folder) / f"seed-{seed}"
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(folder, target)
        result = result._replace(logs=str(target))
    shutil.rmtree(folder)
    return result


async def _run_fleet(
    seed: int,
    seconds: float,
    profile: profiles.Profile,
    fleet: fleet_module.Fleet,
    checker: checker_module.Checker,
    random_source: random.Random,
) -> RunResult:
    loop = asyncio.get_running_loop()
    clients = clients_module.Clients(
        {n.name: n.outbound for n in fleet.nodes.values()},
        checker,
        random_source,
        lambda name: fleet.nodes[name].is_stopping,
        lambda name: fleet.nodes[name].is_in_rotation,
    )
    operator = operator_module.Operator(
        fleet.store,
        profile.request_types,
        [s.name for s in profile.services],
        profile.probed_service,
        checker,
        random_source,
    )
    await operator.write_configuration()
    await fleet.start()
    background = [
        asyncio.ensure_future(node.poll_readiness())
        for node in fleet.nodes.values()
    ]
    background.append(asyncio.ensure_future(_expire_leases(fleet)))
    background.append(asyncio.ensure_future(_record_pauses(fleet)))
    await _wait_until_ready(fleet)
    for node in fleet.nodes.values():
        checker.disruptions.add(node.name, loop.time(), loop.time())
        background.append(asyncio.ensure_future(node.supervise(checker)))
        background.append(
            asyncio.ensure_future(
                operator.probe(
                    node.name,
                    node.outbound,
                    functools.partial(getattr, node, "incarnation"),
                )
            )
        )
    background += [
        asyncio.ensure_future(clients.run(request_type))
        for request_type in profile.request_types
    ]
    started_at = loop.time()
    testbed = faults_module.Testbed(
        fleet, clients, operator, profile.request_types
    )
    # Faults have a random generator of their own, because the number of
    # other draws depends on the timing.
    fault_names = await _inject_faults(
        testbed, profile, random.Random(seed), seconds
    )
    stopped_at = loop.time()
    await asyncio.sleep(RECOVERY_S + RECOVERY_WINDOW_S)
    for task in background:
        task.cancel()
    await clients.wait_for_requests()
    recovered = checker.served_share(
        stopped_at + RECOVERY_S,
        stopped_at + RECOVERY_S + RECOVERY_WINDOW_S - 1,
    )
    broken = checker.violations() + _fleet_violations(fleet, recovered)
    return RunResult(
        seed,
        broken,
        dict(collections.Counter(checker.counts)),
        fault_names,
        round(checker.served_share(started_at, stopped_at), 3),
        round(recovered, 3),
        "",
    )


async def _inject_faults(
    testbed: faults_module.Testbed,
    profile: profiles.Profile,
    random_source: random.Random,
    seconds: float,
) -> list[str]:
    drawn_names = profile.fault_names or profile.faults.names
    fault_names: list[str] = []
    tasks: list[asyncio.Future[None]] = []
    end = testbed.loop.time() + seconds
    while testbed.loop.time() < end:
        await asyncio.sleep(
            random_source.expovariate(1 / MEAN_FAULT_INTERVAL_S)
        )
        name = random_source.choice(drawn_names)
        fault_names.append(name)
        fault = profile.faults.get(name)
        # Each fault has its own generator, so that a seed gives the same
        # faults in whatever order concurrent faults draw.
        fault_random = random.Random(random_source.getrandbits(32))
        tasks.append(asyncio.ensure_future(fault(testbed, fault_random)))
    await asyncio.gather(*tasks)
    return fault_names


def _fleet_violations(
    fleet: fleet_module.Fleet, recovered: float
) -> list[checker_module.Violation]:
    violations = [
        checker_module.Violation(
            checker_module.Guarantee.NO_UNEXPECTED_EXIT,
            0.0,
            detail,
        )
        for n in fleet.nodes.values()
        for detail in n.unexpected_exits
    ]
    violations += [
        checker_module.Violation(
            checker_module.Guarantee.NO_INTERNAL_ERROR, 0.0, line
        )
        for n in fleet.nodes.values()
        for line in n.internal_errors()
    ]
    if recovered < RECOVERED_SHARE:
        violations.append(
            checker_module.Violation(
                checker_module.Guarantee.RECOVERY, 0.0, f"{recovered:.3f}"
            )
        )
    return violations


async def _expire_leases(fleet: fleet_module.Fleet) -> None:
    while True:
        await asyncio.sleep(0.2)
        if not fleet.store.faults.outage:
            fleet.store.expire_leases()
            fleet.store.keep_copy()


async def _record_pauses(fleet: fleet_module.Fleet) -> None:
    """Record pauses for lack of a core as disruptions.

    Pauses of the soak itself show as late wake-ups; the kernel reports how
    long each node waited for a core.
    """
    loop = asyncio.get_running_loop()
    cpu_waits_s = {node.name: 0.0 for node in fleet.nodes.values()}
    while True:
        slept_from = loop.time()
        await asyncio.sleep(PAUSE_CHECK_S)
        now = loop.time()
        is_own_pause = now - slept_from > PAUSE_CHECK_S + MIN_PAUSE_S
        fleet.checker.counts["own pauses"] += is_own_pause
        for node in fleet.nodes.values():
            total_s = node.cpu_wait_s()
            is_node_pause = total_s - cpu_waits_s[node.name] > MIN_PAUSE_S / 2
            cpu_waits_s[node.name] = total_s
            if is_own_pause or is_node_pause:
                fleet.checker.counts["node pauses"] += is_node_pause
                fleet.checker.disruptions.add(
                    node.name, slept_from - PAUSE_CHECK_S, now
                )


async def _wait_until_ready(fleet: fleet_module.Fleet) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(n.is_in_rotation for n in fleet.nodes.values()):
            await asyncio.sleep(0.1)
    # All nodes know the backend servers after one heartbeat.
    await asyncio.sleep(2)
