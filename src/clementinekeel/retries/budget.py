"""Retry budget of each service."""

DEFAULT_SHARE = 0.1
DEFAULT_CAP = 10
"""Capacity of a bucket: the largest burst of retries after a time without any.

With 125 calls a second at an endpoint, 10 retries are a short burst, yet
enough for the calls in flight at one lost node.
"""


class RetryBudget:
    """Token bucket of each service, filled by first attempts.

    Buckets start empty, so the retries of a service never exceed the share of
    its first attempts.

    Parameters
    ----------
    share : float
        Retries as a share of first attempts, at most 1.
    cap : int
        Capacity of a bucket, in retries.

    Raises
    ------
    ValueError
        If the share is not between 0 and 1 or the cap is below 1.
    """

    _UNITS_PER_RETRY = 1_000_000
    # Integer units, because ten additions of 0.1 do not give 1.0 in floating
    # point.

    def __init__(
        self, share: float = DEFAULT_SHARE, cap: int = DEFAULT_CAP
    ) -> None:
        if not 0 <= share <= 1:
            raise ValueError("the share of retries is not between 0 and 1")
        if cap < 1:
            raise ValueError("the cap on saved retries is below 1")
        self._units_per_attempt = round(share * self._UNITS_PER_RETRY)
        self._max_units = cap * self._UNITS_PER_RETRY
        self._units: dict[str, int] = {}

    def available(self, service: str) -> int:
        """Return how many retries the bucket of a service holds."""
        return self._units.get(service, 0) // self._UNITS_PER_RETRY

    def on_first_attempt(self, service: str) -> None:
        """Add the share of one first attempt; not to be called for retries."""
        units = self._units.get(service, 0) + self._units_per_attempt
        self._units[service] = min(units, self._max_units)

    def try_consume(self, service: str) -> bool:
        """Use one retry; return False if the budget has none."""
        if self.available(service) == 0:
            return False
        self._units[service] -= self._UNITS_PER_RETRY
        return True

    def remove(self, service: str) -> None:
        """Remove the bucket of a service that left the inventory."""
        self._units.pop(service, None)
