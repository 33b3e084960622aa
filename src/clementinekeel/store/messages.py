"""Requests to the store and its answers, independent of the wire format."""

import enum
from typing import NamedTuple


class Target(enum.StrEnum):
    """Property of a key that a comparison checks."""

    VERSION = "VERSION"
    CREATE_REVISION = "CREATE"
    MOD_REVISION = "MOD"
    VALUE = "VALUE"


class Operator(enum.StrEnum):
    """Relation that a comparison requires."""

    EQUAL = "EQUAL"
    NOT_EQUAL = "NOT_EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"


class Range(NamedTuple):
    """Read of one key or of the keys from ``key`` up to ``range_end``.

    Attributes
    ----------
    limit : int
        Maximum number of keys to return; 0 for all.
    """

    key: str
    range_end: str = ""
    limit: int = 0
    keys_only: bool = False
    is_descending: bool = False


class Put(NamedTuple):
    """Write of one key.

    Attributes
    ----------
    lease : int
        Lease that the key is removed with; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class DeleteRange(NamedTuple):
    """Removal of one key or of a range."""

    key: str
    range_end: str = ""


class Compare(NamedTuple):
    """Condition of a transaction.

    Attributes
    ----------
    operand : int or bytes
        Value for ``Target.VALUE``, otherwise a revision or version; an
        absent key has revision and version 0.
    """

    key: str
    target: Target
    operand: int | bytes
    operator: Operator = Operator.EQUAL


Operation = Range | Put | DeleteRange


class KeyValue(NamedTuple):
    """A key with its value, revisions and lease."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class RangeAnswer(NamedTuple):
    """Answer to a range.

    Attributes
    ----------
    revision : int
        Revision of the store at the time of the read.
    has_more : bool
        Whether the limit left out further keys.
    """

    revision: int
    pairs: tuple[KeyValue, ...]
    has_more: bool


class PutAnswer(NamedTuple):
    """Answer to a put."""

    revision: int


class DeleteAnswer(NamedTuple):
    """Answer to a removal."""

    revision: int
    deleted: int


Answer = RangeAnswer | PutAnswer | DeleteAnswer


class TxnAnswer(NamedTuple):
    """Answer to a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether all comparisons held.
    answers : tuple
        One for each operation of the branch that ran.
    """

    revision: int
    succeeded: bool
    answers: tuple[Answer, ...]

    def pairs(self, index: int) -> tuple[KeyValue, ...]:
        """Return the keys found by the range at an index of the branch."""
        answer = self.answers[index]
        return answer.pairs if isinstance(answer, RangeAnswer) else ()


class LeaseAnswer(NamedTuple):
    """Answer to a grant or renewal.

    Attributes
    ----------
    ttl_s : int
        Remaining time; 0 if the lease has ended.
    """

    lease_id: int
    ttl_s: int


class Event(NamedTuple):
    """Change of one key."""

    is_delete: bool
    pair: KeyValue


class WatchBatch(NamedTuple):
    """Events of a watch, in order of revision.

    Attributes
    ----------
    events : tuple of Event
        Empty if the watch has been resumed after a failure.
    """

    revision: int
    events: tuple[Event, ...]


class FullReadNeeded(NamedTuple):
    """Events were missed, so the watched keys have to be read again.

    Attributes
    ----------
    revision : int
        Revision of the store that the watch reported.
    reason : str
        ``"compacted"`` or ``"revision_reverted"``.
    """

    revision: int
    reason: str


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def prefix_range(
    prefix: str, limit: int = 0, keys_only: bool = False
) -> Range:
    """Return a range of all keys with a prefix."""
    return Range(prefix, prefix_end(prefix), limit, keys_only)
