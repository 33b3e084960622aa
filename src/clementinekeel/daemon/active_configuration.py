"""The configuration in force at this node, and the fetching of newer ones."""

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

PULL_CHECK_INTERVAL_MS = 200
PULL_TIMEOUT_MS = 3_000
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


class ConfigurationSource(Protocol):
    """Tells the newest configuration version and a node that has it."""

    @property
    def newest_version(self) -> int:
        """Newest version that a node has announced."""

    def newest_source(self) -> routing.Candidate | None:
        """Return a node that has this version, None if none is known."""


class ActiveConfiguration:
    """The configuration in force, whose version only grows.

    Parameters
    ----------
    on_change : Callable
        Called with each configuration that comes into force.

    Attributes
    ----------
    rejected_version : int
        Newest version that did not pass the checks, 0 if there is none.
    fault : str
        Why the last snapshot was rejected, empty if it came into force.
    """

    def __init__(
        self, on_change: Callable[[model.Configuration], None]
    ) -> None:
        self.rejected_version = 0
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

    def delta_since(self, known_version: int) -> tuple[int, list[bytes]]:
        """Return the version in force, and the parts of the delta to it.

        Parameters
        ----------
        known_version : int
            Version that the receiver has; the delta is empty if it is not
            older.
        """
        if self._snapshot is None or self.version <= known_version:
            return self.version, []
        delta = self._history.delta(self._snapshot, known_version)
        return self.version, deltas.to_parts(delta)

    def activate(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a snapshot into force if it is newer and passes the checks.

        Returns
        -------
        bool
            Whether this call has put it into force.
        """
        if snapshot.version <= self.version:
            return False
        decoded = self._decode(snapshot)
        configuration = decoded.value_or(None)
        if configuration is None:
            self._reject(snapshot.version, str(decoded.failure()))
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
        source: ConfigurationSource,
    ) -> None:
        """Fetch newer configurations from other nodes until cancelled."""
        while True:
            known_version = max(self.version, self.rejected_version)
            if source.newest_version > known_version:
                node = source.newest_source()
                if node is not None:
                    await self._pull_from(sessions, node)
            await clock.sleep_ms(PULL_CHECK_INTERVAL_MS)

    async def _pull_from(
        self, sessions: pool.SessionPool, source: routing.Candidate
    ) -> None:
        session = sessions.get(
            source.address, source.node_id, source.incarnation
        )
        encoded_delta: bytes | None = None
        with anyio.move_on_after(PULL_TIMEOUT_MS / clock.MS_PER_S):
            if await session.wait_open():
                encoded_delta = await _fetch(session, self.version)
        if not encoded_delta:
            return
        applied = deltas.apply(encoded_delta, self._snapshot)
        snapshot = applied.value_or(None)
        if snapshot is None:
            self._reject(0, str(applied.failure()))
        else:
            self.activate(snapshot)

    def _decode(
        self, snapshot: snapshots.Snapshot
    ) -> result.Result[model.Configuration, reader.Faults]:
        if self._current is None or self._snapshot is None:
            return objects.decode(*snapshot)
        return objects.decode_change(
            self._current, self._snapshot.objects, *snapshot
        )

    def _reject(self, version: int, reason: str) -> None:
        if version and version <= self.rejected_version:
            return
        self.rejected_version = max(version, self.rejected_version)
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
    encoded_delta = bytearray()
    is_received = False
    try:
        if not session.send(request):
            return None
        reply = await stream.reply()
        if not isinstance(reply.message, messages.ConfigurationReply):
            return None
        async for part in stream.incoming_body.chunks():
            encoded_delta += part
            if len(encoded_delta) > MAX_SNAPSHOT_BYTES:
                return None
        is_received = True
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
        if is_received:
            stream.close()
        else:
            stream.cancel("configuration not received")
    return bytes(encoded_delta)
