"""Token bucket whose caller passes the time."""

MS_PER_S = 1_000


class TokenBucket:
    """Limit on a rate, with a burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, which starts full.
    """

    __slots__ = ("_burst", "_rate_per_s", "_tokens", "_updated_ms")

    def __init__(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def try_consume(self, now_ms: int) -> bool:
        """Consume one token; return False if there is none."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        added = elapsed_ms * self._rate_per_s / MS_PER_S
        self._tokens = min(self._burst, self._tokens + added)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
