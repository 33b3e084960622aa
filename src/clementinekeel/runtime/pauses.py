"""Notices that this process did not run for some time.

After a pause, what is read was sent up to that much earlier, and times that
were counted while the VM was suspended are too long: the loop's clock stands
still then, and the clock since boot does not.
"""

from collections.abc import Callable
import time
from typing import NamedTuple

MIN_PAUSE_S = 0.1
"""Delay of a check from which the process counts as paused."""


def seconds_since_boot() -> float:
    """Return the time since boot in seconds, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Pause(NamedTuple):
    """A time in which the process did not run.

    Attributes
    ----------
    stalled_s : float
        Its length on the loop's clock, in seconds.
    suspended_s : float
        Further time that only the clock since boot has counted.
    """

    stalled_s: float
    suspended_s: float

    @property
    def total_s(self) -> float:
        """Whole length in seconds."""
        return self.stalled_s + self.suspended_s


class PauseDetector:
    """Compares the times of periodic checks with their interval.

    Parameters
    ----------
    loop_time, boot_time : callable
        The loop's clock and the clock since boot, in seconds.
    interval_s : float
        Interval of the checks.
    """

    def __init__(
        self,
        loop_time: Callable[[], float],
        boot_time: Callable[[], float],
        interval_s: float,
    ) -> None:
        self._loop_time = loop_time
        self._boot_time = boot_time
        self._interval_s = interval_s
        self._checked_at = loop_time(), boot_time()
        self._last_pause_s = 0.0

    @property
    def lateness_s(self) -> float:
        """How long before now what is read now may have arrived.

        A pause is not over before a check that follows in time: the loop may
        run the first one before it reads what has arrived.
        """
        current = self._pause()
        return max(current.total_s if current else 0.0, self._last_pause_s)

    def check(self) -> Pause | None:
        """Return the pause since the last check, if there was one."""
        pause = self._pause()
        self._checked_at = self._loop_time(), self._boot_time()
        self._last_pause_s = pause.total_s if pause else 0.0
        return pause

    def _pause(self) -> Pause | None:
        loop_s = self._loop_time() - self._checked_at[0]
        boot_s = self._boot_time() - self._checked_at[1]
        suspended_s = boot_s - loop_s
        pause = Pause(
            max(0.0, loop_s - self._interval_s),
            suspended_s if suspended_s > MIN_PAUSE_S else 0.0,
        )
        return pause if pause.total_s > MIN_PAUSE_S else None
