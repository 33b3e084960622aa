"""Opens the links to other nodes, and replaces those that go silent."""

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.nodes import liveness
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import peer as peer_module
from clementinekeel.sidecar import versions as versions_module

CONNECT_TIMEOUT_S = 1.0
"""A handshake between regions takes 60 ms; a longer silence means a network
partition or a loss of power."""
REPLACEMENT_INTERVAL_S = 1.0
"""Time between two attempts to replace a link, so that a node that is short of
processor time is not flooded by new connections."""
MAX_RESUMED_LINKS = 8
"""Silent links that one frame names; with more in a row, the oldest have ended
by ``liveness.SILENCE_TIMEOUT_S``."""


class LinkOwner(Protocol):
    """Keeps the nodes to which the links lead."""

    def is_current(self, peer: peer_module.Peer) -> bool:
        """Tell whether a node is still known at its address."""

    def on_identified(
        self, peer: peer_module.Peer, hello: frames.Hello
    ) -> bool:
        """Tell whether a node that has sent its hello is the one dialed."""

    def on_frame(
        self,
        peer: peer_module.Peer,
        link: link_module.Link,
        frame: frames.Frame,
    ) -> None:
        """Handle a frame of a node."""

    def on_lost(self, peer: peer_module.Peer) -> None:
        """Handle the end of the link to a node."""


class Dialer:
    """Keeps one link to each node, and a second one while that is doubtful.

    The second link takes the place of the first when the node answers there
    while the first is still silent. The node then tells the fate of each
    offer: it refuses those that it never received, goes on with those that
    wait or run, and repeats the results that were lost. Nothing runs again.

    Parameters
    ----------
    make_hello : callable
        Returns the first frame of a link with a number.
    """

    def __init__(
        self,
        owner: LinkOwner,
        make_hello: Callable[[int], frames.Hello],
        versions: versions_module.VersionExchange,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._owner = owner
        self._make_hello = make_hello
        self._versions = versions
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0
        self._is_stopped = False

    def stop(self) -> None:
        """Open no more links."""
        self._is_stopped = True

    def dial_if_needed(self, peer: peer_module.Peer) -> None:
        """Open a link to a node without one, unless it failed just before."""
        if self._is_stopped:
            return
        if not peer.is_dialing and self._loop.time() >= peer.next_dial_at:
            peer.is_dialing = True
            self._start_dialing(peer)

    def check(self, peer: peer_module.Peer, idle_s: float) -> None:
        """Test the links to a node; to be called periodically.

        Parameters
        ----------
        idle_s : float
            Idle time after which a link is tested.
        """
        for link in (peer.dialed_link, peer.replacement):
            if link is None:
                continue
            action = link.check_liveness(self._versions.own_version, idle_s)
            if action is liveness.Action.DOUBT and link is peer.link:
                self._on_doubt(peer)

    def postpone_checks(self, peer: peer_module.Peer, pause_s: float) -> None:
        """Leave out a time in seconds in which this process did not run."""
        for link in (peer.dialed_link, peer.replacement):
            if link is not None:
                link.postpone_checks(pause_s)

    def _start_dialing(self, peer: peer_module.Peer) -> None:
        task = self._loop.create_task(self._dial(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_doubt(self, peer: peer_module.Peer) -> None:
        now = self._loop.time()
        if self._is_stopped or peer.is_replacing:
            return
        if now < peer.next_replacement_at:
            return
        peer.is_replacing = True
        peer.next_replacement_at = now + REPLACEMENT_INTERVAL_S
        self._decisions.write(
            "link_doubtful",
            False,
            peer=peer.node,
            waiting=len(peer.exchanges),
        )
        self._start_dialing(peer)

    async def _dial(self, peer: peer_module.Peer) -> None:
        self._last_number += 1
        number = self._last_number

        def make_link() -> link_module.Link:
            link = link_module.Link(
                lambda link, frame: self._on_frame(peer, link, frame),
                self._on_open,
                lambda link: self._on_end(peer, link),
                self._decisions,
                number,
            )
            link.is_waiting = lambda: not link.peer or bool(peer.exchanges)
            return link

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self._loop.create_connection(
                    make_link, peer.host, peer.port
                )
        except (OSError, ValueError, OverflowError) as error:
            # An address that can't be used raises ValueError, or
            # OverflowError for its port.
            self._on_dial_failed(peer, error)
            return
        except Exception as error:
            # The node would never be dialed again.
            supervision.report_error(self._loop, "open link", error)
            self._on_dial_failed(peer, error)
            return
        if not link.is_open:
            # Its end has been reported.
            return
        if not self._owner.is_current(peer):
            link.abort()
        elif peer.dialed_link is None:
            peer.dialed_link = link
        elif peer.dialed_link is not link:
            peer.replacement = link

    def _on_dial_failed(
        self, peer: peer_module.Peer, error: Exception
    ) -> None:
        if peer.dialed_link is not None:
            peer.is_replacing = False
            return
        peer.is_dialing = False
        now = self._loop.time()
        if peer.unreachable_since is None:
            peer.unreachable_since = now
            self._decisions.write(
                "node_unreachable",
                False,
                peer=peer.node,
                error=type(error).__name__,
            )
        peer.next_dial_at = now + peer.backoff_s * self._random.uniform(0.5, 1)
        peer.backoff_s = min(peer_module.MAX_BACKOFF_S, peer.backoff_s * 2)

    def _on_open(self, link: link_module.Link) -> None:
        link.expect_reply()
        link.send(self._make_hello(link.number))

    def _on_frame(
        self,
        peer: peer_module.Peer,
        link: link_module.Link,
        frame: frames.Frame,
    ) -> None:
        if isinstance(frame, frames.Hello):
            self._on_hello(peer, link, frame)
        elif link.peer is None:
            # Before its hello, the node at the other end is unknown.
            link.abort()
        elif isinstance(frame, frames.Resumed):
            peer.silent_links = ()
        else:
            self._owner.on_frame(peer, link, frame)

    def _on_hello(
        self,
        peer: peer_module.Peer,
        link: link_module.Link,
        hello: frames.Hello,
    ) -> None:
        if not self._owner.on_identified(peer, hello):
            link.abort()
            return
        if not link.accept_hello(hello):
            return
        silent = peer.link
        if silent is None or silent is link:
            peer.link = link
        elif silent.is_doubtful:
            self._replace(peer, silent, link)
        else:
            # The node was only slow.
            link.close()
            return
        peer.unreachable_since = None
        peer.backoff_s = peer_module.MIN_BACKOFF_S
        self._versions.compare(link, hello.configuration_version)

    def _replace(
        self,
        peer: peer_module.Peer,
        silent: link_module.Link,
        link: link_module.Link,
    ) -> None:
        silent.replace()
        peer.link = peer.dialed_link = link
        peer.replacement = None
        peer.is_replacing = False
        peer.has_crash_reports = False
        known = (*peer.silent_links, silent.number)
        peer.silent_links = known[-MAX_RESUMED_LINKS:]
        for stream, exchange in peer.exchanges.items():
            exchange.pending[stream].on_link_replaced()
        link.send(frames.Resume(peer.silent_links, tuple(peer.exchanges)))
        self._decisions.write(
            "link_replaced",
            False,
            peer=peer.node,
            waiting=len(peer.exchanges),
        )

    def _on_end(self, peer: peer_module.Peer, link: link_module.Link) -> None:
        if peer.dialed_link is not None and link is not peer.dialed_link:
            # A second link, which was not needed or not answered.
            peer.replacement = None
            peer.is_replacing = False
            return
        if peer.link is link:
            peer.link = None
        now = self._loop.time()
        peer.is_dialing, peer.is_replacing = peer.is_replacing, False
        peer.dialed_link, peer.replacement = peer.replacement, None
        peer.silent_links = ()
        peer.has_crash_reports = False
        peer.next_dial_at = (
            now + peer_module.MIN_BACKOFF_S * self._random.random()
        )
        if peer.unreachable_since is None:
            peer.unreachable_since = now
        self._owner.on_lost(peer)
