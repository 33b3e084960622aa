"""Base class of the adaptive limiters."""


class BoundedLimit:
    """Limit between 1 and the number of slots, where it starts.

    Parameters
    ----------
    slots : int
        Upper bound of the limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)

    @property
    def limit(self) -> float:
        """Current limit."""
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Change the upper bound; a limit at the old bound follows it."""
        if self._limit >= self._slots:
            self._limit = float(slots)
        self._slots = slots
        self._limit = min(self._limit, float(slots))
