"""Layout of the configuration in the store, and changes to it.

Keys below ``config/``:

* ``objects/<kind>/<name>/<change id>``: one object, never changed.
* ``head``: version, change id, and for each object in force the change id
  and a digest.
* ``audit/<version>``: the entry of each accepted change, written with the
  head, so that a reader at any recent version learns what changed without
  reading the head, which names all objects.
* ``drains/<number>``: the entry of each drain or its end that an operator
  has asked for. Kept apart from the changes, so that readers of the
  configuration are not woken by it and find the entries of all versions side
  by side.
* ``changes/<change id>``: version at which a change was accepted, written
  with the head.
* ``started/<change id>``: base version of a change, written with its first
  objects. It tells whether a change that is not accepted still can be.
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
"""Versions are padded with zeros in keys, so that keys sort by version."""

MAX_VALUE_BYTES = 1_000_000
MAX_BATCH_BYTES = 1_000_000
"""Values in one transaction; the gateway accepts 1.5 MiB in all."""
MAX_BATCH_OPERATIONS = 100
"""The gateway accepts 128 operations in one transaction."""
MAX_AUDIT_ENTRIES = 10_000
"""Entries of each kind, so that many drains do not push changes out."""
EXPIRED_PER_CHANGE = 4
"""Audit entries removed with each new one; one would keep the bound."""
MAX_DRAIN_BYTES = 16_384
DRAIN_ATTEMPTS = 10
"""An attempt fails when another operator's entry takes the number."""
RECENT_DRAINS = 50
"""Entries searched for one whose answer was lost."""
KEPT_VERSIONS = 100
"""Objects replaced within this many versions are kept for readers that are
behind."""
MAX_DELTA_ENTRIES = 50
"""A reader that is further behind reads the head instead. Less than
KEPT_VERSIONS, so that the objects it needs are still there."""
MAX_WINNERS = 20
PAGE_KEYS = 1_000
HISTORY_PAGE = 100
WRITE_ATTEMPTS = 4
LOAD_ATTEMPTS = 3
DIGEST_BYTES = 12

_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}/[A-Za-z0-9_.:-]{1,200}")
_CHANGE_ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}")


class Change(NamedTuple):
    """A change to the configuration.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's program; a change that is run again keeps
        it.
    origin : str
        Where the change was made from.
    base_version : int
        Version that the change was made from; 0 for the first.
    objects : dict of str to bytes
        All objects after the change.
    difference : tuple of str
        What changes, for people.
    """

    change_id: str
    author: str
    origin: str
    reason: str
    base_version: int
    objects: dict[str, bytes]
    difference: tuple[str, ...]


class Accepted(NamedTuple):
    """The change is in force as this version."""

    version: int
    change_id: str


class NotAccepted(NamedTuple):
    """The change is not in force and cannot become so any more.

    Attributes
    ----------
    head_version : int
        Version that was accepted in its place, or a later one.
    """

    change_id: str
    head_version: int


class Undecided(NamedTuple):
    """The change may still be accepted; running it again will tell."""

    change_id: str


Settlement = Accepted | NotAccepted | Undecided


class AuditEntry(NamedTuple):
    """Record of an accepted change.

    Attributes
    ----------
    made_at : str
        Wall clock of the operator's program, ISO 8601 in UTC.
    changed, removed : tuple of str
        Names of objects.
    replaced : dict of str to str
        Change ids of the objects that this change took out of force.
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
    """What an operator has asked of an endpoint."""

    DRAIN = "drain"
    UNDRAIN = "undrain"


class Drain(NamedTuple):
    """A drain, or its end, that an operator asks for.

    Attributes
    ----------
    drain_id : str
        Chosen by the operator's program; an entry that is written again
        keeps it.
    origin : str
        Where it was asked from.
    """

    drain_id: str
    action: DrainAction
    endpoint: str
    author: str
    origin: str
    reason: str


class DrainEntry(NamedTuple):
    """Record that a drain was asked for; it may have failed afterwards.

    Attributes
    ----------
    version : int
        Configuration accepted at that time.
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
        Version that the losing change was made from.
    head_version : int
        Version in force.
    accepted_entries : tuple of AuditEntry
        Changes accepted since the base version, oldest first, at most 20.
    """

    def __init__(
        self,
        peer: str,
        base_version: int,
        head_version: int,
        accepted_entries: tuple[AuditEntry, ...],
    ) -> None:
        names = ", ".join(
            f"{w.change_id} by {w.author}" for w in accepted_entries
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
    """The store holds an older configuration than the one already known.

    Parameters
    ----------
    known_version, head_version : int
        Version in force here, and in the store.
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
        Revision of the store up to which changes were seen; a watch starts
        at the next.
    """

    snapshot: snapshots.Snapshot | None
    revision: int


class _Head(msgspec.Struct):
    """Stored form of the head.

    Attributes
    ----------
    objects : dict
        Name of each object to the id of the change that wrote it and the
        digest of its value. The digests tell what a change or a reader has
        to transfer.
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
    """Stored form of a drain's entry."""

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


class _DrainView(NamedTuple):
    """What a drain's entry needs to know of the store.

    Attributes
    ----------
    expired : tuple of str
        Keys of entries that exceed the bound.
    """

    recent: tuple[DrainEntry, ...]
    version: int
    number: int
    expired: tuple[str, ...]


class _View(NamedTuple):
    """What a change needs to know of the store.

    Attributes
    ----------
    head_revision : int
        Modification revision of the head, 0 if there is none.
    expired : tuple of AuditEntry
        Entries that exceed the bound.
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
    """Return the key of an object as written by a change."""
    return f"{OBJECT_PREFIX}{name}/{change_id}"


def audit_key(version: int) -> str:
    """Return the key of a version's audit entry."""
    return f"{AUDIT_PREFIX}{version:0{VERSION_DIGITS}}"


def drain_key(number: int) -> str:
    """Return the key of a drain's entry."""
    return f"{DRAIN_PREFIX}{number:0{VERSION_DIGITS}}"


def audit_version(key: str) -> int:
    """Return the version that an audit key names, or 0."""
    digits = key.removeprefix(AUDIT_PREFIX)
    return int(digits) if digits.isdecimal() else 0


def _now() -> str:
    """Return the wall clock's time, for people who read the trail."""
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="milliseconds")


def _decode(pair: messages.KeyValue, kind: type[client.T]) -> client.T:
    try:
        return msgspec.json.decode(pair.value, type=kind)
    except msgspec.MsgspecError as error:
        raise MalformedValue("decode", pair.key, str(error)) from error


def _decode_first(
    pairs: tuple[messages.KeyValue, ...], kind: type[client.T]
) -> client.T | None:
    return _decode(pairs[0], kind) if pairs else None


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


# Making a change


async def apply(store: client.StoreClient, change: Change) -> ChangeResult:
    """Make a change unless another was accepted since its base version.

    Running a change again has no further effect, whatever became of the
    earlier runs.

    Returns
    -------
    Result
        ``Accepted``; or ``Conflict`` or ``Rejected``, after which the change
        is certainly not in force; or ``Undetermined``, after which running
        the change again or ``read_outcome`` will tell.
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
    if isinstance(failure, _Impossible):
        reason = failure.reason
        return result.Failure(
            errors.Rejected(failure.step, failure.peer, reason)
        )
    # An earlier run of the same change may still be accepted, so that this
    # run alone does not decide.
    return result.Failure(
        errors.Undetermined(failure.step, failure.peer, failure.reason)
    )


class _Impossible(errors.Rejected):
    """No run of the change can be accepted, whatever became of others."""


def _find_fault(change: Change) -> errors.Rejected | None:
    """Return why the store cannot hold a change, if it cannot."""
    if not _CHANGE_ID.fullmatch(change.change_id):
        return errors.Rejected("check", "change", "invalid change id")
    for name, value in change.objects.items():
        if not _NAME.fullmatch(name):
            return errors.Rejected("check", name, "invalid object name")
        if len(value) > MAX_VALUE_BYTES:
            reason = f"{len(value)} bytes exceed {MAX_VALUE_BYTES}"
            return errors.Rejected("check", name, reason)
    return None


async def _apply(
    store: client.StoreClient, change: Change
) -> client.StoreResult[Accepted]:
    digest = _change_digest(change)
    read = await _read_view(store, change.change_id, change.base_version)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    view = read.unwrap()
    decided = await _decide(store, change, view, digest)
    if decided is not None:
        return decided
    head, entry = _plan(change, view.head)
    values = (msgspec.json.encode(head), msgspec.json.encode(entry))
    if sum(map(len, values)) > MAX_BATCH_BYTES:
        reason = f"head and audit entry exceed {MAX_BATCH_BYTES} bytes"
        return result.Failure(_Impossible("check", HEAD_KEY, reason))
    written = await _write_objects(store, change, entry.changed, digest)
    if not isinstance(written, result.Success):
        return result.Failure(written.failure())
    return await _accept(store, change, view, values, digest)


async def _decide(
    store: client.StoreClient, change: Change, view: _View, digest: str
) -> client.StoreResult[Accepted] | None:
    """Return the outcome of a change if it is already known."""
    known = view.record or view.started
    if known is not None and known.digest != digest:
        return result.Failure(
            _Impossible(
                "accept", change.change_id, "change id was used before"
            )
        )
    if view.record is not None:
        accepted = Accepted(view.record.version, change.change_id)
        return result.Success(accepted)
    if view.head.version < change.base_version:
        reason = (
            f"version {view.head.version} is in force, below the base"
            f" version {change.base_version}; the store was restored"
        )
        return result.Failure(_Impossible("accept", "store", reason))
    if view.head.version > change.base_version:
        return await _conflict(store, change, view.head.version)
    return None


async def _read_view(
    store: client.StoreClient, change_id: str, base_version: int
) -> client.StoreResult[_View]:
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
                EXPIRED_PER_CHANGE,
            ),
        ),
    )
    return answer.map(_view)


def _view(answer: messages.TxnAnswer) -> _View:
    head_pairs = answer.pairs(0)
    return _View(
        _decode_first(head_pairs, _Head) or _Head(),
        head_pairs[0].mod_revision if head_pairs else 0,
        _decode_first(answer.pairs(1), _ChangeRecord),
        _decode_first(answer.pairs(2), _Started),
        _decode_audit(answer.pairs(3)),
    )


def _plan(change: Change, head: _Head) -> tuple[_Head, _Audit]:
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


def _batches(change: Change, names: Iterable[str]) -> list[list[messages.Put]]:
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
    """Write the changed objects, the first together with a start record."""
    first, *others = _batches(change, names)
    record = _Started(change.base_version, digest)
    started_key = STARTED_PREFIX + change.change_id
    started = messages.Put(started_key, msgspec.json.encode(record))
    answer = await _write_again(
        store,
        (
            _is_absent(started_key),
            _is_absent(CHANGE_PREFIX + change.change_id),
        ),
        (started, *first),
        (messages.Range(started_key),),
    )
    if not isinstance(answer, result.Success):
        return result.Failure(answer.failure())
    if not answer.unwrap().succeeded:
        # Another run has begun, and has written the first objects with the
        # record. Those of another change must not be replaced.
        present = _decode_first(answer.unwrap().pairs(0), _Started)
        if present is not None and present.digest != digest:
            reason = "change id was used before"
            refusal = _Impossible("accept", change.change_id, reason)
            return result.Failure(refusal)
    for batch in others:
        answer = await _write_again(store, (), batch, ())
        if not isinstance(answer, result.Success):
            return result.Failure(answer.failure())
    return result.Success(None)


def _is_absent(key: str) -> messages.Compare:
    return messages.Compare(key, messages.Target.CREATE_REVISION, 0)


async def _write_again(
    store: client.StoreClient,
    compares: Sequence[messages.Compare],
    success: Sequence[messages.Operation],
    failure: Sequence[messages.Operation],
) -> client.StoreResult[messages.TxnAnswer]:
    """Run a transaction that has the same effect once or several times."""
    for attempt in range(WRITE_ATTEMPTS):
        answer = await store.txn(compares, success, failure)
        if isinstance(answer, result.Success):
            break
        is_final = isinstance(answer.failure(), errors.Rejected)
        if is_final and not isinstance(answer.failure(), errors.RateLimited):
            break
        if attempt + 1 < WRITE_ATTEMPTS:
            await store.back_off(attempt)
    return answer


async def _accept(
    store: client.StoreClient,
    change: Change,
    view: _View,
    values: tuple[bytes, bytes],
    digest: str,
) -> client.StoreResult[Accepted]:
    """Replace the head if it is still the one that was read."""
    version = change.base_version + 1
    invariants.check(
        version == view.head.version + 1,
        "head_version_increments",
        version=version,
        head_version=view.head.version,
    )
    record_key = CHANGE_PREFIX + change.change_id
    record = msgspec.json.encode(_ChangeRecord(version, digest))
    answer = await store.txn(
        (
            messages.Compare(
                HEAD_KEY, messages.Target.MOD_REVISION, view.head_revision
            ),
            _is_absent(record_key),
        ),
        (
            messages.Put(HEAD_KEY, values[0]),
            messages.Put(audit_key(version), values[1]),
            messages.Put(record_key, record),
            messages.DeleteRange(STARTED_PREFIX + change.change_id),
            *_removals(view.expired),
        ),
        (messages.Range(record_key),),
    )
    if not isinstance(answer, result.Success):
        return await _read_back(store, change, answer.failure())
    txn = answer.unwrap()
    if txn.succeeded:
        return result.Success(Accepted(version, change.change_id))
    present = _decode_first(txn.pairs(0), _ChangeRecord)
    if present is not None:
        return result.Success(Accepted(present.version, change.change_id))
    return await _conflict(store, change, version)


def _removals(
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


async def _read_back(
    store: client.StoreClient, change: Change, error: errors.StoreError
) -> client.StoreResult[Accepted]:
    """Find out whether a transaction without an answer took effect."""
    settled = await read_outcome(store, change.change_id)
    if not isinstance(settled, result.Success):
        return result.Failure(error)
    outcome = settled.unwrap()
    if isinstance(outcome, Accepted):
        return result.Success(outcome)
    if isinstance(outcome, NotAccepted):
        return await _conflict(store, change, outcome.head_version)
    return result.Failure(error)


async def _conflict(
    store: client.StoreClient, change: Change, head_version: int
) -> client.StoreResult[Accepted]:
    """Report who won; without names if they cannot be read."""
    base = change.base_version
    read = await store.range(_audit_range(base + 1, MAX_WINNERS))
    accepted_entries: tuple[AuditEntry, ...] = ()
    if isinstance(read, result.Success):
        accepted_entries = _decode_audit(read.unwrap().pairs)
    head_version = max([head_version, *(w.version for w in accepted_entries)])
    lost = all(w.change_id != change.change_id for w in accepted_entries)
    invariants.check(
        lost, "conflict_is_not_in_history", change_id=change.change_id
    )
    return result.Failure(
        Conflict("store", base, head_version, accepted_entries)
    )


def _audit_range(version: int, limit: int) -> messages.Range:
    """Return a read of audit entries from a version on."""
    end = messages.prefix_end(AUDIT_PREFIX)
    return messages.Range(audit_key(version), end, limit)


async def read_outcome(
    store: client.StoreClient, change_id: str
) -> client.StoreResult[Settlement]:
    """Find out what became of a change, without changing anything.

    Returns
    -------
    Result
        ``Accepted``, ``NotAccepted`` or ``Undecided``. The last one stands
        as long as the base version of the change is in force, since a
        delayed transaction may still arrive.
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
        return await _settle_started(store, change_id, started)
    except MalformedValue as error:
        return result.Failure(error)


async def _settle_started(
    store: client.StoreClient, change_id: str, started: _Started
) -> client.StoreResult[Settlement]:
    following = started.base_version + 1
    read = await store.range(_audit_range(following, 1))
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    entries = _decode_audit(read.unwrap().pairs)
    # A later entry alone means that the history no longer reaches back.
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

    Accepted changes and drains are in the order in which the store took
    them, whatever the clocks of the operators' VMs say.
    """
    pairs: list[messages.KeyValue] = []
    for prefix in (AUDIT_PREFIX, DRAIN_PREFIX):
        read = await _read_latest(store, prefix, limit)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        pairs += read.unwrap()
    pairs.sort(key=_revision, reverse=True)
    try:
        return result.Success(tuple(map(_decode_entry, pairs[:limit])))
    except MalformedValue as error:
        return result.Failure(error)


def _revision(pair: messages.KeyValue) -> int:
    return pair.create_revision


def _decode_entry(pair: messages.KeyValue) -> HistoryEntry:
    if pair.key.startswith(DRAIN_PREFIX):
        return _decode(pair, _Drain).to_entry()
    return _decode(pair, _Audit).to_entry()


async def _read_latest(
    store: client.StoreClient, prefix: str, limit: int
) -> client.StoreResult[list[messages.KeyValue]]:
    """Read the last keys with a prefix, last first, in pages."""
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
    """Add an entry to the audit trail before a drain is carried out.

    Recording a drain again has no further effect.

    Returns
    -------
    Result
        The entry; or ``Undetermined`` if it may have been written; or
        another error, after which it is certainly not in the trail.
    """
    made_at = _now()
    lost: errors.StoreError | None = None
    for attempt in range(DRAIN_ATTEMPTS):
        try:
            recorded = await _record_drain(store, drain, made_at)
        except MalformedValue as malformed:
            recorded = result.Failure(malformed)
        if isinstance(recorded, result.Success):
            return recorded
        error = recorded.failure()
        if isinstance(error, errors.Undetermined):
            # The read of the next attempt finds the entry if it is there.
            lost = error
        elif not isinstance(error, _NumberTaken):
            break
        await store.back_off(attempt)
    return result.Failure(lost or error)


class _NumberTaken(errors.Unavailable):
    """Other operators' entries were written at the same moment."""


async def _record_drain(
    store: client.StoreClient, drain: Drain, made_at: str
) -> client.StoreResult[DrainEntry]:
    read = await _read_drains(store)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    view = read.unwrap()
    for entry in view.recent:
        if entry.drain_id == drain.drain_id:
            return result.Success(entry)
    stored = _Drain(view.number, view.version, *drain, made_at=made_at)
    value = msgspec.json.encode(stored)
    if len(value) > MAX_DRAIN_BYTES:
        reason = f"{len(value)} bytes exceed {MAX_DRAIN_BYTES}"
        return result.Failure(errors.Rejected("check", "drain", reason))
    key = drain_key(view.number)
    answer = await store.txn(
        (_is_absent(key),),
        (
            messages.Put(key, value),
            *(messages.DeleteRange(expired) for expired in view.expired),
        ),
    )
    if not isinstance(answer, result.Success):
        return result.Failure(answer.failure())
    if not answer.unwrap().succeeded:
        reason = "other operators' entries were written"
        return result.Failure(_NumberTaken("record", "store", reason))
    return result.Success(stored.to_entry())


async def _read_drains(
    store: client.StoreClient,
) -> client.StoreResult[_DrainView]:
    end = messages.prefix_end(DRAIN_PREFIX)
    audit_end = messages.prefix_end(AUDIT_PREFIX)
    answer = await store.txn(
        (),
        (
            messages.Range(DRAIN_PREFIX, end, RECENT_DRAINS, False, True),
            messages.Range(DRAIN_PREFIX, end, EXPIRED_PER_CHANGE, True),
            messages.Range(AUDIT_PREFIX, audit_end, 1, True, True),
        ),
    )
    return answer.map(_drain_view)


def _drain_view(answer: messages.TxnAnswer) -> _DrainView:
    recent = tuple(
        _decode(pair, _Drain).to_entry() for pair in answer.pairs(0)
    )
    number = recent[0].number + 1 if recent else 1
    bound = drain_key(max(0, number - MAX_AUDIT_ENTRIES))
    latest = [audit_version(pair.key) for pair in answer.pairs(2)]
    return _DrainView(
        recent,
        latest[0] if latest else 0,
        number,
        tuple(p.key for p in answer.pairs(1) if p.key <= bound),
    )


# Reading


async def load(
    store: client.StoreClient, known: snapshots.Snapshot | None
) -> client.StoreResult[snapshots.Snapshot | None]:
    """Read the configuration in force, fetching only what changed.

    Parameters
    ----------
    known : snapshots.Snapshot or None
        Version in force at the caller.

    Returns
    -------
    Result
        The newer version, None if there is none, or an error; ``Reverted``
        if the store holds an older version than the known one.
    """
    loaded = await load_at(store, known)
    return loaded.map(_snapshot)


def _snapshot(loaded: Loaded) -> snapshots.Snapshot | None:
    return loaded.snapshot


async def load_at(
    store: client.StoreClient, known: snapshots.Snapshot | None
) -> client.StoreResult[Loaded]:
    """Read like ``load``, and tell where a watch has to start."""
    try:
        loaded = await _load_by_audit(store, known) if known else None
        for _ in range(LOAD_ATTEMPTS):
            if loaded is not None and not _is_missing(loaded):
                break
            # Objects may be removed when the reader falls far behind
            # between its calls.
            loaded = await _load_by_head(store, known)
    except MalformedValue as error:
        return result.Failure(error)
    assert loaded is not None
    if isinstance(loaded, result.Success):
        _check_order(loaded.unwrap().snapshot, known)
    return loaded


def _is_missing(loaded: client.StoreResult[Loaded]) -> bool:
    if isinstance(loaded, result.Success):
        return False
    return isinstance(loaded.failure(), MissingObject)


def _check_order(
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
    """Follow the audit entries from the known version on.

    Returns
    -------
    Result or None
        None if the entries do not reach back to the known version.
    """
    # The change record tells that the known version is in this history. Its
    # audit entry would too, but is large if that change was an import.
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
    is_whole = all(b == a + 1 for a, b in itertools.pairwise(versions))
    if len(entries) == MAX_DELTA_ENTRIES or not is_whole:
        return None
    if not entries:
        return result.Success(Loaded(None, txn.revision))
    return await _load_delta(store, known, entries, txn.revision)


def _diverged(known: snapshots.Snapshot, head_version: int) -> Reverted:
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
    fetched = await _fetch(store, written_by)
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
    reverted = _find_reversal(known, head)
    if reverted is not None:
        return result.Failure(reverted)
    if head.version == (known.version if known else 0):
        return result.Success(Loaded(None, revision))
    present = _present_objects(known, head)
    written_by = {
        name: change_id
        for name, (change_id, _) in head.objects.items()
        if name not in present
    }
    fetched = await _fetch(store, written_by)
    if not isinstance(fetched, result.Success):
        return result.Failure(fetched.failure())
    objects = present | fetched.unwrap()
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


def _find_reversal(
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
        return _diverged(known, head.version)
    return None


def _present_objects(
    known: snapshots.Snapshot | None, head: _Head
) -> dict[str, bytes]:
    """Return the known objects that are in force unchanged."""
    if known is None:
        return {}
    return {
        name: value
        for name, value in known.objects.items()
        if name in head.objects and head.objects[name][1] == _digest(value)
    }


async def _fetch(
    store: client.StoreClient, written_by: dict[str, str]
) -> client.StoreResult[dict[str, bytes]]:
    """Read objects, many in one call."""
    waiting = sorted(written_by)
    objects: dict[str, bytes] = {}
    batch = MAX_BATCH_OPERATIONS
    while waiting:
        names = waiting[:batch]
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
        waiting = waiting[len(names) :]
    return result.Success(objects)


# Removal of what is no longer needed


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

    Also removes the start records of changes that were not accepted.
    ``apply`` calls it every 100 versions.

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
    # The oldest entry replaced objects of a version that is not kept.
    kept = _kept_keys(head, _decode_audit(pairs[1:]))
    limit = pairs[0].mod_revision
    removed = 0
    for prefix in (OBJECT_PREFIX, STARTED_PREFIX):
        pruned = await _prune_prefix(store, prefix, kept, limit)
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
    store: client.StoreClient, prefix: str, kept: set[str], limit: int
) -> client.StoreResult[int]:
    """Remove the keys that were last written before a revision."""
    start = prefix
    removed = 0
    while True:
        end = messages.prefix_end(prefix)
        page = messages.Range(start, end, PAGE_KEYS, keys_only=True)
        read = await store.range(page)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        pairs = read.unwrap().pairs
        old = [
            pair
            for pair in pairs
            if pair.mod_revision < limit and pair.key not in kept
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
    """Remove keys unless one was written again, by a change run again."""
    return await store.txn(
        [
            messages.Compare(
                pair.key, messages.Target.MOD_REVISION, pair.mod_revision
            )
            for pair in pairs
        ],
        [messages.DeleteRange(pair.key) for pair in pairs],
    )
