"""Shares of one request's allowance of extra attempts.

An extra attempt repeats the whole part of the call tree below it, so it adds
at most one arrival at any service. A total of 2 extra attempts in a tree thus
bounds the arrivals of one request at 3. Allowances are only ever split and
used up: what one part of the tree may have used is never given to another.
"""

from typing import NamedTuple

DEFAULT_ALLOWANCE = 2


class Reservation(NamedTuple):
    """Part of a pool that one onward call holds.

    Attributes
    ----------
    number : int
        Identifies the draw in its pool; 0 belongs to no pool.
    amount : int
        Extra attempts that the onward call may make.
    """

    number: int
    amount: int


class AllowancePool:
    """Allowance of one request while this node serves it.

    Parameters
    ----------
    allowance : int
        Extra attempts that the request's sender granted; negative counts
        as 0.
    """

    def __init__(self, allowance: int) -> None:
        self._total = max(0, allowance)
        self._remaining = self._total
        self._outstanding: dict[int, int] = {}
        self._reservations = 0

    @property
    def remaining(self) -> int:
        """Extra attempts that the next onward calls can draw from."""
        return self._remaining

    @property
    def used(self) -> int:
        """What the response reports; draws not returned count as used."""
        return self._total - self._remaining

    def reserve(self) -> Reservation:
        """Take half of what is left, rounded up, for an onward call."""
        amount = (self._remaining + 1) // 2
        self._remaining -= amount
        self._reservations += 1
        self._outstanding[self._reservations] = amount
        return Reservation(self._reservations, amount)

    def release(self, reservation: Reservation, used: int) -> None:
        """Return the unused part of a draw; a second return has no effect.

        Parameters
        ----------
        reservation : Reservation
            Part that an onward call took.
        used : int
            Extra attempts that the call made. An impossible figure counts
            as all of the draw.
        """
        amount = self._outstanding.pop(reservation.number, 0)
        if 0 <= used <= amount:
            self._remaining += amount - used

    def mark_used(self, reservation: Reservation) -> None:
        """Count a draw as used, because no answer came."""
        self._outstanding.pop(reservation.number, None)

    def exhaust(self) -> None:
        """Use up everything, since an onward call was given up.

        The node nearest to a failing service is the cheapest place to try
        again. Were the nodes above it to try again after it gave up, each of
        them would add its own budget of retries to the failing service.
        """
        self._remaining = 0
        self._outstanding.clear()


def reserve_downstream(pool: AllowancePool | None) -> Reservation:
    """Return an onward call's part; without a context it is 0.

    Parameters
    ----------
    pool : AllowancePool or None
        Pool of the request that the call's context names, if there is one.
    """
    return pool.reserve() if pool is not None else Reservation(0, 0)
