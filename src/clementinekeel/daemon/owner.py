"""Owner's side of a call: admission, outcome records and the backend server.

The owner alone decides whether a request to its endpoint runs.
"""

import collections
from collections.abc import Callable, Iterable
import itertools
from typing import NamedTuple

import anyio
import anyio.abc

from clementinekeel.admission import controller
from clementinekeel.admission import messages as admission
from clementinekeel.backends import errors as backend_errors
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
KEPT_HEADERS_BYTES = 4 * 1024

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

    def set_slots(self, slots: int) -> None:
        """Change the slots of the backend server."""
        if self._admission is not None:
            self._admission.set_slots(slots)

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

    def on_call(self, stream: server.ServerStream) -> None:
        """Take a call: refuse, answer from the record, queue or run it."""
        call: messages.Call = stream.request
        self.counts["calls"] += 1
        key: outcomes.IssuedKey | None = None
        if not call.idempotent:
            parsed = self._issuer.parse(call.key, stream.peer).value_or(None)
            if parsed is None or parsed.endpoint != call.endpoint:
                self._send_refusal(stream, "bad_key", "parse key")
                return
            key = parsed
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
        stream.reply(messages.Record(stream.number, state, reason, moved))
        stream.close()

    def on_configuration_request(self, stream: server.ServerStream) -> None:
        """Send the configuration in force if it is newer."""
        request: messages.ConfigurationRequest = stream.request
        version, parts = self._read_configuration(request.version)
        reply = messages.ConfigurationReply(stream.number, version)
        stream.reply(reply)
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
        report = self._trail.open(
            call.request_id,
            call.service,
            f"{call.method} {call.path}",
            call.request_class,
            call.rank,
            call.idempotent,
        )
        served = Served(number, stream, call, key, anyio.CancelScope(), report)
        reason = self._reason_to_refuse(call)
        if reason or self._admission is None:
            self._refuse(served, reason or "no_backend", "accept", 0)
            return
        self._served[number] = served
        stream.on_cancel = lambda reason, is_lost: self._on_cancel(
            number, reason, is_lost
        )
        offer = admission.Offer(number, call.rank, call.expires_ms)
        self._apply(self._admission.offer(offer, clock.now_ms()))

    def _reason_to_refuse(self, call: messages.Call) -> str:
        if self._is_leaving:
            return "leaving"
        if call.endpoint != self._backend.endpoint:
            return "wrong_endpoint"
        if self._backend.connections is None:
            return "no_backend"
        if clock.now_ms() >= call.expires_ms:
            return "deadline"
        return ""

    def _apply(self, decisions: Iterable[admission.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, admission.Admit):
                self._start(self._served[decision.stream])
            elif isinstance(decision, admission.Refuse):
                served = self._served.pop(decision.stream)
                self._refuse(
                    served, decision.reason, "admit", decision.retry_after_ms
                )
            else:
                self._became_queued.set()
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
                result = Result(
                    Outcome.UNKNOWN, "cancelled", "serve", "caller", None
                )
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
        call = served.call
        if not call.last:
            served.stream.invite_body()
        try:
            with anyio.fail_after(self._time_limit_s(served)):
                async with serving.exchange(
                    connections, call, served.stream.inflow, context
                ) as answer:
                    return await self._relay(served, context, answer)
        except backend_errors.BackendError as error:
            return self._backend_failed(error)
        except serving.ExpiredError:
            return Result(Outcome.REFUSED, "deadline", "forward", "", None)
        except streams.BodyError as error:
            return Result(
                Outcome.UNKNOWN, error.reason, error.step, error.peer, None
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

    def _backend_failed(self, error: backend_errors.BackendError) -> Result:
        if error.step == "connect":
            self._backend.on_unreachable()
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
        reason = "backend_failed" if failed else ""
        kept: outcomes.KeptAnswer | None = None
        if isinstance(answer, serving.WholeAnswer):
            kept = outcomes.KeptAnswer(head.status, head.headers, answer.body)
            self._send_answer(served.stream, outcome, kept, context.pool.used)
        else:
            await self._relay_long(served, context, answer, outcome)
        return Result(outcome, reason, "serve", "", kept)

    def _send_answer(
        self,
        stream: server.ServerStream,
        outcome: Outcome,
        answer: outcomes.KeptAnswer,
        allowance_used: int,
    ) -> None:
        stream.reply(
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
        context: contexts.Context,
        answer: serving.LongAnswer,
        outcome: Outcome,
    ) -> None:
        stream = served.stream
        stream.outflow.open(answer.first)
        stream.reply(
            messages.Answer(
                stream.number,
                outcome,
                answer.head.status,
                answer.head.headers,
                context.pool.used,
                self.load,
                answer.length,
                False,
            ),
            answer.first,
        )
        is_wanted = True
        async for part in answer.rest:
            if is_wanted:
                is_wanted = await _write(stream, part)
        # The end is sent only after the backend server's answer was whole.
        if is_wanted:
            await stream.outflow.finish()

    def _end(
        self,
        served: Served,
        context: contexts.Context,
        result: Result,
        service_ms: int,
    ) -> None:
        self._served.pop(served.number, None)
        self._running.discard(served.number)
        served.report.note(
            result.step, result.peer, result.outcome, result.reason
        )
        if result.outcome is Outcome.REFUSED:
            self._refuse(served, result.reason, result.step, 0)
        else:
            self._finish(served, context, result)
        served.stream.close()
        is_ok = result.outcome is Outcome.COMPLETED
        if self._admission is not None:
            decisions = self._admission.release(
                served.number, clock.now_ms(), is_ok, service_ms
            )
            self._apply(decisions)

    def _finish(
        self, served: Served, context: contexts.Context, result: Result
    ) -> None:
        self.counts[str(result.outcome)] += 1
        stream = served.stream
        if result.outcome is Outcome.UNKNOWN:
            stream.outflow.fail(result.reason)
            stream.reply(
                messages.Failed(
                    stream.number,
                    result.outcome,
                    result.reason,
                    result.step,
                    result.peer,
                    context.pool.used,
                    self.load,
                )
            )
        if served.key is None:
            return
        kept = result.answer
        if kept is not None and _size(kept.headers) > KEPT_HEADERS_BYTES:
            kept = None
        decision = self._records.finish(
            served.key, result.outcome, result.reason, kept, clock.now_ms()
        )
        for waiter in self._waiters.pop(served.key.serial, []):
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
                holder=True,
            )
            moved = self._moved_by(decision)
            for waiter in self._waiters.pop(served.key.serial, []):
                self._answer_recorded(waiter, decision)
        served.report.note(step, served.stream.peer, "refused", reason)
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
        stream.reply(
            messages.Refused(stream.number, reason, step, hint, moved, load)
        )
        stream.close()

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
            stream.reply(
                messages.Failed(
                    stream.number,
                    decision.outcome,
                    reason,
                    "record",
                    self._node_id,
                    0,
                    self.load,
                )
            )
            stream.close()

    def _on_cancel(self, number: int, reason: str, is_lost: bool) -> None:
        """Stop work that nobody waits for.

        A non-idempotent call that has started goes on, since its caller may
        ask for the outcome. One that is queued is refused, unless only the
        session is lost and its caller may have sent it again.
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
        del self._served[number]
        self._refuse(served, "cancelled", "queue", 0)
        if self._admission is not None:
            self._apply(self._admission.cancel(number, clock.now_ms()))
        self._note_idle()

    def _note_idle(self) -> None:
        if not self._served:
            self._became_idle.set()


async def _send_parts(stream: server.ServerStream, parts: list[bytes]) -> None:
    try:
        for part in parts:
            await stream.outflow.write(part)
        await stream.outflow.finish()
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


async def _write(stream: server.ServerStream, part: bytes) -> bool:
    """Send a part of an answer; False if the other node is gone."""
    try:
        await stream.outflow.write(part)
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
