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


class Removal(NamedTuple):
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


class Removals:
    """Bounded map of removed members, oldest first."""

    def __init__(self) -> None:
        self._removals: collections.OrderedDict[int, Removal] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._removals)

    def add(self, removal: Removal) -> None:
        """Remember a removal; the oldest is dropped when full."""
        key = removal.notice.key
        known = self._removals.get(key)
        if known is not None:
            if known.notice.version >= removal.notice.version:
                return
            if not removal.address:
                # The notice is about a member that was removed before; its
                # address is needed to find it if it was only cut off.
                removal = removal._replace(
                    zone=known.zone, address=known.address
                )
            del self._removals[key]
        self._removals[key] = removal
        if len(self._removals) > MAX_REMOVALS:
            self._removals.popitem(last=False)

    def find(self, key: int, version: int) -> member_messages.Notice | None:
        """Return the notice that rules out a version of a record."""
        removal = self._removals.get(key)
        if removal is None or removal.notice.version < version:
            return None
        return removal.notice

    def forget(self, key: int) -> None:
        """Drop the memory of a member that came back."""
        self._removals.pop(key, None)

    def expire(self, now_ms: int) -> None:
        """Drop removals that are older than the retention."""
        while self._removals:
            oldest = next(iter(self._removals.values()))
            if now_ms - oldest.removed_ms < RETENTION_MS:
                return
            self._removals.popitem(last=False)

    def pick_unheard(
        self, zone: str, random: random_module.Random
    ) -> Removal | None:
        """Return a member that may only have been cut off.

        Two halves of a zone that removed each other find each other again
        this way.
        """
        candidates = [
            removal
            for removal in self._removals.values()
            if removal.notice.status is member_messages.Status.GONE
            and removal.zone == zone
        ]
        return random.choice(candidates) if candidates else None
