"""Follows the configuration in the store and puts new versions in force."""

import asyncio
from collections.abc import Callable

from returns import result

from clementinekeel.routing import table
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import errors
from clementinekeel.sidecar import outbound
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import registration
from clementinekeel.store import metadata

STORE = "store"
"""Source of a configuration that another node did not send."""

WATCH_PAUSE_S = 0.5
"""Pause before the watch continues after a change. A version that is overtaken
meanwhile is never read: in a storm of three a second, each one would be a call
of each node, and changes have 2.5 s to be in force."""

Decoder = Callable[
    [bytes], result.Result[table.RoutingTable, errors.StepError]
]


class ConfigurationFollower:
    """Applies newer versions from the store and from other nodes.

    Parameters
    ----------
    key : str
        Key of the newest configuration.
    decode : callable
        Decodes the value of that key.
    """

    def __init__(
        self,
        key: str,
        decode: Decoder,
        store: metadata.MetadataStore,
        peers: peers_module.Peers,
        outbound_proxy: outbound.OutboundProxy,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._key = key
        self._decode = decode
        self._store = store
        self._peers = peers
        self._outbound_proxy = outbound_proxy
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._is_reachable: bool | None = None
        self._applied_at = self._loop.time()
        peers.versions.on_configuration = self.apply

    @property
    def age_s(self) -> float:
        """Time since the version in force was applied, in seconds."""
        return self._loop.time() - self._applied_at

    async def follow(self) -> None:
        """Read the configuration and follow its changes."""
        backoff = registration.Backoff()
        revision = epoch = 0
        while True:
            try:
                if not revision or self._store.epoch != epoch:
                    snapshot = await self._store.read(self._key)
                    revision, epoch = snapshot.revision, snapshot.epoch
                    for item in snapshot.items:
                        self.apply(item.value, STORE)
                changes = await self._store.watch(self._key, revision, epoch)
            except metadata.MetadataError as error:
                self._record_reachability(False, error.reason)
                if error.kind in metadata.GAP_FAILURES:
                    revision = 0
                await backoff.wait()
                continue
            self._record_reachability(
                True,
                f"watch of history {epoch} from {revision} to"
                f" {changes.revision}",
            )
            backoff.reset()
            revision = max(revision, changes.revision)
            # The watch also reports longer keys with the same beginning.
            versions = [
                event
                for event in changes.events
                if event.key == self._key and isinstance(event, metadata.Item)
            ]
            for version in reversed(versions):
                if self.apply(version.value, STORE):
                    break
            if changes.events:
                await asyncio.sleep(WATCH_PAUSE_S)

    def apply(self, content: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer; tell if it is valid."""
        decoded = self._decode(content)
        routing_table = decoded.value_or(None)
        if routing_table is None:
            self._decisions.write(
                "configuration_unusable",
                False,
                source=source,
                reason=str(decoded.failure()),
                in_force=self._outbound_proxy.version,
            )
            return False
        before = self._outbound_proxy.version
        # After the store has returned from a copy, the operators may use the
        # number of a lost version for another one.
        is_other_content = (
            source == STORE
            and content != self._peers.versions.configuration[1]
        )
        if not self._outbound_proxy.activate(routing_table, is_other_content):
            return True
        self._applied_at = self._loop.time()
        self._peers.versions.configuration = (routing_table.version, content)
        self._decisions.write(
            "configuration_in_force",
            False,
            version=routing_table.version,
            before=before,
            source=source,
            routes=len(routing_table.routes),
        )
        self._peers.versions.announce_later()
        return True

    def _record_reachability(self, is_reachable: bool, reason: str) -> None:
        if is_reachable is not self._is_reachable:
            self._decisions.write(
                "store_regained" if is_reachable else "store_lost",
                False,
                dependency="configuration",
                reason=reason,
            )
        self._is_reachable = is_reachable
