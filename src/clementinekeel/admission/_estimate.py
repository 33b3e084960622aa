"""Estimates of service times from recent requests."""

import math

# Weight of one request: the estimate follows about the last ten.
SAMPLE_WEIGHT = 0.1
# The spread relative to the mean changes less than the mean, and an error in
# it moves the estimate of the p99 more.
SPREAD_WEIGHT = 0.02
# A jump of the mean is no spread: larger errors count as this many spreads.
SPREAD_ERROR_MAX = 4.0
SPREAD_FIRST = 0.25
SPREAD_MIN = 0.01
# The p99 of admitted requests has to be within the deadline, and work that
# ends late is wasted. The p99 of a normal distribution is 2.33 standard
# deviations or 2.92 mean deviations above its mean; service times are closer
# to normal on a logarithmic scale.
SAFETY_DEVIATIONS = 2.92
# Bounds the estimate where a rank has few long and many short requests.
PEAK_WEIGHT = 0.003
TIME_MIN_MS = 0.1


class _Average:
    """Moving mean, spread on a logarithmic scale, and recent maximum."""

    __slots__ = ("_log_mean", "_peak", "_spread", "mean")

    def __init__(self, first: float) -> None:
        self.mean = first
        self._log_mean = math.log(max(first, TIME_MIN_MS))
        self._spread = SPREAD_FIRST
        self._peak = first * 2

    @property
    def p99(self) -> float:
        """Time within which 99 of 100 finish."""
        log_p99 = self._log_mean + SAFETY_DEVIATIONS * self._spread
        return max(self.mean, min(math.exp(log_p99), self._peak))

    def add(self, value: float) -> None:
        self.mean += SAMPLE_WEIGHT * (value - self.mean)
        error = math.log(max(value, TIME_MIN_MS)) - self._log_mean
        self._log_mean += SAMPLE_WEIGHT * error
        largest = SPREAD_ERROR_MAX * max(self._spread, SPREAD_MIN)
        deviation = min(abs(error), largest)
        self._spread += SPREAD_WEIGHT * (deviation - self._spread)
        self._peak += PEAK_WEIGHT * (self.mean - self._peak)
        self._peak = max(self._peak, value)


class ServiceTimes:
    """Service times of one backend server, in all and by rank.

    Ranks are kept apart because a slow internal lookup says nothing about
    the time that a booking takes.
    """

    def __init__(self) -> None:
        self._overall: _Average | None = None
        self._by_rank: dict[int, _Average] = {}

    @property
    def mean_ms(self) -> float:
        """Mean over all ranks, 0 before the first request."""
        return self._overall.mean if self._overall else 0.0

    def add(self, rank: int, ok: bool, service_ms: float) -> None:
        """Learn from a finished request."""
        if not ok and service_ms < self.rank_mean_ms(rank):
            # A fast failure says nothing about the time the work takes; a
            # slow one shows that it takes at least as long.
            return
        if self._overall is None:
            self._overall = _Average(service_ms)
        else:
            self._overall.add(service_ms)
        average = self._by_rank.get(rank)
        if average is None:
            self._by_rank[rank] = _Average(service_ms)
        else:
            average.add(service_ms)

    def rank_mean_ms(self, rank: int) -> float:
        """Return the mean of a rank, or of all if the rank is unknown."""
        average = self._by_rank.get(rank)
        return average.mean if average else self.mean_ms

    def safe_ms(self, rank: int) -> float:
        """Return a time within which nearly all of a rank finish."""
        average = self._by_rank.get(rank) or self._overall
        if average is None:
            return 0.0
        return average.p99
