"""Recent decisions about requests, for operators who ask why."""

import collections
from typing import NamedTuple

from clementinekeel.runtime import clock

MAX_ENTRIES = 4_000


class Entry(NamedTuple):
    """One decision.

    Attributes
    ----------
    at_ms : int
        Time on this node's clock.
    side : str
        ``entry`` or ``owner``.
    """

    at_ms: int
    request_id: str
    side: str
    outcome: str
    reason: str


class DecisionTrail:
    """The last decisions of this node, in order."""

    def __init__(self, limit: int = MAX_ENTRIES) -> None:
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=limit
        )

    def note(
        self, request_id: str, side: str, outcome: str, reason: str
    ) -> None:
        """Add a decision."""
        self._entries.append(
            Entry(clock.now_ms(), request_id, side, str(outcome), reason)
        )

    def find(self, request_id: str) -> list[Entry]:
        """Return the decisions about a request, oldest first."""
        return [
            entry for entry in self._entries if entry.request_id == request_id
        ]
