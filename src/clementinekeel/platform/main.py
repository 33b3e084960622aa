"""Runs a forwarding node on the users' platform."""

import gc
import signal
import time
import traceback

import anyio
from returns import result
import uvloop

from clementinekeel.platform import configuration
from clementinekeel.platform import dialect
from clementinekeel.platform import heartbeats
from clementinekeel.platform import settings as settings_module
from clementinekeel.platform import store
from clementinekeel.runtime import descriptors
from clementinekeel.runtime import errors
from clementinekeel.runtime import standard_streams
from clementinekeel.sidecar import adapter as adapter_module
from clementinekeel.sidecar import listening
from clementinekeel.sidecar import node
from clementinekeel.sidecar import settings as sidecar_settings

EXIT_FAULTY = 1
SETTINGS_WAIT_S = 2.0
"""Time for which faulty settings are read again at the start: the platform may
be writing the file at that moment."""
SETTINGS_RETRY_S = 0.1
TRACEBACK_ENTRIES = -8
"""The innermost calls; a message on standard error is cut at its end."""
GC_THRESHOLD = 20_000
"""Requests leave few reference cycles, so that collections are rare and short
with this threshold."""


def run() -> int:
    """Read the settings and run a node until its planned stop.

    Returns
    -------
    int
        Exit code: 0 after a planned stop, 1 if the settings are faulty, an
        address cannot be listened on, or after an unexpected error.
    """
    path = settings_module.settings_path()
    loaded = _load_settings(path)
    settings = loaded.value_or(None)
    if settings is None:
        standard_streams.print_error(str(loaded.failure()))
        return EXIT_FAULTY
    descriptors.raise_limit(settings.max_descriptors)
    uvloop.install()
    try:
        anyio.run(_run, settings, path)
    except listening.ListenError as error:
        standard_streams.print_error(str(error))
        return EXIT_FAULTY
    except Exception:
        # The interpreter would wait for a reader of the traceback.
        standard_streams.print_error(traceback.format_exc(TRACEBACK_ENTRIES))
        return EXIT_FAULTY
    return 0


def _load_settings(
    path: str,
) -> result.Result[sidecar_settings.SidecarSettings, errors.StepError]:
    """Read the settings, again and again for a while if they are faulty."""
    for _ in range(round(SETTINGS_WAIT_S / SETTINGS_RETRY_S)):
        loaded = settings_module.load_settings(path)
        if loaded.value_or(None) is not None:
            return loaded
        time.sleep(SETTINGS_RETRY_S)
    return settings_module.load_settings(path)


async def _run(settings: sidecar_settings.SidecarSettings, path: str) -> None:
    adapter = adapter_module.PlatformAdapter(
        dialect=dialect.DIALECT,
        configuration_key=configuration.CONFIGURATION_KEY,
        decode_configuration=configuration.decode_configuration,
        decode_heartbeat=heartbeats.decode_heartbeat,
        make_store=store.PlatformStore,
        reload_settings=lambda: settings_module.load_settings(path),
    )
    sidecar = node.Node(settings, adapter)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await sidecar.run()
    # The node has given the signals back, and the interpreter takes some
    # 30 ms to end.
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
