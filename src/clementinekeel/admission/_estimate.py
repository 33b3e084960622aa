"""Estimates of service times from recent requests."""

import math

# Weight of one request: the estimate follows about the last ten.
SAMPLE_WEIGHT = 0.1
# The spread relative to the mean changes less than the mean, and an error in
# it moves the estimate of the p99 more.
SPREAD_WEIGHT = 0.02
# A jump of the mean must not count as spread: the error of a sample is capped
# at this many mean deviations.
SPREAD_ERROR_MAX = 4.0
SPREAD_START = 0.25
SPREAD_MIN = 0.01
# The p99 of admitted requests has to be within the deadline, and work that
# ends late is wasted. The p99 of a normal distribution is 2.33 standard
# deviations or 2.92 mean deviations above its mean; service times are closer
# to normal on a logarithmic scale.
P99_DEVIATIONS = 2.92
# Weight with which the recent maximum decays to the mean. The maximum bounds
# the p99 where a rank has few long and many short requests.
PEAK_DECAY = 0.003
TIME_MIN_MS = 0.1


class _MovingEstimate:
    """Moving mean, spread and recent maximum.

    The spread is the mean absolute deviation on a logarithmic scale.
    """

    __slots__ = ("_log_mean", "_peak", "_spread", "mean")

    def __init__(self, first: float) -> None:
        self.mean = first
        self._log_mean = math.log(max(first, TIME_MIN_MS))
        self._spread = SPREAD_START
        self._peak = first * 2

    @property
    def p99(self) -> float:
        """Time within which 99 of 100 requests finish."""
        log_p99 = self._log_mean + P99_DEVIATIONS * self._spread
        return max(self.mean, min(math.exp(log_p99), self._peak))

    def add(self, value: float) -> None:
        self.mean += SAMPLE_WEIGHT * (value - self.mean)
        error = math.log(max(value, TIME_MIN_MS)) - self._log_mean
        self._log_mean += SAMPLE_WEIGHT * error
        error_max = SPREAD_ERROR_MAX * max(self._spread, SPREAD_MIN)
        deviation = min(abs(error), error_max)
        self._spread += SPREAD_WEIGHT * (deviation - self._spread)
        self._peak += PEAK_DECAY * (self.mean - self._peak)
        self._peak = max(self._peak, value)


class ServiceTimes:
    """Service times of one backend server, overall and by rank.

    Each rank has an estimate of its own, because a slow internal lookup says
    nothing about the time that a booking takes.
    """

    def __init__(self) -> None:
        self._overall: _MovingEstimate | None = None
        self._by_rank: dict[int, _MovingEstimate] = {}

    @property
    def mean_ms(self) -> float:
        """Mean over all ranks, 0 before the first request."""
        return self._overall.mean if self._overall else 0.0

    def add(self, rank: int, ok: bool, service_ms: float) -> None:
        """Add the service time of a finished request."""
        if not ok and service_ms < self.rank_mean_ms(rank):
            # A fast failure says nothing about the time the work takes; a
            # slow one shows that it takes at least as long.
            return
        if self._overall is None:
            self._overall = _MovingEstimate(service_ms)
        else:
            self._overall.add(service_ms)
        estimate = self._by_rank.get(rank)
        if estimate is None:
            self._by_rank[rank] = _MovingEstimate(service_ms)
        else:
            estimate.add(service_ms)

    def rank_mean_ms(self, rank: int) -> float:
        """Return the mean of a rank, or of all ranks if it is unknown."""
        estimate = self._by_rank.get(rank)
        return estimate.mean if estimate else self.mean_ms

    def rank_p99_ms(self, rank: int) -> float:
        """Return the p99 of a rank, or of all ranks if it is unknown."""
        estimate = self._by_rank.get(rank) or self._overall
        if estimate is None:
            return 0.0
        return estimate.p99
