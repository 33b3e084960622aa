"""The known nodes and the links to them."""

import asyncio
from collections.abc import Collection, Iterator
import random
from typing import Any

from clementinekeel.membership import statements
from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.nodes import liveness
from clementinekeel.nodes import result_memory
from clementinekeel.routing import placement
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import crash_reports
from clementinekeel.sidecar import dialer
from clementinekeel.sidecar import inbound
from clementinekeel.sidecar import peer as peer_module
from clementinekeel.sidecar import resumption
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.sidecar import versions

REMOVAL_DELAY_S = 3.0
"""Time for which a node without an entry in the store may be unreachable
before it is removed; after an outage of the store, entries return within two
seconds."""
RESULTS = (frames.Answer, frames.AnswerPart, frames.Refusal, frames.Failure)


class Peers:
    """All known nodes, with their links and their endpoints' states.

    Parameters
    ----------
    settings : SidecarSettings
        Addresses, zone and region of this node.
    incarnation : int
        Incarnation of this process.
    choose_candidate : callable
        Placement rule.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        incarnation: int,
        choose_candidate: placement.Placement,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._choose_candidate = choose_candidate
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._peers: dict[str, peer_module.Peer] = {}
        self._by_service: dict[str, list[peer_module.Peer]] = {}
        self._inbound_links: set[link_module.Link] = set()
        self._statements = statements.StatementMemory()
        self._waiting_peers: set[peer_module.Peer] = set()
        self._random = random.Random()
        self._inbound_proxy: inbound.InboundProxy | None = None
        self.outbound_proxy: Any = None
        self._has_node_list = False
        self.crash_reports = crash_reports.CrashReports(
            self._links_of_own_service, decisions
        )
        self.versions = versions.VersionExchange(
            self._links, self._distance, decisions
        )
        self._dialer = dialer.Dialer(
            self, self._own_hello, self.versions, decisions
        )

    @property
    def known(self) -> Collection[peer_module.Peer]:
        """All nodes, this one included."""
        return self._peers.values()

    @property
    def node_count(self) -> int:
        """Number of known nodes; 0 before the list of nodes was read."""
        return len(self._peers) if self._has_node_list else 0

    @property
    def inbound_links(self) -> int:
        """Links that other nodes opened."""
        return len(self._inbound_links)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether frames wait to be sent on any link."""
        return any(link.unsent_bytes for link in self._open_links())

    @property
    def has_links(self) -> bool:
        """Whether any link has not ended."""
        return any(True for _ in self._open_links())

    def attach(
        self, inbound_proxy: inbound.InboundProxy, outbound_proxy: Any
    ) -> None:
        """Set the proxies of this node and add the node itself."""
        self._inbound_proxy = inbound_proxy
        self.outbound_proxy = outbound_proxy
        own = peer_module.Peer(
            self._settings.node,
            self._settings.peers.host,
            self._settings.peers.port,
            placement.Tier.ZONE,
        )
        own.loopback = peer_module.Loopback(
            inbound_proxy, lambda frame: self._on_result(own, frame)
        )
        self._peers[own.node] = own

    def choose(
        self, service: str, excluded: set[str], size_bytes: int
    ) -> peer_module.Peer | None:
        """Return the best usable endpoint of a service, or None."""
        now = self._loop.time()
        candidates = [
            peer.candidate(now)
            for peer in self._by_service.get(service, ())
            if peer.is_usable and peer.node not in excluded
        ]
        best = self._choose_candidate(
            candidates, size_bytes, self._random.random()
        )
        return self._peers[best.name] if best is not None else None

    def publish_own_status(self) -> None:
        """Send the state of this node's backend server to all nodes."""
        if self._inbound_proxy is None:
            return
        status = self._inbound_proxy.status
        self._set_status(self._peers[self._settings.node], status)
        for link in self._inbound_links:
            # A status before the hello would end the link. If the peer has
            # not sent its hello yet, the status follows this node's hello.
            if link.peer is not None:
                link.send(status)

    def add_or_update(
        self,
        node: str,
        host: str,
        port: int,
        zone: str,
        region: str,
        is_listed: bool,
    ) -> None:
        """Add a node, or update its address, from the store or from a link."""
        if node == self._settings.node:
            return
        peer = self._peers.get(node)
        if peer is None or (peer.host, peer.port) != (host, port):
            if peer is not None:
                self._remove(peer, "moved")
            tier = self._tier(zone, region)
            peer = peer_module.Peer(node, host, port, tier)
            peer.on_offer = self._waiting_peers.add
            self._peers[node] = peer
            self._decisions.write("node_found", False, peer=node, host=host)
        if is_listed:
            peer.is_listed = True
        self._dialer.dial_if_needed(peer)

    def mark_unlisted(self, node: str) -> None:
        """Record that a node has no entry in the store any more."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.is_listed = False

    def set_listed(self, nodes: set[str]) -> None:
        """Record which nodes have an entry in the store."""
        self._has_node_list = True
        for peer in self._peers.values():
            if peer.loopback is None:
                peer.is_listed = peer.node in nodes

    def tick(self) -> None:
        """Test links, dial missing ones and remove unreachable nodes."""
        now = self._loop.time()
        idle_s = liveness.idle_probe_s(len(self._peers))
        for peer in list(self._peers.values()):
            if peer.loopback is not None:
                continue
            if peer.dialed_link is not None:
                self._dialer.check(peer, idle_s)
            elif (
                not peer.is_listed
                and peer.unreachable_since is not None
                and now - peer.unreachable_since > REMOVAL_DELAY_S
            ):
                self._remove(peer, "gone")
            else:
                self._dialer.dial_if_needed(peer)
        version = self.versions.own_version
        for link in list(self._inbound_links):
            # The node that opened a link tests it while nothing runs for it.
            link.check_liveness(
                version, liveness.IDLE_PROBE_S if link.streams else 2 * idle_s
            )

    def check_waiting_links(self) -> None:
        """Test the links on which offers or pings wait for a sign."""
        idle_s = liveness.idle_probe_s(len(self._peers))
        for peer in list(self._waiting_peers):
            self._dialer.check(peer, idle_s)
            if peer.link is None or not peer.link.needs_close_watch:
                self._waiting_peers.discard(peer)

    def postpone_checks(self, pause_s: float) -> None:
        """Leave out a time in seconds in which this process did not run.

        What other nodes sent meanwhile has not been read yet.
        """
        for peer in self._peers.values():
            self._dialer.postpone_checks(peer, pause_s)
        for link in self._inbound_links:
            link.postpone_checks(pause_s)

    def accept(self) -> link_module.Link:
        """Return the protocol for a connection that another node opens."""
        return link_module.Link(
            self._on_inbound_frame,
            self._on_inbound_open,
            self._on_inbound_end,
            self._decisions,
        )

    def close(self) -> None:
        """Open no more links, and let the other nodes end all of them."""
        self._dialer.stop()
        for link in self._open_links():
            link.finish()

    def _tier(self, zone: str, region: str) -> placement.Tier:
        if zone == self._settings.zone:
            return placement.Tier.ZONE
        if region == self._settings.region:
            return placement.Tier.REGION
        return placement.Tier.REMOTE

    def is_current(self, peer: peer_module.Peer) -> bool:
        """Tell whether a node is still known at its address."""
        return self._peers.get(peer.node) is peer

    def on_identified(
        self, peer: peer_module.Peer, hello: frames.Hello
    ) -> bool:
        """Tell whether a node that has sent its hello is the one dialed.

        Otherwise the address now belongs to another node.
        """
        if hello.node == peer.node:
            return True
        self._remove(peer, "address_taken_over")
        self._add_from_hello(hello)
        return False

    def on_frame(
        self,
        peer: peer_module.Peer,
        link: link_module.Link,
        frame: frames.Frame,
    ) -> None:
        """Handle a frame of a node to which this node opened the link."""
        if isinstance(frame, frames.EndpointStatus):
            self._set_status(peer, frame)
        elif not self.versions.on_frame(link, frame):
            self._on_result(peer, frame)

    def on_lost(self, peer: peer_module.Peer) -> None:
        """Fail the offers of a link that has ended."""
        self._record_statement(peer, self._loop.time())
        self._decisions.write("link_lost", False, peer=peer.node)
        lost, peer.exchanges = peer.exchanges, {}
        peer.reported_load = 0
        for stream, exchange in lost.items():
            if exchange.has_ended:
                continue
            try:
                self.outbound_proxy.on_failure(exchange, stream, "link_lost")
            except Exception as error:
                self.outbound_proxy.on_error(exchange, error, has_run=True)

    def _own_hello(self, link_number: int) -> frames.Hello:
        settings = self._settings
        return frames.Hello(
            frames.PROTOCOL_VERSION,
            settings.node,
            self._incarnation,
            settings.zone,
            settings.region,
            settings.peers.host,
            settings.peers.port,
            self.versions.own_version,
            link_number,
        )

    def _on_result(self, peer: peer_module.Peer, frame: frames.Frame) -> None:
        if not isinstance(frame, RESULTS):
            return
        exchange = peer.exchanges.get(frame.stream)
        try:
            self._handle_result(peer, frame, exchange)
        except Exception as error:
            peer.exchanges.pop(frame.stream, None)
            if exchange is None:
                supervision.report_error(self._loop, "read result", error)
            else:
                has_run = not isinstance(frame, frames.Refusal)
                self.outbound_proxy.on_error(exchange, error, has_run)

    def _handle_result(
        self,
        peer: peer_module.Peer,
        frame: result_memory.Result,
        exchange: Any,
    ) -> None:
        now = self._loop.time()
        if isinstance(frame, frames.Answer):
            peer.reported_load = frame.running + frame.queued
            peer.service_ms = max(1.0, frame.service_ms)
            peer.on_result(frame.status < 500, now)
            if exchange is None:
                return
            offer = exchange.pending[frame.stream]
            if not offer.has_changed_link:
                passed_ms = (now - offer.offered_at) * 1000
                peer.on_transit(passed_ms - frame.elapsed_ms)
            if frame.body_bytes <= len(frame.body):
                del peer.exchanges[frame.stream]
            self.outbound_proxy.on_answer(exchange, frame)
        elif isinstance(frame, frames.AnswerPart):
            if exchange is not None:
                offer = exchange.pending[frame.stream]
                if offer.missing_bytes <= len(frame.data):
                    del peer.exchanges[frame.stream]
                self.outbound_proxy.on_answer_part(exchange, frame)
        elif isinstance(frame, frames.Refusal):
            peer.reported_load = frame.running + frame.queued
            peer.exchanges.pop(frame.stream, None)
            if exchange is not None and not exchange.has_ended:
                self.outbound_proxy.on_refusal(exchange, frame)
        else:
            peer.on_result(False, now)
            peer.exchanges.pop(frame.stream, None)
            if exchange is not None and not exchange.has_ended:
                self.outbound_proxy.on_failure(
                    exchange, frame.stream, frame.reason
                )

    def _on_inbound_open(self, link: link_module.Link) -> None:
        self._inbound_links.add(link)

    def _on_inbound_end(self, link: link_module.Link) -> None:
        self._inbound_links.discard(link)
        if self._inbound_proxy is not None:
            self._inbound_proxy.cancel_all(link)

    def _on_inbound_frame(
        self, link: link_module.Link, frame: frames.Frame
    ) -> None:
        inbound_proxy = self._inbound_proxy
        if inbound_proxy is None or self.versions.on_frame(link, frame):
            return
        if self.crash_reports.on_frame(link, frame):
            return
        if isinstance(frame, frames.Offer):
            inbound_proxy.offer(link, frame)
        elif isinstance(frame, frames.Cancel):
            inbound_proxy.cancel(link, frame.stream)
        elif isinstance(frame, frames.OfferPart):
            inbound_proxy.offer_part(link, frame)
        elif isinstance(frame, frames.EarlierStatement):
            node = link.peer.node if link.peer is not None else ""
            inbound_proxy.on_earlier_statement(frame, node)
        elif isinstance(frame, frames.Hello):
            self._on_inbound_hello(link, frame, inbound_proxy)
        elif isinstance(frame, frames.Resume):
            resumption.resume(link, frame, self._inbound_links, inbound_proxy)

    def _on_inbound_hello(
        self,
        link: link_module.Link,
        hello: frames.Hello,
        inbound_proxy: inbound.InboundProxy,
    ) -> None:
        if not link.accept_hello(hello):
            return
        self.versions.compare(link, hello.configuration_version)
        link.send(self._own_hello(hello.link))
        link.send(inbound_proxy.status)
        self._add_from_hello(hello)

    def _add_from_hello(self, hello: frames.Hello) -> None:
        self.add_or_update(
            hello.node,
            hello.host,
            hello.port,
            hello.zone,
            hello.region,
            is_listed=False,
        )

    def _open_links(self) -> Iterator[link_module.Link]:
        """Yield all links that have not ended."""
        for peer in self._peers.values():
            for link in (peer.dialed_link, peer.replacement):
                if link is not None:
                    yield link
        yield from self._inbound_links

    def _links(self) -> Iterator[link_module.Link]:
        """Yield the dialed links whose peer has sent its hello."""
        for peer in self._peers.values():
            if peer.link is not None:
                yield peer.link

    def _links_of_own_service(self) -> Iterator[link_module.Link]:
        """Yield links to the nodes beside other endpoints of the service."""
        own = self._peers[self._settings.node].status
        if own is None:
            return
        for peer in self._by_service.get(own.service, ()):
            if peer.link is not None:
                yield peer.link

    def _report_crashes(self, peer: peer_module.Peer) -> None:
        """Tell a node of the same service about crashes, once a link."""
        own = self._peers[self._settings.node].status
        if peer.has_crash_reports or peer.link is None or own is None:
            return
        if peer.status is not None and peer.status.service == own.service:
            peer.has_crash_reports = True
            self.crash_reports.send_all(peer.link)

    def _distance(self, link: link_module.Link) -> int:
        hello = link.peer
        if hello is None:
            return int(placement.Tier.REMOTE)
        return int(self._tier(hello.zone, hello.region))

    def _record_statement(self, peer: peer_module.Peer, now: float) -> None:
        """Remember what a backend server stated until its node is back.

        Without its status, the node gets no offers before the statement.
        """
        status = peer.status
        if status is None:
            return
        incarnation = statements.Incarnation(
            status.endpoint, status.started_ms
        )
        self._statements.record(
            incarnation,
            statements.Statement(status.rate_limit_per_s, status.is_leaving),
            now,
        )
        if status.is_leaving:
            peer.earlier_departure = incarnation
        peer.status = status._replace(is_accepting=False)

    def _with_earlier_statement(
        self, peer: peer_module.Peer, status: frames.EndpointStatus
    ) -> frames.EndpointStatus:
        """Add what the backend server stated before its node restarted.

        The node gets the statement before any further offer.
        """
        if status.has_answered or peer.link is None:
            return status
        incarnation = statements.Incarnation(
            status.endpoint, status.started_ms
        )
        known = self._statements.recall(incarnation, self._loop.time())
        stated = statements.Statement(
            status.rate_limit_per_s, status.is_leaving
        )
        if known is None or known == stated:
            return status
        peer.link.send(frames.EarlierStatement(*incarnation, *known))
        return status._replace(
            is_accepting=status.is_accepting and not known.is_leaving,
            rate_limit_per_s=known.rate_limit_per_s,
            is_leaving=status.is_leaving or known.is_leaving,
        )

    def _return_departure(
        self, peer: peer_module.Peer, status: frames.EndpointStatus
    ) -> None:
        """Tell a node of a departure that it may have forgotten.

        It is told before a delayed heartbeat can bring the backend server
        back in use.
        """
        departure = peer.earlier_departure
        if departure is None or peer.link is None:
            return
        peer.earlier_departure = None
        if departure != (status.endpoint, status.started_ms):
            peer.link.send(frames.EarlierStatement(*departure, None, True))

    def _set_status(
        self, peer: peer_module.Peer, status: frames.EndpointStatus
    ) -> None:
        before = peer.status
        self._return_departure(peer, status)
        status = self._with_earlier_statement(peer, status)
        peer.status = status
        peer.reported_load = status.running + status.queued
        now = self._loop.time()
        peer.warm_up_until = now + status.warm_up_left_ms / 1000
        if before is None or before.endpoint != status.endpoint:
            peer.failures = 0
            peer.suspect_until = 0.0
        if before is not None and before.service != status.service:
            self._by_service[before.service].remove(peer)
            before = None
        if before is None:
            self._by_service.setdefault(status.service, []).append(peer)
        self._report_crashes(peer)

    def _remove(self, peer: peer_module.Peer, reason: str) -> None:
        self._decisions.write(
            "node_removed", False, peer=peer.node, reason=reason
        )
        self._peers.pop(peer.node, None)
        if peer.status is not None:
            self._by_service[peer.status.service].remove(peer)
        self._waiting_peers.discard(peer)
        for link in (peer.dialed_link, peer.replacement):
            if link is not None:
                link.abort()
