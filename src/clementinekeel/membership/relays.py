"""Choice of a zone's relays by rendezvous hash.

Each node computes the relays from its own view, so there is no election.
While views differ, a zone has a few more relays, which is harmless.
"""

from collections.abc import Iterable
import hashlib
import heapq

from clementinekeel.membership import records as member_records

RELAYS_PER_ZONE = 3
_SCORE_BYTES = 8
_PREFERRED_STATES = (
    member_records.MemberState.JOINING,
    member_records.MemberState.READY,
)

Ranking = list[tuple[bool, int, int]]
"""Scores of a zone's relays, best first; the last item of each is the key."""


def score(
    key: int, record: member_records.MemberRecord
) -> tuple[bool, int, int]:
    """Return the score of a member; the highest ones are the relays.

    Leaving members rank last and are relays only if there are no others, so
    that a zone that drains completely still has relays.
    """
    digest = hashlib.blake2b(
        f"{record.zone}/{record.node_id}".encode(), digest_size=_SCORE_BYTES
    ).digest()
    return is_preferred(record), int.from_bytes(digest, "big"), key


def is_preferred(record: member_records.MemberRecord) -> bool:
    """Tell whether a member is not leaving."""
    return record.state in _PREFERRED_STATES


def rank(
    members: Iterable[tuple[int, member_records.MemberRecord]],
) -> Ranking:
    """Return the ranking of the best members, all from one zone."""
    scores = (score(key, record) for key, record in members)
    return heapq.nlargest(RELAYS_PER_ZONE, scores)


def insert(
    ranking: Ranking, key: int, record: member_records.MemberRecord
) -> Ranking:
    """Return a ranking with one more member."""
    return heapq.nlargest(RELAYS_PER_ZONE, [*ranking, score(key, record)])
