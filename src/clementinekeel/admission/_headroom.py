"""Slots that less important ranks may not hold."""

from collections.abc import Mapping

# A wait of this share of the service time shows that the rank lacks slots.
# The target for bookings during a flood is 1.2 times the p99 without it.
WAIT_HIGH = 0.10
WAIT_LOW = 0.03
WAIT_WEIGHT = 0.05
# One step up at most per this many starts of the rank, so that a step shows
# its effect first; shrinking is slower, because the next flood may be near.
STEP_STARTS = 5
SHRINK_STARTS = 50
RESERVE_SHARE_MAX = 0.25


class _Reserve:
    """Reserve for one rank and those more important."""

    __slots__ = ("slots", "starts", "wait_share")

    def __init__(self) -> None:
        self.slots = 0
        self.starts = 0
        self.wait_share = 0.0


class Headroom:
    """Reserves slots by rank, more where important requests still wait.

    A cap on less important ranks is used and not a number of slots kept
    free: slots in use by important requests then count towards the reserve,
    so nothing is lost while they are busy.
    """

    def __init__(self) -> None:
        self._reserves: dict[int, _Reserve] = {0: _Reserve()}

    def on_start(
        self, rank: int, waited_ms: float, service_ms: float, limit: int
    ) -> None:
        """Learn how long a request waited for its slot."""
        reserve = self._reserves.get(rank)
        if reserve is None:
            reserve = self._reserves[rank] = _Reserve()
        share = min(waited_ms / max(service_ms, 1.0), 1.0)
        reserve.wait_share += WAIT_WEIGHT * (share - reserve.wait_share)
        reserve.starts += 1
        self._adapt(reserve, limit)

    def allows(self, rank: int, limit: int, held: Mapping[int, int]) -> bool:
        """Tell whether a rank may take one more slot.

        Parameters
        ----------
        held : Mapping
            Slots held, by rank.
        """
        for important, reserve in self._reserves.items():
            if important >= rank:
                continue
            slots = self._reserved(important, reserve, limit)
            less = sum(n for other, n in held.items() if other > important)
            if less >= limit - slots:
                return False
        return True

    def _reserved(self, rank: int, reserve: _Reserve, limit: int) -> int:
        # Rank 0 always finds one slot that no other rank holds, even when
        # none of its requests was seen yet. A limit of 1 can't be divided.
        base = 1 if rank == 0 else 0
        return min(max(base, reserve.slots), limit - 1)

    def _adapt(self, reserve: _Reserve, limit: int) -> None:
        maximum = int(RESERVE_SHARE_MAX * limit)
        reserve.slots = min(reserve.slots, maximum)
        if reserve.wait_share > WAIT_HIGH and reserve.starts >= STEP_STARTS:
            reserve.slots = min(reserve.slots + 1, maximum)
            reserve.starts = 0
        elif reserve.wait_share < WAIT_LOW and reserve.starts >= SHRINK_STARTS:
            reserve.slots = max(reserve.slots - 1, 0)
            reserve.starts = 0
