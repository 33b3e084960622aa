"""Queue of the changes to piggyback on probes and acks."""

import heapq
import math

from clementinekeel.membership import _packing
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records

MAX_QUEUED = 256
"""Changes in a longer queue would be outdated when sent; anti-entropy carries
those that are dropped."""
SENDS_PER_DOUBLING = 2
"""Each change is sent 2 x log2(members) times by each node."""

Change = member_records.MemberRecord | member_messages.Notice


class _QueuedChange:
    __slots__ = ("change", "sends", "size")

    def __init__(self, change: Change) -> None:
        self.change = change
        self.sends = 0
        self.size = _packing.size_of(change)


class Broadcasts:
    """Bounded queue of changes; those sent least often go first."""

    def __init__(self) -> None:
        self._queue: dict[int, _QueuedChange] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, key: int, change: Change) -> None:
        """Queue a change in place of an older one about the same member."""
        self._queue.pop(key, None)
        if len(self._queue) >= MAX_QUEUED:
            most_sent = max(
                self._queue, key=lambda key: self._queue[key].sends
            )
            del self._queue[most_sent]
        self._queue[key] = _QueuedChange(change)

    def select(
        self, used_bytes: int, used_count: int, members: int
    ) -> tuple[
        tuple[member_records.MemberRecord, ...],
        tuple[member_messages.Notice, ...],
    ]:
        """Return changes for one message and count them as sent.

        Parameters
        ----------
        used_bytes, used_count : int
            Bytes and notices that the message has already.
        members : int
            Number of members in the view; more members need more sends.
        """
        max_sends = SENDS_PER_DOUBLING * math.ceil(math.log2(members + 2))
        free_bytes = member_messages.MAX_PAYLOAD_BYTES - used_bytes
        chosen: list[Change] = []
        candidates = heapq.nsmallest(
            member_messages.MAX_PIGGYBACKED - used_count,
            self._queue.items(),
            key=lambda item: item[1].sends,
        )
        for key, queued in candidates:
            if queued.size > free_bytes:
                continue
            free_bytes -= queued.size
            chosen.append(queued.change)
            queued.sends += 1
            if queued.sends >= max_sends:
                del self._queue[key]
        return (
            tuple(
                c for c in chosen if isinstance(c, member_records.MemberRecord)
            ),
            tuple(c for c in chosen if isinstance(c, member_messages.Notice)),
        )
