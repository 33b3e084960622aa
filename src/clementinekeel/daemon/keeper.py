"""The configuration in force at this node, and where newer ones come from."""

from collections.abc import Callable
from typing import Protocol

import anyio
from returns import result

from clementinekeel.configuration import deltas
from clementinekeel.configuration import model
from clementinekeel.configuration import objects
from clementinekeel.configuration import reader
from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.nodes import messages
from clementinekeel.nodes import pool
from clementinekeel.nodes import session as node_session
from clementinekeel.nodes import streams
from clementinekeel.routing import messages as routing
from clementinekeel.runtime import clock
from clementinekeel.runtime import invariants
from clementinekeel.runtime import log

PULL_INTERVAL_MS = 200
PULL_TIMEOUT_MS = 3_000
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


class NewestSource(Protocol):
    """Tells which configuration is the newest, and who has it."""

    @property
    def newest_version(self) -> int:
        """Newest version heard of."""

    def newest_source(self) -> routing.Candidate | None:
        """Return a node that has it."""


class ConfigurationKeeper:
    """Holds the configuration in force; versions only grow.

    Parameters
    ----------
    on_change : Callable
        Called with each configuration that comes into force.
    """

    def __init__(
        self, on_change: Callable[[model.Configuration], None]
    ) -> None:
        self.unusable_version = 0
        self.fault = ""
        self._on_change = on_change
        self._current: model.Configuration | None = None
        self._snapshot: snapshots.Snapshot | None = None
        self._history = deltas.History()

    @property
    def current(self) -> model.Configuration | None:
        """Configuration in force, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def snapshot(self) -> snapshots.Snapshot | None:
        """Objects of the configuration in force."""
        return self._snapshot

    def read(self, known_version: int) -> tuple[int, list[bytes]]:
        """Return the version, and what a node needs that has an older one."""
        if self._snapshot is None or self.version <= known_version:
            return self.version, []
        delta = self._history.delta(self._snapshot, known_version)
        return self.version, deltas.to_parts(delta)

    def offer(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a snapshot into force if it is newer and passes the checks.

        Returns
        -------
        bool
            Whether it is in force now.
        """
        if snapshot.version <= self.version:
            return False
        joined = self._join(snapshot)
        configuration = joined.value_or(None)
        if configuration is None:
            self._reject(snapshot.version, str(joined.failure()))
            return False
        invariants.check(
            configuration.version > self.version,
            "configuration_never_reverts",
            version=configuration.version,
            before=self.version,
        )
        self._current = configuration
        self._history.record(self._snapshot, snapshot)
        self._snapshot = snapshot
        self.fault = ""
        log.event(
            "configuration_in_force",
            version=snapshot.version,
            change_id=snapshot.change_id,
        )
        self._on_change(configuration)
        return True

    async def pull(
        self,
        sessions: pool.SessionPool,
        source: NewestSource,
    ) -> None:
        """Fetch newer configurations from other nodes, for ever."""
        while True:
            known = max(self.version, self.unusable_version)
            if source.newest_version > known:
                node = source.newest_source()
                if node is not None:
                    await self._pull_once(sessions, node)
            await clock.sleep_ms(PULL_INTERVAL_MS)

    async def _pull_once(
        self, sessions: pool.SessionPool, source: routing.Candidate
    ) -> None:
        session = sessions.get(
            source.address, source.node_id, source.incarnation
        )
        data: bytes | None = None
        with anyio.move_on_after(PULL_TIMEOUT_MS / clock.MS_PER_S):
            if await session.wait_open():
                data = await _fetch(session, self.version)
        if not data:
            return
        applied = deltas.apply(data, self._snapshot)
        snapshot = applied.value_or(None)
        if snapshot is None:
            self._reject(0, str(applied.failure()))
        else:
            self.offer(snapshot)

    def _join(
        self, snapshot: snapshots.Snapshot
    ) -> result.Result[model.Configuration, reader.Faults]:
        if self._current is None or self._snapshot is None:
            return objects.decode(*snapshot)
        return objects.decode_change(
            self._current, self._snapshot.objects, *snapshot
        )

    def _reject(self, version: int, reason: str) -> None:
        if version and version <= self.unusable_version:
            return
        self.unusable_version = max(version, self.unusable_version)
        self.fault = f"version {version}: {reason}"
        log.event(
            "configuration_unusable",
            level="ERROR",
            step="check",
            peer="platform",
            version=version,
            reason=reason,
            in_force=self.version,
        )


async def _fetch(
    session: node_session.Session, known_version: int
) -> bytes | None:
    stream = session.open_stream()
    request = messages.ConfigurationRequest(stream.number, known_version)
    data = bytearray()
    is_done = False
    try:
        if not session.send(request):
            return None
        reply = await stream.reply()
        if not isinstance(reply.message, messages.ConfigurationReply):
            return None
        async for part in stream.incoming_body.chunks():
            data += part
            if len(data) > MAX_SNAPSHOT_BYTES:
                return None
        is_done = True
    except streams.BodyError as error:
        log.event(
            "configuration_not_received",
            level="WARNING",
            step=error.step,
            peer=error.peer,
            reason=error.reason,
        )
        return None
    finally:
        if is_done:
            stream.close()
        else:
            stream.cancel("configuration not received")
    return bytes(data)
