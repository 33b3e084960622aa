"""Memory of removed members.

It keeps an old record, which still travels in the fleet or comes from a zone
that was cut off, from bringing a removed member back.
"""

import collections
import random as random_module
from typing import NamedTuple

from clementinekeel.membership import messages as member_messages

RETENTION_MS = 3_900_000
"""An hour's partition and a margin."""
MAX_REMOVALS = 8_192
"""Three times a tenth of the fleet at full size; about 2 MB."""


class Tombstone(NamedTuple):
    """A removed member.

    Attributes
    ----------
    zone, address : str
        Empty if the member was not known.
    """

    notice: member_messages.Notice
    removed_ms: int
    zone: str
    address: str


class Tombstones:
    """Bounded map of removed members, oldest first."""

    def __init__(self) -> None:
        self._tombstones: collections.OrderedDict[int, Tombstone] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._tombstones)

    def add(self, tombstone: Tombstone) -> None:
        """Remember a removal; the oldest is dropped when full."""
        key = tombstone.notice.key
        known = self._tombstones.get(key)
        if known is not None:
            if known.notice.version >= tombstone.notice.version:
                return
            if not tombstone.address:
                # The notice is about a member that was removed before; its
                # address is needed to find it if it was only cut off.
                tombstone = tombstone._replace(
                    zone=known.zone, address=known.address
                )
            del self._tombstones[key]
        self._tombstones[key] = tombstone
        if len(self._tombstones) > MAX_REMOVALS:
            self._tombstones.popitem(last=False)

    def find(self, key: int, version: int) -> member_messages.Notice | None:
        """Return the notice that rules out a version of a record."""
        tombstone = self._tombstones.get(key)
        if tombstone is None or tombstone.notice.version < version:
            return None
        return tombstone.notice

    def discard(self, key: int) -> None:
        """Drop the memory of a member that came back."""
        self._tombstones.pop(key, None)

    def expire(self, now_ms: int) -> None:
        """Drop removals that are older than the retention."""
        while self._tombstones:
            oldest = next(iter(self._tombstones.values()))
            if now_ms - oldest.removed_ms < RETENTION_MS:
                return
            self._tombstones.popitem(last=False)

    def pick_possibly_alive(
        self, zone: str, random: random_module.Random
    ) -> Tombstone | None:
        """Return a member that may only have been cut off.

        Two halves of a zone that removed each other find each other again
        this way.
        """
        candidates = [
            tombstone
            for tombstone in self._tombstones.values()
            if tombstone.notice.status is member_messages.Status.GONE
            and tombstone.zone == zone
        ]
        return random.choice(candidates) if candidates else None
