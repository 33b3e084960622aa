"""Averages over short windows, relative to the normal service time.

The normal service time is a moving average that follows faster service
quickly and slower service slowly.
"""

from typing import NamedTuple

from clementinekeel.admission.limiters import limiter

WINDOW_MS = 100
# The mean of ten lognormal service times with sigma 0.5 is within 35% of the
# true mean in 95 of 100 windows, which ``aimd`` and ``gradient`` tolerate.
WINDOW_SAMPLES = 10
# A slow service finishes few requests; its windows must still end.
WINDOW_MAX_MS = 1_000
# Weights of a window in the normal service time, which give time constants of
# about 2 s and 50 s under load. The fast fall corrects a normal time that was
# measured while the service was slow; the slow rise keeps an overload of a
# minute from becoming the normal state.
NORMAL_FALL_WEIGHT = 0.05
NORMAL_RISE_WEIGHT = 0.002


class Window(NamedTuple):
    """Summary of a finished window.

    Attributes
    ----------
    slowdown : float
        Service time as a multiple of the normal one.
    failed_share : float
        Failed requests, as a share of all.
    is_limited : bool
        Whether the limit was in use at any time.
    """

    slowdown: float
    failed_share: float
    is_limited: bool


class WindowMeter:
    """Collects samples into windows and tracks the normal service time."""

    def __init__(self, now_ms: int) -> None:
        self._normal_ms: float | None = None
        self._is_limited: bool = False
        self._reset(now_ms)

    def add(self, sample: limiter.Sample, now_ms: int) -> Window | None:
        """Add a sample; return the window when this one completes it."""
        if sample.ok:
            # Failures are often much faster or slower than the work itself
            # and would distort the normal service time.
            self._total_ms += sample.service_ms
            self._succeeded += 1
        else:
            self._failed += 1
        self._is_limited = self._is_limited or sample.is_limited
        if not self._is_complete(now_ms):
            return None
        window = self._summarize()
        self._reset(now_ms)
        return window

    def _is_complete(self, now_ms: int) -> bool:
        age_ms = now_ms - self._start_ms
        if age_ms >= WINDOW_MAX_MS:
            return True
        samples = self._succeeded + self._failed
        return age_ms >= WINDOW_MS and samples >= WINDOW_SAMPLES

    def _summarize(self) -> Window:
        samples = self._succeeded + self._failed
        slowdown = 1.0
        if self._succeeded:
            slowdown = self._update_normal(self._total_ms / self._succeeded)
        return Window(slowdown, self._failed / samples, self._is_limited)

    def _update_normal(self, mean_ms: float) -> float:
        """Update the normal time with the mean of a window.

        Returns the slowdown relative to the normal time before the update.
        """
        mean_ms = max(mean_ms, 0.1)
        if self._normal_ms is None:
            self._normal_ms = mean_ms
        slowdown = mean_ms / self._normal_ms
        weight = NORMAL_FALL_WEIGHT if slowdown < 1 else NORMAL_RISE_WEIGHT
        self._normal_ms += weight * (mean_ms - self._normal_ms)
        return slowdown

    def _reset(self, now_ms: int) -> None:
        self._start_ms = now_ms
        self._total_ms = 0.0
        self._succeeded = 0
        self._failed = 0
        self._is_limited = False
