"""Changes that wait to be piggybacked on probes and acks."""

import heapq
import math

from clementinekeel.membership import _packing
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records

MAX_WAITING = 256
"""A longer queue would be stale; anti-entropy carries what is dropped."""
SENDS_PER_DOUBLING = 2
"""Each change is sent 2 x log2(members) times by each node."""

Change = member_records.MemberRecord | member_messages.Notice


class _Waiting:
    __slots__ = ("change", "sends", "size")

    def __init__(self, change: Change) -> None:
        self.change = change
        self.sends = 0
        self.size = _packing.size_of(change)


class Broadcasts:
    """Bounded queue of changes; those sent least often go first."""

    def __init__(self) -> None:
        self._waiting: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, key: int, change: Change) -> None:
        """Queue a change in place of an older one about the same member."""
        self._waiting.pop(key, None)
        if len(self._waiting) >= MAX_WAITING:
            most_sent = max(
                self._waiting, key=lambda key: self._waiting[key].sends
            )
            del self._waiting[most_sent]
        self._waiting[key] = _Waiting(change)

    def take(
        self, used_bytes: int, used_items: int, members: int
    ) -> tuple[
        tuple[member_records.MemberRecord, ...],
        tuple[member_messages.Notice, ...],
    ]:
        """Return changes for one message and count them as sent.

        Parameters
        ----------
        used_bytes, used_items : int
            What the message holds already.
        members : int
            Size of the view; more members need more sends.
        """
        limit = SENDS_PER_DOUBLING * math.ceil(math.log2(members + 2))
        room = member_messages.MAX_PAYLOAD_BYTES - used_bytes
        chosen: list[Change] = []
        candidates = heapq.nsmallest(
            member_messages.MAX_PIGGYBACKED - used_items,
            self._waiting.items(),
            key=lambda item: item[1].sends,
        )
        for key, waiting in candidates:
            if waiting.size > room:
                continue
            room -= waiting.size
            chosen.append(waiting.change)
            waiting.sends += 1
            if waiting.sends >= limit:
                del self._waiting[key]
        return (
            tuple(
                c for c in chosen if isinstance(c, member_records.MemberRecord)
            ),
            tuple(c for c in chosen if isinstance(c, member_messages.Notice)),
        )
