"""Kinds of faults; each runs its course and puts everything back.

A kind is a coroutine function that takes the world and a random generator. It
tells the judge which nodes it disrupts, and until when.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import random
import signal

from clementinekeel.runtime import registry
from soak import clients as clients_module
from soak import endpoint as endpoint_module
from soak import fleet as fleet_module
from soak import operator as operator_module
from soak import relay as relay_module

BOTH = {relay_module.Direction.TO, relay_module.Direction.FROM}


class World:
    """What faults act on."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        clients: clients_module.Clients,
        operator: operator_module.Operator,
    ) -> None:
        self.fleet = fleet
        self.clients = clients
        self.operator = operator
        self.loop = asyncio.get_running_loop()

    @contextlib.contextmanager
    def disrupted(self, *nodes: str) -> Iterator[None]:
        """Tell the judge that nodes are disrupted during a block."""
        disruptions = self.fleet.judge.disruptions
        now = self.loop.time()
        # Unknown yet when it ends: open until the block is left.
        spans = [disruptions.begin(node, now) for node in nodes]
        try:
            yield
        finally:
            for span in spans:
                disruptions.end(span, self.loop.time())

    def everyone(self) -> contextlib.AbstractContextManager[None]:
        """Tell the judge that all nodes are disrupted during a block."""
        return self.disrupted(*self.fleet.nodes)

    def draw_nodes(
        self, draw: random.Random, most: int
    ) -> list[fleet_module.Node]:
        """Return one to ``most`` different nodes."""
        nodes = list(self.fleet.nodes.values())
        return draw.sample(nodes, draw.randint(1, min(most, len(nodes))))


Fault = Callable[[World, random.Random], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def _for_each(
    nodes: list[fleet_module.Node],
    act: Callable[[fleet_module.Node], Awaitable[None]],
    gap_s: float,
) -> None:
    tasks = []
    for node in nodes:
        tasks.append(asyncio.ensure_future(act(node)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*tasks)


@FAULTS.register("kill")
async def kill(world: World, draw: random.Random) -> None:
    """Kill processes at the same moment or one after the other."""
    nodes = world.draw_nodes(draw, 4)
    with world.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            node.signal(signal.SIGKILL)
            await asyncio.sleep(draw.choice((0.0, 0.3)))
        await asyncio.sleep(1.0)


@FAULTS.register("kill_all")
async def kill_all(world: World, draw: random.Random) -> None:
    """Kill all processes at once."""
    with world.everyone():
        for node in world.fleet.nodes.values():
            node.signal(signal.SIGKILL)
        await asyncio.sleep(1.5)


@FAULTS.register("freeze")
async def freeze(world: World, draw: random.Random) -> None:
    """Stop processes for a while and let them go on."""
    nodes = world.draw_nodes(draw, 3)
    duration_s = draw.uniform(0.3, 6)
    with world.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        for node in nodes:
            node.signal(signal.SIGCONT)
        await asyncio.sleep(0.2)


@FAULTS.register("stop")
async def stop(world: World, draw: random.Random) -> None:
    """Stop processes as planned, and kill those that take too long."""

    async def one(node: fleet_module.Node) -> None:
        node.stopping_until = world.loop.time() + fleet_module.GRACE_S + 1
        incarnation = node.incarnation
        node.signal(signal.SIGTERM)
        await asyncio.sleep(fleet_module.GRACE_S)
        if node.incarnation == incarnation:
            world.fleet.judge.counts["killed after grace"] += 1
            node.signal(signal.SIGKILL)

    await _for_each(world.draw_nodes(draw, 3), one, draw.uniform(0, 1.5))


@FAULTS.register("stop_and_kill")
async def stop_and_kill(world: World, draw: random.Random) -> None:
    """Kill a process during its planned stop; a second signal comes first."""
    (node,) = world.draw_nodes(draw, 1)
    with world.disrupted(node.name):
        node.signal(signal.SIGTERM)
        await asyncio.sleep(draw.uniform(0.1, 3))
        node.signal(signal.SIGTERM)
        await asyncio.sleep(draw.uniform(0.1, 1))
        node.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)


@FAULTS.register("reload")
async def reload(world: World, draw: random.Random) -> None:
    """Signal changed settings; nothing may be cut."""
    for node in world.draw_nodes(draw, 6):
        node.signal(signal.SIGHUP)
        await asyncio.sleep(draw.uniform(0, 0.3))


@FAULTS.register("cut_pair")
async def cut_pair(world: World, draw: random.Random) -> None:
    """Cut two nodes from each other, both ways or one way."""
    first, second = draw.sample(list(world.fleet.nodes), 2)
    there = world.fleet.link(first, second)
    back = world.fleet.link(second, first)
    is_one_way = draw.random() < 0.5
    with world.disrupted(first, second):
        there.set({relay_module.Direction.TO} if is_one_way else BOTH)
        back.set({relay_module.Direction.FROM} if is_one_way else BOTH)
        await asyncio.sleep(draw.uniform(0.5, 5))
        there.set()
        back.set()


@FAULTS.register("cut_node")
async def cut_node(world: World, draw: random.Random) -> None:
    """Cut nodes from all others, and at times from the store."""
    nodes = world.draw_nodes(draw, 2)
    from_store = draw.random() < 0.4
    cut = {n.name for n in nodes}
    pairs = [
        (a, b)
        for a in world.fleet.nodes
        for b in world.fleet.nodes
        if a != b and (a in cut or b in cut)
    ]
    # Requests of the other nodes to these hang too.
    with world.everyone():
        for pair in pairs:
            world.fleet.link(*pair).set(BOTH)
        for node in nodes:
            node.store_faults.set(BOTH if from_store else None)
        await asyncio.sleep(draw.uniform(0.5, 6))
        for pair in pairs:
            world.fleet.link(*pair).set()
        for node in nodes:
            node.store_faults.set()


@FAULTS.register("cut_zones")
async def cut_zones(world: World, draw: random.Random) -> None:
    """Cut a zone from the others."""
    nodes = list(world.fleet.nodes.values())
    zone = draw.choice(sorted({n.place.zone for n in nodes}))
    pairs = [
        (a.name, b.name)
        for a in nodes
        for b in nodes
        if (a.place.zone == zone) != (b.place.zone == zone)
    ]
    with world.everyone():
        for pair in pairs:
            world.fleet.link(*pair).set(BOTH)
        await asyncio.sleep(draw.uniform(0.5, 5))
        for pair in pairs:
            world.fleet.link(*pair).set()


@FAULTS.register("delay")
async def delay(world: World, draw: random.Random) -> None:
    """Delay what goes from and to a node."""
    (node,) = world.draw_nodes(draw, 1)
    pairs = [(node.name, n) for n in world.fleet.nodes if n != node.name]
    pairs += [(b, a) for a, b in pairs]
    with world.everyone():
        for pair in pairs:
            world.fleet.link(*pair).set(delay_s=draw.uniform(0.02, 0.4))
        await asyncio.sleep(draw.uniform(1, 4))
        for pair in pairs:
            world.fleet.link(*pair).set()


@FAULTS.register("reset")
async def reset(world: World, draw: random.Random) -> None:
    """Reset the connections between nodes, to the store and backends."""
    with world.everyone():
        for node in world.draw_nodes(draw, 6):
            world.fleet.link_relays[node.name].reset()
            if draw.random() < 0.5:
                world.fleet.store_relays[node.name].reset()
            if draw.random() < 0.5:
                world.fleet.backend_relays[node.name].reset()


@FAULTS.register("silence")
async def silence(world: World, draw: random.Random) -> None:
    """Let open connections go silent for good, while new ones work."""
    with world.everyone():
        for node in world.draw_nodes(draw, 4):
            world.fleet.link_relays[node.name].silence()
            world.fleet.store_relays[node.name].silence()
            if draw.random() < 0.5:
                world.fleet.backend_relays[node.name].silence()


@FAULTS.register("store_down")
async def store_down(world: World, draw: random.Random) -> None:
    """Take the store away; at times all leases end meanwhile."""
    store = world.fleet.store
    with world.everyone():
        store.faults.down = draw.choice(("silent", "reset", "busy"))
        await asyncio.sleep(draw.uniform(1, 6))
        if draw.random() < 0.5:
            store.lapse()
        store.faults.down = ""


@FAULTS.register("store_cut")
async def store_cut(world: World, draw: random.Random) -> None:
    """Cut some nodes from the store while the operator goes on."""
    nodes = world.draw_nodes(draw, 3)
    with world.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            node.store_faults.set(BOTH)
        await asyncio.sleep(draw.uniform(1, 8))
        for node in nodes:
            node.store_faults.set()


@FAULTS.register("store_slow")
async def store_slow(world: World, draw: random.Random) -> None:
    """Let the store answer slowly."""
    with world.everyone():
        world.fleet.store.faults.delay_s = draw.uniform(0.1, 0.5)
        await asyncio.sleep(draw.uniform(1, 5))
        world.fleet.store.faults.delay_s = 0.0


@FAULTS.register("store_lost")
async def store_lost(world: World, draw: random.Random) -> None:
    """Lose answers to writes, some of which take effect seconds later."""
    faults = world.fleet.store.faults
    with world.everyone():
        faults.lost_share = draw.uniform(0.2, 0.8)
        faults.is_late = draw.random() < 0.5
        await asyncio.sleep(draw.uniform(1, 5))
        faults.lost_share = 0.0


@FAULTS.register("store_compact")
async def store_compact(world: World, draw: random.Random) -> None:
    """Discard the store's history."""
    with world.everyone():
        world.fleet.store.compact()
        await asyncio.sleep(0.1)


@FAULTS.register("lapse")
async def lapse(world: World, draw: random.Random) -> None:
    """End all leases while the store works."""
    with world.everyone():
        world.fleet.store.lapse()
        await asyncio.sleep(0.1)


@FAULTS.register("backend_crash")
async def backend_crash(world: World, draw: random.Random) -> None:
    """Crash backend servers; they start again, at times under their name."""
    for node in world.draw_nodes(draw, 2):
        backend = node.backend
        if backend is None:
            continue
        with world.disrupted(node.name):
            node.backend = None
            backend.crash()
            if draw.random() < 0.5:
                # A heartbeat that was on its way arrives after the end.
                backend.send_later(draw.uniform(0, 3))
            await asyncio.sleep(draw.uniform(0.2, 3))
            name = backend.name if draw.random() < 0.5 else ""
            await world.fleet.start_backend(node, name)


@FAULTS.register("backend_leave")
async def backend_leave(world: World, draw: random.Random) -> None:
    """Let backend servers leave as planned, and start others."""

    async def one(node: fleet_module.Node) -> None:
        backend, node.backend = node.backend, None
        if backend is None:
            return
        await backend.leave(draw.random() < 0.7)
        await world.fleet.start_backend(node)

    await _for_each(world.draw_nodes(draw, 2), one, draw.uniform(0, 2))


@FAULTS.register("backend_slow")
async def backend_slow(world: World, draw: random.Random) -> None:
    """Let backend servers work slowly."""
    for node in world.draw_nodes(draw, 2):
        if node.backend is not None:
            node.backend.faults.slowness = draw.uniform(2, 12)
    await asyncio.sleep(draw.uniform(1, 5))
    for node in world.fleet.nodes.values():
        if node.backend is not None:
            node.backend.faults.slowness = 1.0


@FAULTS.register("backend_faulty")
async def backend_faulty(world: World, draw: random.Random) -> None:
    """Lose, spoil, double or refuse answers; forget idle connections."""
    nodes = world.draw_nodes(draw, 3)
    with world.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            if node.backend is not None:
                faults = node.backend.faults
                kind = draw.choice(("lost", "garbled", "extra", "refused"))
                setattr(faults, f"{kind}_share", draw.uniform(0.02, 0.4))
        await asyncio.sleep(draw.uniform(1, 4))
        for node in nodes:
            if node.backend is not None:
                node.backend.drop_idle()
                node.backend.faults = endpoint_module.Faults()


@FAULTS.register("late_beats")
async def late_beats(world: World, draw: random.Random) -> None:
    """Let heartbeats arrive seconds late."""
    nodes = world.draw_nodes(draw, 3)
    for node in nodes:
        if node.backend is not None:
            node.backend.faults.late_beat_s = draw.uniform(0.5, 3)
    await asyncio.sleep(draw.uniform(2, 5))
    for node in nodes:
        if node.backend is not None:
            node.backend.faults.late_beat_s = 0.0


@FAULTS.register("configuration")
async def configuration(world: World, draw: random.Random) -> None:
    """Change the configuration, at times in quick succession."""
    for _ in range(draw.choice((1, 1, 5))):
        await world.operator.change()
        await asyncio.sleep(draw.uniform(0.05, 0.5))


@FAULTS.register("burst")
async def burst(world: World, draw: random.Random) -> None:
    """Let many clients come at once, some of which repeat at once."""
    load = world.clients.load
    load.factor *= 2.5
    load.hasty_share = 0.3
    await asyncio.sleep(draw.uniform(1, 4))
    load.factor /= 2.5
    load.hasty_share = 0.0


@FAULTS.register("give_up")
async def give_up(world: World, draw: random.Random) -> None:
    """Let clients leave before they are answered."""
    world.clients.load.leaving_share = 0.3
    await asyncio.sleep(draw.uniform(1, 4))
    world.clients.load.leaving_share = 0.0
