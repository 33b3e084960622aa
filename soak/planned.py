"""Planned work on the nodes: stops, restarts and changes of their settings.

None of it is an excuse for a lost request, so that no node counts as
disrupted, and no process may end by itself.
"""

import asyncio
import random
import signal

from clementinekeel.runtime import registry
from soak import faults as faults_module
from soak import fleet as fleet_module

PLANNED_FAULTS: registry.Registry[faults_module.Fault] = registry.Registry(
    "planned fault"
)
NESTING_DEPTH = 3_000
"""Deeper than the recursion limit of the interpreter."""
SPOILED_VALUES = (
    "1e400",
    "inf",
    "nan",
    "-1",
    "0",
    "9" * 400,
    "true",
    '"text"',
    "{}",
    "[" * NESTING_DEPTH + "]" * NESTING_DEPTH,
)
MAX_SPOILED_S = 0.6
STARTED_S = 3.0
"""Age from which a process has read its settings; some faulty ones are
accepted, and a node that starts with them serves nothing until the next
restart."""


async def _stop_and_wait(
    testbed: faults_module.Testbed, node: fleet_module.Node
) -> None:
    """Stop a node and wait until clients use it again."""
    if node.is_stopping:
        return
    incarnation = node.incarnation
    await node.stop(testbed.fleet.checker)
    while node.incarnation == incarnation or not node.is_in_rotation:
        await asyncio.sleep(fleet_module.STOP_POLL_INTERVAL_S)


@PLANNED_FAULTS.register("stop_series")
async def stop_series(
    testbed: faults_module.Testbed, random_source: random.Random
) -> None:
    """Restart nodes one after the other; series overlap each other."""
    for node in testbed.draw_nodes(random_source, 4):
        await _stop_and_wait(testbed, node)
        await asyncio.sleep(random_source.uniform(0, 1))


@PLANNED_FAULTS.register("stop_service")
async def stop_service(
    testbed: faults_module.Testbed, random_source: random.Random
) -> None:
    """Stop all nodes of a service, at once or in quick turns."""
    nodes = list(testbed.fleet.nodes.values())
    service = random_source.choice(nodes).spec.service
    await faults_module.run_staggered(
        [node for node in nodes if node.spec.service == service],
        lambda node: _stop_and_wait(testbed, node),
        random_source.choice((0.0, 0.1, 0.5)),
    )


@PLANNED_FAULTS.register("signals_in_stop")
async def signals_in_stop(
    testbed: faults_module.Testbed, random_source: random.Random
) -> None:
    """Send further signals to a node that stops, and as it starts again."""
    (node,) = testbed.draw_nodes(random_source, 1)
    stop = asyncio.ensure_future(_stop_and_wait(testbed, node))
    while not stop.done():
        await asyncio.sleep(random_source.uniform(0.05, 0.6))
        if node.is_stopping:
            node.signal(random_source.choice((signal.SIGTERM, signal.SIGHUP)))
    await stop


@PLANNED_FAULTS.register("restart_at_once")
async def restart_at_once(
    testbed: faults_module.Testbed, random_source: random.Random
) -> None:
    """Start a process while the earlier one still serves its requests."""
    (node,) = testbed.draw_nodes(random_source, 1)
    if node.is_stopping:
        return
    stop = asyncio.ensure_future(node.stop(testbed.fleet.checker))
    incarnation = node.incarnation
    await asyncio.sleep(random_source.choice((0.0, 0.05, 0.5, 1.5)))
    if node.incarnation == incarnation and node.is_stopping:
        node.start()
    await stop


@PLANNED_FAULTS.register("closed_output")
async def closed_output(
    testbed: faults_module.Testbed, random_source: random.Random
) -> None:
    """Restart a node without a standard output, or with no stream at all."""
    (node,) = testbed.draw_nodes(random_source, 1)
    node.closed_streams = random_source.choice(((1,), (0,), (0, 1, 2)))
    await _stop_and_wait(testbed, node)


@PLANNED_FAULTS.register("spoiled_settings")
async def spoiled_settings(
    testbed: faults_module.Testbed, random_source: random.Random
) -> None:
    """Let nodes read faulty settings, and then the right ones again."""
    for node in testbed.draw_nodes(random_source, 4):
        for _ in range(random_source.randint(1, 4)):
            if node.is_stopping or node.age_s < STARTED_S:
                break
            node.write_settings(_spoil(node.settings, random_source))
            node.signal(signal.SIGHUP)
            await asyncio.sleep(random_source.uniform(0.1, MAX_SPOILED_S))
            node.write_settings(node.settings.encode())
            node.signal(signal.SIGHUP)
            await asyncio.sleep(random_source.uniform(0.1, MAX_SPOILED_S))


def _spoil(settings: str, random_source: random.Random) -> bytes:
    """Return settings with a faulty value, or those of a broken file."""
    content = settings.encode()
    if random_source.random() < 0.3:
        cut = content[: random_source.randrange(len(content))]
        return random_source.choice((b"", cut, content * 2, content + b"\xff"))
    lines = settings.splitlines()
    number = random_source.choice(
        [n for n, line in enumerate(lines) if "=" in line]
    )
    name = lines[number].partition("=")[0]
    lines[number] = f"{name}= {random_source.choice(SPOILED_VALUES)}"
    return "\n".join(lines).encode()


PLANNED_FAULTS.register("reload")(faults_module.reload)
PLANNED_FAULTS.register("configuration")(faults_module.configuration)
