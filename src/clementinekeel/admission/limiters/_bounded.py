"""A limit between 1 and the slots, common to the adaptive limiters."""


class BoundedLimit:
    """Limit that starts at the slots.

    Parameters
    ----------
    slots : int
        Upper bound.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)

    @property
    def limit(self) -> float:
        """Present limit."""
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Change the upper bound; a limit that was at it stays at it."""
        if self._limit >= self._slots:
            self._limit = float(slots)
        self._slots = slots
        self._limit = min(self._limit, float(slots))
