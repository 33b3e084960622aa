"""Limiter that follows the ratio of normal to current service time."""

import math

from clementinekeel.admission.limiters import _bounded
from clementinekeel.admission.limiters import _window
from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model

# Slowdown up to which the limit does not fall. Below 1.5 the noise of a
# window of ten samples would lower the limit.
TOLERANCE = {
    model.Objective.GOODPUT: 2.0,
    model.Objective.RECOVERY_TIME: 1.5,
}
# Share of the distance to a lower target by which a window lowers the limit.
FALL_SHARE = {
    model.Objective.GOODPUT: 0.2,
    model.Objective.RECOVERY_TIME: 0.6,
}
# The target of one window is at least half of the limit, however slow the
# service was.
GRADIENT_MIN = 0.5
FAILED_SHARE_MAX = 0.3


@limiter.LIMITERS.register("gradient")
class GradientLimiter(_bounded.BoundedLimit):
    """Lowers the limit in proportion to the slowdown."""

    def __init__(
        self, slots: int, objective: model.Objective, now_ms: int
    ) -> None:
        super().__init__(slots)
        self._tolerance = TOLERANCE[objective]
        self._fall_share = FALL_SHARE[objective]
        self._meter = _window.WindowMeter(now_ms)

    def on_finished(self, sample: limiter.Sample, now_ms: int) -> None:
        """Adapt the limit at the end of each window."""
        window = self._meter.add(sample, now_ms)
        if window is None:
            return
        # The square root lets a small limit grow fast in proportion: from 4
        # to 90 slots in about 1.5 s.
        growth = math.sqrt(self._limit) if window.is_limited else 0.0
        target = self._limit * self._gradient(window) + growth
        if target < self._limit:
            target = self._limit + self._fall_share * (target - self._limit)
        self._limit = min(max(target, 1.0), float(self._slots))

    def _gradient(self, window: _window.Window) -> float:
        if window.failed_share > FAILED_SHARE_MAX:
            return GRADIENT_MIN
        ratio = self._tolerance / window.slowdown
        return min(1.0, max(GRADIENT_MIN, ratio))
