"""Useful work of the slots, by requests of known size."""

from clementinekeel.admission.limiters import _window
from clementinekeel.admission.limiters import limiter

# Time constants of the normal service time of a rank. Falling faster corrects
# a value learnt while the service was slow; rising slowly keeps an overload of
# a minute from becoming the normal state. They count time and not requests: at
# 500 requests a second a normal time that rises by request would change
# within a trial and make every step seem to pay.
NORMAL_FALL_MS = 2_000
NORMAL_RISE_MS = 50_000
# After a pause one request must not replace what was learnt.
NORMAL_WEIGHT_MAX = 0.05
# The first requests of a rank set its normal time together, because a single
# one may be far from it.
FIRST_SAMPLES = 10
# Samples kept in the yield; more would hide a change for longer.
YIELD_SAMPLES = 200


class _Totals:
    """Sums over samples."""

    def __init__(self) -> None:
        self.samples = 0.0
        self.succeeded = 0.0
        self.slowdown = 0.0
        self.succeeded_slowdown = 0.0
        self.service_ms = 0.0
        self.service_ms_squared = 0.0
        self.is_limited = False

    def add(self, sample: limiter.Sample, slowdown: float) -> None:
        self.samples += 1
        self.slowdown += slowdown
        self.service_ms += sample.service_ms
        self.service_ms_squared += sample.service_ms**2
        self.is_limited = self.is_limited or sample.is_limited
        if sample.ok:
            self.succeeded += 1
            self.succeeded_slowdown += slowdown

    def halve(self) -> None:
        self.samples /= 2
        self.succeeded /= 2
        self.slowdown /= 2
        self.succeeded_slowdown /= 2
        self.service_ms /= 2
        self.service_ms_squared /= 2


class _Normal:
    """Normal service time of one rank."""

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self._samples = 0
        self._last_ms = 0

    def add(self, service_ms: float, now_ms: int) -> None:
        self._samples += 1
        is_fall = service_ms < self.mean_ms
        constant_ms = NORMAL_FALL_MS if is_fall else NORMAL_RISE_MS
        elapsed_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        weight = min(elapsed_ms / constant_ms, NORMAL_WEIGHT_MAX)
        if self._samples <= FIRST_SAMPLES:
            weight = 1 / self._samples
        self.mean_ms += weight * (service_ms - self.mean_ms)


class YieldMeter:
    """Measures windows, and the yield since the limit was last changed.

    Service times count in multiples of the normal time of their rank, so
    that a recording among lookups is no sign of a slow service.
    """

    def __init__(self, now_ms: int) -> None:
        self._normal: dict[int, _Normal] = {}
        self._window = _Totals()
        self._window_start_ms = now_ms
        self._recent = _Totals()

    @property
    def samples(self) -> float:
        """Samples in the yield."""
        return self._recent.samples

    @property
    def service_ms(self) -> float:
        """Mean service time of what a slot runs at a random moment.

        The mean of all samples would be that of the many short requests,
        even where the long ones take most of the time.
        """
        recent = self._recent
        return recent.service_ms_squared / max(1.0, recent.service_ms)

    def slot_yield(self) -> float:
        """Return the successes per time for which a slot was held.

        Unlike a count of answers it does not depend on the arrivals.
        """
        recent = self._recent
        return recent.succeeded / max(recent.slowdown, 1e-3)

    def recent(self) -> _window.Window:
        """Return the samples of the yield as a window."""
        return _summarize(self._recent)

    def forget(self) -> None:
        """Begin a new yield."""
        self._recent = _Totals()

    def add(
        self, sample: limiter.Sample, now_ms: int
    ) -> _window.Window | None:
        """Add a sample; return the window when this one completes it."""
        slowdown = self._slowdown(sample, now_ms)
        self._window.add(sample, slowdown)
        self._recent.add(sample, slowdown)
        if self._recent.samples >= YIELD_SAMPLES:
            self._recent.halve()
        if not self._is_complete(now_ms):
            return None
        window = _summarize(self._window)
        self._window = _Totals()
        self._window_start_ms = now_ms
        return window

    def _slowdown(self, sample: limiter.Sample, now_ms: int) -> float:
        normal = self._normal.setdefault(sample.rank, _Normal())
        service_ms = max(sample.service_ms, 0.1)
        if sample.ok:
            # Failures are often much faster or slower than the work itself.
            normal.add(service_ms, now_ms)
        if not normal.mean_ms:
            return 1.0
        return service_ms / normal.mean_ms

    def _is_complete(self, now_ms: int) -> bool:
        age_ms = now_ms - self._window_start_ms
        if age_ms >= _window.WINDOW_MAX_MS:
            return True
        return (
            age_ms >= _window.WINDOW_MS
            and self._window.samples >= _window.WINDOW_SAMPLES
        )


def _summarize(totals: _Totals) -> _window.Window:
    slowdown = 1.0
    if totals.succeeded:
        slowdown = totals.succeeded_slowdown / totals.succeeded
    failed = totals.samples - totals.succeeded
    return _window.Window(slowdown, failed / totals.samples, totals.is_limited)
