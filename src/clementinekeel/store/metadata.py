"""Interface of a key-value store with leases and watches.

Each call names its step in its errors, and whether it may have taken effect.
"""

from collections.abc import Sequence
import enum
from typing import NamedTuple, Protocol

from clementinekeel.runtime import errors


class FailureKind(enum.StrEnum):
    """What is known after a call that failed."""

    REFUSED = "refused"
    """Nothing was done: the store is busy, or turns this node away."""
    UNANSWERED = "unanswered"
    """No answer; a write may take effect, even seconds later."""
    COMPACTED = "compacted"
    """The history that a watch asked for has been discarded."""
    NO_LEASE = "no_lease"
    """The lease has ended."""
    CONFLICT = "conflict"
    """A condition of a write did not hold."""
    MALFORMED = "malformed"
    """The answer can't be read."""


GAP_FAILURES = frozenset((FailureKind.COMPACTED, FailureKind.MALFORMED))
"""Failures of a watch after which changes may have been missed; otherwise it
goes on from its last revision."""


class MetadataError(errors.StepError):
    """A call to the store failed."""

    def __init__(self, step: str, reason: str, kind: FailureKind) -> None:
        super().__init__(step, "store", reason)
        self.kind = kind


class Item(NamedTuple):
    """A key and its value.

    Attributes
    ----------
    revision : int
        Of the last change of the key.
    lease : int
        Lease with which the key ends; 0 if there is none.
    """

    key: str
    value: bytes
    revision: int
    lease: int


class Removed(NamedTuple):
    """A key that is gone."""

    key: str
    revision: int


class Snapshot(NamedTuple):
    """Items and the store's revision at which they were read."""

    items: Sequence[Item]
    revision: int


class Changes(NamedTuple):
    """Changes since a revision, and the revision to go on from."""

    events: Sequence[Item | Removed]
    revision: int


class MetadataStore(Protocol):
    """The calls that nodes make. All raise ``MetadataError``."""

    async def read(self, key: str) -> Snapshot:
        """Return one item, or none, as of now."""

    async def read_all(self, prefix: str) -> Snapshot:
        """Return all items below a prefix."""

    async def watch(self, prefix: str, after: int) -> Changes:
        """Wait for changes below a prefix; none after a while."""

    async def grant(self, ttl_ms: int) -> int:
        """Return a new lease."""

    async def renew(self, lease: int) -> None:
        """Renew a lease; ``NO_LEASE`` if it has ended."""

    async def write(
        self, key: str, value: bytes, lease: int, expected_revision: int
    ) -> int:
        """Write a key under a lease if it is at a revision (0: absent).

        Returns
        -------
        int
            Revision of the write; ``CONFLICT`` if the condition failed.
        """
