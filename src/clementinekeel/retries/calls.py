"""Allowance of one call at the node that sends its attempts."""


class CallAllowance:
    """Allowance of one call at the node that sends its attempts.

    An attempt is granted half of what is left, rounded down. The sender thus
    keeps at least as much for itself, so that it can try again when an
    attempt's answer is lost and everything granted counts as used.

    Parameters
    ----------
    allowance : int
        Extra attempts of the whole call: the allowance of the rules at the
        entry node, a draw's amount for an onward call.
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
        """Whether the last attempt used up all that it was granted."""
        return self._grant_exhausted

    def grant(self) -> int:
        """Take the part that goes with the next attempt."""
        self._granted = self._remaining // 2
        self._remaining -= self._granted
        self._grant_exhausted = False
        return self._granted

    def on_answer(self, used: int) -> None:
        """Take back what an answer reports as unused.

        Parameters
        ----------
        used : int
            Extra attempts made further down. An impossible figure counts as
            everything granted.
        """
        possible = 0 <= used <= self._granted
        used = used if possible else self._granted
        self._remaining += self._granted - used
        self._grant_exhausted = 0 < self._granted == used
        self._granted = 0

    def on_refused(self) -> None:
        """Take everything back, since the attempt did not run."""
        self.on_answer(0)

    def on_lost(self) -> None:
        """Count everything granted as used, because no answer came."""
        self._granted = 0

    def try_consume(self) -> bool:
        """Use one extra attempt; False if there is none."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True
