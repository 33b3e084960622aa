"""Token bucket on explicit time."""

MS_PER_S = 1_000


class TokenBucket:
    """Limit of a rate with a burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens added a second.
    burst : float
        Most tokens held; the bucket starts full.
    """

    __slots__ = ("_burst", "_rate_per_s", "_tokens", "_updated_ms")

    def __init__(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def try_consume(self, now_ms: int) -> bool:
        """Take one token if there is one."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        added = elapsed_ms * self._rate_per_s / MS_PER_S
        self._tokens = min(self._burst, self._tokens + added)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
