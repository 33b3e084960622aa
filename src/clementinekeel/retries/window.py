"""Retry budget of a service over sliding windows.

A *retry* here is a second or later arrival of one request at the service. The
calls of a run that is a retry are made again too, and are counted apart. An
*urgent* request has the highest rank.

The budget handles backend servers that reject part of all requests for
seconds while the number of requests falls, because callers are throttled. The
number of allowed retries follows the present window, or a part of a busier one
before it, and a part of it is reserved for urgent requests. The nodes share
the budget without coordination: each uses its own part, and a fraction of one
retry is rounded up at some nodes, since 60 nodes with less than one retry each
would otherwise use none of 91.
"""

import collections

URGENT_SHARE = 0.7
"""Largest part of the budget that is reserved for urgent requests."""
URGENT_FACTOR = 3.0
"""Reserved part as a multiple of the urgent requests' share of all requests;
a service without urgent requests reserves nothing."""
EARLIER_WINDOW_WEIGHT = 0.5
"""Weight of the requests of an earlier window. The operators count the busiest
of three windows over all nodes; if each node took its own busiest one, demand
that moves from one node to another would count at both."""
BUCKETS = 40
"""Buckets of a window; the operators' window may begin within one, so that
one more than a window's is counted."""


class _BucketCounter:
    """Counts in buckets of a part of a window, kept for two windows."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUCKETS
        self._counts: collections.deque[list[int]] = collections.deque()

    def add(self, now: float) -> None:
        number = int(now / self._bucket_s)
        if self._counts and self._counts[-1][0] == number:
            self._counts[-1][1] += 1
            return
        self._counts.append([number, 1])
        while self._counts[0][0] < number - 2 * BUCKETS:
            self._counts.popleft()

    def total(
        self, now: float, buckets_ago: int = 0, buckets: int = BUCKETS
    ) -> int:
        """Return the count in the span that ended some buckets ago."""
        last = int(now / self._bucket_s) - buckets_ago
        return sum(n for b, n in self._counts if last - buckets < b <= last)


class WindowedBudget:
    """Budget of the retries that this node may send to one service.

    Parameters
    ----------
    window_s : float
        Length of the operators' window.
    rounding : float
        Fraction of a retry, from 0 to 1, that must remain in the budget
        before one more is allowed. Each node draws it at random, so that the
        sum over all nodes is close to their common budget.

    Attributes
    ----------
    extra : float
        Retries allowed in a window beyond the share, for this node; may
        change, as other nodes are found.
    """

    def __init__(
        self, window_s: float, extra: float = 0.0, rounding: float = 1.0
    ) -> None:
        self._requests = _BucketCounter(window_s)
        self._urgent = _BucketCounter(window_s)
        self._retries = _BucketCounter(window_s)
        self._calls_of_retries = _BucketCounter(window_s)
        self.extra = extra
        self._rounding = rounding

    def requests(self, now: float) -> int:
        """Return the number of requests in the window that ends now."""
        return self._requests.total(now)

    def retries(self, now: float, buckets: int = BUCKETS) -> int:
        """Return the number of retries and of calls of retries until now."""
        return self._retries.total(
            now, buckets=buckets
        ) + self._calls_of_retries.total(now, buckets=buckets)

    def on_first_attempt(self, now: float, is_urgent: bool) -> None:
        """Count a first attempt; not to be called for retries."""
        self._requests.add(now)
        if is_urgent:
            self._urgent.add(now)

    def try_consume(
        self,
        now: float,
        share: float,
        is_urgent: bool,
        total_share: float | None = None,
    ) -> bool:
        """Use one retry; return False if the budget has none.

        Parameters
        ----------
        share : float
            Retries allowed for each request of a window; a part of them is
            reserved for urgent requests.
        total_share : float or None
            Retries and calls of retries allowed together; None for ``share``.
        """
        total = share if total_share is None else total_share
        requests = self._counted_requests(now)
        allowed = requests * share + self.extra
        if not is_urgent:
            allowed *= 1 - self._urgent_share(now)
        used = self._retries.total(now, buckets=BUCKETS + 1)
        if used + self._rounding > allowed:
            return False
        if not self._has_room(now, requests * total):
            return False
        self._retries.add(now)
        return True

    def try_consume_call(self, now: float, total_share: float) -> bool:
        """Use the budget for a call of a retry; return False if it has none.

        Nothing is reserved from such calls: if one is refused, the run that
        made it is wasted.
        """
        if not self._has_room(now, self._counted_requests(now) * total_share):
            return False
        self._calls_of_retries.add(now)
        return True

    def _counted_requests(self, now: float) -> float:
        """Return the number of requests that the budget follows."""
        earlier = max(
            self._requests.total(now, BUCKETS // 2),
            self._requests.total(now, BUCKETS),
        )
        return max(self._requests.total(now), EARLIER_WINDOW_WEIGHT * earlier)

    def _has_room(self, now: float, allowed: float) -> bool:
        """Tell whether one more retry of any kind is allowed."""
        used = self.retries(now, BUCKETS + 1)
        return used + self._rounding <= allowed + self.extra

    def _urgent_share(self, now: float) -> float:
        """Return the part of the budget reserved for urgent requests."""
        requests = max(1, self._requests.total(now))
        share = self._urgent.total(now) / requests
        return min(URGENT_SHARE, URGENT_FACTOR * share)
