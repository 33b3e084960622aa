"""Limiter with additive increase and multiplicative decrease."""

from clementinekeel.admission.limiters import _bounded
from clementinekeel.admission.limiters import _window
from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model

# A window above one of these values counts as overloaded. Windows of ten
# samples reach a slowdown of 1.5 by chance, but not 2.
SLOWDOWN_MAX = 2.0
FAILED_SHARE_MAX = 0.3
# Increase per window, as a share of the slots. The full limit returns within
# 2.5 s of the end of an overload (target: 3 s).
INCREASE_SHARE = 0.04
DECREASE_FACTOR = {
    model.Objective.GOODPUT: 0.9,
    model.Objective.RECOVERY_TIME: 0.7,
}


@limiter.LIMITERS.register("aimd")
class AimdLimiter(_bounded.BoundedLimit):
    """Raises the limit in steps and cuts it after an overloaded window."""

    def __init__(
        self, slots: int, objective: model.Objective, now_ms: int
    ) -> None:
        super().__init__(slots)
        self._decrease = DECREASE_FACTOR[objective]
        self._meter = _window.WindowMeter(now_ms)

    def on_finished(self, sample: limiter.Sample, now_ms: int) -> None:
        """Adapt the limit at the end of each window."""
        window = self._meter.add(sample, now_ms)
        if window is None:
            return
        if self._is_overloaded(window):
            self._limit = max(1.0, self._limit * self._decrease)
        elif window.is_limited:
            step = max(1.0, INCREASE_SHARE * self._slots)
            self._limit = min(float(self._slots), self._limit + step)

    def _is_overloaded(self, window: _window.Window) -> bool:
        return (
            window.slowdown > SLOWDOWN_MAX
            or window.failed_share > FAILED_SHARE_MAX
        )
