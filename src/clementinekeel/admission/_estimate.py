"""Estimates of service times from recent requests."""

# Weight of one request: the estimate follows about the last ten.
SAMPLE_WEIGHT = 0.1
# Deviations added to the mean where a request has waited: the p99 of admitted
# requests has to be within the deadline, and work that ends late is wasted.
SAFETY_DEVIATIONS = 3.0


class _Average:
    """Moving mean and mean deviation."""

    __slots__ = ("deviation", "mean")

    def __init__(self, first: float) -> None:
        self.mean = first
        self.deviation = first / 4

    def add(self, value: float) -> None:
        error = value - self.mean
        self.mean += SAMPLE_WEIGHT * error
        self.deviation += SAMPLE_WEIGHT * (abs(error) - self.deviation)


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
        return average.mean + SAFETY_DEVIATIONS * average.deviation
