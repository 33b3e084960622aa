"""Exchange of configuration versions between nodes.

Most nodes get a new version from their watch of the store. Nodes also announce
their versions to each other, and a node with an older version requests the
newer one from the nearest node that has it. If all nodes sent a long
configuration to it, they would fill the link between regions.
"""

import asyncio
from collections.abc import Callable, Iterable
import random

from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.runtime import decision_log

ANNOUNCE_DELAY_S = 0.5
"""Delay before a new version is announced to other nodes; most have it from
the store by then."""
ANNOUNCED_LINKS = 16
"""Links on which a version is announced, drawn at random: when all nodes
announce it, a node hears of it from as many on average. Announcements to all
of 195 nodes are 38,000 frames for each version."""
FETCH_DELAY_S = 0.2
"""Delay before a node requests a newer version from another one; its own watch
of the store is usually faster."""
FETCH_INTERVAL_S = 0.4
"""Time after which the next node is asked as well. A configuration takes a few
milliseconds in the same region, and 1 MB takes 0.3 s over the link between
regions; nodes that are frozen or unreachable don't answer at all."""


class VersionExchange:
    """Compares versions with other nodes and transfers configurations.

    Parameters
    ----------
    links : callable
        Returns the links on which a new version is announced.
    distance : callable
        Returns the distance of the node at the other end of a link.
    decisions : DecisionLog
        Log for announcements and requests.
    """

    def __init__(
        self,
        links: Callable[[], Iterable[link_module.Link]],
        distance: Callable[[link_module.Link], int],
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._decisions = decisions
        self._links = links
        self._distance = distance
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._newer_versions: dict[link_module.Link, int] = {}
        self._fetch_timer: asyncio.TimerHandle | None = None
        self._is_announcing = False
        self.configuration: tuple[int, bytes] = (0, b"")
        self.on_configuration: Callable[[bytes, str], object] | None = None

    @property
    def own_version(self) -> int:
        """Version in force at this node; 0 if there is none."""
        return self.configuration[0]

    def announce_later(self) -> None:
        """Announce the version in force after ``ANNOUNCE_DELAY_S``.

        Several changes within the delay are announced once.
        """
        if not self._is_announcing:
            self._is_announcing = True
            self._loop.call_later(ANNOUNCE_DELAY_S, self.announce)

    def announce(self) -> None:
        """Announce the version in force on some of the links.

        The announcement is a ping: a node with an older version requests the
        newer one, and a node with a newer version answers with its number.
        """
        self._is_announcing = False
        links = list(self._links())
        if len(links) > ANNOUNCED_LINKS:
            links = self._random.sample(links, ANNOUNCED_LINKS)
        for link in links:
            link.send(frames.Ping(self.own_version))
        self._decisions.write(
            "configuration_announced",
            False,
            version=self.own_version,
            links=len(links),
        )

    def on_frame(self, link: link_module.Link, frame: frames.Frame) -> bool:
        """Handle a frame of this exchange; tell whether it was one."""
        if isinstance(frame, frames.Ping):
            link.send(frames.Pong(self.own_version))
            self.compare(link, frame.configuration_version)
        elif isinstance(frame, frames.Pong):
            self.compare(link, frame.configuration_version)
        elif isinstance(frame, frames.ConfigurationRequest):
            if self.own_version > frame.configuration_version:
                link.send(frames.Configuration(*self.configuration))
        elif isinstance(frame, frames.Configuration):
            self._on_configuration_frame(link, frame)
        else:
            return False
        return True

    def compare(self, link: link_module.Link, version: int) -> None:
        """Request a newer version soon if another node has one."""
        if version <= self.own_version:
            return
        if not self._newer_versions and self._fetch_timer is None:
            self._decisions.write(
                "configuration_outdated",
                False,
                version=version,
                in_force=self.own_version,
                peer=link.peer.node if link.peer else "",
            )
        self._newer_versions[link] = version
        if self._fetch_timer is None:
            self._fetch_timer = self._loop.call_later(
                FETCH_DELAY_S, self._request_from_nearest
            )

    def _on_configuration_frame(
        self, link: link_module.Link, frame: frames.Configuration
    ) -> None:
        if (
            frame.version > self.own_version
            and self.on_configuration is not None
        ):
            peer = link.peer.node if link.peer else ""
            self.on_configuration(frame.content, peer)

    def _request_from_nearest(self) -> None:
        own_version = self.own_version
        self._newer_versions = {
            link: version
            for link, version in self._newer_versions.items()
            if version > own_version and link.is_open
        }
        self._fetch_timer = None
        if not self._newer_versions:
            return
        nearest = min(self._newer_versions, key=self._distance)
        version = self._newer_versions.pop(nearest)
        nearest.send(frames.ConfigurationRequest(own_version))
        self._decisions.write(
            "configuration_requested",
            False,
            version=version,
            in_force=own_version,
            peer=nearest.peer.node if nearest.peer else "",
        )
        self._fetch_timer = self._loop.call_later(
            FETCH_INTERVAL_S, self._request_from_nearest
        )
