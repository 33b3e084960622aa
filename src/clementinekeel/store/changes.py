"""Layout of the configuration in the store, and changes to it.

Keys below ``config/``:

* ``objects/<kind>/<name>/<change id>``: one object as written by a change;
  the key is never written with another value.
* ``head``: version and change id in force, and for each object in force the
  change id and a digest. A change is accepted by the transaction that
  replaces the head.
* ``audit/<version>``: audit entry of an accepted change, written together
  with the head. A reader at any recent version learns from it what changed
  without reading the head, which names all objects.
* ``drains/<number>``: entry of a drain, or of the end of a drain, that an
  operator has requested. Separate from the audit entries, so that drains do
  not trigger the watches of the configuration's readers, and the audit
  entries of consecutive versions are adjacent.
* ``changes/<change id>``: change record, the version at which a change was
  accepted; written together with the head.
* ``started/<change id>``: start record, the base version of a change; written
  together with its first objects. It tells whether a change that has not
  been accepted can still be.
"""

import base64
from collections.abc import Iterable, Sequence
import datetime
import enum
import hashlib
import itertools
import re
from typing import NamedTuple

import msgspec
from returns import result

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.runtime import invariants
from clementinekeel.runtime import log
from clementinekeel.store import client
from clementinekeel.store import errors
from clementinekeel.store import messages

HEAD_KEY = "config/head"
OBJECT_PREFIX = "config/objects/"
AUDIT_PREFIX = "config/audit/"
DRAIN_PREFIX = "config/drains/"
CHANGE_PREFIX = "config/changes/"
STARTED_PREFIX = "config/started/"
VERSION_DIGITS = 12
"""Versions in keys are zero-padded, so that keys sort by version."""

MAX_VALUE_BYTES = 1_000_000
MAX_BATCH_BYTES = 1_000_000
"""Values in one transaction; the gateway accepts 1.5 MiB in all."""
MAX_BATCH_OPERATIONS = 100
"""The gateway accepts 128 operations in one transaction."""
MAX_AUDIT_ENTRIES = 10_000
"""Limit for changes and drains each, so that many drains do not displace the
entries of changes."""
EXPIRED_PER_ENTRY = 4
"""Expired entries deleted with each new entry; deleting one would be enough to
stay within MAX_AUDIT_ENTRIES."""
MAX_DRAIN_BYTES = 16_384
RECORD_ATTEMPTS = 10
"""An attempt fails if another operator's entry has been written under the same
number."""
RECENT_DRAIN_ENTRIES = 50
"""Latest entries searched for an entry whose write was not answered."""
KEPT_VERSIONS = 100
"""Objects replaced within this many versions are kept, for readers that are
behind."""
MAX_DELTA_ENTRIES = 50
"""A reader that is further behind reads the head instead. Less than
KEPT_VERSIONS, so that the objects that the entries name still exist."""
MAX_CONFLICT_ENTRIES = 20
PRUNE_PAGE_KEYS = 1_000
HISTORY_PAGE = 100
WRITE_ATTEMPTS = 4
LOAD_ATTEMPTS = 3
DIGEST_BYTES = 12

_OBJECT_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}/[A-Za-z0-9_.:-]{1,200}")
_CHANGE_ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}")


class Change(NamedTuple):
    """A change to the configuration.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's program; a repeated run of the same change
        uses the same id.
    origin : str
        Where the change was made from.
    base_version : int
        Version that the change was made from; 0 for the first.
    objects : dict of str to bytes
        All objects after the change.
    difference : tuple of str
        Description of what changes, for human readers.
    """

    change_id: str
    author: str
    origin: str
    reason: str
    base_version: int
    objects: dict[str, bytes]
    difference: tuple[str, ...]


class Accepted(NamedTuple):
    """The change was accepted as this version."""

    version: int
    change_id: str


class NotAccepted(NamedTuple):
    """The change was not accepted and can no longer be accepted.

    Attributes
    ----------
    head_version : int
        Version accepted instead of the change, or a later version.
    """

    change_id: str
    head_version: int


class Undecided(NamedTuple):
    """The change may still be accepted; running it again decides."""

    change_id: str


ChangeOutcome = Accepted | NotAccepted | Undecided


class AuditEntry(NamedTuple):
    """Record of an accepted change.

    Attributes
    ----------
    made_at : str
        Wall clock of the operator's program, ISO 8601 in UTC.
    changed, removed : tuple of str
        Names of objects.
    replaced : dict of str to str
        For each object that this change replaced or removed, the id of the
        change that had written it.
    """

    version: int
    from_version: int
    change_id: str
    author: str
    origin: str
    reason: str
    made_at: str
    difference: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]
    replaced: dict[str, str]


class DrainAction(enum.StrEnum):
    """What an operator has requested for an endpoint."""

    DRAIN = "drain"
    UNDRAIN = "undrain"


class Drain(NamedTuple):
    """Request of an operator to drain an endpoint or to end its drain.

    Attributes
    ----------
    drain_id : str
        Chosen by the operator's program; a repeated write of the same entry
        uses the same id.
    origin : str
        Where the request was made from.
    """

    drain_id: str
    action: DrainAction
    endpoint: str
    author: str
    origin: str
    reason: str


class DrainEntry(NamedTuple):
    """Record that a drain was requested; the drain itself may have failed.

    Attributes
    ----------
    version : int
        Version of the configuration in force at that time.
    made_at : str
        Wall clock of the operator's program, ISO 8601 in UTC.
    """

    number: int
    version: int
    drain_id: str
    action: DrainAction
    endpoint: str
    author: str
    origin: str
    reason: str
    made_at: str


HistoryEntry = AuditEntry | DrainEntry


class Conflict(errors.StoreError):
    """Another change was accepted first.

    Parameters
    ----------
    base_version : int
        Version that the rejected change was made from.
    head_version : int
        Version in force.
    accepted_entries : tuple of AuditEntry
        Audit entries of the changes accepted since the base version, oldest
        first, at most 20.
    """

    def __init__(
        self,
        peer: str,
        base_version: int,
        head_version: int,
        accepted_entries: tuple[AuditEntry, ...],
    ) -> None:
        names = ", ".join(
            f"{entry.change_id} by {entry.author}"
            for entry in accepted_entries
        )
        super().__init__(
            "accept",
            peer,
            f"made from version {base_version}, but version {head_version}"
            f" is in force ({names or 'no audit entry'})",
        )
        self.base_version = base_version
        self.head_version = head_version
        self.accepted_entries = accepted_entries


class Reverted(errors.StoreError):
    """The store holds an older configuration than the reader already has.

    Parameters
    ----------
    known_version, head_version : int
        Version that the reader has, and version in the store.
    """

    def __init__(
        self, known_version: int, head_version: int, reason: str
    ) -> None:
        super().__init__("load", "store", reason)
        self.known_version = known_version
        self.head_version = head_version


class MalformedValue(errors.StoreError):
    """A value below ``config/`` cannot be decoded."""


class MissingObject(errors.StoreError):
    """An object that is in force is not in the store."""


class Loaded(NamedTuple):
    """Result of a load.

    Attributes
    ----------
    snapshot : snapshots.Snapshot or None
        None if there is no newer version.
    revision : int
        Revision of the store at the time of the read; a watch starts at the
        next revision.
    """

    snapshot: snapshots.Snapshot | None
    revision: int


class _Head(msgspec.Struct):
    """Stored form of the head.

    Attributes
    ----------
    objects : dict
        For each object name, the id of the change that wrote the object and
        the digest of its value. The digests tell which objects a change or a
        reader has to transfer.
    """

    version: int = 0
    change_id: str = ""
    objects: dict[str, tuple[str, str]] = {}


class _Started(msgspec.Struct):
    base_version: int
    digest: str


class _ChangeRecord(msgspec.Struct):
    version: int
    digest: str


class _Audit(msgspec.Struct):
    """Stored form of an audit entry."""

    version: int
    from_version: int
    change_id: str
    author: str
    origin: str
    reason: str
    made_at: str
    difference: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]
    replaced: dict[str, str]

    def to_entry(self) -> AuditEntry:
        return AuditEntry(*msgspec.structs.astuple(self))


class _Drain(msgspec.Struct):
    """Stored form of a drain entry."""

    number: int
    version: int
    drain_id: str
    action: DrainAction
    endpoint: str
    author: str
    origin: str
    reason: str
    made_at: str

    def to_entry(self) -> DrainEntry:
        return DrainEntry(*msgspec.structs.astuple(self))


class _DrainState(NamedTuple):
    """State of the store that the write of a drain entry depends on.

    Attributes
    ----------
    expired : tuple of str
        Keys of entries beyond MAX_AUDIT_ENTRIES, to be deleted.
    """

    recent: tuple[DrainEntry, ...]
    version: int
    number: int
    expired: tuple[str, ...]


class _ChangeState(NamedTuple):
    """State of the store that a change depends on.

    Attributes
    ----------
    head_revision : int
        Modification revision of the head, 0 if there is none.
    expired : tuple of AuditEntry
        Entries beyond MAX_AUDIT_ENTRIES, to be deleted.
    """

    head: _Head
    head_revision: int
    record: _ChangeRecord | None
    started: _Started | None
    expired: tuple[AuditEntry, ...]


ChangeResult = result.Result[
    Accepted, Conflict | errors.Undetermined | errors.Rejected
]


def object_key(name: str, change_id: str) -> str:
    """Return the key of an object written by a change."""
    return f"{OBJECT_PREFIX}{name}/{change_id}"


def audit_key(version: int) -> str:
    """Return the key of a version's audit entry."""
    return f"{AUDIT_PREFIX}{version:0{VERSION_DIGITS}}"


def drain_key(number: int) -> str:
    """Return the key of a drain entry."""
    return f"{DRAIN_PREFIX}{number:0{VERSION_DIGITS}}"


def audit_version(key: str) -> int:
    """Return the version in an audit key, or 0 if there is none."""
    digits = key.removeprefix(AUDIT_PREFIX)
    return int(digits) if digits.isdecimal() else 0


def _now() -> str:
    """Return the wall clock time, for human readers of the audit trail."""
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="milliseconds")


def _decode(pair: messages.KeyValue, record_type: type[client.T]) -> client.T:
    try:
        return msgspec.json.decode(pair.value, type=record_type)
    except msgspec.MsgspecError as error:
        raise MalformedValue("decode", pair.key, str(error)) from error


def _decode_first(
    pairs: tuple[messages.KeyValue, ...], record_type: type[client.T]
) -> client.T | None:
    return _decode(pairs[0], record_type) if pairs else None


def _decode_audit(
    pairs: tuple[messages.KeyValue, ...],
) -> tuple[AuditEntry, ...]:
    return tuple(_decode(pair, _Audit).to_entry() for pair in pairs)


def _digest(value: bytes) -> str:
    raw = hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()
    return base64.b64encode(raw).decode()


def _change_digest(change: Change) -> str:
    """Return a digest of a change, to detect a reused change id."""
    objects = sorted((n, _digest(v)) for n, v in change.objects.items())
    return _digest(msgspec.json.encode([change.base_version, objects]))


# Changes


async def apply(store: client.StoreClient, change: Change) -> ChangeResult:
    """Make a change unless another was accepted since its base version.

    A repeated run of the same change has no further effect, whatever the
    outcome of the earlier runs.

    Returns
    -------
    Result
        ``Accepted``; or ``Conflict`` or ``Rejected``, if the change has
        certainly not been accepted; or ``Undetermined``, if only another run
        of the change or ``read_outcome`` can tell.
    """
    refusal = _find_fault(change)
    if refusal is not None:
        return result.Failure(refusal)
    try:
        outcome = await _apply(store, change)
    except MalformedValue as error:
        outcome = result.Failure(error)
    if isinstance(outcome, result.Success):
        accepted = outcome.unwrap()
        if accepted.version % KEPT_VERSIONS == 0:
            await _prune_and_log(store)
        return result.Success(accepted)
    failure = outcome.failure()
    if isinstance(failure, Conflict | errors.Undetermined):
        return result.Failure(failure)
    if isinstance(failure, _PermanentlyRejected):
        reason = failure.reason
        return result.Failure(
            errors.Rejected(failure.step, failure.peer, reason)
        )
    # An earlier run of the same change may still be accepted, so the error
    # of this run does not decide the outcome.
    return result.Failure(
        errors.Undetermined(failure.step, failure.peer, failure.reason)
    )


class _PermanentlyRejected(errors.Rejected):
    """No run of the change can be accepted, neither this one nor another."""


def _find_fault(change: Change) -> errors.Rejected | None:
    """Return an error if the store cannot hold a change."""
    if not _CHANGE_ID.fullmatch(change.change_id):
        return errors.Rejected("check", "change", "invalid change id")
    for name, value in change.objects.items():
        if not _OBJECT_NAME.fullmatch(name):
            return errors.Rejected("check", name, "invalid object name")
        if len(value) > MAX_VALUE_BYTES:
            reason = f"{len(value)} bytes exceed {MAX_VALUE_BYTES}"
            return errors.Rejected("check", name, reason)
    return None


async def _apply(
    store: client.StoreClient, change: Change
) -> client.StoreResult[Accepted]:
    digest = _change_digest(change)
    read = await _read_change_state(
        store, change.change_id, change.base_version
    )
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    state = read.unwrap()
    outcome = await _find_outcome(store, change, state, digest)
    if outcome is not None:
        return outcome
    head, entry = _build_head_and_audit(change, state.head)
    values = (msgspec.json.encode(head), msgspec.json.encode(entry))
    if sum(map(len, values)) > MAX_BATCH_BYTES:
        reason = f"head and audit entry exceed {MAX_BATCH_BYTES} bytes"
        return result.Failure(_PermanentlyRejected("check", HEAD_KEY, reason))
    written = await _write_objects(store, change, entry.changed, digest)
    if not isinstance(written, result.Success):
        return result.Failure(written.failure())
    return await _replace_head(store, change, state, values, digest)


async def _find_outcome(
    store: client.StoreClient, change: Change, state: _ChangeState, digest: str
) -> client.StoreResult[Accepted] | None:
    """Return the outcome of a change if the store's state decides it."""
    known = state.record or state.started
    if known is not None and known.digest != digest:
        return result.Failure(
            _PermanentlyRejected(
                "accept", change.change_id, "change id was used before"
            )
        )
    if state.record is not None:
        accepted = Accepted(state.record.version, change.change_id)
        return result.Success(accepted)
    if state.head.version < change.base_version:
        reason = (
            f"version {state.head.version} is in force, below the base"
            f" version {change.base_version}; the store was restored"
        )
        return result.Failure(_PermanentlyRejected("accept", "store", reason))
    if state.head.version > change.base_version:
        return await _build_conflict(store, change, state.head.version)
    return None


async def _read_change_state(
    store: client.StoreClient, change_id: str, base_version: int
) -> client.StoreResult[_ChangeState]:
    last_expired = base_version + 1 - MAX_AUDIT_ENTRIES
    answer = await store.txn(
        (),
        (
            messages.Range(HEAD_KEY),
            messages.Range(CHANGE_PREFIX + change_id),
            messages.Range(STARTED_PREFIX + change_id),
            messages.Range(
                AUDIT_PREFIX,
                audit_key(max(1, last_expired + 1)),
                EXPIRED_PER_ENTRY,
            ),
        ),
    )
    return answer.map(_decode_change_state)


def _decode_change_state(answer: messages.TxnAnswer) -> _ChangeState:
    head_pairs = answer.pairs(0)
    return _ChangeState(
        _decode_first(head_pairs, _Head) or _Head(),
        head_pairs[0].mod_revision if head_pairs else 0,
        _decode_first(answer.pairs(1), _ChangeRecord),
        _decode_first(answer.pairs(2), _Started),
        _decode_audit(answer.pairs(3)),
    )


def _build_head_and_audit(change: Change, head: _Head) -> tuple[_Head, _Audit]:
    """Return the head and the audit entry after a change."""
    digests = {name: _digest(v) for name, v in change.objects.items()}
    changed = [
        name
        for name, digest in digests.items()
        if head.objects.get(name, ("", ""))[1] != digest
    ]
    removed = [name for name in head.objects if name not in digests]
    objects = {n: v for n, v in head.objects.items() if n in digests}
    objects |= {name: (change.change_id, digests[name]) for name in changed}
    version = change.base_version + 1
    entry = _Audit(
        version=version,
        from_version=change.base_version,
        change_id=change.change_id,
        author=change.author,
        origin=change.origin,
        reason=change.reason,
        made_at=_now(),
        difference=change.difference,
        changed=tuple(sorted(changed)),
        removed=tuple(sorted(removed)),
        replaced={
            name: head.objects[name][0]
            for name in (*changed, *removed)
            if name in head.objects
        },
    )
    return _Head(version, change.change_id, objects), entry


def _divide_into_batches(
    change: Change, names: Iterable[str]
) -> list[list[messages.Put]]:
    """Divide objects into transactions that the store accepts."""
    batches: list[list[messages.Put]] = [[]]
    size = 0
    for name in names:
        value = change.objects[name]
        is_full = len(batches[-1]) >= MAX_BATCH_OPERATIONS
        if is_full or (batches[-1] and size + len(value) > MAX_BATCH_BYTES):
            batches.append([])
            size = 0
        key = object_key(name, change.change_id)
        batches[-1].append(messages.Put(key, value))
        size += len(value)
    return batches


async def _write_objects(
    store: client.StoreClient,
    change: Change,
    names: Iterable[str],
    digest: str,
) -> client.StoreResult[None]:
    """Write the changed objects, the first ones with the start record."""
    first, *others = _divide_into_batches(change, names)
    record = _Started(change.base_version, digest)
    started_key = STARTED_PREFIX + change.change_id
    started = messages.Put(started_key, msgspec.json.encode(record))
    answer = await _write_idempotent(
        store,
        (
            _compare_absent(started_key),
            _compare_absent(CHANGE_PREFIX + change.change_id),
        ),
        (started, *first),
        (messages.Range(started_key),),
    )
    if not isinstance(answer, result.Success):
        return result.Failure(answer.failure())
    if not answer.unwrap().succeeded:
        # Another run has written the start record and the first objects. If
        # it belongs to another change, its objects must not be replaced.
        existing = _decode_first(answer.unwrap().pairs(0), _Started)
        if existing is not None and existing.digest != digest:
            reason = "change id was used before"
            refusal = _PermanentlyRejected("accept", change.change_id, reason)
            return result.Failure(refusal)
    for batch in others:
        answer = await _write_idempotent(store, (), batch, ())
        if not isinstance(answer, result.Success):
            return result.Failure(answer.failure())
    return result.Success(None)


def _compare_absent(key: str) -> messages.Compare:
    return messages.Compare(key, messages.Target.CREATE_REVISION, 0)


async def _write_idempotent(
    store: client.StoreClient,
    comparisons: Sequence[messages.Compare],
    success: Sequence[messages.Operation],
    failure: Sequence[messages.Operation],
) -> client.StoreResult[messages.TxnAnswer]:
    """Run an idempotent transaction, with retries."""
    for attempt in range(WRITE_ATTEMPTS):
        answer = await store.txn(comparisons, success, failure)
        if isinstance(answer, result.Success):
            break
        is_final = isinstance(answer.failure(), errors.Rejected)
        if is_final and not isinstance(answer.failure(), errors.RateLimited):
            break
        if attempt + 1 < WRITE_ATTEMPTS:
            await store.back_off(attempt)
    return answer


async def _replace_head(
    store: client.StoreClient,
    change: Change,
    state: _ChangeState,
    values: tuple[bytes, bytes],
    digest: str,
) -> client.StoreResult[Accepted]:
    """Accept the change by replacing the head, if it is still as read."""
    version = change.base_version + 1
    invariants.check(
        version == state.head.version + 1,
        "head_version_increments",
        version=version,
        head_version=state.head.version,
    )
    record_key = CHANGE_PREFIX + change.change_id
    record = msgspec.json.encode(_ChangeRecord(version, digest))
    answer = await store.txn(
        (
            messages.Compare(
                HEAD_KEY, messages.Target.MOD_REVISION, state.head_revision
            ),
            _compare_absent(record_key),
        ),
        (
            messages.Put(HEAD_KEY, values[0]),
            messages.Put(audit_key(version), values[1]),
            messages.Put(record_key, record),
            messages.DeleteRange(STARTED_PREFIX + change.change_id),
            *_expired_deletes(state.expired),
        ),
        (messages.Range(record_key),),
    )
    if not isinstance(answer, result.Success):
        return await _resolve_undetermined(store, change, answer.failure())
    txn = answer.unwrap()
    if txn.succeeded:
        return result.Success(Accepted(version, change.change_id))
    existing = _decode_first(txn.pairs(0), _ChangeRecord)
    if existing is not None:
        return result.Success(Accepted(existing.version, change.change_id))
    return await _build_conflict(store, change, version)


def _expired_deletes(
    expired: tuple[AuditEntry, ...],
) -> list[messages.DeleteRange]:
    keys = [
        key
        for entry in expired
        for key in (
            audit_key(entry.version),
            CHANGE_PREFIX + entry.change_id,
        )
    ]
    return [messages.DeleteRange(key) for key in keys]


async def _resolve_undetermined(
    store: client.StoreClient, change: Change, error: errors.StoreError
) -> client.StoreResult[Accepted]:
    """Find out whether a transaction without an answer took effect."""
    read = await read_outcome(store, change.change_id)
    if not isinstance(read, result.Success):
        return result.Failure(error)
    outcome = read.unwrap()
    if isinstance(outcome, Accepted):
        return result.Success(outcome)
    if isinstance(outcome, NotAccepted):
        return await _build_conflict(store, change, outcome.head_version)
    return result.Failure(error)


async def _build_conflict(
    store: client.StoreClient, change: Change, head_version: int
) -> client.StoreResult[Accepted]:
    """Return a conflict, without entries if they cannot be read."""
    base = change.base_version
    read = await store.range(_audit_range(base + 1, MAX_CONFLICT_ENTRIES))
    accepted_entries: tuple[AuditEntry, ...] = ()
    if isinstance(read, result.Success):
        accepted_entries = _decode_audit(read.unwrap().pairs)
    head_version = max(
        [head_version, *(entry.version for entry in accepted_entries)]
    )
    is_not_in_history = all(
        entry.change_id != change.change_id for entry in accepted_entries
    )
    invariants.check(
        is_not_in_history,
        "conflict_is_not_in_history",
        change_id=change.change_id,
    )
    return result.Failure(
        Conflict("store", base, head_version, accepted_entries)
    )


def _audit_range(version: int, limit: int) -> messages.Range:
    """Return a range of audit entries, starting at a version."""
    end = messages.prefix_end(AUDIT_PREFIX)
    return messages.Range(audit_key(version), end, limit)


async def read_outcome(
    store: client.StoreClient, change_id: str
) -> client.StoreResult[ChangeOutcome]:
    """Find out whether a change was accepted, without writing anything.

    Returns
    -------
    Result
        ``Accepted``, ``NotAccepted`` or ``Undecided``. A change is undecided
        while its base version is in force, because a delayed transaction may
        still be executed.
    """
    answer = await store.txn(
        (),
        (
            messages.Range(CHANGE_PREFIX + change_id),
            messages.Range(STARTED_PREFIX + change_id),
        ),
    )
    if not isinstance(answer, result.Success):
        return result.Failure(answer.failure())
    try:
        record = _decode_first(answer.unwrap().pairs(0), _ChangeRecord)
        started = _decode_first(answer.unwrap().pairs(1), _Started)
        if record is not None:
            accepted = Accepted(record.version, change_id)
            return result.Success(accepted)
        if started is None:
            return result.Success(Undecided(change_id))
        return await _read_started_outcome(store, change_id, started)
    except MalformedValue as error:
        return result.Failure(error)


async def _read_started_outcome(
    store: client.StoreClient, change_id: str, started: _Started
) -> client.StoreResult[ChangeOutcome]:
    following = started.base_version + 1
    read = await store.range(_audit_range(following, 1))
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    entries = _decode_audit(read.unwrap().pairs)
    # If the first entry is a later one, the following version's entry has
    # expired.
    if not entries or entries[0].version != following:
        return result.Success(Undecided(change_id))
    if entries[0].change_id == change_id:
        return result.Success(Accepted(following, change_id))
    return result.Success(NotAccepted(change_id, following))


# Audit trail


async def history(
    store: client.StoreClient, limit: int
) -> client.StoreResult[tuple[HistoryEntry, ...]]:
    """Return the latest entries of the audit trail, latest first.

    Accepted changes and drains are ordered by their revisions in the store,
    because the clocks of the operators' VMs may differ.
    """
    pairs: list[messages.KeyValue] = []
    for prefix in (AUDIT_PREFIX, DRAIN_PREFIX):
        read = await _read_latest(store, prefix, limit)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        pairs += read.unwrap()
    pairs.sort(key=_create_revision, reverse=True)
    try:
        return result.Success(tuple(map(_decode_entry, pairs[:limit])))
    except MalformedValue as error:
        return result.Failure(error)


def _create_revision(pair: messages.KeyValue) -> int:
    return pair.create_revision


def _decode_entry(pair: messages.KeyValue) -> HistoryEntry:
    if pair.key.startswith(DRAIN_PREFIX):
        return _decode(pair, _Drain).to_entry()
    return _decode(pair, _Audit).to_entry()


async def _read_latest(
    store: client.StoreClient, prefix: str, limit: int
) -> client.StoreResult[list[messages.KeyValue]]:
    """Read the last keys with a prefix in descending order, by pages."""
    pairs: list[messages.KeyValue] = []
    end = messages.prefix_end(prefix)
    page = HISTORY_PAGE
    while len(pairs) < limit:
        count = min(page, limit - len(pairs))
        read = await store.range(
            messages.Range(prefix, end, count, is_descending=True)
        )
        if not isinstance(read, result.Success):
            too_large = isinstance(read.failure(), errors.AnswerTooLarge)
            if not too_large or page == 1:
                return result.Failure(read.failure())
            page = page // 2
            continue
        pairs += read.unwrap().pairs
        if not read.unwrap().has_more:
            break
        end = pairs[-1].key
    return result.Success(pairs)


async def record_drain(
    store: client.StoreClient, drain: Drain
) -> client.StoreResult[DrainEntry]:
    """Add an entry to the audit trail before a drain is executed.

    Recording the same drain again has no further effect.

    Returns
    -------
    Result
        The entry; or ``Undetermined`` if it may have been written; or
        another error if it has certainly not been written.
    """
    made_at = _now()
    undetermined: errors.StoreError | None = None
    for attempt in range(RECORD_ATTEMPTS):
        try:
            recorded = await _record_drain(store, drain, made_at)
        except MalformedValue as malformed:
            recorded = result.Failure(malformed)
        if isinstance(recorded, result.Success):
            return recorded
        error = recorded.failure()
        if isinstance(error, errors.Undetermined):
            # If the entry was written, the next attempt reads it.
            undetermined = error
        elif not isinstance(error, _NumberTaken):
            break
        await store.back_off(attempt)
    return result.Failure(undetermined or error)


class _NumberTaken(errors.Unavailable):
    """Another operator's entry was written under the same number."""


async def _record_drain(
    store: client.StoreClient, drain: Drain, made_at: str
) -> client.StoreResult[DrainEntry]:
    read = await _read_drain_state(store)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    state = read.unwrap()
    for entry in state.recent:
        if entry.drain_id == drain.drain_id:
            return result.Success(entry)
    stored = _Drain(state.number, state.version, *drain, made_at=made_at)
    value = msgspec.json.encode(stored)
    if len(value) > MAX_DRAIN_BYTES:
        reason = f"{len(value)} bytes exceed {MAX_DRAIN_BYTES}"
        return result.Failure(errors.Rejected("check", "drain", reason))
    key = drain_key(state.number)
    answer = await store.txn(
        (_compare_absent(key),),
        (
            messages.Put(key, value),
            *(messages.DeleteRange(expired) for expired in state.expired),
        ),
    )
    if not isinstance(answer, result.Success):
        return result.Failure(answer.failure())
    if not answer.unwrap().succeeded:
        reason = "other operators' entries were written"
        return result.Failure(_NumberTaken("record", "store", reason))
    return result.Success(stored.to_entry())


async def _read_drain_state(
    store: client.StoreClient,
) -> client.StoreResult[_DrainState]:
    end = messages.prefix_end(DRAIN_PREFIX)
    audit_end = messages.prefix_end(AUDIT_PREFIX)
    answer = await store.txn(
        (),
        (
            messages.Range(
                DRAIN_PREFIX, end, RECENT_DRAIN_ENTRIES, False, True
            ),
            messages.Range(DRAIN_PREFIX, end, EXPIRED_PER_ENTRY, True),
            messages.Range(AUDIT_PREFIX, audit_end, 1, True, True),
        ),
    )
    return answer.map(_decode_drain_state)


def _decode_drain_state(answer: messages.TxnAnswer) -> _DrainState:
    recent = tuple(
        _decode(pair, _Drain).to_entry() for pair in answer.pairs(0)
    )
    number = recent[0].number + 1 if recent else 1
    bound = drain_key(max(0, number - MAX_AUDIT_ENTRIES))
    latest = [audit_version(pair.key) for pair in answer.pairs(2)]
    return _DrainState(
        recent,
        latest[0] if latest else 0,
        number,
        tuple(p.key for p in answer.pairs(1) if p.key <= bound),
    )


# Loading


async def load(
    store: client.StoreClient, known: snapshots.Snapshot | None
) -> client.StoreResult[snapshots.Snapshot | None]:
    """Read the configuration in force, fetching only what changed.

    Parameters
    ----------
    known : snapshots.Snapshot or None
        Version that the caller has.

    Returns
    -------
    Result
        The newer version, None if there is none, or an error; the error is
        ``Reverted`` if the store holds an older version than the known one.
    """
    loaded = await load_with_revision(store, known)
    return loaded.map(_loaded_snapshot)


def _loaded_snapshot(loaded: Loaded) -> snapshots.Snapshot | None:
    return loaded.snapshot


async def load_with_revision(
    store: client.StoreClient, known: snapshots.Snapshot | None
) -> client.StoreResult[Loaded]:
    """Read like ``load``, and return the revision for a watch too."""
    try:
        loaded = await _load_by_audit(store, known) if known else None
        for _ in range(LOAD_ATTEMPTS):
            if loaded is not None and not _has_missing_object(loaded):
                break
            # Objects may be pruned between the reader's calls if the reader
            # falls far behind.
            loaded = await _load_by_head(store, known)
    except MalformedValue as error:
        return result.Failure(error)
    assert loaded is not None
    if isinstance(loaded, result.Success):
        _check_version_grows(loaded.unwrap().snapshot, known)
    return loaded


def _has_missing_object(loaded: client.StoreResult[Loaded]) -> bool:
    if isinstance(loaded, result.Success):
        return False
    return isinstance(loaded.failure(), MissingObject)


def _check_version_grows(
    snapshot: snapshots.Snapshot | None, known: snapshots.Snapshot | None
) -> None:
    if snapshot is None or known is None:
        return
    invariants.check(
        snapshot.version > known.version,
        "loaded_version_grows",
        version=snapshot.version,
        known_version=known.version,
    )


async def _load_by_audit(
    store: client.StoreClient, known: snapshots.Snapshot
) -> client.StoreResult[Loaded] | None:
    """Load the changes after the known version by their audit entries.

    Returns
    -------
    Result or None
        None if the known version is not in the store's history, or if the
        entries after it are incomplete, too many or too large. The head has
        to be read then.
    """
    # The change record shows that the known version is part of the store's
    # history. The audit entry would show that too, but is large if the change
    # was an import.
    read = await store.txn(
        (),
        (
            messages.Range(CHANGE_PREFIX + known.change_id),
            _audit_range(known.version + 1, MAX_DELTA_ENTRIES),
        ),
    )
    if not isinstance(read, result.Success):
        too_large = isinstance(read.failure(), errors.AnswerTooLarge)
        return None if too_large else result.Failure(read.failure())
    txn = read.unwrap()
    record = _decode_first(txn.pairs(0), _ChangeRecord)
    if record is None or record.version != known.version:
        return None
    entries = _decode_audit(txn.pairs(1))
    versions = [known.version, *(entry.version for entry in entries)]
    is_contiguous = all(b == a + 1 for a, b in itertools.pairwise(versions))
    if len(entries) == MAX_DELTA_ENTRIES or not is_contiguous:
        return None
    if not entries:
        return result.Success(Loaded(None, txn.revision))
    return await _load_delta(store, known, entries, txn.revision)


def _diverged_error(known: snapshots.Snapshot, head_version: int) -> Reverted:
    reason = (
        f"version {known.version} in the store is another change than"
        f" {known.change_id}; the store was restored"
    )
    return Reverted(known.version, head_version, reason)


async def _load_delta(
    store: client.StoreClient,
    known: snapshots.Snapshot,
    entries: tuple[AuditEntry, ...],
    revision: int,
) -> client.StoreResult[Loaded]:
    objects = dict(known.objects)
    written_by: dict[str, str] = {}
    for entry in entries:
        written_by |= dict.fromkeys(entry.changed, entry.change_id)
        for name in entry.removed:
            objects.pop(name, None)
            written_by.pop(name, None)
    fetched = await _read_objects(store, written_by)
    if not isinstance(fetched, result.Success):
        return result.Failure(fetched.failure())
    objects |= fetched.unwrap()
    last = entries[-1]
    snapshot = snapshots.Snapshot(last.version, last.change_id, objects)
    return result.Success(Loaded(snapshot, revision))


async def _load_by_head(
    store: client.StoreClient, known: snapshots.Snapshot | None
) -> client.StoreResult[Loaded]:
    read = await store.range(messages.Range(HEAD_KEY))
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    head = _decode_first(read.unwrap().pairs, _Head) or _Head()
    revision = read.unwrap().revision
    reverted = _find_reversion(known, head)
    if reverted is not None:
        return result.Failure(reverted)
    if head.version == (known.version if known else 0):
        return result.Success(Loaded(None, revision))
    unchanged = _unchanged_objects(known, head)
    written_by = {
        name: change_id
        for name, (change_id, _) in head.objects.items()
        if name not in unchanged
    }
    fetched = await _read_objects(store, written_by)
    if not isinstance(fetched, result.Success):
        return result.Failure(fetched.failure())
    objects = unchanged | fetched.unwrap()
    for name, value in fetched.unwrap().items():
        if _digest(value) != head.objects[name][1]:
            raise MalformedValue("load", name, "digest differs from head")
    snapshot = snapshots.Snapshot(head.version, head.change_id, objects)
    invariants.check(
        objects.keys() == head.objects.keys(),
        "snapshot_is_complete",
        version=head.version,
    )
    return result.Success(Loaded(snapshot, revision))


def _find_reversion(
    known: snapshots.Snapshot | None, head: _Head
) -> Reverted | None:
    if known is None:
        return None
    if head.version < known.version:
        reason = (
            f"version {head.version} is in the store, but version"
            f" {known.version} is known; the store was restored"
        )
        return Reverted(known.version, head.version, reason)
    is_same = head.change_id == known.change_id
    if head.version == known.version and not is_same:
        return _diverged_error(known, head.version)
    return None


def _unchanged_objects(
    known: snapshots.Snapshot | None, head: _Head
) -> dict[str, bytes]:
    """Return the known objects whose digests are those of the head."""
    if known is None:
        return {}
    return {
        name: value
        for name, value in known.objects.items()
        if name in head.objects and head.objects[name][1] == _digest(value)
    }


async def _read_objects(
    store: client.StoreClient, written_by: dict[str, str]
) -> client.StoreResult[dict[str, bytes]]:
    """Read objects, many in one transaction."""
    remaining = sorted(written_by)
    objects: dict[str, bytes] = {}
    batch = MAX_BATCH_OPERATIONS
    while remaining:
        names = remaining[:batch]
        keys = [object_key(name, written_by[name]) for name in names]
        answer = await store.txn((), [messages.Range(key) for key in keys])
        if not isinstance(answer, result.Success):
            too_large = isinstance(answer.failure(), errors.AnswerTooLarge)
            if not too_large or len(names) == 1:
                return result.Failure(answer.failure())
            batch = len(names) // 2
            continue
        for index, name in enumerate(names):
            pairs = answer.unwrap().pairs(index)
            if not pairs:
                reason = f"written by {written_by[name]}, not in the store"
                return result.Failure(MissingObject("load", name, reason))
            objects[name] = pairs[0].value
        remaining = remaining[len(names) :]
    return result.Success(objects)


# Pruning


async def _prune_and_log(store: client.StoreClient) -> None:
    pruned = await prune(store)
    if isinstance(pruned, result.Success):
        log.event("configuration_pruned", removed=pruned.unwrap())
        return
    error = pruned.failure()
    log.event(
        "configuration_prune_failed",
        level="WARNING",
        step=error.step,
        peer=error.peer,
        reason=error.reason,
    )


async def prune(store: client.StoreClient) -> client.StoreResult[int]:
    """Remove objects that none of the latest versions refers to.

    Start records of changes that were not accepted are removed too.
    ``apply`` prunes every 100 versions.

    Returns
    -------
    Result
        Number of keys removed.
    """
    try:
        return await _prune(store)
    except MalformedValue as error:
        return result.Failure(error)


async def _prune(store: client.StoreClient) -> client.StoreResult[int]:
    read = await store.range(messages.Range(HEAD_KEY))
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    head = _decode_first(read.unwrap().pairs, _Head) or _Head()
    oldest = head.version - KEPT_VERSIONS
    if oldest < 1:
        return result.Success(0)
    audit = await store.range(_audit_range(oldest, KEPT_VERSIONS + 1))
    if not isinstance(audit, result.Success):
        return result.Failure(audit.failure())
    pairs = audit.unwrap().pairs
    if not pairs or audit_version(pairs[0].key) != oldest:
        return result.Success(0)
    # The objects that the oldest entry replaced belong to a version that is
    # not kept.
    kept = _kept_keys(head, _decode_audit(pairs[1:]))
    before_revision = pairs[0].mod_revision
    removed = 0
    for prefix in (OBJECT_PREFIX, STARTED_PREFIX):
        pruned = await _prune_prefix(store, prefix, kept, before_revision)
        if not isinstance(pruned, result.Success):
            return pruned
        removed += pruned.unwrap()
    return result.Success(removed)


def _kept_keys(head: _Head, entries: tuple[AuditEntry, ...]) -> set[str]:
    """Return the keys of objects that the latest versions refer to."""
    kept = {object_key(n, value[0]) for n, value in head.objects.items()}
    for entry in entries:
        kept |= {object_key(n, i) for n, i in entry.replaced.items()}
    return kept


async def _prune_prefix(
    store: client.StoreClient,
    prefix: str,
    kept: set[str],
    before_revision: int,
) -> client.StoreResult[int]:
    """Remove keys last written before a revision, except the kept ones."""
    start = prefix
    removed = 0
    while True:
        end = messages.prefix_end(prefix)
        page = messages.Range(start, end, PRUNE_PAGE_KEYS, keys_only=True)
        read = await store.range(page)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        pairs = read.unwrap().pairs
        old = [
            pair
            for pair in pairs
            if pair.mod_revision < before_revision and pair.key not in kept
        ]
        for index in range(0, len(old), MAX_BATCH_OPERATIONS):
            batch = old[index : index + MAX_BATCH_OPERATIONS]
            answer = await _remove_unchanged(store, batch)
            if not isinstance(answer, result.Success):
                return result.Failure(answer.failure())
            removed += len(batch) * answer.unwrap().succeeded
        if not read.unwrap().has_more:
            return result.Success(removed)
        start = pairs[-1].key + "\0"


async def _remove_unchanged(
    store: client.StoreClient, pairs: list[messages.KeyValue]
) -> client.StoreResult[messages.TxnAnswer]:
    """Remove keys, unless a repeated run of a change has rewritten one."""
    return await store.txn(
        [
            messages.Compare(
                pair.key, messages.Target.MOD_REVISION, pair.mod_revision
            )
            for pair in pairs
        ],
        [messages.DeleteRange(pair.key) for pair in pairs],
    )
