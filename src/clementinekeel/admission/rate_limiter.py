"""How many requests a second are sent to a backend server with a rate limit.

The limiter is made for this load pattern: for seconds, a backend server takes
fewer requests a second than arrive and than it has slots for. Permits
accumulate at the rate of the limit, so that its requests are spread evenly.
"""

MIN_RATE_PER_S = 0.5
"""Rate at which requests are sent however low the limit is: only an answer
tells that a limit has ended."""
BURST_S = 0.25
"""Time for which permits accumulate while no request uses them."""
MIN_WAIT_S = 0.001
"""Resolution of the event loop's clock; a shorter wait would be repeated until
the clock has advanced."""
_ROUNDING = 1e-6
"""Permits that may be missing because of rounded times."""


class RateLimiter:
    """Permits of a token bucket, or any number of them without a limit."""

    def __init__(self) -> None:
        self._rate_per_s: float | None = None
        self._permits = 0.0
        self._updated_at = 0.0

    @property
    def interval_ms(self) -> float:
        """Mean time between two requests; 0 without a limit."""
        return 1000 / self._rate_per_s if self._rate_per_s else 0.0

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Change the limit.

        No permits are granted at the start of a limit: the backend server has
        just got requests without one.

        Parameters
        ----------
        limit_per_s : float or None
            Limit in requests a second; None for no limit.
        now : float
            The runtime's clock, in seconds.
        """
        self._accumulate(now)
        if limit_per_s is None:
            self._rate_per_s = None
            self._permits = 0.0
            return
        self._rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
        self._permits = min(self._permits, self._max_permits)

    def try_consume(self, now: float) -> bool:
        """Use a permit; return False if there is none."""
        if self._rate_per_s is None:
            return True
        self._accumulate(now)
        if self._permits < 1 - _ROUNDING:
            return False
        self._permits -= 1
        return True

    def consume(self, now: float) -> None:
        """Use a permit that later requests then lack if there is none."""
        if self._rate_per_s is not None:
            self._accumulate(now)
            self._permits -= 1

    def next_permit_at(self, now: float) -> float:
        """Return when a permit is available; ``now`` or later."""
        if self._rate_per_s is None:
            return now
        self._accumulate(now)
        if self._permits >= 1 - _ROUNDING:
            return now
        return now + max(MIN_WAIT_S, (1 - self._permits) / self._rate_per_s)

    @property
    def _max_permits(self) -> float:
        return max(1.0, (self._rate_per_s or 0.0) * BURST_S)

    def _accumulate(self, now: float) -> None:
        if self._rate_per_s is not None:
            gained = (now - self._updated_at) * self._rate_per_s
            self._permits = min(self._max_permits, self._permits + gained)
        self._updated_at = now
