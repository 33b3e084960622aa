"""The store as the operators' commands use it.

The commands know only the types of this module. ``PlatformStore`` is the
only place that uses ``clementinekeel.platform``.
"""

from collections.abc import AsyncIterator, Mapping, Sequence
import contextlib
import importlib
from typing import Any, NamedTuple, Protocol

from returns import result

from clementinekeel.runtime import errors


class Snapshot(NamedTuple):
    """Objects of the accepted version; version 0 is an empty store."""

    version: int
    change_id: str
    objects: Mapping[str, bytes]


EMPTY = Snapshot(0, "", {})


class Proposal(NamedTuple):
    """A change that an operator asks for.

    Attributes
    ----------
    change_id : str
        Identifies the change; applying it again has no further effect.
    origin : str
        Host on which the command ran.
    base_version : int
        Version that the change starts from.
    """

    change_id: str
    author: str
    origin: str
    reason: str
    base_version: int
    objects: Mapping[str, bytes]
    difference: tuple[str, ...]


class Accepted(NamedTuple):
    """The change is in the store."""

    version: int


class Conflict(NamedTuple):
    """Another change was accepted after the base version."""

    version: int


class Undetermined(NamedTuple):
    """The change may have been accepted; its id will tell."""

    reason: str


class Rejected(NamedTuple):
    """The change was not accepted."""

    reason: str


Outcome = Accepted | Conflict | Undetermined | Rejected


class AuditEntry(NamedTuple):
    """One accepted change."""

    version: int
    change_id: str
    time: str
    author: str
    origin: str
    reason: str
    base_version: int
    difference: tuple[str, ...]


class StoreUnavailableError(errors.StepError):
    """The store gives no usable answer."""


class Store(Protocol):
    """Accepted configuration, its changes and their audit trail.

    Every method raises ``StoreUnavailableError`` when the store gives no
    usable answer and nothing was written.
    """

    async def load(self) -> Snapshot:
        """Return the accepted version, or ``EMPTY``."""

    async def apply(self, proposal: Proposal) -> Outcome:
        """Apply a change."""

    async def settle(self, change_id: str) -> Outcome:
        """Find out what became of a change."""

    async def history(self, limit: int) -> Sequence[AuditEntry]:
        """Return the latest accepted changes, newest first."""


class PlatformStore:
    """Store over ``clementinekeel.platform``.

    Parameters
    ----------
    client : object
        ``clementinekeel.platform.store.StoreClient``.
    changes : module
        ``clementinekeel.platform.changes``.
    """

    def __init__(self, client: Any, changes: Any) -> None:
        self._client = client
        self._changes = changes

    async def load(self) -> Snapshot:
        """Return the accepted version, or ``EMPTY``."""
        loaded = await self._changes.load(self._client, None)
        snapshot = _unwrap("load", loaded)
        if snapshot is None:
            return EMPTY
        return Snapshot(snapshot.version, snapshot.change_id, snapshot.objects)

    async def apply(self, proposal: Proposal) -> Outcome:
        """Apply a change."""
        change = self._changes.Change(
            change_id=proposal.change_id,
            author=proposal.author,
            origin=proposal.origin,
            reason=proposal.reason,
            base_version=proposal.base_version,
            objects=dict(proposal.objects),
            difference=proposal.difference,
        )
        return self._outcome(await self._changes.apply(self._client, change))

    async def settle(self, change_id: str) -> Outcome:
        """Find out what became of a change."""
        settled = await self._changes.settle(self._client, change_id)
        return self._outcome(settled)

    async def history(self, limit: int) -> Sequence[AuditEntry]:
        """Return the latest accepted changes, newest first."""
        loaded = await self._changes.history(self._client, limit)
        entries = [_audit_entry(item) for item in _unwrap("history", loaded)]
        return sorted(entries, reverse=True)

    def _outcome(self, outcome: Any) -> Outcome:
        changes = self._changes
        value = _value(outcome)
        if isinstance(value, changes.Accepted):
            return Accepted(value.version)
        if isinstance(value, changes.Conflict):
            return Conflict(value.version)
        reason = str(getattr(value, "reason", value))
        if isinstance(value, changes.Undetermined):
            return Undetermined(reason)
        return Rejected(reason)


@contextlib.asynccontextmanager
async def connect(urls: Sequence[str]) -> AsyncIterator[Store]:
    """Open the store at the first of the URLs that answers."""
    platform = "clementinekeel.platform"
    changes = importlib.import_module(f"{platform}.changes")
    store = importlib.import_module(f"{platform}.store")
    client = store.StoreClient(urls)
    try:
        yield PlatformStore(client, changes)
    finally:
        if hasattr(client, "aclose"):
            await client.aclose()


def _value(outcome: Any) -> Any:
    if isinstance(outcome, result.Success):
        return outcome.unwrap()
    if isinstance(outcome, result.Failure):
        return outcome.failure()
    return outcome


def _unwrap(step: str, outcome: Any) -> Any:
    if isinstance(outcome, result.Failure):
        reason = str(outcome.failure())
        raise StoreUnavailableError(step, "store", reason)
    return _value(outcome)


def _audit_entry(entry: Any) -> AuditEntry:
    return AuditEntry(
        version=entry.version,
        change_id=entry.change_id,
        time=str(getattr(entry, "time", "")),
        author=entry.author,
        origin=entry.origin,
        reason=entry.reason,
        base_version=entry.base_version,
        difference=tuple(entry.difference),
    )
