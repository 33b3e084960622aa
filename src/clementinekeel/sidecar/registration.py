"""Entry of this node in the store, and the entries of the other nodes."""

import asyncio
from collections.abc import Callable
import random

import msgspec

from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import decoding
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import entry as entry_module
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.store import metadata

KEY_PREFIX = "nodes/"
LEASE_MS = 9_000
"""The entry of a node that has crashed ends after this time. Links detect the
crash sooner, so that the lease only removes the entry."""
RENEWAL_INTERVAL_S = 2.0
"""Renewals also show that the store has returned from a copy."""
WATCH_PAUSE_S = 1.5
"""Pause before a watch continues, so that entries written at the same time, as
at the start of the fleet, need one call per node. Meanwhile the other nodes
learn of a new node from the links that it opens. An own entry that was removed
has to be back within two seconds."""
FIRST_HEARTBEAT_WAIT_S = 1.6
"""Time for which the first entry waits for a heartbeat; heartbeats arrive
every 1.5 s, and without one the entry can't name the backend server."""
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
"""A node is listed again within two seconds after an outage of the store."""


class Backoff:
    """Delays that double, each drawn from the upper half of its range."""

    def __init__(self) -> None:
        self._delay_s = MIN_BACKOFF_S
        self._random = random.Random()

    def reset(self) -> None:
        """Start again with the shortest delay."""
        self._delay_s = MIN_BACKOFF_S

    async def wait(self) -> None:
        """Wait before another attempt."""
        await asyncio.sleep(self._delay_s * self._random.uniform(0.5, 1))
        self._delay_s = min(MAX_BACKOFF_S, self._delay_s * 2)


class Registration:
    """Keeps this node's entry in the store and reads those of other nodes.

    Parameters
    ----------
    latest_heartbeat : callable
        Returns the newest heartbeat of the backend server, or None.
    has_left : callable
        Tells whether a backend server has left, by its identity.
    health_path : callable
        Returns the path of a service's health check.
    on_earlier_entry : callable
        Called with the entry that an earlier process on this VM left, or
        with None if the store has none.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        store: metadata.MetadataStore,
        peers: peers_module.Peers,
        decisions: decision_log.DecisionLog,
        latest_heartbeat: Callable[[], heartbeats.Heartbeat | None],
        has_left: Callable[[str], bool],
        health_path: Callable[[str], str],
        on_earlier_entry: Callable[[entry_module.Entry | None], None],
    ) -> None:
        self._key = KEY_PREFIX + settings.node
        self._lease_ms = max(LEASE_MS, settings.lease_min_ms)
        self._settings = settings
        self._latest_heartbeat = latest_heartbeat
        self._has_left = has_left
        self._health_path = health_path
        self._on_earlier_entry = on_earlier_entry
        self._written_entry: entry_module.Entry | None = None
        self._has_started = False
        self._store = store
        self._peers = peers
        self._decisions = decisions
        self._lease = 0
        # Lease of a write that may have taken effect in a later history, in
        # which the lease may belong to another node.
        self._doubtful_lease = 0
        self._revision = 0
        self._epoch = 0
        self._is_listed = False
        self._changed = asyncio.Event()
        self._is_reachable: dict[str, bool] = {}

    @property
    def is_listed(self) -> bool:
        """Whether the entry was in the store when last seen."""
        return self._is_listed

    def refresh(self) -> None:
        """Write the entry again if it is out of date."""
        if self._written_entry is None or not self._is_current(
            self._written_entry
        ):
            self._changed.set()

    async def maintain(self) -> None:
        """Write the entry, renew its lease, and restore it if it is lost."""
        backoff = Backoff()
        while True:
            self._changed.clear()
            try:
                self._forget_lost_history()
                written = self._written_entry
                if not self._is_listed or written is None:
                    await self._register()
                elif not self._is_current(written):
                    await self._write(self._revision)
                else:
                    await self._store.renew(self._lease, self._epoch)
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
            if self._store.epoch != self._epoch:
                continue
            try:
                async with asyncio.timeout(RENEWAL_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def follow(self) -> None:
        """Read the entries of all nodes and follow their changes."""
        backoff = Backoff()
        revision = epoch = 0
        while True:
            try:
                if not revision or self._store.epoch != epoch:
                    snapshot = await self._read_all()
                    revision, epoch = snapshot.revision, snapshot.epoch
                    if self._is_listed and self._epoch != epoch:
                        self._changed.set()
                changes = await self._store.watch(KEY_PREFIX, revision, epoch)
            except metadata.MetadataError as error:
                self._on_error("node list", error)
                if error.kind in metadata.GAP_FAILURES:
                    # A full read makes up for the missed changes.
                    revision = 0
                await backoff.wait()
                continue
            self._on_success("node list")
            backoff.reset()
            revision = max(revision, changes.revision)
            for event in changes.events:
                self._apply(event)
            if changes.events:
                await asyncio.sleep(WATCH_PAUSE_S)

    def _forget_lost_history(self) -> None:
        """Register again after the store has returned from a copy.

        The lease may now belong to another node, and the entry may be an
        older one.
        """
        epoch = self._store.epoch
        if epoch == self._epoch:
            return
        self._epoch = epoch
        self._lease = self._revision = 0
        self._written_entry = None
        self._is_listed = False

    async def _register(self) -> None:
        snapshot = await self._store.read(self._key)
        self._epoch = snapshot.epoch
        existing = snapshot.items[0] if snapshot.items else None
        earlier = self._decode_earlier(existing)
        if not self._has_started:
            self._has_started = True
            if earlier is not None:
                self._peers.crash_reports.adopt(earlier.refused)
            if earlier is not None or existing is None:
                self._on_earlier_entry(earlier)
            await self._wait_for_heartbeat()
        if (
            existing is not None
            and earlier is not None
            and existing.lease not in (0, self._doubtful_lease)
        ):
            # The entry of an earlier process on this VM keeps its lease, so
            # that a restart changes nothing for the other nodes.
            try:
                await self._store.renew(existing.lease, self._epoch)
            except metadata.MetadataError as error:
                if error.kind is not metadata.FailureKind.NO_LEASE:
                    raise
                existing = None
            else:
                self._lease, self._revision = existing.lease, existing.revision
                self._written_entry = earlier
                self._is_listed = True
                self._decisions.write("entry_taken_over", False, key=self._key)
                self.refresh()
                return
        if not self._lease:
            self._lease = await self._store.grant(self._lease_ms, self._epoch)
        await self._write(existing.revision if existing is not None else 0)

    async def _write(self, expected_revision: int) -> None:
        entry = self._build_entry()
        self._doubtful_lease = self._lease
        self._revision = await self._store.write(
            self._key,
            entry_module.encode_entry(entry),
            self._lease,
            expected_revision,
            self._epoch,
        )
        if self._store.epoch == self._epoch:
            self._doubtful_lease = 0
        self._written_entry = entry
        self._is_listed = True
        self._decisions.write(
            "entry_written", False, key=self._key, endpoint=entry.endpoint
        )

    def _build_entry(self) -> entry_module.Entry:
        settings = self._settings
        entry = entry_module.Entry(
            settings.peers.host,
            settings.peers.port,
            settings.zone,
            settings.region,
        )
        entry.refused = self._peers.crash_reports.lasting_refusals
        heartbeat = self._latest_heartbeat()
        written = self._written_entry
        if heartbeat is not None:
            entry.is_leaving = (
                heartbeat.state is heartbeats.EndpointState.DRAINING
            )
            entry.endpoint, entry.service = (
                heartbeat.endpoint,
                heartbeat.service,
            )
            entry.slots, entry.sequence = heartbeat.slots, heartbeat.sequence
            entry.incarnation_ms = heartbeat.incarnation_ms
            entry.health_path = self._health_path(heartbeat.service)
        elif written is not None and self._has_left(written.endpoint):
            entry = msgspec.structs.replace(
                written, refused=entry.refused, is_leaving=True
            )
        return entry

    def _is_current(self, written: entry_module.Entry) -> bool:
        """Tell whether an entry is up to date, its sequence number aside."""
        entry = self._build_entry()
        if not entry.endpoint:
            # The entry may name the backend server of an earlier process,
            # which has not sent a heartbeat to this one yet.
            return True
        entry.sequence = written.sequence
        return entry == written

    def _decode_earlier(
        self, item: metadata.Item | None
    ) -> entry_module.Entry | None:
        """Return the entry of an earlier process at this node's address."""
        if item is None:
            return None
        entry = self._decode(item)
        if entry is None:
            return None
        own = (self._settings.peers.host, self._settings.peers.port)
        return entry if (entry.host, entry.port) == own else None

    async def _wait_for_heartbeat(self) -> None:
        # Avoids a second write soon after the first one, for the backend
        # server.
        try:
            async with asyncio.timeout(FIRST_HEARTBEAT_WAIT_S):
                while self._latest_heartbeat() is None:
                    await self._changed.wait()
                    self._changed.clear()
        except TimeoutError:
            return

    async def _read_all(self) -> metadata.Snapshot:
        snapshot = await self._store.read_all(KEY_PREFIX)
        for item in snapshot.items:
            self._apply(item)
        listed = {item.key.removeprefix(KEY_PREFIX) for item in snapshot.items}
        self._peers.set_listed(listed)
        if self._is_listed and self._key[len(KEY_PREFIX) :] not in listed:
            self._on_entry_lost()
        return snapshot

    def _apply(self, event: metadata.Item | metadata.Removed) -> None:
        try:
            self._apply_entry(event)
        except Exception as error:
            # The entries behind it would be read again and never applied.
            loop = asyncio.get_running_loop()
            supervision.report_error(loop, f"entry {event.key}", error)

    def _apply_entry(self, event: metadata.Item | metadata.Removed) -> None:
        node = event.key.removeprefix(KEY_PREFIX)
        if isinstance(event, metadata.Removed):
            if event.key == self._key:
                if event.revision > self._revision:
                    self._on_entry_lost()
            else:
                self._peers.mark_unlisted(node)
            return
        entry = self._decode(event)
        if entry is None:
            return
        self._peers.add_or_update(
            node, entry.host, entry.port, entry.zone, entry.region, True
        )

    def _decode(self, item: metadata.Item) -> entry_module.Entry | None:
        try:
            return entry_module.decode_entry(item.value)
        except decoding.DecodingError as error:
            self._decisions.write(
                "entry_malformed", False, key=item.key, reason=str(error)
            )
            return None

    def _on_entry_lost(self) -> None:
        if self._is_listed:
            self._decisions.write("entry_lost", False, key=self._key)
        self._is_listed = False
        self._changed.set()

    def _on_error(
        self, dependency: str, error: metadata.MetadataError
    ) -> None:
        if self._is_reachable.get(dependency) is not False:
            self._decisions.write(
                "store_lost",
                False,
                dependency=dependency,
                step=error.step,
                kind=str(error.kind),
                reason=error.reason,
            )
        self._is_reachable[dependency] = False

    def _on_success(self, dependency: str) -> None:
        if self._is_reachable.get(dependency) is not True:
            self._decisions.write(
                "store_regained", False, dependency=dependency
            )
        self._is_reachable[dependency] = True
