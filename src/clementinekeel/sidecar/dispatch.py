"""Offers a request to one endpoint after the other until it is answered.

A refused request is offered to another endpoint. An idempotent request is also
offered to another one when an endpoint fails, or does not answer for too long
while another endpoint has free slots. An offer is a retry, and uses the retry
budget, if the request may have arrived at a backend server before, or if the
run that made it is a retry.
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
from clementinekeel.sidecar import pending_offer

MAX_OFFERS = 4
"""Maximum number of endpoints to which a request is offered; a refusal takes
no slot, but each one costs the caller a round trip."""
MAX_OFFERS_WITH_RETRIES = 10
"""Maximum number of offers of a request, including those after which it may
have arrived at a backend server and those that stopping nodes refuse; the
retry budget bounds the retries."""
MAX_PENDING = 2
"""Endpoints that work on a request at the same time."""
MIN_REMAINING_S = 0.02
"""No endpoint can answer a request with less time than this before its
deadline."""
BACKEND_REFUSAL_REASONS = frozenset(("backend_refused",))
"""Reasons of refusals by the backend server itself: the request has arrived
there, but did not run."""
ANSWER_SIZE_GAIN = 0.1
"""Weight of a new answer in the average size of a route's answers."""


class Dispatcher:
    """Offers the requests of this node's callers to endpoints.

    Parameters
    ----------
    give_up : callable
        Ends a request that no endpoint has answered; gets the reason.
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
        self._last_stream = 0
        self._answer_sizes: dict[str, int] = {}

    def offer(self, exchange: exchange_module.Exchange) -> None:
        """Offer a request to the best endpoint that has not been tried."""
        route = exchange.route
        limit = min(
            MAX_OFFERS
            + exchange.backend_arrivals
            + exchange.stopping_refusals,
            MAX_OFFERS_WITH_RETRIES,
        )
        if route is None or exchange.offers >= limit:
            self._give_up(exchange, exchange.last_reason or "overload")
            return
        if exchange.expires_at - self._loop.time() < MIN_REMAINING_S:
            reason = (
                exchange.last_reason if exchange.possible_runs else "deadline"
            )
            self._give_up(exchange, reason)
            return
        peer = self._choose(exchange, route)
        if peer is None:
            self._give_up(exchange, exchange.last_reason or "no_endpoint")
            return
        if not exchange.offers and not self._chain.may_begin(exchange):
            self._give_up(exchange, "retry_budget")
            return
        has_used_budget = exchange.backend_arrivals > 0
        if has_used_budget and not self._try_consume_retry(exchange, route):
            self._give_up(exchange, exchange.last_reason)
            return
        self._send(exchange, route, peer, has_used_budget)

    def cancel(self, exchange: exchange_module.Exchange) -> None:
        """Cancel a request at the endpoints to which it is offered."""
        pending, exchange.pending = exchange.pending, {}
        exchange.waiting_at = [offer.peer.node for offer in pending.values()]
        for stream, offer in pending.items():
            offer.peer.cancel(stream)

    def cancel_others(
        self, exchange: exchange_module.Exchange, stream: int
    ) -> None:
        """Cancel all offers of a request but one."""
        if len(exchange.pending) > 1:
            kept = exchange.pending.pop(stream)
            self.cancel(exchange)
            exchange.waiting_at = []
            exchange.pending[stream] = kept

    def on_refusal(
        self, exchange: exchange_module.Exchange, refusal: frames.Refusal
    ) -> None:
        """Offer a refused request to another endpoint, or refuse it.

        While another endpoint may still be at work on it, that one is waited
        for.
        """
        offer = exchange.pending.pop(refusal.stream)
        exchange.last_reason = refusal.reason
        if refusal.reason == frames.NOT_RECEIVED:
            # The endpoint knows nothing of the request, and may get it.
            exchange.offers -= 1
            exchange.tried_nodes.discard(offer.peer.node)
        if refusal.reason in BACKEND_REFUSAL_REASONS:
            exchange.backend_arrivals += 1
            # The backend server may accept the request a moment later.
            exchange.tried_nodes = set(exchange.failed_nodes)
        if refusal.reason == frames.STOPPING:
            offer.peer.on_stopping(self._loop.time())
            exchange.stopping_refusals += 1
            exchange.has_unused_retry |= offer.has_used_budget
            if offer.has_used_budget:
                # The retry is made elsewhere at the next check.
                exchange.attempt_timeout_at = self._loop.time()
        shortest_ms = exchange.retry_after_ms
        hint_ms = refusal.retry_after_ms
        exchange.retry_after_ms = (
            min(shortest_ms, hint_ms) if shortest_ms else hint_ms
        )
        if exchange.pending:
            return
        if refusal.reason == frames.QUARANTINED:
            exchange.retry_after_ms = hint_ms
            self._give_up(exchange, refusal.reason)
            return
        self.offer(exchange)

    def on_failure(
        self, exchange: exchange_module.Exchange, stream: int, reason: str
    ) -> None:
        """Retry an idempotent request; give up any other one.

        The outcome of a request that is not idempotent is then unknown.
        """
        self._record_failure(exchange, exchange.pending.pop(stream))
        exchange.last_reason = reason
        if exchange.pending:
            return
        if exchange.route is not None and exchange.route.is_idempotent:
            self.offer(exchange)
        else:
            self._give_up(exchange, reason)

    def tick(self, active: Collection[exchange_module.Exchange]) -> None:
        """Retry idempotent requests whose attempt has timed out."""
        now = self._loop.time()
        overdue = [e for e in active if e.attempt_timeout_at <= now]
        for exchange in overdue:
            exchange.attempt_timeout_at = float("inf")
            self._retry_elsewhere(exchange)

    def record_answer_size(self, route: table.Route, size: int) -> None:
        """Update the average size of a route's answers."""
        average = self._answer_sizes.get(route.name, size)
        change = ANSWER_SIZE_GAIN * (size - average)
        self._answer_sizes[route.name] = round(average + change)

    def _choose(
        self, exchange: exchange_module.Exchange, route: table.Route
    ) -> peer_module.Peer | None:
        size = len(exchange.body) + self._answer_sizes.get(route.name, 0)
        return self._peers.choose(exchange.service, exchange.tried_nodes, size)

    def _send(
        self,
        exchange: exchange_module.Exchange,
        route: table.Route,
        peer: peer_module.Peer,
        has_used_budget: bool,
    ) -> None:
        """Offer a request to the endpoint of a node."""
        now = self._loop.time()
        remaining_ms = round((exchange.expires_at - now) * 1000)
        exchange.offers += 1
        exchange.tried_nodes.add(peer.node)
        if route.is_idempotent:
            wait_ms = attempt_timeout.timeout_ms(
                peer.service_ms, peer.transit_ms, remaining_ms
            )
            exchange.attempt_timeout_at = now + wait_ms / 1000
        self._last_stream += 1
        stream = self._last_stream
        exchange.pending[stream] = pending_offer.PendingOffer(
            peer, now, has_used_budget
        )
        body = exchange.body
        offer = frames.Offer(
            stream,
            peer.endpoint,
            exchange.request_id,
            round(now * 1000),
            remaining_ms,
            exchange.rank,
            exchange.chain_age_ms + round((now - exchange.started_at) * 1000),
            exchange.depth,
            exchange.is_retry,
            route.is_idempotent,
            exchange.is_head,
            exchange.fingerprint,
            exchange.head,
            body[: frames.PART_BYTES],
            len(body),
        )
        peer.offer(offer, body, exchange)

    def _retry_elsewhere(self, exchange: exchange_module.Exchange) -> None:
        """Offer a request to a second endpoint beside a silent one.

        The first one to answer counts. The silent one may still be at work,
        and the second one may refuse the request.
        """
        route, pending = exchange.route, list(exchange.pending.items())
        if route is None or not pending:
            return
        if any(offer.answer is not None for _, offer in pending):
            return
        other = self._choose(exchange, route)
        if other is None or not attempt_timeout.has_spare_slots(
            other.estimated_load, other.usable_slots
        ):
            return
        if not self._try_consume_retry(exchange, route, uncounted_runs=1):
            return
        _, silent = pending[-1]
        silent.peer.on_result(False, self._loop.time())
        self._record_failure(exchange, silent)
        silent.is_overdue = True
        if len(pending) >= MAX_PENDING:
            stream, oldest = pending[0]
            del exchange.pending[stream]
            oldest.peer.cancel(stream)
        exchange.last_reason = "silent"
        self._send(exchange, route, other, has_used_budget=True)

    def _try_consume_retry(
        self,
        exchange: exchange_module.Exchange,
        route: table.Route,
        uncounted_runs: int = 0,
    ) -> bool:
        """Use a retry that is still unused, or one of the service's budget."""
        if exchange.has_unused_retry:
            exchange.has_unused_retry = False
            return True
        return self._chain.try_consume_retry(exchange, route, uncounted_runs)

    def _record_failure(
        self,
        exchange: exchange_module.Exchange,
        offer: pending_offer.PendingOffer,
    ) -> None:
        """Record that an attempt failed, although the request may have run."""
        if offer.is_overdue:
            return
        exchange.failed_nodes.add(offer.peer.node)
        exchange.backend_arrivals += 1
        exchange.possible_runs += 1
