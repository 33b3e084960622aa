"""Monotonic time of the event loop.

All timers use this clock, so that tests can pause and advance it.
"""

import anyio

MS_PER_S = 1000


def now_ms() -> int:
    """Return the event loop's monotonic time.

    Returns
    -------
    int
        Milliseconds since an arbitrary start, never decreasing.
    """
    return int(anyio.current_time() * MS_PER_S)


async def sleep_ms(duration_ms: float) -> None:
    """Suspend the calling task.

    Parameters
    ----------
    duration_ms : float
        Time to sleep, in milliseconds.
    """
    await anyio.sleep(duration_ms / MS_PER_S)
