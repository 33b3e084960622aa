"""One run: a fleet, clients, an operator, and the faults of one seed."""

import asyncio
import collections
import functools
import os
import pathlib
import random
import shutil
import tempfile
from typing import NamedTuple

from soak import clients as clients_module
from soak import faults as faults_module
from soak import fleet as fleet_module
from soak import judge as judge_module
from soak import operator as operator_module

READY_TIMEOUT_S = 20.0
MEAN_GAP_S = 1.2
"""Time between the starts of two faults; most last longer, so they overlap."""
RECOVERY_S = 15.0
RECOVERED_SHARE = 0.9
"""Share of the requests that is served after the recovery time. The rules ask
for a quarter; without any fault nearly all are."""
RECOVERY_LOOK_S = 3.0

LOOK_S = 0.25
PAUSE_S = 0.25
"""A pause by so much means that the machine was short of cores: what the soak
or a node did late then was not late for a reason of its own."""

LOOKUP = fleet_module.Service("lookups", "ledger", 0.03, 12)
BOOKING = fleet_module.Service("bookings", "", 0.05, 10)
LEDGER = fleet_module.Service("ledger", "", 0.02, 12)
SERVICES = (LOOKUP, BOOKING, LEDGER)
KINDS = [
    clients_module.Kind("look", "GET", "/look/", "lookups", True, 2.0, 25, 0),
    clients_module.Kind(
        "book", "POST", "/book/", "bookings", False, 2.0, 15, 300
    ),
    clients_module.Kind(
        "upload", "POST", "/upload/", "bookings", False, 2.0, 3, 150_000
    ),
]
ZONES = (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))


class Outcome(NamedTuple):
    """What a run showed."""

    seed: int
    broken: list[judge_module.Broken]
    counts: dict[str, int]
    faults: list[str]
    served: float
    recovered: float
    logs: str


def places(count: int) -> list[fleet_module.Place]:
    """Return where nodes run; services and zones go round."""
    return [
        fleet_module.Place(
            f"node-{number}",
            number,
            *ZONES[number // len(SERVICES) % len(ZONES)],
            SERVICES[number % len(SERVICES)],
        )
        for number in range(count)
    ]


async def play(
    seed: int, seconds: float, nodes: int, kept: str, sabotage: str
) -> Outcome:
    """Play one seed.

    Parameters
    ----------
    seconds : float
        How long faults begin; recovery comes after.
    nodes : int
        Number of node processes.
    kept : str
        Folder for the logs of a run that broke a promise; empty for none.
    sabotage : str
        Promise that the nodes break on purpose; empty for none.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    draw = random.Random(seed)
    judge = judge_module.Judge()
    fleet = fleet_module.Fleet(
        places(nodes),
        fleet_module.Network(os.getpid()),
        folder,
        judge,
        draw,
        {s.name: f"/to-{s.name}/" for s in SERVICES},
        fleet_module.program(sabotage),
    )
    try:
        outcome = await _play(seed, seconds, fleet, judge, draw)
    finally:
        fleet.end()
    if outcome.broken and kept:
        target = pathlib.Path(kept) / f"seed-{seed}"
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(folder, target)
        outcome = outcome._replace(logs=str(target))
    shutil.rmtree(folder)
    return outcome


async def _play(
    seed: int,
    seconds: float,
    fleet: fleet_module.Fleet,
    judge: judge_module.Judge,
    draw: random.Random,
) -> Outcome:
    loop = asyncio.get_running_loop()
    clients = clients_module.Clients(
        {n.name: n.outbound for n in fleet.nodes.values()},
        judge,
        draw,
        lambda name: fleet.nodes[name].is_stopping,
        lambda name: fleet.nodes[name].is_entry,
    )
    operator = operator_module.Operator(
        fleet.store,
        KINDS,
        [s.name for s in SERVICES],
        LEDGER.name,
        judge,
        draw,
    )
    await operator.change()
    await fleet.start()
    background = [
        asyncio.ensure_future(node.question()) for node in fleet.nodes.values()
    ]
    background.append(asyncio.ensure_future(_expire_leases(fleet)))
    background.append(asyncio.ensure_future(_note_pauses(fleet)))
    await _until_ready(fleet)
    for node in fleet.nodes.values():
        judge.disruptions.add(node.name, loop.time(), loop.time())
        background.append(asyncio.ensure_future(node.keep(judge)))
        background.append(
            asyncio.ensure_future(
                operator.probe(
                    node.name,
                    node.outbound,
                    functools.partial(getattr, node, "incarnation"),
                )
            )
        )
    background += [asyncio.ensure_future(clients.run(k)) for k in KINDS]
    began = loop.time()
    world = faults_module.World(fleet, clients, operator)
    # A generator of its own: what else is drawn depends on the timing.
    played = await _inject(world, random.Random(seed), seconds)
    ended = loop.time()
    await asyncio.sleep(RECOVERY_S + RECOVERY_LOOK_S)
    recovered = judge.served_share(
        ended + RECOVERY_S, ended + RECOVERY_S + RECOVERY_LOOK_S - 1
    )
    for task in background:
        task.cancel()
    await clients.settle()
    broken = judge.verdict() + _own_faults(fleet, recovered)
    return Outcome(
        seed,
        broken,
        dict(collections.Counter(judge.counts)),
        played,
        round(judge.served_share(began, ended), 3),
        round(recovered, 3),
        "",
    )


async def _inject(
    world: faults_module.World, draw: random.Random, seconds: float
) -> list[str]:
    played: list[str] = []
    tasks: list[asyncio.Future[None]] = []
    end = world.loop.time() + seconds
    names = sorted(faults_module.FAULTS.names)
    while world.loop.time() < end:
        await asyncio.sleep(draw.expovariate(1 / MEAN_GAP_S))
        name = draw.choice(names)
        played.append(name)
        fault = faults_module.FAULTS.get(name)
        # Each has its own generator, so that a seed draws the same faults
        # whatever the order in which they go on.
        own = random.Random(draw.getrandbits(32))
        tasks.append(asyncio.ensure_future(fault(world, own)))
    await asyncio.gather(*tasks)
    return played


def _own_faults(
    fleet: fleet_module.Fleet, recovered: float
) -> list[judge_module.Broken]:
    found = [
        judge_module.Broken(
            judge_module.Promise.NO_EXIT, 0.0, f"{n.name} ended by itself"
        )
        for n in fleet.nodes.values()
        if n.own_exits
    ]
    found += [
        judge_module.Broken(judge_module.Promise.NO_INTERNAL_ERROR, 0.0, line)
        for n in fleet.nodes.values()
        for line in n.internal_errors()
    ]
    if recovered < RECOVERED_SHARE:
        found.append(
            judge_module.Broken(
                judge_module.Promise.RECOVERY, 0.0, f"{recovered:.3f}"
            )
        )
    return found


async def _expire_leases(fleet: fleet_module.Fleet) -> None:
    while True:
        await asyncio.sleep(0.2)
        if not fleet.store.faults.down:
            fleet.store.expire()


async def _note_pauses(fleet: fleet_module.Fleet) -> None:
    """Take the time without a core out of the judgement.

    The soak's own pauses show as late wake-ups; those of the nodes are told
    by the kernel.
    """
    loop = asyncio.get_running_loop()
    starved = {node.name: 0.0 for node in fleet.nodes.values()}
    while True:
        before = loop.time()
        await asyncio.sleep(LOOK_S)
        now = loop.time()
        is_own = now - before > LOOK_S + PAUSE_S
        fleet.judge.counts["own pauses"] += is_own
        for node in fleet.nodes.values():
            total_s = node.starved_s()
            is_starved = total_s - starved[node.name] > PAUSE_S / 2
            starved[node.name] = total_s
            if is_own or is_starved:
                fleet.judge.counts["node pauses"] += is_starved
                fleet.judge.disruptions.add(node.name, before - LOOK_S, now)


async def _until_ready(fleet: fleet_module.Fleet) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(n.is_entry for n in fleet.nodes.values()):
            await asyncio.sleep(0.1)
    # Backend servers are known to all nodes after a heartbeat.
    await asyncio.sleep(2)
