"""Split of one request's allowance among its downstream calls.

An extra attempt repeats the whole part of the call tree below it, so it adds
at most one arrival at any service. A total of 2 extra attempts in a tree thus
bounds the arrivals of one request at 3. Allowances are only ever split and
used up: what one part of the tree may have used is never granted to another.
"""

from typing import NamedTuple

DEFAULT_ALLOWANCE = 2


class Reservation(NamedTuple):
    """Part of a pool that is reserved for one downstream call.

    Attributes
    ----------
    number : int
        Identifies the reservation in its pool; 0 belongs to no pool.
    amount : int
        Extra attempts that the downstream call may make.
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
        """Extra attempts that are not reserved or used."""
        return self._remaining

    @property
    def used(self) -> int:
        """Extra attempts to report in the response.

        Reservations that have not been released count as used.
        """
        return self._total - self._remaining

    def reserve(self) -> Reservation:
        """Reserve half of what remains, rounded up, for a downstream call."""
        amount = (self._remaining + 1) // 2
        self._remaining -= amount
        self._reservations += 1
        self._outstanding[self._reservations] = amount
        return Reservation(self._reservations, amount)

    def release(self, reservation: Reservation, used: int) -> None:
        """Return the unused part of a reservation to the pool.

        Releasing a reservation again has no effect.

        Parameters
        ----------
        reservation : Reservation
            Reservation of the downstream call.
        used : int
            Extra attempts that the call made. A negative number, or more
            than was reserved, counts as the whole reservation.
        """
        amount = self._outstanding.pop(reservation.number, 0)
        if 0 <= used <= amount:
            self._remaining += amount - used

    def mark_used(self, reservation: Reservation) -> None:
        """Count a whole reservation as used, because no answer came."""
        self._outstanding.pop(reservation.number, None)

    def exhaust(self) -> None:
        """Count the whole allowance as used, as a downstream call failed.

        The node nearest to a failing service can retry at the lowest cost.
        If the nodes upstream of it retried after its last attempt, each of
        them would add its own retry budget to the load of that service.
        """
        self._remaining = 0
        self._outstanding.clear()


def reserve_downstream(pool: AllowancePool | None) -> Reservation:
    """Reserve the part of a downstream call; without a pool it is 0.

    Parameters
    ----------
    pool : AllowancePool or None
        Pool of the request that the call's context names, if there is one.
    """
    return pool.reserve() if pool is not None else Reservation(0, 0)
