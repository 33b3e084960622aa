"""What is known of one node, and the way to offer it requests."""

import asyncio
from collections.abc import Callable
from typing import Any

from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.nodes import transit
from clementinekeel.routing import placement
from clementinekeel.sidecar import gate as gate_module

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""A node that returns is reached within about a second; with 100 nodes that is
at most 100 attempts a second while all of them are away."""
SUSPECT_FAILURES = 3
"""Failures in a row after which an endpoint is used last."""
SUSPECT_S = 2.0
"""How long it stays so without a new failure."""
TRANSIT_GAIN = 0.1
"""Weight of a new measurement of the transit time."""


class Loopback:
    """Stands for a link when the chosen endpoint is on this VM."""

    def __init__(
        self, gate: gate_module.Gate, deliver: Callable[[frames.Frame], None]
    ) -> None:
        self.streams: dict[int, Any] = {}
        self.transit = transit.DelayEstimator()
        self._gate = gate
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()

    def send(self, frame: frames.Frame) -> None:
        """Hand an answer of the gate to this node's origin."""
        self._deliver(frame)

    def offer(self, offer: frames.Offer) -> None:
        """Offer a request to this node's own gate."""
        self._gate.offer(self, offer)

    def offer_part(self, part: frames.OfferPart) -> None:
        """Pass a further part of a body."""
        self._gate.offer_part(self, part)

    def cancel(self, stream: int) -> None:
        """End a request."""
        self._gate.cancel(self, stream)


class Peer:
    """Another node, or this one, and the endpoint beside it."""

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
        self.unreachable_since: float | None = None
        self.dialed: link_module.Link | None = None
        self.is_dialing = False
        self.next_dial_at = 0.0
        self.backoff_s = MIN_BACKOFF_S
        self.load = 0
        self.service_ms = 100.0
        self.transit_ms = 0.0
        self.failures = 0
        self.suspect_until = 0.0
        self.cold_until = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether requests may be offered."""
        if self.status is None or not self.status.is_accepting:
            return False
        if self.loopback is not None:
            return True
        return self.link is not None and self.link.is_open

    @property
    def endpoint(self) -> str:
        """Identity of the backend server, empty if none is known."""
        return self.status.endpoint if self.status is not None else ""

    @property
    def slots(self) -> int:
        """Slots of the backend server."""
        return self.status.slots if self.status is not None else 0

    @property
    def known_load(self) -> int:
        """Requests that run or wait there, as far as this node knows."""
        return max(self.load, len(self.exchanges))

    def offer(self, offer: frames.Offer, body: bytes, exchange: Any) -> None:
        """Offer a request."""
        self.exchanges[offer.stream] = exchange
        self.load += 1
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
            self.link.send(offer)
            for part in parts:
                self.link.send(part)

    def withdraw(self, stream: int) -> None:
        """End a request for which nobody waits."""
        if self.exchanges.pop(stream, None) is None:
            return
        if self.loopback is not None:
            self.loopback.cancel(stream)
        elif self.link is not None:
            self.link.send(frames.Cancel(stream))

    def candidate(self, now: float) -> placement.Candidate:
        """Return what placement needs to know."""
        return placement.Candidate(
            self.node,
            self.tier,
            self.slots,
            self.known_load,
            self.service_ms,
            self.transit_ms,
            now < self.cold_until,
            now < self.suspect_until,
        )

    def on_transit(self, transit_ms: float) -> None:
        """Take a measurement of the time on the way there and back."""
        gain = TRANSIT_GAIN * (transit_ms - self.transit_ms)
        self.transit_ms = max(0.0, self.transit_ms + gain)

    def on_result(self, is_good: bool, now: float) -> None:
        """Note whether the endpoint gave an answer."""
        if is_good:
            self.failures = 0
            return
        self.failures += 1
        if self.failures >= SUSPECT_FAILURES:
            self.suspect_until = now + SUSPECT_S
