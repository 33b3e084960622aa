"""The node's role as a relay, which reads the store for its zone."""

from collections.abc import Callable, Sequence
import random as random_module

import anyio
import anyio.abc

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.membership import membership as membership_module
from clementinekeel.nodes import gossip as gossip_module
from clementinekeel.runtime import clock
from clementinekeel.runtime import log
from clementinekeel.store import client
from clementinekeel.store import relay

CHECK_INTERVAL_MS = 1_000
ENTRY_POINTS_READ_INTERVAL_MS = 10_000
"""Shortest time between two reads of the entry points from the store."""


class RelayRole:
    """Runs the relay task while the node is a relay.

    Relays, and nodes without a confirmed view of the members, also read the
    entry points of the cluster from the store.

    Parameters
    ----------
    urls : sequence of str
        URLs of the store.
    membership : Membership
        Tells whether this node is a relay; only read here.
    gossip : Gossip
        Given the addresses of relays that are read from the store.
    on_snapshot : Callable
        Called with each newer snapshot from the store.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        urls: Sequence[str],
        membership: membership_module.Membership,
        gossip: gossip_module.Gossip,
        on_snapshot: Callable[[snapshots.Snapshot], None],
        random: random_module.Random,
    ) -> None:
        self._urls = urls
        self._membership = membership
        self._gossip = gossip
        self._on_snapshot = on_snapshot
        self._random = random
        self._task: relay.RelayTask | None = None
        self._next_entry_points_ms = 0

    @property
    def calls(self) -> int:
        """Number of calls to the store so far."""
        return self._task.calls if self._task else 0

    @property
    def is_active(self) -> bool:
        """Whether this node is watching the store as a relay."""
        return self._task is not None and self._task.is_active

    def on_peer_snapshot(self, snapshot: snapshots.Snapshot | None) -> None:
        """Tell the relay task of the snapshot in force at this node."""
        if self._task is not None and snapshot is not None:
            self._task.on_peer_snapshot(snapshot)

    async def run(self) -> None:
        """Start and stop the relay task as the role changes, for ever."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._check(tasks)
                await clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _check(self, tasks: anyio.abc.TaskGroup) -> None:
        is_relay = self._membership.is_relay
        needs_entry_points = not self._membership.is_confirmed
        if not self._urls or not (is_relay or needs_entry_points):
            if self._task is not None:
                self._task.set_active(False)
            return
        if self._task is None:
            self._task = self._start(tasks)
        self._task.set_active(is_relay)
        if needs_entry_points or is_relay:
            await self._read_entry_points(self._task)

    def _start(self, tasks: anyio.abc.TaskGroup) -> relay.RelayTask:
        own = self._membership.own
        task = relay.RelayTask(
            client.StoreClient(list(self._urls), self._random),
            self._on_snapshot,
            own.address,
            own.zone,
            own.node_id,
            self._random,
        )
        tasks.start_soon(task.run)
        return task

    async def _read_entry_points(self, task: relay.RelayTask) -> None:
        now_ms = clock.now_ms()
        if now_ms < self._next_entry_points_ms:
            return
        jitter_ms = self._random.randrange(ENTRY_POINTS_READ_INTERVAL_MS)
        self._next_entry_points_ms = (
            now_ms + ENTRY_POINTS_READ_INTERVAL_MS + jitter_ms
        )
        entry_points = (await task.entry_points()).value_or(None)
        if entry_points is None:
            log.event(
                "entry_points_not_read",
                level="WARNING",
                step="read",
                peer="store",
            )
            return
        self._gossip.add_entry_points(
            entry_point.address for entry_point in entry_points
        )
