"""Memory that a module holds, without the help of the garbage collector.

The collector counts objects, not bytes, and runs seldom in a process that
creates few: what only it can free may fill the memory meanwhile.
"""

import contextlib
import gc
import tracemalloc


@contextlib.contextmanager
def no_collection():
    """Trace memory, and keep the garbage collector from running."""
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def held_bytes(module):
    """Return the bytes that were allocated in a module and not freed."""
    filters = [tracemalloc.Filter(True, module.__file__)]
    snapshot = tracemalloc.take_snapshot().filter_traces(filters)
    return sum(trace.size for trace in snapshot.traces)
