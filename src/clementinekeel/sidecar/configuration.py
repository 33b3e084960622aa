"""Follows the configuration in the store and puts each version in force."""

import asyncio
from collections.abc import Callable

from returns import result

from clementinekeel.routing import table
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import errors
from clementinekeel.sidecar import origin as origin_module
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import registration
from clementinekeel.store import metadata

Decoder = Callable[
    [bytes], result.Result[table.RoutingTable, errors.StepError]
]


class ConfigurationFollower:
    """Takes versions from the store or from other nodes; never an older one.

    Parameters
    ----------
    key : str
        Key of the newest configuration.
    decode : callable
        Decodes its value.
    """

    def __init__(
        self,
        key: str,
        decode: Decoder,
        store: metadata.MetadataStore,
        peers: peers_module.Peers,
        origin: origin_module.Origin,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._key = key
        self._decode = decode
        self._store = store
        self._peers = peers
        self._origin = origin
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._is_reachable: bool | None = None
        self._taken_at = self._loop.time()
        peers.versions.on_configuration = self.take

    @property
    def age_s(self) -> float:
        """Time since the version in force was taken, in seconds."""
        return self._loop.time() - self._taken_at

    async def follow(self) -> None:
        """Read the configuration and follow its changes."""
        backoff = registration.Backoff()
        revision = 0
        while True:
            try:
                if not revision:
                    snapshot = await self._store.read(self._key)
                    revision = snapshot.revision
                    for item in snapshot.items:
                        self.take(item.value, "store")
                changes = await self._store.watch(self._key, revision)
            except metadata.MetadataError as error:
                self._note(False, error.reason)
                if error.kind in metadata.GAP_FAILURES:
                    revision = 0
                await backoff.wait()
                continue
            self._note(True, "")
            backoff.reset()
            revision = max(revision, changes.revision)
            for event in changes.events:
                if isinstance(event, metadata.Item):
                    self.take(event.value, "store")

    def take(self, content: bytes, source: str) -> None:
        """Put a configuration in force if it is newer and can be used."""
        decoded = self._decode(content)
        routing = decoded.value_or(None)
        if routing is None:
            self._decisions.write(
                "configuration_unusable",
                False,
                source=source,
                reason=str(decoded.failure()),
                in_force=self._origin.version,
            )
            return
        before = self._origin.version
        if not self._origin.use(routing):
            return
        self._taken_at = self._loop.time()
        self._peers.versions.configuration = (routing.version, content)
        self._decisions.write(
            "configuration_in_force",
            False,
            version=routing.version,
            before=before,
            source=source,
            routes=len(routing.routes),
        )
        self._peers.versions.announce_later(before)

    def _note(self, is_reachable: bool, reason: str) -> None:
        if is_reachable is not self._is_reachable:
            self._decisions.write(
                "store_regained" if is_reachable else "store_lost",
                False,
                dependency="configuration",
                reason=reason,
            )
        self._is_reachable = is_reachable
