"""State of one node, as this node knows it, and offers of requests to it."""

import asyncio
from collections.abc import Callable
from typing import Any

from clementinekeel.membership import statements
from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.nodes import transit
from clementinekeel.routing import placement
from clementinekeel.sidecar import inbound

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""A node that returns is reached within about a second; with 100 nodes, this
is at most 100 attempts a second while all others are away."""
SUSPECT_FAILURES = 3
"""Failures in a row after which other endpoints are preferred."""
SUSPECT_S = 2.0
"""Time for which other endpoints are preferred after the last failure."""
TRANSIT_GAIN = 0.1
"""Weight of a new measurement in the average transit time."""


class Loopback:
    """Takes the place of a link when the chosen endpoint is on this VM."""

    def __init__(
        self,
        inbound_proxy: inbound.InboundProxy,
        deliver: Callable[[frames.Frame], None],
    ) -> None:
        self.streams: dict[int, Any] = {}
        self.last_stream = 0
        self.transit = transit.DelayEstimator()
        self._inbound_proxy = inbound_proxy
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()

    def send_result(self, frame: frames.Frame) -> None:
        """Pass a result of the inbound proxy to the outbound proxy."""
        self._deliver(frame)

    def offer(self, offer: frames.Offer) -> None:
        """Offer a request to the inbound proxy of this node."""
        self._inbound_proxy.offer(self, offer, is_own=True)

    def offer_part(self, part: frames.OfferPart) -> None:
        """Pass on a further part of a body."""
        self._inbound_proxy.offer_part(self, part)

    def cancel(self, stream: int) -> None:
        """Cancel a request."""
        self._inbound_proxy.cancel(self, stream)


class Peer:
    """Another node, or this one, and the endpoint on its VM.

    Attributes
    ----------
    link : Link or None
        Link to the node, once the node has identified itself.
    loopback : Loopback or None
        Takes the place of the link if this is the node itself.
    dialed_link : Link or None
        Link that this node opened, also before the hello.
    replacement : Link or None
        Second link, opened beside a doubtful one.
    is_replacing : bool
        Whether a second link is open or being opened.
    silent_links : tuple of int
        Numbers of replaced links that the node may not have ended yet.
    on_offer : callable or None
        Called with this peer at each offer on its link.
    exchanges : dict
        Exchanges that wait for a result, by stream.
    has_crash_reports : bool
        Whether the node was told of all crashes since the link was made.
    is_listed : bool
        Whether the node has an entry in the store.
    earlier_departure : Incarnation or None
        Backend server that had left, or was leaving, when the link was lost.
    reported_load : int
        Requests that run or wait there, by the last report and the offers
        since.
    """

    def __init__(
        self, node: str, host: str, port: int, tier: placement.Tier
    ) -> None:
        self.node = node
        self.host = host
        self.port = port
        self.tier = tier
        self.status: frames.EndpointStatus | None = None
        self.link: link_module.Link | None = None
        self.loopback: Loopback | None = None
        self.exchanges: dict[int, Any] = {}
        self.is_listed = False
        self.earlier_departure: statements.Incarnation | None = None
        self.unreachable_since: float | None = None
        self.dialed_link: link_module.Link | None = None
        self.is_dialing = False
        self.replacement: link_module.Link | None = None
        self.is_replacing = False
        self.next_replacement_at = 0.0
        self.silent_links: tuple[int, ...] = ()
        self.on_offer: Callable[[Peer], None] | None = None
        self.has_crash_reports = False
        self.next_dial_at = 0.0
        self.backoff_s = MIN_BACKOFF_S
        self.reported_load = 0
        self.service_ms = 100.0
        self.transit_ms = 0.0
        self.failures = 0
        self.suspect_until = 0.0
        self.warm_up_until = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether requests may be offered to the endpoint."""
        if self.status is None or not self.status.is_accepting:
            return False
        if self.loopback is not None:
            return True
        return self.link is not None and self.link.is_open

    @property
    def is_doubtful(self) -> bool:
        """Whether the node has been silent for longer than usual."""
        return self.link is not None and self.link.is_doubtful

    @property
    def endpoint(self) -> str:
        """Identity of the backend server; empty if none is known."""
        return self.status.endpoint if self.status is not None else ""

    @property
    def slots(self) -> int:
        """Slots of the backend server."""
        return self.status.slots if self.status is not None else 0

    @property
    def usable_slots(self) -> float:
        """Slots that can be in use at once under the rate limit.

        By Little's law: the rate times the time for which a slot is held.
        """
        limit = (
            self.status.rate_limit_per_s if self.status is not None else None
        )
        if limit is None:
            return self.slots
        return min(self.slots, limit * self.service_ms / 1000)

    @property
    def estimated_load(self) -> int:
        """Requests that run or wait there, at least those of this node."""
        return max(self.reported_load, len(self.exchanges))

    def offer(self, offer: frames.Offer, body: bytes, exchange: Any) -> None:
        """Offer a request."""
        self.exchanges[offer.stream] = exchange
        self.reported_load += 1
        size = frames.PART_BYTES
        parts = (
            frames.OfferPart(offer.stream, body[start : start + size])
            for start in range(size, len(body), size)
        )
        if self.loopback is not None:
            self.loopback.offer(offer)
            for part in parts:
                self.loopback.offer_part(part)
        elif self.link is not None:
            self.link.expect_reply()
            if self.on_offer is not None:
                self.on_offer(self)
            self.link.send(offer)
            for part in parts:
                self.link.send(part)

    def cancel(self, stream: int) -> None:
        """Cancel a request whose result is no longer needed."""
        if self.exchanges.pop(stream, None) is None:
            return
        if self.loopback is not None:
            self.loopback.cancel(stream)
        elif self.link is not None:
            self.link.send(frames.Cancel(stream))

    def candidate(self, now: float) -> placement.Candidate:
        """Return the endpoint as a candidate for placement."""
        return placement.Candidate(
            self.node,
            self.tier,
            self.usable_slots,
            self.estimated_load,
            self.service_ms,
            self.transit_ms,
            now < self.warm_up_until,
            now < self.suspect_until or self.is_doubtful,
        )

    def on_transit(self, transit_ms: float) -> None:
        """Record a measured round trip time, without the time at the node."""
        change = TRANSIT_GAIN * (transit_ms - self.transit_ms)
        self.transit_ms = max(0.0, self.transit_ms + change)

    def on_result(self, is_success: bool, now: float) -> None:
        """Record whether the endpoint answered without a failure."""
        if is_success:
            self.failures = 0
            return
        self.failures += 1
        if self.failures >= SUSPECT_FAILURES:
            self.suspect_until = now + SUSPECT_S

    def on_stopping(self, now: float) -> None:
        """Record that the node is stopping: other endpoints are preferred."""
        self.suspect_until = now + SUSPECT_S
