"""Split of one call's allowance among its attempts."""


class CallAllowance:
    """Allowance of one call at the node that sends its attempts.

    An attempt is granted half of what remains, rounded down, for the calls
    further downstream. The sender thus keeps at least as much for itself, so
    that it can retry when the answer to an attempt is lost and the whole
    grant counts as used.

    Parameters
    ----------
    allowance : int
        Extra attempts of the whole call: for a caller's request the allowance
        of the rules, for a downstream call the amount of its reservation.
    """

    def __init__(self, allowance: int) -> None:
        self._total = max(0, allowance)
        self._remaining = self._total
        self._granted = 0
        self._grant_exhausted = False

    @property
    def remaining(self) -> int:
        """Extra attempts that the call may still make."""
        return self._remaining

    @property
    def used(self) -> int:
        """Extra attempts that count as made, for ``AllowancePool.release``."""
        return self._total - self._remaining

    @property
    def grant_exhausted(self) -> bool:
        """Whether the last attempt used up its grant, which was not 0."""
        return self._grant_exhausted

    def grant(self) -> int:
        """Reserve and return the part that is sent with the next attempt."""
        self._granted = self._remaining // 2
        self._remaining -= self._granted
        self._grant_exhausted = False
        return self._granted

    def on_answer(self, used: int) -> None:
        """Reclaim the part of the grant that an answer reports as unused.

        Parameters
        ----------
        used : int
            Extra attempts made downstream. A negative number, or more than
            was granted, counts as the whole grant.
        """
        possible = 0 <= used <= self._granted
        used = used if possible else self._granted
        self._remaining += self._granted - used
        self._grant_exhausted = 0 < self._granted == used
        self._granted = 0

    def on_refused(self) -> None:
        """Reclaim the whole grant, since the attempt did not run."""
        self.on_answer(0)

    def on_lost(self) -> None:
        """Count the whole grant as used, because no answer came."""
        self._granted = 0

    def try_consume(self) -> bool:
        """Use one extra attempt; return False if none remains."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True
