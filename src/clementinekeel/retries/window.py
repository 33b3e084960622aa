"""Budget of repeated arrivals at a service, over sliding windows.

Load pattern answered: backend servers turn a part of all requests away for
seconds while the number of requests falls, because callers are throttled. The
repeats allowed follow the busiest of the last windows, as the operators count
them, and urgent requests keep a part of them for themselves. The nodes share
the budget without talking to each other: each takes its own part, a fraction
of one repeat included, since 60 nodes with less than one repeat each would
use nothing of 91.
"""

import collections

URGENT_SHARE = 0.7
"""Largest part of the budget that only requests of the highest rank may use.
"""
URGENT_FACTOR = 3.0
"""The part kept for them as a multiple of their share of the requests: a
service without urgent requests keeps nothing back."""


class _Counter:
    """Counts in buckets of a tenth of a window, kept for two windows."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / 10
        self._counts: collections.deque[list[int]] = collections.deque()

    def add(self, now: float) -> None:
        number = int(now / self._bucket_s)
        if self._counts and self._counts[-1][0] == number:
            self._counts[-1][1] += 1
            return
        self._counts.append([number, 1])
        while self._counts[0][0] < number - 21:
            self._counts.popleft()

    def total(self, now: float, end: int) -> int:
        """Return the count of one window that ended ``end`` buckets ago."""
        last = int(now / self._bucket_s) - end
        return sum(n for b, n in self._counts if last - 10 < b <= last)


class WindowedBudget:
    """Repeats of one service that this node may cause.

    Parameters
    ----------
    window_s : float
        Length of the operators' window.
    extra : float
        Repeats allowed in a window beyond the share, for this node.
    rounding : float
        Fraction of a repeat, from 0 up to 1, that has to be left over before
        one more is allowed. Drawn at random by each node, so that all nodes
        together round to their common budget.
    """

    def __init__(
        self, window_s: float, extra: float, rounding: float = 1.0
    ) -> None:
        self._requests = _Counter(window_s)
        self._urgent = _Counter(window_s)
        self._repeats = _Counter(window_s)
        self._extra = extra
        self._rounding = rounding

    def on_first_attempt(self, now: float, is_urgent: bool) -> None:
        """Count a request; repeats must not be counted."""
        self._requests.add(now)
        if is_urgent:
            self._urgent.add(now)

    def try_consume(self, now: float, share: float, is_urgent: bool) -> bool:
        """Use one repeat; False if there is none.

        Parameters
        ----------
        share : float
            Repeats allowed for each request of a window.
        """
        busiest = max(
            self._requests.total(now, 0),
            self._requests.total(now, 5),
            self._requests.total(now, 10),
        )
        allowed = busiest * share + self._extra
        if not is_urgent:
            allowed *= 1 - self._urgent_share(now)
        # The bucket that has just left still counts: the operators' window
        # may begin within it.
        used = max(self._repeats.total(now, 0), self._repeats.total(now, 1))
        if used + self._rounding > allowed:
            return False
        self._repeats.add(now)
        return True

    def _urgent_share(self, now: float) -> float:
        """Return the part of the budget that urgent requests keep."""
        requests = max(1, self._requests.total(now, 0))
        share = self._urgent.total(now, 0) / requests
        return min(URGENT_SHARE, URGENT_FACTOR * share)
