"""Slots that are reserved for important ranks."""

from collections.abc import Mapping

# A rank whose requests wait longer than this share of their service time
# lacks slots. The target for bookings during a flood is 1.2 times the p99
# without it.
WAIT_SHARE_HIGH = 0.10
WAIT_SHARE_LOW = 0.03
WAIT_SHARE_WEIGHT = 0.05
# A reservation grows by at most one slot per this many starts of the rank, so
# that each step shows its effect first; it shrinks more slowly, because the
# next flood may be near.
GROWTH_STARTS = 5
SHRINK_STARTS = 50
RESERVED_SHARE_MAX = 0.25


class _Reservation:
    """Slots reserved for one rank and the more important ones."""

    __slots__ = ("slots", "starts", "wait_share")

    def __init__(self) -> None:
        self.slots = 0
        self.starts = 0
        self.wait_share = 0.0


class SlotReservations:
    """Reserves slots by rank, more while important requests still wait.

    A reservation caps the slots that less important ranks hold; it doesn't
    keep a number of slots free. Slots that important requests hold count
    towards the reservation, so that no slot stays unused while they are busy.
    """

    def __init__(self) -> None:
        self._reservations: dict[int, _Reservation] = {0: _Reservation()}

    def on_start(
        self, rank: int, waited_ms: float, service_ms: float, limit: int
    ) -> None:
        """Adapt a reservation to the time that a request waited for a slot."""
        reservation = self._reservations.get(rank)
        if reservation is None:
            reservation = self._reservations[rank] = _Reservation()
        share = min(waited_ms / max(service_ms, 1.0), 1.0)
        reservation.wait_share += WAIT_SHARE_WEIGHT * (
            share - reservation.wait_share
        )
        reservation.starts += 1
        self._adapt(reservation, limit)

    def allows(
        self, rank: int, limit: int, running_by_rank: Mapping[int, int]
    ) -> bool:
        """Tell whether a rank may take one more slot.

        Parameters
        ----------
        running_by_rank : Mapping
            Number of running requests, by rank.
        """
        for important, reservation in self._reservations.items():
            if important >= rank:
                continue
            slots = self._reserved(important, reservation, limit)
            less_important = sum(
                n for other, n in running_by_rank.items() if other > important
            )
            if less_important >= limit - slots:
                return False
        return True

    def _reserved(
        self, rank: int, reservation: _Reservation, limit: int
    ) -> int:
        # Rank 0 always has one slot that no other rank can hold, even before
        # its first request. A limit of 1 can't be divided.
        base = 1 if rank == 0 else 0
        return min(max(base, reservation.slots), limit - 1)

    def _adapt(self, reservation: _Reservation, limit: int) -> None:
        maximum = int(RESERVED_SHARE_MAX * limit)
        reservation.slots = min(reservation.slots, maximum)
        if (
            reservation.wait_share > WAIT_SHARE_HIGH
            and reservation.starts >= GROWTH_STARTS
        ):
            reservation.slots = min(reservation.slots + 1, maximum)
            reservation.starts = 0
        elif (
            reservation.wait_share < WAIT_SHARE_LOW
            and reservation.starts >= SHRINK_STARTS
        ):
            reservation.slots = max(reservation.slots - 1, 0)
            reservation.starts = 0
