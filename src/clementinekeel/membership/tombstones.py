"""Tombstones of removed members.

An old record may still travel in the fleet or come from a zone that was cut
off. The tombstone keeps it from adding the removed member again.
"""

import collections
import random as random_module
from typing import NamedTuple

from clementinekeel.membership import messages as member_messages

RETENTION_MS = 3_900_000
"""A partition of an hour and a margin of 5 min."""
MAX_TOMBSTONES = 8_192
"""Three times a tenth of the fleet at full size; about 2 MB."""


class Tombstone(NamedTuple):
    """Record of a removed member.

    Attributes
    ----------
    zone, address : str
        Empty if the member was not in the view.
    """

    notice: member_messages.Notice
    removed_ms: int
    zone: str
    address: str


class Tombstones:
    """Bounded map of tombstones, oldest first."""

    def __init__(self) -> None:
        self._tombstones: collections.OrderedDict[int, Tombstone] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._tombstones)

    def add(self, tombstone: Tombstone) -> None:
        """Add a tombstone; remove the oldest beyond ``MAX_TOMBSTONES``."""
        key = tombstone.notice.key
        known = self._tombstones.get(key)
        if known is not None:
            if known.notice.version >= tombstone.notice.version:
                return
            if not tombstone.address:
                # The member was removed before. Its address is needed to
                # reach it if it was only cut off.
                tombstone = tombstone._replace(
                    zone=known.zone, address=known.address
                )
            del self._tombstones[key]
        self._tombstones[key] = tombstone
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def find(self, key: int, version: int) -> member_messages.Notice | None:
        """Return the notice that forbids a version of a record, if any."""
        tombstone = self._tombstones.get(key)
        if tombstone is None or tombstone.notice.version < version:
            return None
        return tombstone.notice

    def remove(self, key: int) -> None:
        """Remove the tombstone of a member that came back."""
        self._tombstones.pop(key, None)

    def expire(self, now_ms: int) -> None:
        """Remove tombstones that are older than the retention."""
        while self._tombstones:
            oldest = next(iter(self._tombstones.values()))
            if now_ms - oldest.removed_ms < RETENTION_MS:
                return
            self._tombstones.popitem(last=False)

    def pick_possibly_alive(
        self, zone: str, random: random_module.Random
    ) -> Tombstone | None:
        """Return a random member that may only have been cut off.

        Probes to such members reconnect two halves of a zone that have
        removed each other.
        """
        candidates = [
            tombstone
            for tombstone in self._tombstones.values()
            if tombstone.notice.status is member_messages.Status.GONE
            and tombstone.zone == zone
        ]
        return random.choice(candidates) if candidates else None
