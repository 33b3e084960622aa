"""Which endpoints a request is offered to, one after the other.

A request goes to another endpoint when one refuses it. An idempotent one also
does so when an endpoint fails, or is silent for too long while another one has
room. Repeats that arrive at a backend server are taken from the retry budget.
"""

import asyncio
from collections.abc import Callable, Collection

from clementinekeel.nodes import frames
from clementinekeel.retries import attempt_timeout
from clementinekeel.routing import table
from clementinekeel.sidecar import chain as chain_module
from clementinekeel.sidecar import exchange as exchange_module
from clementinekeel.sidecar import peer as peer_module
from clementinekeel.sidecar import peers as peers_module

MAX_OFFERS = 4
"""Endpoints that are asked for one request; refusals cost no slot, but each
costs a round trip of the caller's time."""
MAX_ALL_OFFERS = 10
"""The same with those that a backend server itself refused, which are bounded
by the retry budget."""
MIN_OFFER_S = 0.02
"""A request with less time left can't be answered by any endpoint."""
ARRIVED_REASONS = frozenset(("backend_refused",))
"""Refusals by the backend server itself: the request has arrived there."""
SIZE_GAIN = 0.1
"""Weight of a new answer in the average size of a route's answers."""


class Dispatcher:
    """Offers the requests of this node's callers to endpoints.

    Parameters
    ----------
    give_up : callable
        Answers a request that no endpoint has answered, for a reason.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        chain: chain_module.ChainPolicy,
        give_up: Callable[[exchange_module.Exchange, str], None],
    ) -> None:
        self._peers = peers
        self._chain = chain
        self._give_up = give_up
        self._loop = asyncio.get_running_loop()
        self._streams = 0
        self._sizes: dict[str, int] = {}

    def offer(self, exchange: exchange_module.Exchange) -> None:
        """Offer a request to the best endpoint that was not tried."""
        route = exchange.route
        limit = min(MAX_OFFERS + exchange.arrivals, MAX_ALL_OFFERS)
        if route is None or exchange.offers >= limit:
            self._give_up(exchange, exchange.last_reason or "overload")
            return
        if exchange.expires_at - self._loop.time() < MIN_OFFER_S:
            reason = exchange.last_reason if exchange.runs else "deadline"
            self._give_up(exchange, reason)
            return
        peer = self._choose(exchange, route)
        if peer is None:
            self._give_up(exchange, exchange.last_reason or "no_endpoint")
            return
        if not exchange.offers:
            self._chain.on_first_attempt(exchange)
        elif exchange.arrivals and not self._chain.may_repeat(exchange, route):
            self._give_up(exchange, exchange.last_reason)
            return
        self._send(exchange, route, peer)

    def withdraw(self, exchange: exchange_module.Exchange) -> None:
        """Take a request back from the endpoint that has it."""
        peer, exchange.peer = exchange.peer, None
        if peer is not None:
            peer.withdraw(exchange.stream)

    def on_refusal(
        self, exchange: exchange_module.Exchange, refusal: frames.Refusal
    ) -> None:
        """Offer a refused request elsewhere, or refuse it."""
        exchange.peer = None
        exchange.last_reason = refusal.reason
        if refusal.reason in ARRIVED_REASONS:
            exchange.arrivals += 1
            # The backend server may take it a moment later.
            exchange.tried = set(exchange.failed)
        known = exchange.retry_after_ms
        hint = refusal.retry_after_ms
        exchange.retry_after_ms = min(known, hint) if known else hint
        self.offer(exchange)

    def on_failure(
        self, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        """Send an idempotent request again; answer others as unknown."""
        self._note_failed(exchange)
        exchange.last_reason = reason
        if exchange.route is not None and exchange.route.is_idempotent:
            self.offer(exchange)
        else:
            self._give_up(exchange, reason)

    def tick(self, active: Collection[exchange_module.Exchange]) -> None:
        """Send idempotent requests again that have waited too long."""
        now = self._loop.time()
        impatient = [e for e in active if e.patience_ends_at <= now]
        for exchange in impatient:
            exchange.patience_ends_at = float("inf")
            self._send_elsewhere(exchange)

    def note_size(self, route: table.Route, size: int) -> None:
        """Note the length of an answer, for the next requests of a route."""
        known = self._sizes.get(route.name, size)
        gain = SIZE_GAIN * (size - known)
        self._sizes[route.name] = round(known + gain)

    def _choose(
        self, exchange: exchange_module.Exchange, route: table.Route
    ) -> peer_module.Peer | None:
        size = len(exchange.body) + self._sizes.get(route.name, 0)
        return self._peers.choose(exchange.service, exchange.tried, size)

    def _send(
        self,
        exchange: exchange_module.Exchange,
        route: table.Route,
        peer: peer_module.Peer,
    ) -> None:
        """Offer a request to an endpoint."""
        now = self._loop.time()
        left_ms = round((exchange.expires_at - now) * 1000)
        exchange.offers += 1
        exchange.offered_at = now
        exchange.tried.add(peer.node)
        exchange.peer = peer
        if route.is_idempotent:
            wait_ms = attempt_timeout.timeout_ms(
                peer.service_ms, peer.transit_ms, left_ms
            )
            exchange.patience_ends_at = now + wait_ms / 1000
        self._streams += 1
        exchange.stream = self._streams
        body = exchange.body
        offer = frames.Offer(
            exchange.stream,
            peer.endpoint,
            exchange.request_id,
            round(now * 1000),
            left_ms,
            exchange.rank,
            exchange.age_ms + round((now - exchange.started_at) * 1000),
            exchange.depth,
            route.is_idempotent,
            exchange.is_head,
            exchange.head,
            body[: frames.PART_BYTES],
            len(body),
        )
        peer.offer(offer, body, exchange)

    def _send_elsewhere(self, exchange: exchange_module.Exchange) -> None:
        route, silent = exchange.route, exchange.peer
        if route is None or silent is None or exchange.answer is not None:
            return
        other = self._choose(exchange, route)
        if other is None or not attempt_timeout.has_room(
            other.known_load, other.slots
        ):
            return
        if not self._chain.may_repeat(exchange, route, runs=1):
            return
        silent.on_result(False, self._loop.time())
        self.withdraw(exchange)
        self._note_failed(exchange, silent)
        exchange.last_reason = "silent"
        self._send(exchange, route, other)

    def _note_failed(
        self,
        exchange: exchange_module.Exchange,
        peer: peer_module.Peer | None = None,
    ) -> None:
        """Note that a request may have run where it got no answer."""
        failed = peer or exchange.peer
        if failed is not None:
            exchange.failed.add(failed.node)
        exchange.drop_answer()
        exchange.peer = None
        exchange.arrivals += 1
        exchange.runs += 1
