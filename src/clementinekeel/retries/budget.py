"""Budget of retries for each service."""

DEFAULT_SHARE = 0.1
DEFAULT_CAP = 10
"""Retries that may be saved up; a burst after a calm time has at most these.

With 125 calls a second at an endpoint, 10 retries are a short burst, yet
enough for the calls in flight at one lost node.
"""


class RetryBudget:
    """Token bucket for each service, filled by first attempts.

    Buckets start empty, so the retries of a service never exceed the share of
    its first attempts.

    Parameters
    ----------
    share : float
        Retries as a share of first attempts, at most 1.
    cap : int
        Most retries that can be saved up for one service.

    Raises
    ------
    ValueError
        If the share is not between 0 and 1 or the cap is below 1.
    """

    _UNITS_PER_RETRY = 1_000_000
    # Whole units: adding 0.1 ten times does not make 1.0 in floating point.

    def __init__(
        self, share: float = DEFAULT_SHARE, cap: int = DEFAULT_CAP
    ) -> None:
        if not 0 <= share <= 1:
            raise ValueError("the share of retries is not between 0 and 1")
        if cap < 1:
            raise ValueError("the cap on saved retries is below 1")
        self._gain = round(share * self._UNITS_PER_RETRY)
        self._cap = cap * self._UNITS_PER_RETRY
        self._units: dict[str, int] = {}

    def available(self, service: str) -> int:
        """Return the retries that a service may make at once."""
        return self._units.get(service, 0) // self._UNITS_PER_RETRY

    def on_first_attempt(self, service: str) -> None:
        """Count a first attempt; retries must not be counted."""
        units = self._units.get(service, 0) + self._gain
        self._units[service] = min(units, self._cap)

    def try_consume(self, service: str) -> bool:
        """Use one retry; False if the budget has none."""
        if self.available(service) == 0:
            return False
        self._units[service] -= self._UNITS_PER_RETRY
        return True

    def forget(self, service: str) -> None:
        """Drop the bucket of a service that left the inventory."""
        self._units.pop(service, None)
