"""Faults that the soak injects; each one undoes its changes when it ends.

A fault is a coroutine function that takes the testbed and a random generator.
It tells the checker which nodes it disrupts, and for how long.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
import contextlib
import random
import signal

from clementinekeel.runtime import registry
from soak import backend as backend_module
from soak import clients as clients_module
from soak import fleet as fleet_module
from soak import operator as operator_module
from soak import relay as relay_module

PROBES_FAIL_S = 3.0
"""Time after which probes of the kernel end a silent connection to the store.
"""
BOTH = {relay_module.Direction.TO_TARGET, relay_module.Direction.FROM_TARGET}


class Testbed:
    """The fleet, the clients and the operator, on which faults act."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        clients: clients_module.Clients,
        operator: operator_module.Operator,
        request_types: Sequence[clients_module.RequestType],
    ) -> None:
        self.request_types = request_types
        self.fleet = fleet
        self.clients = clients
        self.operator = operator
        self.loop = asyncio.get_running_loop()

    @contextlib.contextmanager
    def disrupted(self, *nodes: str) -> Iterator[None]:
        """Tell the checker that nodes are disrupted during a block."""
        disruptions = self.fleet.checker.disruptions
        now = self.loop.time()
        # The end is not known yet: the disruption lasts until the block ends.
        ongoing = [disruptions.begin(node, now) for node in nodes]
        try:
            yield
        finally:
            for disruption in ongoing:
                disruptions.end(disruption, self.loop.time())

    def all_disrupted(self) -> contextlib.AbstractContextManager[None]:
        """Tell the checker that all nodes are disrupted during a block."""
        return self.disrupted(*self.fleet.nodes)

    def draw_nodes(
        self, random_source: random.Random, max_count: int
    ) -> list[fleet_module.Node]:
        """Return one to ``max_count`` different nodes."""
        nodes = list(self.fleet.nodes.values())
        return random_source.sample(
            nodes, random_source.randint(1, min(max_count, len(nodes)))
        )


Fault = Callable[[Testbed, random.Random], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def run_staggered(
    nodes: list[fleet_module.Node],
    act: Callable[[fleet_module.Node], Awaitable[None]],
    interval_s: float,
) -> None:
    """Act on nodes concurrently, with an interval between the starts."""
    tasks = []
    for node in nodes:
        tasks.append(asyncio.ensure_future(act(node)))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)


@FAULTS.register("kill")
async def kill(testbed: Testbed, random_source: random.Random) -> None:
    """Kill nodes at the same time or one after the other."""
    nodes = testbed.draw_nodes(random_source, 4)
    with testbed.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            node.signal(signal.SIGKILL)
            await asyncio.sleep(random_source.choice((0.0, 0.3)))
        await asyncio.sleep(1.0)


@FAULTS.register("kill_all")
async def kill_all(testbed: Testbed, random_source: random.Random) -> None:
    """Kill all nodes at once."""
    with testbed.all_disrupted():
        for node in testbed.fleet.nodes.values():
            node.signal(signal.SIGKILL)
        await asyncio.sleep(1.5)


@FAULTS.register("freeze")
async def freeze(testbed: Testbed, random_source: random.Random) -> None:
    """Suspend nodes with SIGSTOP, and resume them."""
    nodes = testbed.draw_nodes(random_source, 3)
    duration_s = random_source.uniform(0.3, 6)
    with testbed.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        for node in nodes:
            node.signal(signal.SIGCONT)
        await asyncio.sleep(0.2)


@FAULTS.register("stop")
async def stop(testbed: Testbed, random_source: random.Random) -> None:
    """Stop nodes as planned, and kill those that exceed the grace time."""
    await run_staggered(
        testbed.draw_nodes(random_source, 3),
        lambda node: node.stop(testbed.fleet.checker),
        random_source.uniform(0, 1.5),
    )


@FAULTS.register("stop_and_kill")
async def stop_and_kill(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Kill a node during its planned stop, after a second SIGTERM."""
    (node,) = testbed.draw_nodes(random_source, 1)
    with testbed.disrupted(node.name):
        node.signal(signal.SIGTERM)
        await asyncio.sleep(random_source.uniform(0.1, 3))
        node.signal(signal.SIGTERM)
        await asyncio.sleep(random_source.uniform(0.1, 1))
        node.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)


@FAULTS.register("reload")
async def reload(testbed: Testbed, random_source: random.Random) -> None:
    """Make nodes reload their settings, which may not close connections."""
    for node in testbed.draw_nodes(random_source, 6):
        node.signal(signal.SIGHUP)
        await asyncio.sleep(random_source.uniform(0, 0.3))


@FAULTS.register("cut_pair")
async def cut_pair(testbed: Testbed, random_source: random.Random) -> None:
    """Partition two nodes from each other, in one or both directions."""
    first, second = random_source.sample(list(testbed.fleet.nodes), 2)
    forward = testbed.fleet.link_faults(first, second)
    backward = testbed.fleet.link_faults(second, first)
    is_one_way = random_source.random() < 0.5
    with testbed.disrupted(first, second):
        forward.replace(
            {relay_module.Direction.TO_TARGET} if is_one_way else BOTH
        )
        backward.replace(
            {relay_module.Direction.FROM_TARGET} if is_one_way else BOTH
        )
        await asyncio.sleep(random_source.uniform(0.5, 5))
        forward.replace()
        backward.replace()


@FAULTS.register("cut_node")
async def cut_node(testbed: Testbed, random_source: random.Random) -> None:
    """Partition nodes from all others, and sometimes from the store."""
    nodes = testbed.draw_nodes(random_source, 2)
    cuts_store = random_source.random() < 0.4
    isolated = {n.name for n in nodes}
    pairs = [
        (a, b)
        for a in testbed.fleet.nodes
        for b in testbed.fleet.nodes
        if a != b and (a in isolated or b in isolated)
    ]
    # Requests that the other nodes send to these nodes hang too.
    with testbed.all_disrupted():
        for pair in pairs:
            testbed.fleet.link_faults(*pair).replace(BOTH)
        for node in nodes:
            node.store_faults.replace(BOTH if cuts_store else None)
        await asyncio.sleep(random_source.uniform(0.5, 6))
        for pair in pairs:
            testbed.fleet.link_faults(*pair).replace()
        for node in nodes:
            node.store_faults.replace()


@FAULTS.register("cut_zones")
async def cut_zones(testbed: Testbed, random_source: random.Random) -> None:
    """Partition a zone from the others."""
    nodes = list(testbed.fleet.nodes.values())
    zone = random_source.choice(sorted({n.spec.zone for n in nodes}))
    pairs = [
        (a.name, b.name)
        for a in nodes
        for b in nodes
        if (a.spec.zone == zone) != (b.spec.zone == zone)
    ]
    with testbed.all_disrupted():
        for pair in pairs:
            testbed.fleet.link_faults(*pair).replace(BOTH)
        await asyncio.sleep(random_source.uniform(0.5, 5))
        for pair in pairs:
            testbed.fleet.link_faults(*pair).replace()


@FAULTS.register("delay")
async def delay(testbed: Testbed, random_source: random.Random) -> None:
    """Delay the traffic from and to a node."""
    (node,) = testbed.draw_nodes(random_source, 1)
    pairs = [(node.name, n) for n in testbed.fleet.nodes if n != node.name]
    pairs += [(b, a) for a, b in pairs]
    with testbed.all_disrupted():
        for pair in pairs:
            testbed.fleet.link_faults(*pair).replace(
                delay_s=random_source.uniform(0.02, 0.4)
            )
        await asyncio.sleep(random_source.uniform(1, 4))
        for pair in pairs:
            testbed.fleet.link_faults(*pair).replace()


@FAULTS.register("reset")
async def reset(testbed: Testbed, random_source: random.Random) -> None:
    """Reset connections of nodes, some also to the store and backends."""
    with testbed.all_disrupted():
        for node in testbed.draw_nodes(random_source, 6):
            testbed.fleet.link_relays[node.name].reset()
            if random_source.random() < 0.5:
                testbed.fleet.store_relays[node.name].reset()
            if random_source.random() < 0.5:
                testbed.fleet.backend_relays[node.name].reset()


@FAULTS.register("silence")
async def silence(testbed: Testbed, random_source: random.Random) -> None:
    """Block open connections for good, while new ones work."""
    with testbed.all_disrupted():
        for node in testbed.draw_nodes(random_source, 4):
            testbed.fleet.link_relays[node.name].silence()
            testbed.fleet.store_relays[node.name].silence()
            if random_source.random() < 0.5:
                testbed.fleet.backend_relays[node.name].silence()


@FAULTS.register("silence_all")
async def silence_all(testbed: Testbed, random_source: random.Random) -> None:
    """Block all open connections between nodes, or all to the store.

    The kernel of the relay answers probes, so that the relay ends the
    connections to the store when the probes would have failed.
    """
    with testbed.all_disrupted():
        if random_source.random() < 0.7:
            for relay in testbed.fleet.link_relays.values():
                relay.silence()
        if random_source.random() < 0.5:
            relays = list(testbed.fleet.store_relays.values())
            silent = [each for relay in relays for each in relay.silence()]
            await asyncio.sleep(PROBES_FAIL_S)
            for connection in silent:
                connection.abort()


@FAULTS.register("store_down")
async def store_down(testbed: Testbed, random_source: random.Random) -> None:
    """Make the store unavailable; sometimes all leases expire meanwhile."""
    store = testbed.fleet.store
    with testbed.all_disrupted():
        store.faults.outage = random_source.choice(("silent", "reset", "busy"))
        await asyncio.sleep(random_source.uniform(1, 6))
        if random_source.random() < 0.5:
            store.expire_all_leases()
        store.faults.outage = ""


@FAULTS.register("store_restored")
async def store_restored(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Make the store unavailable and let it return from a copy."""
    store = testbed.fleet.store
    with testbed.all_disrupted():
        store.faults.outage = random_source.choice(("silent", "reset", "busy"))
        await asyncio.sleep(random_source.uniform(0.5, 3))
        store.restore(random_source.uniform(0.5, 9))
        testbed.operator.write_again()
        store.faults.outage = ""
        for _ in range(random_source.choice((0, 1, 3))):
            await testbed.operator.write_configuration()


@FAULTS.register("store_cut")
async def store_cut(testbed: Testbed, random_source: random.Random) -> None:
    """Partition nodes from the store, to which the operator still writes."""
    nodes = testbed.draw_nodes(random_source, 3)
    with testbed.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            node.store_faults.replace(BOTH)
        await asyncio.sleep(random_source.uniform(1, 8))
        for node in nodes:
            node.store_faults.replace()


@FAULTS.register("store_slow")
async def store_slow(testbed: Testbed, random_source: random.Random) -> None:
    """Delay the answers of the store."""
    with testbed.all_disrupted():
        testbed.fleet.store.faults.delay_s = random_source.uniform(0.1, 0.5)
        await asyncio.sleep(random_source.uniform(1, 5))
        testbed.fleet.store.faults.delay_s = 0.0


@FAULTS.register("store_lost")
async def store_lost(testbed: Testbed, random_source: random.Random) -> None:
    """Lose answers to writes, which sometimes take effect seconds later."""
    faults = testbed.fleet.store.faults
    with testbed.all_disrupted():
        faults.lost_share = random_source.uniform(0.2, 0.8)
        faults.delays_lost_writes = random_source.random() < 0.5
        await asyncio.sleep(random_source.uniform(1, 5))
        faults.lost_share = 0.0


@FAULTS.register("store_compact")
async def store_compact(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Discard the store's history."""
    with testbed.all_disrupted():
        testbed.fleet.store.compact()
        await asyncio.sleep(0.1)


@FAULTS.register("lapse")
async def lapse(testbed: Testbed, random_source: random.Random) -> None:
    """Expire all leases while the store is available."""
    with testbed.all_disrupted():
        testbed.fleet.store.expire_all_leases()
        await asyncio.sleep(0.1)


@FAULTS.register("backend_crash")
async def backend_crash(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Crash backend servers; some start again under the same name."""
    for node in testbed.draw_nodes(random_source, 2):
        backend = node.backend
        if backend is None:
            continue
        with testbed.disrupted(node.name):
            node.backend = None
            backend.crash()
            if random_source.random() < 0.5:
                # A delayed heartbeat arrives after the crash.
                backend.send_delayed_heartbeat(random_source.uniform(0, 3))
            await asyncio.sleep(random_source.uniform(0.2, 3))
            name = backend.name if random_source.random() < 0.5 else ""
            await testbed.fleet.start_backend(node, name)


@FAULTS.register("crashing_request")
async def crashing_request(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Send a request that crashes the backend servers that run it."""
    name = f"{backend_module.CRASHING_PREFIX}{random_source.getrandbits(32)}"
    request_type = random_source.choice(testbed.request_types)
    request_type = request_type._replace(path=request_type.path + name)
    interval_s = random_source.uniform(0.1, 0.6)
    end = testbed.loop.time() + random_source.uniform(8, 16)
    while testbed.loop.time() < end:
        testbed.clients.send(request_type)
        await asyncio.sleep(interval_s)


@FAULTS.register("backend_leave")
async def backend_leave(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Stop backend servers as planned, and start new ones."""

    async def replace_backend(node: fleet_module.Node) -> None:
        backend, node.backend = node.backend, None
        if backend is None:
            return
        silent_s = random_source.choice(
            (0.0, 0.0, backend_module.LEAVE_WAIT_S)
        )
        await backend.leave(random_source.random() < 0.7, silent_s)
        await testbed.fleet.start_backend(node)

    await run_staggered(
        testbed.draw_nodes(random_source, 2),
        replace_backend,
        random_source.uniform(0, 2),
    )


@FAULTS.register("backend_limit")
async def backend_limit(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Let backend servers state a limit, which changes and ends."""
    backends = [
        node.backend
        for node in testbed.draw_nodes(random_source, 4)
        if node.backend is not None
    ]
    for _ in range(random_source.choice((1, 1, 3))):
        for backend in backends:
            backend.limit_rate(random_source.choice((0.0, 1.0, 3.0, 8.0)))
        await asyncio.sleep(random_source.uniform(5, 14))
    for backend in backends:
        backend.limit_rate(None)


@FAULTS.register("backend_slow")
async def backend_slow(testbed: Testbed, random_source: random.Random) -> None:
    """Slow backend servers down."""
    for node in testbed.draw_nodes(random_source, 2):
        if node.backend is not None:
            node.backend.faults.slowness = random_source.uniform(2, 12)
    await asyncio.sleep(random_source.uniform(1, 5))
    for node in testbed.fleet.nodes.values():
        if node.backend is not None:
            node.backend.faults.slowness = 1.0


@FAULTS.register("backend_faulty")
async def backend_faulty(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Lose, truncate or repeat answers, or refuse; then reset connections."""
    nodes = testbed.draw_nodes(random_source, 3)
    with testbed.disrupted(*(n.name for n in nodes)):
        for node in nodes:
            if node.backend is not None:
                faults = node.backend.faults
                kind = random_source.choice(
                    ("lost", "garbled", "extra", "refused")
                )
                setattr(
                    faults, f"{kind}_share", random_source.uniform(0.02, 0.4)
                )
        await asyncio.sleep(random_source.uniform(1, 4))
        for node in nodes:
            if node.backend is not None:
                node.backend.reset_connections()
                node.backend.faults = backend_module.Faults()


@FAULTS.register("late_beats")
async def late_beats(testbed: Testbed, random_source: random.Random) -> None:
    """Delay heartbeats by seconds."""
    nodes = testbed.draw_nodes(random_source, 3)
    for node in nodes:
        if node.backend is not None:
            node.backend.faults.heartbeat_delay_s = random_source.uniform(
                0.5, 3
            )
    await asyncio.sleep(random_source.uniform(2, 5))
    for node in nodes:
        if node.backend is not None:
            node.backend.faults.heartbeat_delay_s = 0.0


@FAULTS.register("configuration")
async def configuration(
    testbed: Testbed, random_source: random.Random
) -> None:
    """Change the configuration, sometimes in quick succession."""
    for _ in range(random_source.choice((1, 1, 5))):
        await testbed.operator.write_configuration()
        await asyncio.sleep(random_source.uniform(0.05, 0.5))


@FAULTS.register("burst")
async def burst(testbed: Testbed, random_source: random.Random) -> None:
    """Raise the request rate; some clients retry without a delay."""
    load = testbed.clients.load
    load.rate_factor *= 2.5
    load.immediate_retry_share = 0.3
    await asyncio.sleep(random_source.uniform(1, 4))
    load.rate_factor /= 2.5
    load.immediate_retry_share = 0.0


@FAULTS.register("give_up")
async def give_up(testbed: Testbed, random_source: random.Random) -> None:
    """Let clients close connections before they are answered."""
    testbed.clients.load.abandoned_share = 0.3
    await asyncio.sleep(random_source.uniform(1, 4))
    testbed.clients.load.abandoned_share = 0.0
