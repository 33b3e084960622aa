"""Least important rank that is admitted, with hysteresis.

Ranks count upwards from the most important one, 0. The level is the least
important rank that an endpoint reports as admitted; it falls while requests
are shed and rises again afterwards.
"""

from clementinekeel.admission import messages

# After a request of one rank was shed, less important ones are refused for
# this long, so that short gaps in the queue don't admit them in its place.
SHED_HOLD_MS = 200
# A rank counts as starved when it was shed and none of it was admitted for
# this long. Shorter gaps are usual at low arrival rates.
STARVED_MS = 500
# The level rises by one rank after this long without a queue or shedding.
# Callers hold back requests above the level, so an early rise would bring all
# of them back at once.
RISE_MS = 1_000


class LevelTracker:
    """Tracks which ranks are admitted and which are shed."""

    def __init__(self, now_ms: int) -> None:
        self._rank = messages.ANY_RANK
        self._changed_ms = now_ms
        self._overloaded_ms = now_ms
        self._admitted_ms: dict[int, int] = {}
        self._shed_ms: dict[int, int] = {}
        self._shed_since_ms: dict[int, int] = {}

    def on_admitted(self, rank: int, now_ms: int) -> None:
        """Record that a request got a slot."""
        self._admitted_ms[rank] = now_ms
        self._shed_since_ms.pop(rank, None)
        if rank > self._rank and now_ms - self._changed_ms >= RISE_MS:
            self._set_rank(rank, now_ms)

    def on_queued(self, now_ms: int) -> None:
        """Record that requests are queued."""
        self._overloaded_ms = now_ms

    def on_shed(self, rank: int, now_ms: int) -> None:
        """Record that a request was refused for lack of slots."""
        self._overloaded_ms = now_ms
        self._shed_ms[rank] = now_ms
        since_ms = self._shed_since_ms.setdefault(rank, now_ms)
        least_important = rank
        if now_ms - since_ms >= STARVED_MS:
            least_important = max(rank - 1, 0)
        if least_important < self._rank:
            self._set_rank(least_important, now_ms)

    def admissible_rank(self, now_ms: int) -> int:
        """Return the least important rank that may be admitted now."""
        for rank in sorted(self._shed_ms):
            if now_ms - self._shed_ms[rank] < SHED_HOLD_MS:
                return rank
        return messages.ANY_RANK

    def hold_end_ms(self, now_ms: int) -> int | None:
        """Return when less important ranks may next be admitted, or None.

        None if no rank was shed within the last ``SHED_HOLD_MS``.
        """
        ends = [shed + SHED_HOLD_MS for shed in self._shed_ms.values()]
        return min((end for end in ends if end > now_ms), default=None)

    def reported_rank(self, now_ms: int) -> int:
        """Return the rank of the level that is reported."""
        while self._rank < messages.ANY_RANK and self._may_rise(now_ms):
            self._rise()
        return self._rank

    def _may_rise(self, now_ms: int) -> bool:
        quiet_since_ms = max(self._changed_ms, self._overloaded_ms)
        return now_ms - quiet_since_ms >= RISE_MS

    def _rise(self) -> None:
        least_known = max([*self._shed_ms, *self._admitted_ms], default=0)
        rank = self._rank + 1
        if rank >= least_known:
            rank = messages.ANY_RANK
        start_ms = max(self._changed_ms, self._overloaded_ms)
        self._set_rank(rank, start_ms + RISE_MS)

    def _set_rank(self, rank: int, now_ms: int) -> None:
        self._rank = rank
        self._changed_ms = now_ms
