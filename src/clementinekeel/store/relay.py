"""Task of a relay: follows the configuration in the store.

Relays are the few nodes of a zone that read the configuration from the store;
the other nodes get it from their peers. A relay announces its address in the
store, so that other nodes can use it as an entry point to the fleet.
"""

from collections.abc import Callable
import contextlib
import random as random_module
from typing import NamedTuple

import anyio
import msgspec
from returns import result

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.runtime import clock
from clementinekeel.runtime import log
from clementinekeel.store import changes
from clementinekeel.store import client
from clementinekeel.store import errors
from clementinekeel.store import messages

RELAY_PREFIX = "relays/"
LEASE_TTL_S = 15
LEASE_RENEWAL_INTERVAL_MS = 5_000
RECONNECT_JITTER_MS = client.RECONNECT_JITTER_MS
REVOKE_TIMEOUT_S = 1.0
MAX_ENTRY_POINTS = 1_000


class EntryPoint(NamedTuple):
    """A relay that has announced itself in the store.

    Attributes
    ----------
    address : str
        ``ip:port`` of the node.
    """

    zone: str
    node_id: str
    address: str


class _RelayRecord(msgspec.Struct):
    address: str


SnapshotHandler = Callable[[snapshots.Snapshot], None]


class RelayTask:
    """Follows the configuration and announces the node while active.

    Parameters
    ----------
    store : client.StoreClient
        Used by this task only.
    on_snapshot : Callable
        Called with each newer version that the store has; must not block.
    address : str
        ``ip:port`` under which this node is announced.
    zone, node_id : str
        Key of the announcement.
    random : random.Random
        For jitter.
    """

    def __init__(
        self,
        store: client.StoreClient,
        on_snapshot: SnapshotHandler,
        address: str,
        zone: str,
        node_id: str,
        random: random_module.Random,
    ) -> None:
        if "/" in zone or "/" in node_id:
            raise ValueError("zone and node id must not contain a slash")
        self._store = store
        self._on_snapshot = on_snapshot
        self._key = f"{RELAY_PREFIX}{zone}/{node_id}"
        self._record = msgspec.json.encode(_RelayRecord(address))
        self._random = random
        self._known: snapshots.Snapshot | None = None
        self._is_active = False
        self._activated = anyio.Event()
        self._cancel_scope: anyio.CancelScope | None = None
        self._lease_id = 0
        self._last_error: errors.StoreError | None = None

    @property
    def calls(self) -> int:
        """Calls to the store so far."""
        return self._store.calls

    @property
    def is_active(self) -> bool:
        """Whether this node acts as a relay."""
        return self._is_active

    @property
    def last_error(self) -> errors.StoreError | None:
        """Error of the latest load, None if it succeeded."""
        return self._last_error

    def set_active(self, is_active: bool) -> None:
        """Start or stop acting as a relay."""
        if is_active == self._is_active:
            return
        self._is_active = is_active
        if is_active:
            self._activated.set()
            return
        self._activated = anyio.Event()
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    def on_peer_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Record a version that a peer, not the store, has supplied.

        ``on_snapshot`` is not called for it, and an older head in the store
        is rejected from then on.
        """
        if self._known is None or snapshot.version > self._known.version:
            self._known = snapshot

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._activated.wait()
            with anyio.CancelScope() as self._cancel_scope:
                try:
                    await self._run_while_active()
                finally:
                    await self._revoke_lease()
            self._cancel_scope = None

    async def entry_points(
        self,
    ) -> client.StoreResult[tuple[EntryPoint, ...]]:
        """Read the addresses of all other relays."""
        read = await self._store.range(
            messages.prefix_range(RELAY_PREFIX, MAX_ENTRY_POINTS)
        )
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        found = (
            _decode_entry_point(pair)
            for pair in read.unwrap().pairs
            if pair.key != self._key
        )
        return result.Success(tuple(f for f in found if f is not None))

    async def _run_while_active(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            tasks.start_soon(self._announce)

    # Configuration

    async def _follow(self) -> None:
        while True:
            revision = await self._load()
            watch = self._store.watch(changes.AUDIT_PREFIX, revision + 1)
            async with contextlib.aclosing(watch) as batches:
                async for batch in batches:
                    if isinstance(batch, messages.FullReadNeeded):
                        await self._handle_gap(batch)
                        break
                    if self._needs_load(batch):
                        await self._load()

    async def _handle_gap(self, gap: messages.FullReadNeeded) -> None:
        log.event(
            "store_watch_gap",
            level="WARNING",
            reason=gap.reason,
            revision=gap.revision,
        )
        await self._wait_jitter()

    def _needs_load(self, batch: messages.WatchBatch) -> bool:
        known = self._known.version if self._known else 0
        return not batch.events or any(
            changes.audit_version(event.pair.key) > known
            for event in batch.events
            if not event.is_delete
        )

    async def _load(self) -> int:
        """Load, with retries, and return the store's revision."""
        while True:
            loaded = await changes.load_with_revision(self._store, self._known)
            if isinstance(loaded, result.Success):
                self._last_error = None
                update: changes.Loaded = loaded.unwrap()
                self._deliver(update.snapshot)
                return update.revision
            self._last_error = loaded.failure()
            _log_failure("configuration_not_loaded", loaded.failure())
            await self._wait_jitter()

    def _deliver(self, snapshot: snapshots.Snapshot | None) -> None:
        if snapshot is None:
            return
        known = self._known.version if self._known else 0
        if snapshot.version <= known:
            # A peer has supplied this or a newer version during the load.
            return
        self._known = snapshot
        self._on_snapshot(snapshot)

    async def _wait_jitter(self) -> None:
        max_ms = RECONNECT_JITTER_MS
        await clock.sleep_ms(self._random.uniform(0, max_ms))

    # Announcement

    async def _announce(self) -> None:
        while True:
            if await self._write_record():
                await self._renew()
            else:
                await self._wait_jitter()

    async def _write_record(self) -> bool:
        """Write the record under a lease; return whether that succeeded.

        A put without an answer is retried under the same lease. Under
        another lease, the first put could arrive last and attach the record
        to a lease that is no longer renewed.
        """
        if not self._lease_id:
            granted = await self._store.grant(LEASE_TTL_S)
            if not isinstance(granted, result.Success):
                _log_failure("relay_lease_failed", granted.failure())
                return False
            self._lease_id = granted.unwrap().lease_id
        operation = messages.Put(self._key, self._record, self._lease_id)
        answer = await self._store.put(operation)
        if isinstance(answer, result.Success):
            return True
        error = answer.failure()
        _log_failure("relay_record_failed", error)
        is_limited = isinstance(error, errors.RateLimited)
        if isinstance(error, errors.Rejected) and not is_limited:
            self._lease_id = 0
        return False

    async def _renew(self) -> None:
        """Renew the lease periodically until it has expired."""
        wait_ms: float = LEASE_RENEWAL_INTERVAL_MS
        while True:
            await clock.sleep_ms(wait_ms)
            answer = await self._store.keep_alive(self._lease_id)
            wait_ms = LEASE_RENEWAL_INTERVAL_MS
            if isinstance(answer, result.Success):
                if answer.unwrap().ttl_s > 0:
                    continue
                log.event("relay_lease_lapsed", level="WARNING")
                self._lease_id = 0
                return
            error = answer.failure()
            _log_failure("relay_lease_not_renewed", error)
            is_limited = isinstance(error, errors.RateLimited)
            if isinstance(error, errors.Rejected) and not is_limited:
                self._lease_id = 0
                return
            wait_ms = self._random.uniform(0, RECONNECT_JITTER_MS)

    async def _revoke_lease(self) -> None:
        """Revoke the lease, which removes the record.

        If the store does not answer, the record expires with the lease.
        """
        if not self._lease_id:
            return
        with anyio.move_on_after(REVOKE_TIMEOUT_S, shield=True):
            await self._store.revoke(self._lease_id)
        self._lease_id = 0


def _log_failure(name: str, error: errors.StoreError) -> None:
    log.event(
        name,
        level="WARNING",
        step=error.step,
        peer=error.peer,
        reason=error.reason,
    )


def _decode_entry_point(pair: messages.KeyValue) -> EntryPoint | None:
    zone, _, node_id = pair.key.removeprefix(RELAY_PREFIX).partition("/")
    try:
        record = msgspec.json.decode(pair.value, type=_RelayRecord)
    except msgspec.MsgspecError:
        return None
    return EntryPoint(zone, node_id, record.address)
