"""How nodes bring each other to the newest configuration.

Most nodes have a new version from their watch of the store. Nodes tell their
versions to each other, and one that is behind asks the nearest one that is
ahead: when all nodes sent a long configuration to a late one, it filled the
link between regions.
"""

import asyncio
from collections.abc import Callable, Iterable

from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module

ANNOUNCE_DELAY_S = 0.5
"""Pause before other nodes are told of a new version: most have it from the
store by then."""
FETCH_DELAY_S = 0.2
"""Pause before a node asks another one for a newer version; its own watch of
the store is usually faster."""
FETCH_TIMEOUT_S = 1.0
"""Time for an answer before the next node is asked; a configuration of 1 MB
takes 0.3 s over the link between regions."""


class VersionExchange:
    """Compares versions with other nodes and passes configurations on.

    Parameters
    ----------
    links : callable
        Returns the links on which other nodes are told of a new version.
    distance : callable
        Returns how far the node at the other end of a link is.
    """

    def __init__(
        self,
        links: Callable[[], Iterable[link_module.Link]],
        distance: Callable[[link_module.Link], int],
    ) -> None:
        self._links = links
        self._distance = distance
        self._loop = asyncio.get_running_loop()
        self._newer_versions: dict[link_module.Link, int] = {}
        self._fetch_timer: asyncio.TimerHandle | None = None
        self._is_announcing = False
        self.configuration: tuple[int, bytes] = (0, b"")
        self.on_configuration: Callable[[bytes, str], None] | None = None

    @property
    def newest(self) -> int:
        """Version in force at this node; 0 if there is none."""
        return self.configuration[0]

    def announce_later(self, before: int) -> None:
        """Tell the version in force soon, once for several in a row."""
        if not self._is_announcing:
            self._is_announcing = True
            self._loop.call_later(ANNOUNCE_DELAY_S, self.announce, before)

    def announce(self, before: int) -> None:
        """Ask the other nodes for their version, to bring late ones along."""
        self._is_announcing = False
        if not before:
            return
        for link in self._links():
            link.send(frames.Ping(self.newest))

    def on_frame(self, link: link_module.Link, frame: frames.Frame) -> bool:
        """Handle a frame about versions; tell whether it was one."""
        if isinstance(frame, frames.Ping):
            link.send(frames.Pong(self.newest))
            self.compare(link, frame.configuration)
        elif isinstance(frame, frames.Pong):
            self.compare(link, frame.configuration)
        elif isinstance(frame, frames.ConfigurationRequest):
            if self.newest > frame.configuration:
                link.send(frames.Configuration(*self.configuration))
        elif isinstance(frame, frames.Configuration):
            self._on_configuration(link, frame)
        else:
            return False
        return True

    def compare(self, link: link_module.Link, version: int) -> None:
        """Note that another node has a newer version, to ask one for it."""
        if version <= self.newest:
            return
        self._newer_versions[link] = version
        if self._fetch_timer is None:
            self._fetch_timer = self._loop.call_later(
                FETCH_DELAY_S, self._request_from_nearest
            )

    def _on_configuration(
        self, link: link_module.Link, frame: frames.Configuration
    ) -> None:
        if frame.version > self.newest and self.on_configuration is not None:
            peer = link.peer.node if link.peer else ""
            self.on_configuration(frame.content, peer)

    def _request_from_nearest(self) -> None:
        own = self.newest
        self._newer_versions = {
            link: version
            for link, version in self._newer_versions.items()
            if version > own and link.is_open
        }
        self._fetch_timer = None
        if not self._newer_versions:
            return
        nearest = min(self._newer_versions, key=self._distance)
        del self._newer_versions[nearest]
        nearest.send(frames.ConfigurationRequest(own))
        self._fetch_timer = self._loop.call_later(
            FETCH_TIMEOUT_S, self._request_from_nearest
        )
