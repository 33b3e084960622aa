"""Goodput per slot, with service times relative to the normal ones.

The normal service time of a rank is a moving average that follows faster
service quickly and slower service slowly.
"""

from clementinekeel.admission.limiters import _window
from clementinekeel.admission.limiters import limiter

# Time constants of the normal service time of a rank. The fast fall corrects
# a value that was measured while the service was slow; the slow rise keeps an
# overload of a minute from becoming the normal state. They count time and not
# requests: at 500 requests a second, a normal time that rises with each
# request would change within a trial, and every step would seem to raise the
# goodput.
NORMAL_FALL_MS = 2_000
NORMAL_RISE_MS = 50_000
# After a pause, one request must not replace the earlier average.
NORMAL_WEIGHT_MAX = 0.05
# The normal time of a rank starts as the mean of its first requests, because
# a single one may be far from it.
INITIAL_SAMPLES = 10
# At this many samples the sums of the recent samples are halved; a higher
# number would hide a change for longer.
RECENT_SAMPLES_MAX = 200


class _Totals:
    """Sums over samples, with slowdowns relative to the normal time."""

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


class _NormalTime:
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
        if self._samples <= INITIAL_SAMPLES:
            weight = 1 / self._samples
        self.mean_ms += weight * (service_ms - self.mean_ms)


class GoodputMeter:
    """Measures windows, and the goodput per slot over the recent samples.

    The recent samples are those since ``clear_recent``, which a limiter calls
    when it changes the limit. Service times count in multiples of the normal
    time of their rank, so that a recording among lookups is no sign of a slow
    service.
    """

    def __init__(self, now_ms: int) -> None:
        self._normal: dict[int, _NormalTime] = {}
        self._window = _Totals()
        self._window_start_ms = now_ms
        self._recent = _Totals()

    @property
    def samples(self) -> float:
        """Number of recent samples."""
        return self._recent.samples

    @property
    def service_ms(self) -> float:
        """Mean service time of the request in a slot at a random moment.

        The mean over the samples would be that of the many short requests,
        even where the long ones take most of the time.
        """
        recent = self._recent
        return recent.service_ms_squared / max(1.0, recent.service_ms)

    def goodput_per_slot(self) -> float:
        """Return the successes per normal service time of a busy slot.

        Unlike a count of answers, this does not depend on the arrivals.
        """
        recent = self._recent
        return recent.succeeded / max(recent.slowdown, 1e-3)

    def recent_window(self) -> _window.Window:
        """Return the recent samples as a window."""
        return _summarize(self._recent)

    def clear_recent(self) -> None:
        """Discard the recent samples."""
        self._recent = _Totals()

    def add(
        self, sample: limiter.Sample, now_ms: int
    ) -> _window.Window | None:
        """Add a sample; return the window when this one completes it."""
        slowdown = self._slowdown(sample, now_ms)
        self._window.add(sample, slowdown)
        self._recent.add(sample, slowdown)
        if self._recent.samples >= RECENT_SAMPLES_MAX:
            self._recent.halve()
        if not self._is_complete(now_ms):
            return None
        window = _summarize(self._window)
        self._window = _Totals()
        self._window_start_ms = now_ms
        return window

    def _slowdown(self, sample: limiter.Sample, now_ms: int) -> float:
        normal = self._normal.setdefault(sample.rank, _NormalTime())
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
