"""Start and stop of the node process."""

from collections.abc import Awaitable, Callable, Iterable
import gc
import json
import signal
import sys

import anyio
import anyio.abc
import uvloop

from clementinekeel.daemon import node as node_module
from clementinekeel.daemon import policies
from clementinekeel.runtime import ini
from clementinekeel.runtime import log
from clementinekeel.runtime import settings as settings_module

EXIT_DONE = 0
EXIT_FAULTY = 1


def run_file(path: str) -> int:
    """Check the settings and run a node until it is told to stop.

    Parameters
    ----------
    path : str
        File with the settings.

    Returns
    -------
    int
        Exit code: 0 after a requested stop, 1 if the settings are faulty or
        an address cannot be used.
    """
    loaded = settings_module.load(path)
    settings = loaded.value_or(None)
    if settings is None:
        return _print_faults(loaded.failure())
    faults = policies.find_faults(settings.policies, path)
    if faults:
        return _print_faults(faults)
    log.configure(settings.node.log_level, settings.node.id)
    try:
        _start(_run, settings)
    except OSError as error:
        log.event("start_failed", level="ERROR", reason=str(error))
        return EXIT_FAULTY
    return EXIT_DONE


def _start(
    function: Callable[..., Awaitable[None]],
    settings: settings_module.Settings,
) -> None:
    uvloop.install()
    anyio.run(function, settings)


def _print_faults(faults: Iterable[ini.Fault]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return EXIT_FAULTY


async def _run(settings: settings_module.Settings) -> None:
    node = await node_module.Node.create(settings)
    # A full collection that covers everything loaded at the start pauses the
    # process for 50 ms. These objects are never freed, so they are excluded
    # from later collections.
    gc.collect()
    gc.freeze()
    # Ports can be 0 in the settings, so the addresses in use are printed for
    # the program that has started the process.
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
