"""Interface of a key-value store with leases and watches.

The errors of a call name its step, and whether it may have taken effect.
"""

from collections.abc import Sequence
import enum
from typing import NamedTuple, Protocol

from clementinekeel.runtime import errors


class FailureKind(enum.StrEnum):
    """What is known about a failed call."""

    REFUSED = "refused"
    """The call had no effect: the store is busy, or rejects this node."""
    UNANSWERED = "unanswered"
    """No answer; a write may still take effect, even seconds later."""
    COMPACTED = "compacted"
    """The history that a watch asked for has been discarded, or the store has
    returned from a copy during the call."""
    NO_LEASE = "no_lease"
    """The lease has ended."""
    CONFLICT = "conflict"
    """A condition of a write did not hold."""
    MALFORMED = "malformed"
    """The answer cannot be decoded."""


GAP_FAILURES = frozenset((FailureKind.COMPACTED, FailureKind.MALFORMED))
"""Failures of a watch after which changes may have been missed. After other
failures, the watch can continue from its last revision."""


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
        Revision of the last change of the key.
    lease : int
        Lease that the key is removed with; 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int


class Removed(NamedTuple):
    """Event of a key that has been removed."""

    key: str
    revision: int


class Snapshot(NamedTuple):
    """Items and the store's revision at which they were read.

    Attributes
    ----------
    epoch : int
        History to which the revisions and leases belong.
    """

    items: Sequence[Item]
    revision: int
    epoch: int


class Changes(NamedTuple):
    """Changes since a revision, and the revision to continue from.

    Attributes
    ----------
    epoch : int
        History to which the revisions belong.
    """

    events: Sequence[Item | Removed]
    revision: int
    epoch: int


class MetadataStore(Protocol):
    """Calls to the store. All of them raise ``MetadataError``.

    Revisions and leases of different histories can't be compared: when the
    store returns from a copy, it gives them out again. A call with a revision
    or a lease names the history to which it belongs, and fails with
    ``COMPACTED`` if the store has another one by the time of sending.
    """

    @property
    def epoch(self) -> int:
        """Number of the store's present history; 0 while it is unknown."""

    async def read(self, key: str) -> Snapshot:
        """Return the item of a key, or none, at the current revision."""

    async def read_all(self, prefix: str) -> Snapshot:
        """Return the items of all keys with a prefix."""

    async def watch(self, prefix: str, after: int, epoch: int) -> Changes:
        """Wait for changes of keys with a prefix; none after a timeout."""

    async def grant(self, ttl_ms: int, epoch: int) -> int:
        """Create a lease in a history and return its id."""

    async def renew(self, lease: int, epoch: int) -> None:
        """Renew a lease; fails with ``NO_LEASE`` if it has ended."""

    async def write(
        self,
        key: str,
        value: bytes,
        lease: int,
        expected_revision: int,
        epoch: int,
    ) -> int:
        """Write a key under a lease if it is at a revision (0: absent).

        Returns
        -------
        int
            Revision of the write. Fails with ``CONFLICT`` if the key is at
            another revision.
        """
