"""Entry of this node in the store, and the entries of the others."""

import asyncio
from collections.abc import Callable
import random

import msgspec

from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.store import metadata

PREFIX = "nodes/"
LEASE_MS = 9_000
"""Entries of nodes that died go after this time; links show it sooner, so the
lease only cleans up."""
RENEWAL_S = 2.0
"""Renewals also show when the connections to the store have gone silent."""
BATCH_S = 1.0
"""Pause before a watch goes on, so that entries written together, as at the
start of the fleet, cost each node one call. A new node's own links tell the
others of it meanwhile."""
FIRST_HEARTBEAT_S = 1.6
"""Heartbeats come every 1.5 s; without one there is nothing to offer yet."""
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
"""A node is back in the list within two seconds of the store's return."""


class Entry(msgspec.Struct):
    """What a node says of itself in the store."""

    host: str
    port: int
    zone: str
    region: str
    # The backend server beside it, so that a restarted node need not wait
    # for its next heartbeat; empty until there was one.
    endpoint: str = ""
    service: str = ""
    health_path: str = ""
    slots: int = 0
    incarnation_ms: int = 0
    sequence: int = 0


class Backoff:
    """Growing pauses with full jitter."""

    def __init__(self) -> None:
        self._pause_s = MIN_BACKOFF_S
        self._random = random.Random()

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self._pause_s = MIN_BACKOFF_S

    async def wait(self) -> None:
        """Pause before another attempt."""
        await asyncio.sleep(self._pause_s * self._random.uniform(0.5, 1))
        self._pause_s = min(MAX_BACKOFF_S, self._pause_s * 2)


class Registration:
    """Keeps this node's entry in the store while the node runs."""

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        store: metadata.MetadataStore,
        peers: peers_module.Peers,
        decisions: decision_log.DecisionLog,
        backend: Callable[[], heartbeats.Heartbeat | None],
        health_path: Callable[[str], str],
        on_earlier_entry: Callable[[Entry], None],
    ) -> None:
        self._key = PREFIX + settings.node
        self._lease_ms = max(LEASE_MS, settings.lease_min_ms)
        self._settings = settings
        self._backend = backend
        self._health_path = health_path
        self._on_earlier_entry = on_earlier_entry
        self._written: Entry | None = None
        self._has_started = False
        self._store = store
        self._peers = peers
        self._decisions = decisions
        self._lease = 0
        self._revision = 0
        self._is_listed = False
        self._changed = asyncio.Event()
        self._is_reachable: dict[str, bool] = {}

    @property
    def is_listed(self) -> bool:
        """Whether the entry was in the store when last seen."""
        return self._is_listed

    def refresh(self) -> None:
        """Write the entry again if it names another backend server."""
        if self._written is None or not self._is_same(self._written):
            self._changed.set()

    async def keep(self) -> None:
        """Write the entry, renew its lease, and write it again if it goes."""
        backoff = Backoff()
        while True:
            try:
                held = self._written
                if not self._is_listed or held is None:
                    await self._register()
                elif not self._is_same(held):
                    await self._write(self._revision)
                else:
                    await self._store.renew(self._lease)
            except metadata.MetadataError as error:
                self._on_error("registration", error)
                if error.kind is metadata.FailureKind.NO_LEASE:
                    self._is_listed, self._lease = False, 0
                elif error.kind is metadata.FailureKind.CONFLICT:
                    self._is_listed = False
                await backoff.wait()
                continue
            self._on_success("registration")
            backoff.reset()
            self._changed.clear()
            try:
                async with asyncio.timeout(RENEWAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def follow(self) -> None:
        """Read the entries of all nodes and follow their changes."""
        backoff = Backoff()
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self._read_all()
                changes = await self._store.watch(PREFIX, revision)
            except metadata.MetadataError as error:
                self._on_error("node list", error)
                if error.kind in metadata.GAP_FAILURES:
                    # What was missed meanwhile is read in full.
                    revision = 0
                await backoff.wait()
                continue
            self._on_success("node list")
            backoff.reset()
            revision = max(revision, changes.revision)
            for event in changes.events:
                self._apply(event)
            if changes.events:
                await asyncio.sleep(BATCH_S)

    async def _register(self) -> None:
        snapshot = await self._store.read(self._key)
        held = snapshot.items[0] if snapshot.items else None
        earlier = self._read_earlier(held)
        if not self._has_started:
            self._has_started = True
            if earlier is not None:
                self._on_earlier_entry(earlier)
            await self._wait_for_backend()
        if held is not None and earlier is not None and held.lease:
            # The entry of an earlier process on this VM: its lease is kept,
            # so that a restart changes nothing for the other nodes.
            try:
                await self._store.renew(held.lease)
            except metadata.MetadataError as error:
                if error.kind is not metadata.FailureKind.NO_LEASE:
                    raise
                held = None
            else:
                self._lease, self._revision = held.lease, held.revision
                self._written = earlier
                self._is_listed = True
                self._decisions.write("entry_taken_over", False, key=self._key)
                return
        if not self._lease:
            self._lease = await self._store.grant(self._lease_ms)
        await self._write(held.revision if held is not None else 0)

    async def _write(self, expected_revision: int) -> None:
        entry = self._entry()
        self._revision = await self._store.write(
            self._key,
            msgspec.json.encode(entry),
            self._lease,
            expected_revision,
        )
        self._written = entry
        self._is_listed = True
        self._decisions.write(
            "entry_written", False, key=self._key, endpoint=entry.endpoint
        )

    def _entry(self) -> Entry:
        settings = self._settings
        entry = Entry(
            settings.peers.host,
            settings.peers.port,
            settings.zone,
            settings.region,
        )
        beat = self._backend()
        if beat is not None:
            entry.endpoint, entry.service = beat.endpoint, beat.service
            entry.slots, entry.sequence = beat.slots, beat.sequence
            entry.incarnation_ms = beat.incarnation_ms
            entry.health_path = self._health_path(beat.service)
        return entry

    def _is_same(self, held: Entry) -> bool:
        """Tell whether an entry still holds, but for what changes often."""
        entry = self._entry()
        if not entry.endpoint:
            # The one that has left is not started again by a probe.
            return True
        entry.sequence = held.sequence
        return entry == held

    def _read_earlier(self, item: metadata.Item | None) -> Entry | None:
        """Return the entry of an earlier process if its address is ours."""
        if item is None:
            return None
        try:
            entry = msgspec.json.decode(item.value, type=Entry)
        except msgspec.DecodeError as error:
            self._decisions.write(
                "entry_malformed", False, key=item.key, reason=str(error)
            )
            return None
        own = (self._settings.peers.host, self._settings.peers.port)
        return entry if (entry.host, entry.port) == own else None

    async def _wait_for_backend(self) -> None:
        # One write with the backend server in it, instead of two.
        try:
            async with asyncio.timeout(FIRST_HEARTBEAT_S):
                while self._backend() is None:
                    await self._changed.wait()
                    self._changed.clear()
        except TimeoutError:
            return

    async def _read_all(self) -> int:
        snapshot = await self._store.read_all(PREFIX)
        for item in snapshot.items:
            self._apply(item)
        listed = {item.key.removeprefix(PREFIX) for item in snapshot.items}
        self._peers.set_listed(listed)
        if self._is_listed and self._key[len(PREFIX) :] not in listed:
            self._lose_entry()
        return snapshot.revision

    def _apply(self, event: metadata.Item | metadata.Removed) -> None:
        node = event.key.removeprefix(PREFIX)
        if isinstance(event, metadata.Removed):
            if event.key == self._key:
                if event.revision > self._revision:
                    self._lose_entry()
            else:
                self._peers.unlist(node)
            return
        try:
            entry = msgspec.json.decode(event.value, type=Entry)
        except msgspec.DecodeError as error:
            self._decisions.write(
                "entry_malformed", False, key=event.key, reason=str(error)
            )
            return
        self._peers.learn(
            node, entry.host, entry.port, entry.zone, entry.region, True
        )

    def _lose_entry(self) -> None:
        if self._is_listed:
            self._decisions.write("entry_lost", False, key=self._key)
        self._is_listed = False
        self._changed.set()

    def _on_error(self, what: str, error: metadata.MetadataError) -> None:
        if self._is_reachable.get(what) is not False:
            self._decisions.write(
                "store_lost",
                False,
                dependency=what,
                step=error.step,
                kind=str(error.kind),
                reason=error.reason,
            )
        self._is_reachable[what] = False

    def _on_success(self, what: str) -> None:
        if self._is_reachable.get(what) is not True:
            self._decisions.write("store_regained", False, dependency=what)
        self._is_reachable[what] = True
