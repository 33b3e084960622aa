"""Owner's side of a call: admission, outcome records and the backend server.

The owner alone decides whether a request to its endpoint runs.
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
from clementinekeel.daemon import contexts
from clementinekeel.daemon import serving
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

QUEUE_CHECK_MS = 50
"""Longest delay of a refusal whose time has come."""
_HINTED = frozenset({"backend_shed", "deadline"})
"""Reasons that will hold for a while; after others, another endpoint can be
tried at once."""
BACKEND_OVERLOADED = "backend_overloaded"
OVERLOADED_STATUS = 503
KEPT_HEADERS_BYTES = 4 * 1024
RESEND_INTERVAL_MS = 100
RESENDS = 10
"""Further attempts at a reply that did not fit into the connection's queue;
without them the caller would wait for its deadline and be told ``unknown``."""
REPLACED_GRACE_MS = 10_000
"""Time for a backend server that was replaced to end what it still runs. A VM
that vanished closes no connection, so its requests would hold slots for ever.
"""
INTERNAL_ERROR = "internal_error"
_READY_STATES = frozenset(
    {backend.BackendState.READY, backend.BackendState.DRAINING}
)

Outcome = outcomes.Outcome


class Served(NamedTuple):
    """A call that waits for a slot or runs.

    Attributes
    ----------
    number : int
        Identifies the call in the admission controller.
    key : IssuedKey or None
        None for an idempotent call.
    scope : anyio.CancelScope
        Cancels the work at the backend server.
    report : trail.Report
        Decisions, for operators.
    """

    number: int
    stream: server.ServerStream
    call: messages.Call
    key: outcomes.IssuedKey | None
    scope: anyio.CancelScope
    report: trail.Report


class Result(NamedTuple):
    """How a call that had a slot ended."""

    outcome: Outcome
    reason: str
    step: str
    peer: str
    answer: outcomes.KeptAnswer | None


class Owner:
    """Handles calls of other nodes to the backend server beside this one.

    Parameters
    ----------
    node_id : str
        Id of this node.
    backend_server : backend.BackendServer
        The backend server.
    issuer : keys.KeyIssuer
        Parses keys.
    outcome_records : records.OutcomeRecords
        Records of keys.
    served_contexts : contexts.Contexts
        Requests being served, for onward calls.
    decisions : trail.DecisionTrail
        Remembers recent decisions for operators.
    read_configuration : Callable
        Returns version and bytes of the configuration in force, given the
        version that the asking node has.
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
        self._numbers = itertools.count(1)
        self._served: dict[int, Served] = {}
        self._running: set[int] = set()
        self._cancel_reasons: dict[int, str] = {}
        self._waiters: dict[bytes, list[server.ServerStream]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._became_idle = anyio.Event()
        self._became_queued = anyio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether no call waits or runs."""
        return not self._served

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._served) - len(self._running)

    @property
    def load(self) -> messages.Load:
        """What the endpoint admits at present."""
        if self._admission is None:
            return messages.Load(0, 1.0, 0)
        return messages.Load(*self._admission.level(clock.now_ms()))

    @property
    def limit(self) -> int:
        """Present concurrency limit."""
        if self._admission is None:
            return 0
        return self._admission.limit(clock.now_ms())

    def set_admission(
        self, admission_controller: controller.AdmissionController
    ) -> None:
        """Use an admission controller; only while no call is served."""
        self._admission = admission_controller

    def set_slots(self, slots: int, objective: model.Objective) -> None:
        """Follow the slots of the backend server and the objective."""
        if self._admission is not None:
            self._admission.set_slots(slots)
            self._admission.set_objective(objective, clock.now_ms())

    def start_ramp(self) -> None:
        """Let the limit rise slowly, since the backend server starts cold."""
        if self._admission is not None:
            self._admission.start_ramp(clock.now_ms())

    def set_leaving(self, is_leaving: bool) -> None:
        """Refuse new calls, or take them again."""
        self._is_leaving = is_leaving

    async def run(self) -> None:
        """Run the calls' tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._became_queued = anyio.Event()
                await self._became_queued.wait()
                while self.queued and self._admission is not None:
                    await clock.sleep_ms(QUEUE_CHECK_MS)
                    self._apply(self._admission.expire(clock.now_ms()))

    async def wait_idle(self) -> None:
        """Wait until no call waits or runs."""
        while self._served:
            self._became_idle = anyio.Event()
            await self._became_idle.wait()

    def end_all(self) -> None:
        """Refuse what waits and end what runs, since the node ends."""
        self._is_leaving = True
        for number, served in list(self._served.items()):
            if number in self._running:
                self._cancel_reasons[number] = "stopped"
                served.scope.cancel()
            elif number in self._served:
                self._leave_queue(served, "leaving")

    def on_new_instance(self) -> None:
        """Bound the time of what still runs at the instance before."""
        if self._running and self._tasks is not None:
            self._tasks.start_soon(self._end_replaced, set(self._running))

    def on_call(self, stream: server.ServerStream) -> None:
        """Take a call: refuse, answer from the record, queue or run it."""
        call: messages.Call = stream.request
        self.counts["calls"] += 1
        key: outcomes.IssuedKey | None = None
        if not call.idempotent:
            key = self._issuer.parse(call.key, stream.peer).value_or(None)
            if key is None:
                self._send_refusal(stream, "bad_key", "parse key")
                return
            if not self._begin(stream, key):
                return
        self._admit(stream, call, key)

    def on_inquire(self, stream: server.ServerStream) -> None:
        """Answer an inquiry about a key."""
        inquiry: messages.Inquire = stream.request
        key = self._issuer.parse(inquiry.key, stream.peer).value_or(None)
        state, reason, moved = str(Outcome.UNKNOWN), "bad_key", ""
        if key is not None:
            decision = self._records.inquire(key, clock.now_ms())
            state, reason, moved = _describe(decision)
        self._reply(
            stream, messages.Record(stream.number, state, reason, moved)
        )
        stream.close()

    def on_configuration_request(self, stream: server.ServerStream) -> None:
        """Send the configuration in force if it is newer."""
        request: messages.ConfigurationRequest = stream.request
        version, parts = self._read_configuration(request.version)
        reply = messages.ConfigurationReply(stream.number, version)
        if not stream.reply(reply):
            # The other node asks again after its time-out.
            stream.close()
            return
        assert self._tasks is not None
        self._tasks.start_soon(_send_parts, stream, parts)

    def _begin(
        self, stream: server.ServerStream, key: outcomes.IssuedKey
    ) -> bool:
        """Tell whether the call may run; otherwise answer from the record."""
        decision = self._records.begin(key, clock.now_ms())
        if isinstance(decision, outcomes.Run):
            return True
        self.counts["repeated"] += 1
        if isinstance(decision, outcomes.Wait):
            waiters = self._waiters.setdefault(key.serial, [])
            waiters.append(stream)
            stream.on_cancel = lambda reason, is_lost: _remove(waiters, stream)
        else:
            self._answer_recorded(stream, decision)
        return False

    def _admit(
        self,
        stream: server.ServerStream,
        call: messages.Call,
        key: outcomes.IssuedKey | None,
    ) -> None:
        number = next(self._numbers)
        report = self._trail.open_report(
            call.request_id,
            call.service,
            f"{call.method} {call.path}",
            call.request_class,
            call.rank,
            call.idempotent,
        )
        served = Served(number, stream, call, key, anyio.CancelScope(), report)
        reason = self._reason_to_refuse(call, key)
        if reason or self._admission is None:
            self._refuse(served, reason or "no_backend", "accept", 0)
            return
        self._served[number] = served
        stream.on_cancel = lambda reason, is_lost: self._on_cancel(
            number, reason, is_lost
        )
        offer = admission.Offer(number, call.rank, call.expires_ms)
        try:
            decisions = self._admission.offer(offer, clock.now_ms())
        except Exception as error:
            self._served.pop(number, None)
            result = self._on_error(served, "admit", error)
            self._finish(served, 0, result)
            stream.close()
            return
        self._apply(decisions)

    def _reason_to_refuse(
        self, call: messages.Call, key: outcomes.IssuedKey | None
    ) -> str:
        if self._is_leaving:
            return "leaving"
        if self._backend.state not in _READY_STATES:
            return "no_backend"
        # The sender's view of this node may be older than the key.
        endpoint = key.endpoint if key is not None else call.endpoint
        if endpoint != self._backend.endpoint:
            return "wrong_endpoint"
        if clock.now_ms() >= call.expires_ms:
            return "deadline"
        return ""

    def _apply(self, decisions: Iterable[admission.Decision]) -> None:
        # Sending a reply also handles messages that have arrived, such as a
        # cancellation of a request decided here. So the state follows all
        # decisions before the first reply.
        refused: list[tuple[Served, admission.Refuse]] = []
        for decision in decisions:
            if isinstance(decision, admission.Admit):
                self._start(self._served[decision.stream])
            elif isinstance(decision, admission.Refuse):
                refused.append((self._served.pop(decision.stream), decision))
            else:
                self._became_queued.set()
        for served, refusal in refused:
            self._refuse(
                served, refusal.reason, "admit", refusal.retry_after_ms
            )
        self._note_idle()

    def _start(self, served: Served) -> None:
        assert self._tasks is not None
        self._running.add(served.number)
        self._tasks.start_soon(self._run_call, served)

    async def _run_call(self, served: Served) -> None:
        started_ms = clock.now_ms()
        context = self._contexts.open(
            served.call.request_id,
            served.call.rank,
            served.call.expires_ms,
            served.call.allowance,
        )
        result = Result(Outcome.UNKNOWN, "stopped", "serve", "", None)
        try:
            with served.scope:
                result = await self._exchange(served, context)
            if served.scope.cancelled_caught:
                reason = self._cancel_reasons.get(served.number, "cancelled")
                result = Result(Outcome.UNKNOWN, reason, "serve", "", None)
        except Exception as error:
            result = self._on_error(served, "serve", error)
        finally:
            self._contexts.close(context)
            self._end(served, context, result, clock.now_ms() - started_ms)

    async def _exchange(
        self, served: Served, context: contexts.Context
    ) -> Result:
        """Run a call at the backend server and send its answer."""
        connections = self._backend.connections
        if connections is None:
            return Result(Outcome.REFUSED, "no_backend", "connect", "", None)
        try:
            with anyio.fail_after(self._time_limit_s(served)):
                async with serving.exchange(
                    connections, served.call, served.stream, context
                ) as answer:
                    return await self._relay(served, context, answer)
        except backend_errors.BackendError as error:
            return self._backend_failed(connections, error)
        except serving.ExpiredError:
            return Result(Outcome.REFUSED, "deadline", "forward", "", None)
        except streams.BodyError as error:
            return Result(
                Outcome.UNKNOWN, "body_cut", error.step, error.peer, None
            )
        except TimeoutError:
            return Result(
                Outcome.UNKNOWN, "deadline", "serve", connections.address, None
            )

    def _time_limit_s(self, served: Served) -> float | None:
        # A non-idempotent request that has started is not cancelled at its
        # deadline: its outcome would stay unknown, while the backend server
        # is told the deadline and the caller can ask again.
        if served.key is not None:
            return None
        remaining_ms = served.call.expires_ms - clock.now_ms()
        return max(0.0, remaining_ms / clock.MS_PER_S)

    def _on_error(self, served: Served, step: str, error: Exception) -> Result:
        """Return the result of a call that met an unexpected error.

        It ends this call only; the node goes on.
        """
        if isinstance(error, invariants.InvariantError):
            raise error
        self.counts["errors"] += 1
        log.event(
            "call_error",
            level="ERROR",
            step=step,
            peer=served.stream.peer,
            request_id=served.call.request_id,
            error=repr(error),
        )
        return Result(
            Outcome.UNKNOWN, INTERNAL_ERROR, step, self._node_id, None
        )

    def _backend_failed(
        self,
        connections: pool.ConnectionPool,
        error: backend_errors.BackendError,
    ) -> Result:
        if error.step == "connect":
            self._backend.on_unreachable(connections)
        outcome = Outcome.UNKNOWN if error.was_sent else Outcome.REFUSED
        reason = "backend_lost" if error.was_sent else "backend_unreachable"
        return Result(outcome, reason, error.step, error.peer, None)

    async def _relay(
        self,
        served: Served,
        context: contexts.Context,
        answer: serving.WholeAnswer | serving.LongAnswer,
    ) -> Result:
        head = answer.head
        if serving.is_refusal(head):
            return Result(Outcome.REFUSED, "backend_shed", "serve", "", None)
        failed = serving.is_failure(head)
        outcome = Outcome.FAILED if failed else Outcome.COMPLETED
        reason = _failure_reason(head) if failed else ""
        kept: outcomes.KeptAnswer | None = None
        if isinstance(answer, serving.WholeAnswer):
            kept = outcomes.KeptAnswer(head.status, head.headers, answer.body)
            self._send_answer(served.stream, outcome, kept, context.pool.used)
        else:
            await self._relay_long(served, context.pool.used, answer, outcome)
        return Result(outcome, reason, "serve", "", kept)

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

    async def _relay_long(
        self,
        served: Served,
        allowance_used: int,
        answer: serving.LongAnswer,
        outcome: Outcome,
    ) -> None:
        stream = served.stream
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
        is_wanted = stream.reply(head, answer.first)
        # The answer is read to its end even if nobody takes it: only then is
        # the outcome of the request known.
        async for part in answer.rest:
            if is_wanted:
                is_wanted = await self._write(served, part)
        if is_wanted:
            is_wanted = await _finish_body(stream)
        if not is_wanted:
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

    async def _write(self, served: Served, part: bytes) -> bool:
        """Send a part of an answer; False if it is not taken in time."""
        remaining_ms = max(0, served.call.expires_ms - clock.now_ms())
        # A caller that stops reading must not hold the slot for ever.
        with anyio.move_on_after(remaining_ms / clock.MS_PER_S):
            try:
                await served.stream.outgoing_body.write(part)
            except streams.BodyError:
                return False
            return True
        return False

    def _end(
        self,
        served: Served,
        context: contexts.Context,
        result: Result,
        service_ms: int,
    ) -> None:
        self._served.pop(served.number, None)
        self._running.discard(served.number)
        self._cancel_reasons.pop(served.number, None)
        served.report.add_step(
            result.step, result.peer, result.outcome, result.reason
        )
        try:
            if result.outcome is Outcome.REFUSED:
                self._refuse(served, result.reason, result.step, 0)
            else:
                self._finish(served, context.pool.used, result)
        finally:
            served.stream.close()
            self._release(served, result, service_ms)

    def _release(
        self, served: Served, result: Result, service_ms: int
    ) -> None:
        """Free the slot of a call that has ended."""
        assert self._admission is not None
        # A failed onward call makes this backend server answer with an
        # error. That says nothing about its own load, and a lower limit
        # would not help.
        is_ok = result.outcome is Outcome.COMPLETED or (
            result.outcome is Outcome.FAILED
            and result.reason != BACKEND_OVERLOADED
        )
        decisions = self._admission.release(
            served.number, clock.now_ms(), is_ok, service_ms
        )
        self._apply(decisions)

    def _finish(
        self, served: Served, allowance_used: int, result: Result
    ) -> None:
        """Record how a call ended, and tell all that wait for it."""
        self.counts[str(result.outcome)] += 1
        stream = served.stream
        if served.key is not None:
            kept = result.answer
            if kept is not None and _size(kept.headers) > KEPT_HEADERS_BYTES:
                kept = None
            decision = self._records.finish(
                served.key, result.outcome, result.reason, kept, clock.now_ms()
            )
            self._answer_waiters(served.key, decision)
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
        # Copied, since a cancellation that arrives meanwhile changes it.
        for waiter in tuple(self._waiters.pop(key.serial, ())):
            self._answer_recorded(waiter, decision)

    def _refuse(
        self, served: Served, reason: str, step: str, retry_after_ms: int
    ) -> None:
        """Refuse a call that certainly did not run."""
        self.counts["refused"] += 1
        moved = ""
        if served.key is not None:
            # Recorded before it is sent: a delayed copy must not run.
            decision = self._records.refuse(
                served.key,
                clock.now_ms(),
                reason,
                served.call.successor,
                is_runner=True,
            )
            moved = self._moved_by(decision)
            self._answer_waiters(served.key, decision)
        served.report.add_step(step, served.stream.peer, "refused", reason)
        self._send_refusal(served.stream, reason, step, retry_after_ms, moved)

    def _moved_by(self, decision: outcomes.Decision) -> str:
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
        moved: str = "",
    ) -> None:
        load = self.load
        hint = retry_after_ms
        if not hint and reason in _HINTED:
            hint = load.retry_after_ms
        self._reply(
            stream,
            messages.Refused(stream.number, reason, step, hint, moved, load),
        )
        stream.close()

    def _reply(
        self, stream: server.ServerStream, message: Any, body: bytes = b""
    ) -> None:
        """Send a reply, later if the connection's queue is full."""
        if stream.reply(message, body):
            return
        self.counts["replies_delayed"] += 1
        assert self._tasks is not None
        self._tasks.start_soon(self._reply_later, stream, message, body)

    async def _reply_later(
        self, stream: server.ServerStream, message: Any, body: bytes
    ) -> None:
        for _ in range(RESENDS):
            await clock.sleep_ms(RESEND_INTERVAL_MS)
            if stream.reply(message, body):
                return
        self.counts["replies_lost"] += 1
        # Usual after a session was lost: its client has told its caller.
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
        """Stop work that nobody waits for.

        A non-idempotent call that has started goes on, since its caller may
        ask for the outcome. One that is queued is refused, unless its caller
        has sent it again and that copy waits for the outcome.
        """
        served = self._served.get(number)
        if served is None:
            return
        log.event(
            "call_cancelled",
            level="DEBUG",
            request_id=served.call.request_id,
            reason=reason,
            is_lost=is_lost,
        )
        if number in self._running:
            if served.key is None:
                served.scope.cancel()
            return
        if not self._is_awaited(served):
            self._leave_queue(served, "cancelled")

    def _is_awaited(self, served: Served) -> bool:
        if served.key is None or not served.call.last:
            return False
        return bool(self._waiters.get(served.key.serial))

    def _leave_queue(self, served: Served, reason: str) -> None:
        """Refuse a queued call."""
        assert self._admission is not None
        del self._served[served.number]
        # Before the reply, during which other messages are handled.
        decisions = self._admission.cancel(served.number, clock.now_ms())
        self._apply(decisions)
        self._refuse(served, reason, "queue", 0)
        self._note_idle()

    async def _end_replaced(self, numbers: set[int]) -> None:
        await clock.sleep_ms(REPLACED_GRACE_MS)
        for number in numbers & self._running:
            self._cancel_reasons[number] = "backend_lost"
            self._served[number].scope.cancel()

    def _note_idle(self) -> None:
        if not self._served:
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
    """Send the end of an answer; False if the other node is gone."""
    try:
        await stream.outgoing_body.finish()
    except streams.BodyError:
        return False
    return True


def _remove(
    waiters: list[server.ServerStream], stream: server.ServerStream
) -> None:
    if stream in waiters:
        waiters.remove(stream)


def _size(headers: Iterable[tuple[str, str]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _describe(decision: outcomes.Decision) -> tuple[str, str, str]:
    if isinstance(decision, outcomes.Moved):
        return "moved", "moved", decision.successor
    if isinstance(decision, outcomes.Finished):
        return str(decision.outcome), decision.reason, ""
    return "running", "", ""
