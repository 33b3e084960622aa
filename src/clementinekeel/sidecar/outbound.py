"""Outbound side of a node: the proxy for the callers on its VM.

A request is routed and offered to the nodes of its service's endpoints. The
caller gets an endpoint's answer, or an answer of the node itself that tells
whether the request may have run.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from clementinekeel.admission import fingerprint
from clementinekeel.callers import dialect as dialect_module
from clementinekeel.callers import http1
from clementinekeel.nodes import frames
from clementinekeel.routing import table
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import decoding
from clementinekeel.runtime import pauses as pauses_module
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import answer_times
from clementinekeel.sidecar import chain as chain_module
from clementinekeel.sidecar import dispatch
from clementinekeel.sidecar import exchange as exchange_module
from clementinekeel.sidecar import metrics as metrics_module
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import pending_offer
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.sidecar import stop_plan

TIMEOUT_GRACE_S = 0.2
"""Time after the deadline in which the backend server's own answer may still
arrive; callers accept half a second."""
RETRY_AFTER_JITTER = 0.5
"""Random part of Retry-After, so that refused callers don't all retry at the
same time."""
MIN_RETRY_AFTER_MS = 60
THROTTLED_RETRY_AFTER_MS = 600
"""Retry-After of throttled requests: the admitted share grows by a tenth in
this time, and an answer after it still meets latency objectives of 1.5 s."""


class OutboundProxy:
    """Routes the requests of the callers on this VM and answers them.

    Parameters
    ----------
    has_memory_for : callable
        Tells whether a body of a size in bytes may be held in memory.
    pauses : PauseDetector
        Tells how late this process reads what was sent to it.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        dialect: dialect_module.Dialect,
        peers: peers_module.Peers,
        decisions: decision_log.DecisionLog,
        has_memory_for: Callable[[int], bool],
        chain: chain_module.ChainPolicy,
        metrics: metrics_module.NodeMetrics,
        pauses: pauses_module.PauseDetector,
    ) -> None:
        self._pauses = pauses
        self._metrics = metrics
        self._settings = settings
        self._dialect = dialect
        self._dispatcher = dispatch.Dispatcher(peers, chain, self._give_up)
        self._decisions = decisions
        self._has_memory_for = has_memory_for
        self._chain = chain
        self._loop = asyncio.get_running_loop()
        self._table: table.RoutingTable | None = None
        self._service_choice = table.WeightedChoice()
        self._active: set[exchange_module.Exchange] = set()
        self._random = random.Random()
        self._answer_times = answer_times.AnswerTimes()
        self._stop_plan: stop_plan.StopPlan | None = None
        self._stop_began_at = 0.0
        self._refuses_all = False
        self._dropped_headers = frozenset(
            (
                dialect.deadline_ms,
                dialect.target,
                dialect.calling_service,
                b"expect",
            )
        )
        self.service = settings.service

    @property
    def limits(self) -> table.CallerLimits:
        """Limits on callers that are in force."""
        if self._table is None:
            return table.CallerLimits()
        return self._table.limits

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._table.version if self._table is not None else 0

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop_plan is not None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled."""
        return not self._active

    def has_memory_for(self, size: int) -> bool:
        """Tell whether a body of this size may be held in memory."""
        return self._has_memory_for(size)

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check, empty if unknown."""
        if self._table is None:
            return ""
        return self._table.health_paths.get(service, "")

    def may_serve(self, service: str) -> bool:
        """Tell whether the backend server on this VM may be of a service.

        It is of the service in the settings, or of another one that the
        configuration names.
        """
        if service == self.service or self._table is None:
            return True
        return service in self._table.health_paths

    def activate(
        self, routing_table: table.RoutingTable, is_other_content: bool = False
    ) -> bool:
        """Put a configuration in force if it is newer; tell whether it was.

        Parameters
        ----------
        is_other_content : bool
            Whether the store has other content under the version in force.
        """
        if routing_table.version < self.version:
            return False
        if routing_table.version == self.version and not is_other_content:
            return False
        self._table = routing_table
        return True

    def handle(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> exchange_module.Exchange | None:
        """Start to handle a request, or refuse it."""
        exchange = exchange_module.Exchange(connection, self.cancel)
        try:
            return self._begin(exchange, request)
        except Exception as error:
            self.on_error(exchange, error)
            return None

    def _begin(
        self, exchange: exchange_module.Exchange, request: http1.Request
    ) -> exchange_module.Exchange | None:
        exchange.started_at = request.started_at - self._pauses.lateness_s
        rejection = self._prepare(exchange, request)
        if rejection is None and not self._may_take(exchange):
            rejection = 503, "stopping"
        if rejection is not None:
            status, reason = rejection
            if status == 503:
                self._refuse(exchange, reason)
            else:
                self._fail(exchange, status, reason)
            return None
        self._chain.on_request(exchange)
        if self._chain.is_throttled(exchange):
            exchange.retry_after_ms = THROTTLED_RETRY_AFTER_MS
            self._refuse(exchange, "throttled")
            return None
        exchange.is_admitted = True
        self._active.add(exchange)
        exchange.timer = self._loop.call_at(
            exchange.expires_at + TIMEOUT_GRACE_S, self._time_out, exchange
        )
        self._dispatcher.offer(exchange)
        return exchange

    def cancel(self, exchange: exchange_module.Exchange) -> None:
        """End a request whose caller has closed the connection."""
        if exchange.has_ended:
            return
        try:
            self._dispatcher.cancel(exchange)
        finally:
            self._end(exchange, "caller_left", 499)

    def on_error(
        self,
        exchange: exchange_module.Exchange,
        error: Exception,
        has_run: bool = False,
    ) -> None:
        """Answer a request whose handling has raised an unexpected error.

        Each offer either waits for a result, was refused or counts as a
        possible run, so that it is known whether the request has not run.

        Parameters
        ----------
        has_run : bool
            Whether the error occurred in the handling of a result after which
            the request may have run.
        """
        supervision.report_error(self._loop, "request of a caller", error)
        if exchange.has_ended:
            return
        has_run = has_run or bool(exchange.possible_runs or exchange.pending)
        try:
            self._dispatcher.cancel(exchange)
            if has_run:
                self._fail(exchange, 502, "internal_error")
            else:
                self._refuse(exchange, "internal_error")
        except Exception as second_error:
            supervision.report_error(
                self._loop, "answer after an error", second_error
            )
        if not exchange.has_ended:
            exchange.has_ended = True
            if exchange.timer is not None:
                exchange.timer.cancel()
            self._active.discard(exchange)
            exchange.connection.abort()

    def on_answer(
        self, exchange: exchange_module.Exchange, answer: frames.Answer
    ) -> None:
        """Handle an answer, or the first part of one."""
        offer = exchange.pending[answer.stream]
        offer.on_answer(answer)
        self._dispatcher.cancel_others(exchange, answer.stream)
        if offer.missing_bytes <= 0:
            self._deliver(exchange, offer)

    def on_answer_part(
        self, exchange: exchange_module.Exchange, part: frames.AnswerPart
    ) -> None:
        """Handle a further part of an answer."""
        offer = exchange.pending[part.stream]
        offer.on_part(part.data)
        if offer.missing_bytes <= 0:
            self._deliver(exchange, offer)

    def on_refusal(
        self, exchange: exchange_module.Exchange, refusal: frames.Refusal
    ) -> None:
        """Handle a refusal by an endpoint."""
        self._dispatcher.on_refusal(exchange, refusal)

    def on_failure(
        self, exchange: exchange_module.Exchange, stream: int, reason: str
    ) -> None:
        """Handle a failure after which the request may have run."""
        self._dispatcher.on_failure(exchange, stream, reason)

    def begin_stop(self, plan: stop_plan.StopPlan) -> None:
        """Begin a planned stop now."""
        self._stop_plan = plan
        self._stop_began_at = self._loop.time()

    def refuse_new_requests(self) -> None:
        """Refuse all new requests from now on."""
        self._refuses_all = True

    def on_suspended(self, seconds: float) -> None:
        """Bring deadlines forward, since the clock stood still meanwhile."""
        for exchange in self._active:
            exchange.expires_at -= seconds
            if exchange.timer is not None:
                exchange.timer.cancel()
            exchange.timer = self._loop.call_at(
                exchange.expires_at + TIMEOUT_GRACE_S, self._time_out, exchange
            )

    def end_all(self) -> None:
        """Answer the requests that outlast a planned stop; they may run."""
        for exchange in list(self._active):
            try:
                self._dispatcher.cancel(exchange)
                self._fail(exchange, 502, "stopping")
            except Exception as error:
                self.on_error(exchange, error, has_run=True)

    def tick(self) -> None:
        """Retry the requests whose attempt has timed out.

        A stopping node leaves them where they are: the endpoint may be at
        work, and a planned stop must not interrupt it.
        """
        if self.is_stopping:
            return
        self._dispatcher.tick(self._active)

    def _prepare(
        self, exchange: exchange_module.Exchange, request: http1.Request
    ) -> tuple[int, str] | None:
        """Route a request and fill in its exchange.

        Returns the status and the reason if the request is rejected.
        """
        dialect = self._dialect
        host, request_id, deadline = b"", [], b""
        kept_headers = []
        for name, value in request.headers:
            if name == b"host":
                host = value
            elif name == dialect.request_id:
                request_id.append(value)
            elif name == dialect.deadline_ms:
                deadline = value
            if name not in self._dropped_headers:
                kept_headers.append(b"%s: %s\r\n" % (name, value))
        if len(request_id) != 1 or not request_id[0]:
            return 400, "request_id"
        exchange.request_id = request_id[0].decode("latin-1")
        if self._table is None:
            return 503, "no_configuration"
        path = request.target.partition(b"?")[0].decode("latin-1")
        host_name = host.decode("latin-1").lower()
        route = self._table.find(host_name, path)
        if route is None:
            route = self._table.find(host_name.partition(":")[0], path)
        if route is None:
            return 404, "no_route"
        exchange.route = route
        exchange.service = self._service_choice.choose(route)
        exchange.is_head = request.method == b"HEAD"
        body = exchange.body = request.body
        head = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
        head += b"".join(kept_headers)
        if body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            head += b"content-length: %d\r\n" % len(body)
        service = self.service.encode()
        exchange.head = head + b"%s: %s\r\n" % (
            dialect.calling_service,
            service,
        )
        exchange.fingerprint = fingerprint.fingerprint(
            request.method, host, request.target, service, body
        )
        timeout_ms = route.timeout_ms
        deadline_ms = decoding.decode_number(deadline)
        if deadline_ms is not None:
            timeout_ms = min(timeout_ms, deadline_ms)
        exchange.expires_at = exchange.started_at + timeout_ms / 1000
        self._chain.inherit(exchange, route)
        return None

    def _may_take(self, exchange: exchange_module.Exchange) -> bool:
        """Tell whether a planned stop leaves enough time for a request.

        A call of a request at the backend server must end with the stop, as
        that request does.
        """
        plan = self._stop_plan
        if plan is None:
            return True
        if self._refuses_all:
            return False
        now = self._loop.time()
        since_stop_s = now - self._stop_began_at
        lasts_s = exchange.expires_at + TIMEOUT_GRACE_S - now
        if exchange.parent_job is None or exchange.route is None:
            return plan.may_take(since_stop_s, lasts_s)
        sufficient_s = self._answer_times.sufficient_s(
            exchange.route.name, now
        )
        if not plan.may_take_call(since_stop_s, lasts_s, sufficient_s):
            return False
        end_at = self._stop_began_at + plan.end_s
        exchange.expires_at = min(
            exchange.expires_at, end_at - TIMEOUT_GRACE_S
        )
        return True

    def _deliver(
        self,
        exchange: exchange_module.Exchange,
        offer: pending_offer.PendingOffer,
    ) -> None:
        answer, body = offer.answer, offer.body
        if answer is None or exchange.has_ended:
            return
        exchange.answer = answer
        exchange.pending.clear()
        if exchange.route is not None:
            self._dispatcher.record_answer_size(exchange.route, len(body))
            if answer.status < 400 or answer.status == 504:
                # Other failures end before the work is done.
                self._record_time(exchange, exchange.route)
        exchange.connection.respond(answer.head, body)
        self._end(exchange, "answered", answer.status)

    def _record_time(
        self, exchange: exchange_module.Exchange, route: table.Route
    ) -> None:
        now = self._loop.time()
        self._answer_times.record(route.name, now - exchange.started_at, now)

    def _give_up(
        self, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        """Answer a request that no endpoint has answered.

        The request is refused only if it has certainly not run.
        """
        if not exchange.possible_runs:
            self._refuse(exchange, reason)
            return
        remaining_s = exchange.expires_at - self._loop.time()
        is_late = (
            reason == "backend_silent"
            or remaining_s < dispatch.MIN_REMAINING_S
        )
        self._fail(exchange, 504 if is_late else 502, reason)

    def _refuse(self, exchange: exchange_module.Exchange, reason: str) -> None:
        """Answer that the request has not run and will not."""
        retry_after_ms = float(
            max(MIN_RETRY_AFTER_MS, exchange.retry_after_ms)
        )
        retry_after_ms *= 1 + RETRY_AFTER_JITTER * self._random.random()
        extra_headers = b"%s: %.3f\r\n" % (
            self._dialect.retry_after,
            retry_after_ms / 1000,
        )
        self._respond(exchange, 503, reason, extra_headers)

    def _fail(
        self, exchange: exchange_module.Exchange, status: int, reason: str
    ) -> None:
        self._respond(exchange, status, reason, b"")

    def _respond(
        self,
        exchange: exchange_module.Exchange,
        status: int,
        reason: str,
        extra_headers: bytes,
    ) -> None:
        if exchange.has_ended:
            return
        if exchange.request_id:
            extra_headers += b"%s: %s\r\n" % (
                self._dialect.request_id,
                exchange.request_id.encode("latin-1"),
            )
        head, body = http1.error_answer(status, reason, extra_headers)
        exchange.connection.respond(head, body)
        self._end(exchange, reason, status)

    def _time_out(self, exchange: exchange_module.Exchange) -> None:
        if exchange.has_ended:
            return
        try:
            self._dispatcher.cancel(exchange)
            self._fail(exchange, 504, "timeout")
        except Exception as error:
            self.on_error(exchange, error, has_run=True)

    def _end(
        self, exchange: exchange_module.Exchange, reason: str, status: int
    ) -> None:
        exchange.has_ended = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        self._active.discard(exchange)
        self._chain.on_ended(exchange, reason)
        duration_ms = (self._loop.time() - exchange.started_at) * 1000
        self._metrics.on_request(reason, status, exchange.rank, duration_ms)
        route = exchange.route
        if route is not None and reason == "timeout":
            self._record_time(exchange, route)
        fields: dict[str, Any] = {
            "request_id": exchange.request_id,
            "status": status,
            "reason": reason,
            "route": route.name if route else None,
            "service": exchange.service,
            "rank": exchange.rank,
            "depth": exchange.depth,
            "caller": exchange.connection.remote_host,
            "offers": exchange.offers,
            "arrivals": exchange.backend_arrivals,
            "call_of_retry": exchange.is_call_of_retry,
            "tried": ",".join(exchange.tried_nodes),
            "failed_at": ",".join(exchange.failed_nodes),
            "waiting_at": ",".join(exchange.waiting_at),
            "ms": round(duration_ms),
            "version": self.version,
            "since_stop_ms": (
                None
                if self._stop_plan is None
                else round((exchange.started_at - self._stop_began_at) * 1000)
            ),
        }
        self._decisions.write("request_ended", status < 400, **fields)
