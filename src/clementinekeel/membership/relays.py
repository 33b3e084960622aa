"""Choice of a zone's relays by rendezvous hash.

Each node computes the relays from its own view, so there is no election;
views that differ name a few more relays for a while, which is harmless.
"""

from collections.abc import Iterable
import hashlib
import heapq

from clementinekeel.membership.records import MemberRecord
from clementinekeel.membership.records import MemberState

RELAYS_PER_ZONE = 3
_SCORE_BYTES = 8
_LIVE = (MemberState.JOINING, MemberState.READY)

Ranking = list[tuple[int, int]]
"""Score and key of the relays, best first."""


def score(zone: str, node_id: str) -> int:
    """Return the rendezvous hash of a node in a zone."""
    digest = hashlib.blake2b(
        f"{zone}/{node_id}".encode(), digest_size=_SCORE_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


def is_eligible(record: MemberRecord) -> bool:
    """Tell whether a member can be a relay."""
    return record.state in _LIVE


def rank(members: Iterable[tuple[int, MemberRecord]]) -> Ranking:
    """Return the ranking of the best of some members of one zone."""
    return heapq.nlargest(
        RELAYS_PER_ZONE,
        (
            (score(record.zone, record.node_id), key)
            for key, record in members
            if is_eligible(record)
        ),
    )


def insert(ranking: Ranking, key: int, record: MemberRecord) -> Ranking:
    """Return a ranking with one more member."""
    entry = (score(record.zone, record.node_id), key)
    return heapq.nlargest(RELAYS_PER_ZONE, [*ranking, entry])
