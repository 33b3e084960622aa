"""Start and stop of the node process."""

import json
import signal
import sys

import anyio
import anyio.abc
import uvloop

from clementinekeel.daemon import node as node_module
from clementinekeel.runtime import log
from clementinekeel.runtime import settings as settings_module


def run(settings: settings_module.Settings) -> None:
    """Run a node until it is told to stop.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """
    log.configure(settings.node.log_level, settings.node.id)
    uvloop.install()
    anyio.run(_run, settings)


async def _run(settings: settings_module.Settings) -> None:
    node = await node_module.Node.create(settings)
    # Ports can be 0 in the settings, so the addresses in use are printed for
    # whoever has started the process.
    print(json.dumps(node.addresses), flush=True)
    sys.stdout.flush()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(node: node_module.Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.event("stop_requested", signal=int(number))
            node.stop()
