"""Owner's part of a call: admission, outcome record and backend server.

The *owner* of an endpoint, and of the idempotency keys issued for it, is the
node on the VM of the endpoint's backend server. It alone decides whether a
request to its endpoint runs.
"""

import collections
from collections.abc import Callable, Iterable
import itertools
from typing import Any, NamedTuple

import anyio
import anyio.abc

from clementinekeel.admission import controller
from clementinekeel.admission import messages as admission
from clementinekeel.backends import connection
from clementinekeel.backends import errors as backend_errors
from clementinekeel.backends import pool
from clementinekeel.configuration import model
from clementinekeel.daemon import backend
from clementinekeel.daemon import backend_request
from clementinekeel.daemon import contexts
from clementinekeel.nodes import messages
from clementinekeel.nodes import server
from clementinekeel.nodes import streams
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.outcomes import records
from clementinekeel.runtime import clock
from clementinekeel.runtime import invariants
from clementinekeel.runtime import log
from clementinekeel.runtime import trail

QUEUE_CHECK_INTERVAL_MS = 50
"""Interval of the check for queued calls that must be refused, and thus the
longest delay of such a refusal."""
_HINT_REASONS = frozenset({"backend_shed", "deadline"})
"""Reasons that persist for a while, so that their refusals have a retry hint.
After others, another endpoint can be tried at once."""
BACKEND_OVERLOADED = "backend_overloaded"
OVERLOADED_STATUS = 503
KEPT_HEADERS_BYTES = 4 * 1024
RESEND_INTERVAL_MS = 100
MAX_RESENDS = 10
"""Further attempts at a reply that did not fit into the connection's queue.
Without the reply, the caller would wait for its deadline and be told
``unknown``."""
REPLACED_GRACE_MS = 10_000
"""Time for a replaced instance of the backend server to finish its requests.
The connections to a VM that has vanished are never closed, so its requests
would otherwise hold slots for ever."""
INTERNAL_ERROR = "internal_error"
_READY_STATES = frozenset(
    {backend.BackendState.READY, backend.BackendState.DRAINING}
)

Outcome = outcomes.Outcome


class ActiveCall(NamedTuple):
    """A call that is queued or running.

    Attributes
    ----------
    number : int
        Identifies the call in the admission controller.
    key : IssuedKey or None
        None for an idempotent call.
    scope : anyio.CancelScope
        Cancels the request at the backend server.
    report : trail.Report
        Decisions about the request, for operators.
    """

    number: int
    stream: server.ServerStream
    call: messages.Call
    key: outcomes.IssuedKey | None
    scope: anyio.CancelScope
    report: trail.Report


class CallResult(NamedTuple):
    """Result of a call.

    Attributes
    ----------
    step, peer : str
        Last step, and the party at its other end, or empty.
    answer : KeptAnswer or None
        Complete answer, None if there is none or it was sent in chunks.
    """

    outcome: Outcome
    reason: str
    step: str
    peer: str
    answer: outcomes.KeptAnswer | None


class Owner:
    """Handles calls of entry nodes to the local backend server.

    It implements ``nodes.server.Handler``.

    Parameters
    ----------
    node_id : str
        Id of this node.
    backend_server : backend.BackendServer
        The local backend server.
    issuer : keys.KeyIssuer
        Parses keys.
    outcome_records : records.OutcomeRecords
        Outcomes by key.
    served_contexts : contexts.Contexts
        Contexts of the requests being served, for downstream calls.
    decisions : trail.DecisionTrail
        Remembers recent decisions for operators.
    read_configuration : Callable
        Returns the version in force and the parts of a message that brings
        the requesting node there, given the version that it has.
    """

    def __init__(
        self,
        node_id: str,
        backend_server: backend.BackendServer,
        issuer: keys.KeyIssuer,
        outcome_records: records.OutcomeRecords,
        served_contexts: contexts.Contexts,
        decisions: trail.DecisionTrail,
        read_configuration: Callable[[int], tuple[int, list[bytes]]],
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._node_id = node_id
        self._backend = backend_server
        self._issuer = issuer
        self._records = outcome_records
        self._contexts = served_contexts
        self._trail = decisions
        self._read_configuration = read_configuration
        self._admission: controller.AdmissionController | None = None
        self._is_leaving = False
        self._call_numbers = itertools.count(1)
        self._active: dict[int, ActiveCall] = {}
        self._running: set[int] = set()
        self._cancellation_reasons: dict[int, str] = {}
        self._waiters: dict[bytes, list[server.ServerStream]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._became_idle = anyio.Event()
        self._queue_filled = anyio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether no call is queued or running."""
        return not self._active

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._active) - len(self._running)

    @property
    def load(self) -> messages.Load:
        """Current load and admission level of the endpoint."""
        if self._admission is None:
            return messages.Load(0, 1.0, 0)
        return messages.Load(*self._admission.level(clock.now_ms()))

    @property
    def limit(self) -> int:
        """Current concurrency limit."""
        if self._admission is None:
            return 0
        return self._admission.limit(clock.now_ms())

    def set_admission(
        self, admission_controller: controller.AdmissionController
    ) -> None:
        """Set the admission controller; no call may be queued or running."""
        self._admission = admission_controller

    def set_slots(self, slots: int, objective: model.Objective) -> None:
        """Set the backend server's number of slots and the objective."""
        if self._admission is not None:
            self._admission.set_slots(slots)
            self._admission.set_objective(objective, clock.now_ms())

    def start_ramp(self) -> None:
        """Let the limit rise slowly, since the backend server is cold."""
        if self._admission is not None:
            self._admission.start_ramp(clock.now_ms())

    def set_leaving(self, is_leaving: bool) -> None:
        """Refuse new calls, or accept them again."""
        self._is_leaving = is_leaving

    async def run(self) -> None:
        """Run the calls and refuse queued ones in time, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._queue_filled = anyio.Event()
                await self._queue_filled.wait()
                while self.queued and self._admission is not None:
                    await clock.sleep_ms(QUEUE_CHECK_INTERVAL_MS)
                    self._apply_decisions(
                        self._admission.expire(clock.now_ms())
                    )

    async def wait_idle(self) -> None:
        """Wait until no call is queued or running."""
        while self._active:
            self._became_idle = anyio.Event()
            await self._became_idle.wait()

    def abort_calls(self) -> None:
        """Refuse queued calls and cancel running ones, as the node stops."""
        self._is_leaving = True
        for number, active in list(self._active.items()):
            if number in self._running:
                self._cancellation_reasons[number] = "stopped"
                active.scope.cancel()
            elif number in self._active:
                self._leave_queue(active, "leaving")

    def on_new_instance(self) -> None:
        """Limit the time of the calls that run at the replaced instance."""
        if self._running and self._tasks is not None:
            self._tasks.start_soon(self._cancel_replaced, set(self._running))

    def on_call(self, stream: server.ServerStream) -> None:
        """Refuse a call, answer it from the record of its key, or admit it."""
        call: messages.Call = stream.request
        self.counts["calls"] += 1
        key: outcomes.IssuedKey | None = None
        if not call.idempotent:
            key = self._issuer.parse(call.key, stream.peer).value_or(None)
            if key is None:
                self._send_refusal(stream, "bad_key", "parse key")
                return
            if not self._begin_key(stream, key):
                return
        self._admit(stream, call, key)

    def on_inquire(self, stream: server.ServerStream) -> None:
        """Answer an inquiry about a key."""
        inquiry: messages.Inquire = stream.request
        key = self._issuer.parse(inquiry.key, stream.peer).value_or(None)
        state, reason, successor = str(Outcome.UNKNOWN), "bad_key", ""
        if key is not None:
            decision = self._records.inquire(key, clock.now_ms())
            state, reason, successor = _key_state(decision)
        self._reply(
            stream, messages.Record(stream.number, state, reason, successor)
        )
        stream.close()

    def on_configuration_request(self, stream: server.ServerStream) -> None:
        """Send the configuration in force if it is newer."""
        request: messages.ConfigurationRequest = stream.request
        version, parts = self._read_configuration(request.version)
        reply = messages.ConfigurationReply(stream.number, version)
        if not stream.reply(reply):
            # The requesting node repeats its request after a timeout.
            stream.close()
            return
        assert self._tasks is not None
        self._tasks.start_soon(_send_parts, stream, parts)

    def _begin_key(
        self, stream: server.ServerStream, key: outcomes.IssuedKey
    ) -> bool:
        """Return whether a call under a key may run.

        Otherwise the call waits for the outcome or is answered from the
        record.
        """
        decision = self._records.begin(key, clock.now_ms())
        if isinstance(decision, outcomes.Run):
            return True
        self.counts["repeated"] += 1
        if isinstance(decision, outcomes.Wait):
            waiters = self._waiters.setdefault(key.serial, [])
            waiters.append(stream)
            stream.on_cancel = lambda reason, is_lost: _remove_waiter(
                waiters, stream
            )
        else:
            self._answer_recorded(stream, decision)
        return False

    def _admit(
        self,
        stream: server.ServerStream,
        call: messages.Call,
        key: outcomes.IssuedKey | None,
    ) -> None:
        number = next(self._call_numbers)
        report = self._trail.open_report(
            call.request_id,
            call.service,
            f"{call.method} {call.path}",
            call.request_class,
            call.rank,
            call.idempotent,
        )
        active = ActiveCall(
            number, stream, call, key, anyio.CancelScope(), report
        )
        reason = self._refusal_reason(call, key)
        if reason or self._admission is None:
            self._refuse(active, reason or "no_backend", "accept", 0)
            return
        self._active[number] = active
        stream.on_cancel = lambda reason, is_lost: self._on_cancel(
            number, reason, is_lost
        )
        offer = admission.Offer(number, call.rank, call.expires_ms)
        try:
            decisions = self._admission.offer(offer, clock.now_ms())
        except Exception as error:
            self._active.pop(number, None)
            result = self._on_error(active, "admit", error)
            self._record_result(active, 0, result)
            stream.close()
            return
        self._apply_decisions(decisions)

    def _refusal_reason(
        self, call: messages.Call, key: outcomes.IssuedKey | None
    ) -> str:
        if self._is_leaving:
            return "leaving"
        if self._backend.state not in _READY_STATES:
            return "no_backend"
        # A key names its endpoint. The endpoint in the call is that of the
        # sender's record of this node, which may be older than the key.
        endpoint = key.endpoint if key is not None else call.endpoint
        if endpoint != self._backend.endpoint:
            return "wrong_endpoint"
        if clock.now_ms() >= call.expires_ms:
            return "deadline"
        return ""

    def _apply_decisions(
        self, decisions: Iterable[admission.Decision]
    ) -> None:
        # Sending a reply also handles messages that have arrived, such as a
        # cancellation of a call decided here. So all decisions change the
        # state before the first reply is sent.
        refused: list[tuple[ActiveCall, admission.Refuse]] = []
        for decision in decisions:
            if isinstance(decision, admission.Admit):
                self._start(self._active[decision.stream])
            elif isinstance(decision, admission.Refuse):
                refused.append((self._active.pop(decision.stream), decision))
            else:
                self._queue_filled.set()
        for active, refusal in refused:
            self._refuse(
                active, refusal.reason, "admit", refusal.retry_after_ms
            )
        self._signal_if_idle()

    def _start(self, active: ActiveCall) -> None:
        assert self._tasks is not None
        self._running.add(active.number)
        self._tasks.start_soon(self._run_call, active)

    async def _run_call(self, active: ActiveCall) -> None:
        started_ms = clock.now_ms()
        context = self._contexts.open(
            active.call.request_id,
            active.call.rank,
            active.call.expires_ms,
            active.call.allowance,
        )
        result = CallResult(Outcome.UNKNOWN, "stopped", "serve", "", None)
        try:
            with active.scope:
                result = await self._run_at_backend(active, context)
            if active.scope.cancelled_caught:
                reason = self._cancellation_reasons.get(
                    active.number, "cancelled"
                )
                result = CallResult(Outcome.UNKNOWN, reason, "serve", "", None)
        except Exception as error:
            result = self._on_error(active, "serve", error)
        finally:
            self._contexts.close(context)
            self._end_call(
                active, context, result, clock.now_ms() - started_ms
            )

    async def _run_at_backend(
        self, active: ActiveCall, context: contexts.Context
    ) -> CallResult:
        """Run a call at the backend server and send its answer."""
        connections = self._backend.connections
        if connections is None:
            return CallResult(
                Outcome.REFUSED, "no_backend", "connect", "", None
            )
        try:
            with anyio.fail_after(self._time_limit_s(active)):
                async with backend_request.send(
                    connections, active.call, active.stream, context
                ) as answer:
                    return await self._relay_answer(active, context, answer)
        except backend_errors.BackendError as error:
            return self._on_backend_error(connections, error)
        except backend_request.ExpiredError:
            return CallResult(Outcome.REFUSED, "deadline", "forward", "", None)
        except streams.BodyError as error:
            return CallResult(
                Outcome.UNKNOWN, "body_cut", error.step, error.peer, None
            )
        except TimeoutError:
            return CallResult(
                Outcome.UNKNOWN, "deadline", "serve", connections.address, None
            )

    def _time_limit_s(self, active: ActiveCall) -> float | None:
        # A non-idempotent request that has started is not cancelled at its
        # deadline, because its outcome would stay unknown. The backend server
        # is told the deadline, and the caller can ask for the outcome later.
        if active.key is not None:
            return None
        remaining_ms = active.call.expires_ms - clock.now_ms()
        return max(0.0, remaining_ms / clock.MS_PER_S)

    def _on_error(
        self, active: ActiveCall, step: str, error: Exception
    ) -> CallResult:
        """Log an unexpected error and return the result of its call.

        The error ends only this call, not the node.
        """
        if isinstance(error, invariants.InvariantError):
            raise error
        self.counts["errors"] += 1
        log.event(
            "call_error",
            level="ERROR",
            step=step,
            peer=active.stream.peer,
            request_id=active.call.request_id,
            error=repr(error),
        )
        return CallResult(
            Outcome.UNKNOWN, INTERNAL_ERROR, step, self._node_id, None
        )

    def _on_backend_error(
        self,
        connections: pool.ConnectionPool,
        error: backend_errors.BackendError,
    ) -> CallResult:
        if error.step == "connect":
            self._backend.on_unreachable(connections)
        outcome = Outcome.UNKNOWN if error.was_sent else Outcome.REFUSED
        reason = "backend_lost" if error.was_sent else "backend_unreachable"
        return CallResult(outcome, reason, error.step, error.peer, None)

    async def _relay_answer(
        self,
        active: ActiveCall,
        context: contexts.Context,
        answer: backend_request.WholeAnswer | backend_request.LongAnswer,
    ) -> CallResult:
        head = answer.head
        if backend_request.is_refusal(head):
            return CallResult(
                Outcome.REFUSED, "backend_shed", "serve", "", None
            )
        failed = backend_request.is_failure(head)
        outcome = Outcome.FAILED if failed else Outcome.COMPLETED
        reason = _failure_reason(head) if failed else ""
        kept_answer: outcomes.KeptAnswer | None = None
        if isinstance(answer, backend_request.WholeAnswer):
            kept_answer = outcomes.KeptAnswer(
                head.status, head.headers, answer.body
            )
            self._send_answer(
                active.stream, outcome, kept_answer, context.pool.used
            )
        else:
            await self._relay_long_answer(
                active, context.pool.used, answer, outcome
            )
        return CallResult(outcome, reason, "serve", "", kept_answer)

    def _send_answer(
        self,
        stream: server.ServerStream,
        outcome: Outcome,
        answer: outcomes.KeptAnswer,
        allowance_used: int,
    ) -> None:
        self._reply(
            stream,
            messages.Answer(
                stream.number,
                outcome,
                answer.status,
                answer.headers,
                allowance_used,
                self.load,
                len(answer.body),
                True,
            ),
            answer.body,
        )

    async def _relay_long_answer(
        self,
        active: ActiveCall,
        allowance_used: int,
        answer: backend_request.LongAnswer,
        outcome: Outcome,
    ) -> None:
        stream = active.stream
        head = messages.Answer(
            stream.number,
            outcome,
            answer.head.status,
            answer.head.headers,
            allowance_used,
            self.load,
            answer.length,
            False,
        )
        stream.outgoing_body.open(answer.first)
        is_accepted = stream.reply(head, answer.first)
        # The answer is read to its end even if the entry node accepts no more
        # of it, since only a whole answer shows the outcome of the request.
        async for part in answer.rest:
            if is_accepted:
                is_accepted = await self._write_part(active, part)
        if is_accepted:
            is_accepted = await _finish_body(stream)
        if not is_accepted:
            self._reply(
                stream,
                messages.Failed(
                    stream.number,
                    outcome,
                    "answer_not_kept",
                    "send answer",
                    stream.peer,
                    allowance_used,
                    self.load,
                ),
            )

    async def _write_part(self, active: ActiveCall, part: bytes) -> bool:
        """Send a part of an answer; False if it is not accepted in time."""
        remaining_ms = max(0, active.call.expires_ms - clock.now_ms())
        # A caller that stops reading must not hold the slot for ever.
        with anyio.move_on_after(remaining_ms / clock.MS_PER_S):
            try:
                await active.stream.outgoing_body.write(part)
            except streams.BodyError:
                return False
            return True
        return False

    def _end_call(
        self,
        active: ActiveCall,
        context: contexts.Context,
        result: CallResult,
        service_ms: int,
    ) -> None:
        self._active.pop(active.number, None)
        self._running.discard(active.number)
        self._cancellation_reasons.pop(active.number, None)
        active.report.add_step(
            result.step, result.peer, result.outcome, result.reason
        )
        try:
            if result.outcome is Outcome.REFUSED:
                self._refuse(active, result.reason, result.step, 0)
            else:
                self._record_result(active, context.pool.used, result)
        finally:
            active.stream.close()
            self._release_slot(active, result, service_ms)

    def _release_slot(
        self, active: ActiveCall, result: CallResult, service_ms: int
    ) -> None:
        """Free the slot of a call that has ended."""
        assert self._admission is not None
        # A failed downstream call makes this backend server answer with an
        # error. That says nothing about its own load, and a lower limit
        # would not help, so a failure counts as success unless it reports
        # overload.
        is_ok = result.outcome is Outcome.COMPLETED or (
            result.outcome is Outcome.FAILED
            and result.reason != BACKEND_OVERLOADED
        )
        decisions = self._admission.release(
            active.number, clock.now_ms(), is_ok, service_ms
        )
        self._apply_decisions(decisions)

    def _record_result(
        self, active: ActiveCall, allowance_used: int, result: CallResult
    ) -> None:
        """Record the result of a call and send it to its waiters.

        The call itself gets a reply here only if its outcome is unknown.
        """
        self.counts[str(result.outcome)] += 1
        stream = active.stream
        if active.key is not None:
            kept_answer = result.answer
            if (
                kept_answer is not None
                and _headers_size(kept_answer.headers) > KEPT_HEADERS_BYTES
            ):
                kept_answer = None
            decision = self._records.finish(
                active.key,
                result.outcome,
                result.reason,
                kept_answer,
                clock.now_ms(),
            )
            self._answer_waiters(active.key, decision)
        if result.outcome is Outcome.UNKNOWN:
            stream.outgoing_body.fail(result.reason)
            self._reply(
                stream,
                messages.Failed(
                    stream.number,
                    result.outcome,
                    result.reason,
                    result.step,
                    result.peer,
                    allowance_used,
                    self.load,
                ),
            )

    def _answer_waiters(
        self, key: outcomes.IssuedKey, decision: outcomes.Decision
    ) -> None:
        # Copied, since a cancellation that arrives during a reply changes
        # the list.
        for waiter in tuple(self._waiters.pop(key.serial, ())):
            self._answer_recorded(waiter, decision)

    def _refuse(
        self, active: ActiveCall, reason: str, step: str, retry_after_ms: int
    ) -> None:
        """Refuse a call that certainly did not run."""
        self.counts["refused"] += 1
        successor = ""
        if active.key is not None:
            # Recorded before it is sent, so that a delayed copy cannot run.
            decision = self._records.refuse(
                active.key,
                clock.now_ms(),
                reason,
                active.call.successor,
                is_runner=True,
            )
            successor = self._successor_of(decision)
            self._answer_waiters(active.key, decision)
        active.report.add_step(step, active.stream.peer, "refused", reason)
        self._send_refusal(
            active.stream, reason, step, retry_after_ms, successor
        )

    def _successor_of(self, decision: outcomes.Decision) -> str:
        if isinstance(decision, outcomes.Moved):
            return decision.successor
        is_refused = (
            isinstance(decision, outcomes.Finished)
            and decision.outcome is Outcome.REFUSED
        )
        invariants.check(is_refused, "refusal_is_recorded")
        return ""

    def _send_refusal(
        self,
        stream: server.ServerStream,
        reason: str,
        step: str,
        retry_after_ms: int = 0,
        successor: str = "",
    ) -> None:
        load = self.load
        hint_ms = retry_after_ms
        if not hint_ms and reason in _HINT_REASONS:
            hint_ms = load.retry_after_ms
        self._reply(
            stream,
            messages.Refused(
                stream.number, reason, step, hint_ms, successor, load
            ),
        )
        stream.close()

    def _reply(
        self, stream: server.ServerStream, message: Any, body: bytes = b""
    ) -> None:
        """Send a reply; retry later if the connection's queue is full."""
        if stream.reply(message, body):
            return
        self.counts["replies_delayed"] += 1
        assert self._tasks is not None
        self._tasks.start_soon(self._reply_later, stream, message, body)

    async def _reply_later(
        self, stream: server.ServerStream, message: Any, body: bytes
    ) -> None:
        for _ in range(MAX_RESENDS):
            await clock.sleep_ms(RESEND_INTERVAL_MS)
            if stream.reply(message, body):
                return
        self.counts["replies_lost"] += 1
        # Common after the loss of a session, of which the entry node has told
        # its caller.
        log.event("reply_lost", level="DEBUG", step="reply", peer=stream.peer)

    def _answer_recorded(
        self, stream: server.ServerStream, decision: outcomes.Decision
    ) -> None:
        """Answer a repeated call from the record of its key."""
        if isinstance(decision, outcomes.Moved):
            self._send_refusal(
                stream, "moved", "record", 0, decision.successor
            )
            return
        invariants.check(
            isinstance(decision, outcomes.Finished), "record_is_final"
        )
        assert isinstance(decision, outcomes.Finished)
        if decision.outcome is Outcome.REFUSED:
            self._send_refusal(stream, decision.reason, "record")
        elif decision.answer is not None:
            self._send_answer(stream, decision.outcome, decision.answer, 0)
            stream.close()
        else:
            reason = decision.reason or "answer_not_kept"
            self._reply(
                stream,
                messages.Failed(
                    stream.number,
                    decision.outcome,
                    reason,
                    "record",
                    self._node_id,
                    0,
                    self.load,
                ),
            )
            stream.close()

    def _on_cancel(self, number: int, reason: str, is_lost: bool) -> None:
        """Refuse or cancel a call that its sender has cancelled.

        A non-idempotent call that has started continues, since its caller may
        ask for the outcome. One that is queued is refused, unless its caller
        has sent it again and the copy waits for the outcome.
        """
        active = self._active.get(number)
        if active is None:
            return
        log.event(
            "call_cancelled",
            level="DEBUG",
            request_id=active.call.request_id,
            reason=reason,
            is_lost=is_lost,
        )
        if number in self._running:
            if active.key is None:
                active.scope.cancel()
            return
        if not self._is_awaited(active):
            self._leave_queue(active, "cancelled")

    def _is_awaited(self, active: ActiveCall) -> bool:
        if active.key is None or not active.call.last:
            return False
        return bool(self._waiters.get(active.key.serial))

    def _leave_queue(self, active: ActiveCall, reason: str) -> None:
        """Refuse a queued call."""
        assert self._admission is not None
        del self._active[active.number]
        # Done before the reply, during which other messages are handled.
        decisions = self._admission.cancel(active.number, clock.now_ms())
        self._apply_decisions(decisions)
        self._refuse(active, reason, "queue", 0)
        self._signal_if_idle()

    async def _cancel_replaced(self, numbers: set[int]) -> None:
        await clock.sleep_ms(REPLACED_GRACE_MS)
        for number in numbers & self._running:
            self._cancellation_reasons[number] = "backend_lost"
            self._active[number].scope.cancel()

    def _signal_if_idle(self) -> None:
        if not self._active:
            self._became_idle.set()


def _failure_reason(head: connection.Head) -> str:
    is_overloaded = head.status == OVERLOADED_STATUS
    return BACKEND_OVERLOADED if is_overloaded else "backend_failed"


async def _send_parts(stream: server.ServerStream, parts: list[bytes]) -> None:
    try:
        for part in parts:
            await stream.outgoing_body.write(part)
        await stream.outgoing_body.finish()
    except streams.BodyError as error:
        log.event(
            "configuration_not_sent",
            level="DEBUG",
            step=error.step,
            peer=error.peer,
            reason=error.reason,
        )
    finally:
        stream.close()


async def _finish_body(stream: server.ServerStream) -> bool:
    """Send the end of an answer; False if it cannot be sent."""
    try:
        await stream.outgoing_body.finish()
    except streams.BodyError:
        return False
    return True


def _remove_waiter(
    waiters: list[server.ServerStream], stream: server.ServerStream
) -> None:
    if stream in waiters:
        waiters.remove(stream)


def _headers_size(headers: Iterable[tuple[str, str]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _key_state(decision: outcomes.Decision) -> tuple[str, str, str]:
    if isinstance(decision, outcomes.Moved):
        return "moved", "moved", decision.successor
    if isinstance(decision, outcomes.Finished):
        return str(decision.outcome), decision.reason, ""
    return "running", "", ""
