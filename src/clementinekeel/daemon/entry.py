"""Entry node's part of a request: rules, endpoint, attempts and outcome.

The *entry node* receives the request of a caller. Each attempt is a call to
the *owner*, the node of the chosen endpoint (module ``owner``). A request
that is not idempotent runs under an idempotency key, which the entry node
issues in the owner's name if the caller has none. When an owner refuses such a
request, it may go on under a *successor*, a key that another node owns.
"""

import collections
from collections.abc import Callable
import random
from typing import NamedTuple

import anyio

from clementinekeel.callers import app as caller_app
from clementinekeel.callers import messages as callers
from clementinekeel.callers import problems
from clementinekeel.configuration import model
from clementinekeel.daemon import answers
from clementinekeel.daemon import attempt
from clementinekeel.daemon import contexts
from clementinekeel.daemon import directory as directories
from clementinekeel.daemon import plan as plans
from clementinekeel.nodes import messages
from clementinekeel.nodes import pool
from clementinekeel.nodes import session as node_session
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.retries import budget
from clementinekeel.retries import decisions
from clementinekeel.retries import messages as retries
from clementinekeel.routing import messages as routing
from clementinekeel.routing import router as routers
from clementinekeel.runtime import clock
from clementinekeel.runtime import invariants
from clementinekeel.runtime import log
from clementinekeel.runtime import trail

Outcome = outcomes.Outcome

MAX_SUCCESSORS = 8
"""Successor keys followed for one request. A chain of successors is never
longer than the allowance of the requests that added to it."""
MAX_UNREACHABLE_NODES = 5
"""Unreachable nodes that are skipped before the caller gets a problem."""


class Policies(NamedTuple):
    """Settings of the entry node's decisions.

    Attributes
    ----------
    retry : str
        Registered name of the retry policy.
    key_lifetime_ms : int
        Time for which an issued key can be used.
    """

    retry: str
    key_lifetime_ms: int


class _Target(NamedTuple):
    """Endpoint of the next attempt, and the key, empty if idempotent."""

    candidate: routing.Candidate
    key: str


class _RequestState:
    """State of one request between its attempts."""

    def __init__(self, plan: plans.Plan, report: trail.Report) -> None:
        self.plan = plan
        self.report = report
        self.key = plan.request.key
        self.attempt_count = 0
        self.successor_count = 0
        self.unreachable_count = 0
        self.excluded_nodes: set[tuple[str, int]] = set()
        self.earlier_result: attempt.Answered | attempt.MayHaveRun | None = (
            None
        )
        """Result of the last earlier attempt that ran or may have run."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request runs without a key and an outcome record.

        An idempotent request that comes with a key runs under it, because an
        inquiry about the key would otherwise report that it did not run.
        """
        return self.plan.operation.idempotent and not self.plan.request.key

    @property
    def remaining_ms(self) -> int:
        """Time until the caller stops waiting."""
        return self.plan.expires_ms - clock.now_ms()


class Entry:
    """Runs the requests of callers; implements ``callers.app.RequestHandler``.

    Parameters
    ----------
    configuration : Callable
        Returns the configuration in force, or None.
    is_leaving : Callable
        Returns whether this node refuses new requests.
    directory : directories.Directory
        Finds the owners of keys and tells the router of endpoints.
    router : routers.Router
        Chooses endpoints.
    sessions : pool.SessionPool
        Sessions to other nodes.
    issuer : keys.KeyIssuer
        Issues and parses keys.
    retry_budget : budget.RetryBudget
        Bounds retries of this node.
    served_contexts : contexts.Contexts
        Requests that the local backend server is serving.
    policies : Policies
        Settings of the decisions.
    decision_trail : trail.DecisionTrail
        Remembers recent decisions for operators.
    random_source : random.Random
        Source of the jitter of retry delays.
    """

    def __init__(
        self,
        configuration: Callable[[], model.Configuration | None],
        is_leaving: Callable[[], bool],
        directory: directories.Directory,
        router: routers.Router,
        sessions: pool.SessionPool,
        issuer: keys.KeyIssuer,
        retry_budget: budget.RetryBudget,
        served_contexts: contexts.Contexts,
        policies: Policies,
        decision_trail: trail.DecisionTrail,
        random_source: random.Random,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.problem_counts: collections.Counter[str] = collections.Counter()
        self._configuration = configuration
        self._is_leaving = is_leaving
        self._directory = directory
        self._router = router
        self._sessions = sessions
        self._issuer = issuer
        self._budget = retry_budget
        self._served_contexts = served_contexts
        self._policies = policies
        self._trail = decision_trail
        self._random = random_source
        self._services: frozenset[str] = frozenset()
        self._services_configuration: model.Configuration | None = None

    def set_budget(self, retry_budget: budget.RetryBudget) -> None:
        """Replace the retry budget after a change of the rules."""
        self._budget = retry_budget

    async def call(
        self, request: callers.CallerRequest
    ) -> callers.CallerAnswer | callers.CallerProblem:
        """Run a request of a caller."""
        configuration = self._configuration()
        plan = plans.make(
            request,
            configuration,
            self._known_services(configuration),
            self._served_contexts,
            self._is_leaving(),
            clock.now_ms(),
        )
        if isinstance(plan, callers.CallerProblem):
            answer: callers.CallerAnswer | callers.CallerProblem = plan
        else:
            answer = await self._run_guarded(plan)
        self.counts[str(answer.outcome)] += 1
        if isinstance(answer, callers.CallerProblem):
            self.problem_counts[answer.reason] += 1
        return answer

    async def issue_key(
        self, service: str
    ) -> callers.KeyGrant | callers.CallerProblem:
        """Issue an idempotency key for a request to a service."""
        if service not in self._known_services(self._configuration()):
            return problems.refusal(
                404, "unknown_service", "no configuration has such a service"
            )
        expires_ms = clock.now_ms() + attempt.CONNECT_TIMEOUT_MS
        target = await self._new_target(service, 0, expires_ms, set())
        if isinstance(target, callers.CallerProblem):
            return target
        self._observe(target.candidate, None, 0)
        return callers.KeyGrant(target.key, self._policies.key_lifetime_ms)

    async def inquire(
        self, key: str
    ) -> callers.KeyState | callers.CallerProblem:
        """Return the outcome of a key or of the last of its successors."""
        expires_ms = clock.now_ms() + 2 * attempt.CONNECT_TIMEOUT_MS
        return await self._inquire_chain(key, expires_ms)

    async def _inquire_chain(
        self, key: str, expires_ms: int
    ) -> callers.KeyState | callers.CallerProblem:
        for _ in range(MAX_SUCCESSORS):
            found = self._owner_target(key)
            if isinstance(found, callers.CallerProblem):
                return found
            session = self._session_to(found.candidate)
            if not await attempt.connect(session, expires_ms):
                return answers.owner_unreachable(found.candidate.node_id, key)
            record = await _inquire(session, key, expires_ms)
            if record is None:
                return answers.owner_unreachable(found.candidate.node_id, key)
            if not record.moved:
                return callers.KeyState(record.state, record.reason)
            key = record.moved
        return answers.too_many_moves(key)

    async def _run_guarded(
        self, plan: plans.Plan
    ) -> callers.CallerAnswer | callers.CallerProblem:
        """Run a request; an unexpected error ends this request only."""
        try:
            return await self._run_plan(plan)
        except (
            caller_app.RequestError,
            caller_app.CallerGoneError,
            invariants.InvariantError,
        ):
            raise
        except Exception as error:
            self.counts["errors"] += 1
            log.event(
                "request_error",
                level="ERROR",
                step="attempt",
                peer="backend servers",
                request_id=plan.request.request_id,
                error=repr(error),
            )
            return callers.CallerProblem(
                Outcome.UNKNOWN,
                answers.HTTP_STATUS[Outcome.UNKNOWN],
                "internal_error",
                "the node met an unexpected error",
                "attempt",
                "backend servers",
                answers.RETRY_AFTER_MS,
                plan.request.key,
            )

    async def _run_plan(
        self, plan: plans.Plan
    ) -> callers.CallerAnswer | callers.CallerProblem:
        request = plan.request
        report = self._trail.open_report(
            request.request_id,
            request.service,
            plan.operation.name,
            plan.request_class,
            plan.rank,
            plan.operation.idempotent,
        )
        state = _RequestState(plan, report)
        answer = await self._run_in_context(state)
        report.set_outcome(answer.outcome)
        return answer

    async def _run_in_context(
        self, state: _RequestState
    ) -> callers.CallerAnswer | callers.CallerProblem:
        plan = state.plan
        if plan.context is None:
            return await self._attempt_all(state)
        # The answer if this request is cancelled because the request that
        # caused it has ended.
        answer: callers.CallerAnswer | callers.CallerProblem = (
            callers.CallerProblem(
                Outcome.UNKNOWN,
                504,
                "context_ended",
                "the request that caused this call has ended",
                "wait",
                "backend server",
                0,
                "",
            )
        )
        used: int | None = None
        scope = anyio.CancelScope()
        plan.context.downstream_scopes.add(scope)
        try:
            with scope:
                answer = await self._attempt_all(state)
                used = plan.allowance.used
        finally:
            plan.context.downstream_scopes.discard(scope)
            _release_reservation(plan, used)
        if answer.outcome is not Outcome.COMPLETED:
            # The nodes upstream must not add retries to those made here.
            plan.context.pool.exhaust()
        return answer

    async def _attempt_all(
        self, state: _RequestState
    ) -> callers.CallerAnswer | callers.CallerProblem:
        self._budget.on_first_attempt(state.plan.request.service)
        while True:
            target = await self._next_target(state)
            if isinstance(target, callers.CallerProblem):
                return self._prefer_earlier(state, target)
            result = await self._attempt(state, target)
            self._update_allowance(state, result)
            _record_decision(state, target, result)
            answer = await self._answer_or_retry(state, target, result)
            if answer is not None:
                return self._prefer_earlier(state, answer)

    def _prefer_earlier(
        self,
        state: _RequestState,
        answer: callers.CallerAnswer | callers.CallerProblem,
    ) -> callers.CallerAnswer | callers.CallerProblem:
        """Return the earlier result instead of a refusal, if there is one.

        A refusal of the last attempt would report that the request did not
        run, although an earlier attempt ran or may have run.
        """
        earlier_result = state.earlier_result
        if earlier_result is None or answer.outcome is not Outcome.REFUSED:
            return answer
        if isinstance(earlier_result, attempt.Answered):
            return answers.caller_answer(earlier_result, state.key)
        return answers.final_problem(state.key, earlier_result)

    async def _next_target(
        self, state: _RequestState
    ) -> _Target | callers.CallerProblem:
        plan = state.plan
        if state.is_idempotent:
            choice = self._choose_endpoint(
                plan.request.service, plan.rank, state.excluded_nodes
            )
            if isinstance(choice, routing.NoTarget):
                return answers.no_target(choice)
            return _Target(choice, "")
        if not state.key:
            target = await self._new_target(
                plan.request.service,
                plan.rank,
                plan.expires_ms,
                state.excluded_nodes,
            )
            if isinstance(target, _Target):
                state.key = target.key
            return target
        found = self._owner_target(state.key)
        if isinstance(found, callers.CallerProblem):
            return await self._with_new_key(found, plan)
        if found.candidate.service != plan.request.service:
            return problems.refusal(
                400, "bad_key", "the key was issued for another service"
            )
        self._router.record_attempt(found.candidate)
        return found

    async def _with_new_key(
        self, problem: callers.CallerProblem, plan: plans.Plan
    ) -> callers.CallerProblem:
        """Add a new key to the problem of a key that no node has issued."""
        if problem.reason != "bad_key":
            return problem
        grant = await self.issue_key(plan.request.service)
        if isinstance(grant, callers.KeyGrant):
            return problem._replace(key=grant.key)
        return problem

    async def _new_target(
        self,
        service: str,
        rank: int,
        expires_ms: int,
        exclude: set[tuple[str, int]],
    ) -> _Target | callers.CallerProblem:
        """Choose an endpoint that can be reached and issue a key for it."""
        tried = set(exclude)
        for _ in range(MAX_UNREACHABLE_NODES):
            choice = self._choose_endpoint(service, rank, tried)
            if isinstance(choice, routing.NoTarget):
                return answers.no_target(choice)
            session = self._session_to(choice)
            is_open: bool | None = None
            try:
                is_open = await attempt.connect(session, expires_ms)
            finally:
                if is_open is None:
                    self._observe(choice, None, 0)
            if is_open:
                return _Target(choice, self._issue_key(choice, session))
            self._observe(choice, attempt.unreachable(session), 0)
            tried.add((choice.node_id, choice.incarnation))
        return answers.no_target(
            routing.NoTarget("no_endpoint", answers.RETRY_AFTER_MS)
        )

    def _issue_key(
        self, candidate: routing.Candidate, session: node_session.Session
    ) -> str:
        return self._issuer.issue(
            candidate.service,
            candidate.endpoint,
            candidate.node_id,
            candidate.incarnation,
            session.peer_clock_ms + self._policies.key_lifetime_ms,
        )

    def _owner_target(self, key: str) -> _Target | callers.CallerProblem:
        parsed = self._issuer.parse(key).value_or(None)
        if parsed is None:
            return problems.refusal(
                400,
                "bad_key",
                "no node has issued this idempotency key; use the one in "
                "this answer",
            )
        owner = self._directory.owner(parsed)
        if owner is None and not self._directory.is_lost(parsed):
            return answers.owner_unreachable(parsed.node_id, key)
        if owner is None:
            return callers.CallerProblem(
                Outcome.UNKNOWN,
                answers.HTTP_STATUS[Outcome.UNKNOWN],
                "owner_lost",
                "the node that owned this key is gone",
                "find owner",
                parsed.node_id,
                0,
                key,
            )
        return _Target(owner, key)

    async def _attempt(
        self, state: _RequestState, target: _Target
    ) -> attempt.Result:
        started_ms = clock.now_ms()
        result: attempt.Result | None = None
        try:
            result = await self._send(state, target)
        finally:
            latency_ms = clock.now_ms() - started_ms
            self._observe(target.candidate, result, latency_ms)
        return result

    async def _send(
        self, state: _RequestState, target: _Target
    ) -> attempt.Result:
        plan = state.plan
        session = self._session_to(target.candidate)
        if not await attempt.connect(session, plan.expires_ms):
            return attempt.unreachable(session)
        state.attempt_count += 1
        self.counts["attempts"] += 1
        call = self._call_message(state, target)
        is_done = False
        try:
            result = await attempt.run(
                session, call, plan.request.body, plan.expires_ms
            )
            is_done = True
        finally:
            if not is_done:
                plan.allowance.on_lost()
        return result

    def _call_message(
        self, state: _RequestState, target: _Target
    ) -> messages.Call:
        plan = state.plan
        request = plan.request
        return messages.Call(
            stream=0,
            key=target.key,
            successor=self._successor(state, target),
            service=request.service,
            endpoint=target.candidate.endpoint,
            method=request.method,
            path=request.path,
            headers=request.headers,
            request_class=plan.request_class,
            rank=plan.rank,
            idempotent=state.is_idempotent,
            # Set when the message is sent.
            expires_ms=0,
            allowance=plan.allowance.grant(),
            request_id=request.request_id,
            length=_call_length(request.body),
            last=request.body.is_complete,
        )

    def _successor(self, state: _RequestState, target: _Target) -> str:
        """Issue the key under which a refused request may run elsewhere.

        Empty if there is none.
        """
        plan = state.plan
        service = plan.request.service
        if state.is_idempotent or plan.allowance.remaining < 1:
            return ""
        if self._budget.available(service) < 1:
            return ""
        current_node = (target.candidate.node_id, target.candidate.incarnation)
        choice = self._choose_endpoint(
            service, plan.rank, {*state.excluded_nodes, current_node}
        )
        if isinstance(choice, routing.NoTarget):
            return ""
        # Nothing is sent to the endpoint yet. An attempt there is counted by
        # ``record_attempt``, as for any key.
        self._observe(choice, None, 0)
        session = self._session_to(choice)
        # The expiry of a key is on its owner's clock, which is known only
        # while a session is open.
        if session.state is not node_session.State.OPEN:
            return ""
        return self._issue_key(choice, session)

    def _update_allowance(
        self, state: _RequestState, result: attempt.Result
    ) -> None:
        allowance = state.plan.allowance
        if isinstance(result, attempt.Answered):
            allowance.on_answer(result.answer.allowance_used)
        elif isinstance(result, attempt.NotRun):
            allowance.on_refused()
        elif result.allowance_used is None:
            allowance.on_lost()
        else:
            allowance.on_answer(result.allowance_used)

    async def _answer_or_retry(
        self, state: _RequestState, target: _Target, result: attempt.Result
    ) -> callers.CallerAnswer | callers.CallerProblem | None:
        """Return the caller's answer, or None if another attempt follows."""
        if isinstance(result, attempt.Answered):
            if result.answer.outcome is not Outcome.FAILED:
                return answers.caller_answer(result, target.key)
        elif isinstance(result, attempt.NotRun):
            if result.reason == "moved":
                return _follow_successor(state, result)
            if result.signal is routing.Signal.UNREACHABLE:
                return _skip_unreachable(state, target, result)
        decision = self._decide_retry(state, result)
        if isinstance(decision, retries.Stop):
            return await self._final_answer(state, target, result)
        if not isinstance(result, attempt.NotRun):
            state.earlier_result = result
        await self._prepare_retry(state, target, result, decision)
        return None

    async def _final_answer(
        self, state: _RequestState, target: _Target, result: attempt.Result
    ) -> callers.CallerAnswer | callers.CallerProblem:
        if isinstance(result, attempt.Answered):
            return answers.caller_answer(result, target.key)
        if isinstance(result, attempt.NotRun) and result.successor:
            result = await self._refuse_successor(result)
        return answers.final_problem(state.key, result)

    async def _refuse_successor(
        self, result: attempt.NotRun
    ) -> attempt.NotRun:
        """Have the owner of an untried successor key record a refusal.

        Another copy of the request may follow the record to the successor,
        so the caller may be told that the request did not run only after an
        inquiry has made the successor's owner record it as refused.
        """
        expires_ms = clock.now_ms() + attempt.LATE_ANSWER_MS
        key_state = await self._inquire_chain(result.successor, expires_ms)
        if isinstance(key_state, callers.CallerProblem):
            return result
        if key_state.state != Outcome.REFUSED:
            return result
        return result._replace(successor="")

    async def _prepare_retry(
        self,
        state: _RequestState,
        target: _Target,
        result: attempt.Result,
        decision: retries.RetryAfter,
    ) -> None:
        state.plan.allowance.try_consume()
        self.counts["retries"] += 1
        candidate = target.candidate
        state.excluded_nodes.add((candidate.node_id, candidate.incarnation))
        await clock.sleep_ms(decision.delay_ms)
        if isinstance(result, attempt.NotRun) and not state.is_idempotent:
            state.key = result.successor

    def _decide_retry(
        self, state: _RequestState, result: attempt.Result
    ) -> retries.Decision:
        plan = state.plan
        outcome, hint_ms, can_repeat = _retry_inputs(state, result)
        if not (can_repeat and plan.request.body.is_repeatable):
            return retries.Stop("not_repeatable")
        return decisions.decide(
            retries.Attempt(
                service=plan.request.service,
                outcome=outcome,
                idempotent=state.is_idempotent,
                number=state.attempt_count,
                allowance=plan.allowance.remaining,
                grant_exhausted=plan.allowance.grant_exhausted,
                remaining_ms=state.remaining_ms,
                retry_after_ms=hint_ms,
            ),
            self._budget,
            self._random,
            self._policies.retry,
        )

    def _choose_endpoint(
        self, service: str, rank: int, exclude: set[tuple[str, int]]
    ) -> routing.Candidate | routing.NoTarget:
        self._directory.refresh(service)
        return self._router.choose(
            service, rank, clock.now_ms(), frozenset(exclude)
        )

    def _observe(
        self,
        candidate: routing.Candidate,
        result: attempt.Result | None,
        latency_ms: float,
    ) -> None:
        """Report the result of an attempt to the router.

        The result is None if nothing was sent or the attempt was cancelled.
        """
        load: messages.Load | None = None
        if result is None:
            signal = routing.Signal.CANCELLED
        elif isinstance(result, attempt.Answered):
            signal, load = routing.Signal.ANSWERED, result.answer.load
        else:
            signal, load = result.signal, result.load
        if signal is routing.Signal.LEAVING:
            self._directory.on_leaving(candidate)
        load = load or messages.Load(0, 0.0, 0)
        self._router.observe(
            candidate,
            routing.Observation(
                signal, load.rank, load.load, load.retry_after_ms, latency_ms
            ),
            clock.now_ms(),
        )

    def _session_to(
        self, candidate: routing.Candidate
    ) -> node_session.Session:
        return self._sessions.get(
            candidate.address, candidate.node_id, candidate.incarnation
        )

    def _known_services(
        self, configuration: model.Configuration | None
    ) -> frozenset[str]:
        if configuration is not self._services_configuration:
            self._services_configuration = configuration
            services = (
                configuration.inventory.services if configuration else ()
            )
            self._services = frozenset(item.name for item in services)
        return self._services


def _record_decision(
    state: _RequestState, target: _Target, result: attempt.Result
) -> None:
    peer = target.candidate.endpoint
    if isinstance(result, attempt.Answered):
        state.report.add_step("attempt", peer, result.answer.outcome)
    elif isinstance(result, attempt.NotRun):
        state.report.add_step(result.step, peer, "refused", result.reason)
    else:
        state.report.add_step(result.step, peer, result.outcome, result.reason)


def _release_reservation(plan: plans.Plan, used: int | None) -> None:
    assert plan.context is not None
    assert plan.reservation is not None
    if used is None:
        plan.context.pool.mark_used(plan.reservation)
    else:
        plan.context.pool.release(plan.reservation, used)


async def _inquire(
    session: node_session.Session, key: str, expires_ms: int
) -> messages.Record | None:
    stream = session.open_stream()
    reply: node_session.Reply | None = None
    try:
        if session.send(messages.Inquire(stream.number, key)):
            limit_ms = max(0, expires_ms - clock.now_ms())
            with anyio.move_on_after(limit_ms / clock.MS_PER_S):
                reply = await stream.reply()
    finally:
        stream.close()
    if reply is None or not isinstance(reply.message, messages.Record):
        return None
    return reply.message


def _call_length(body: callers.Body) -> int:
    return len(body.first) if body.is_complete else body.length


def _retry_inputs(
    state: _RequestState, result: attempt.Result
) -> tuple[Outcome, int, bool]:
    """Return the outcome, the retry hint, and whether a retry is safe.

    A retry is safe if running the request again does no harm, or if it has a
    successor key.
    """
    if isinstance(result, attempt.NotRun):
        can_repeat = state.is_idempotent or bool(result.successor)
        return Outcome.REFUSED, result.retry_after_ms, can_repeat
    if isinstance(result, attempt.MayHaveRun):
        return result.outcome, 0, state.is_idempotent
    # A long answer has not arrived whole. It is passed on, not retried.
    can_repeat = state.is_idempotent and result.answer.last
    return result.answer.outcome, 0, can_repeat


def _follow_successor(
    state: _RequestState, result: attempt.NotRun
) -> callers.CallerProblem | None:
    """Continue under the successor that the record of the key names."""
    state.successor_count += 1
    state.key = result.successor
    if state.successor_count > MAX_SUCCESSORS:
        return answers.too_many_moves(result.successor)
    return None


def _skip_unreachable(
    state: _RequestState, target: _Target, result: attempt.NotRun
) -> callers.CallerProblem | None:
    """Exclude a node that cannot be reached, so that another one is chosen.

    Nothing was sent, so this adds no load and uses no allowance.
    """
    candidate = target.candidate
    state.excluded_nodes.add((candidate.node_id, candidate.incarnation))
    state.unreachable_count += 1
    if state.plan.request.key or state.successor_count:
        # An earlier attempt under this key may have reached the owner.
        return answers.owner_unreachable(target.candidate.node_id, target.key)
    if state.unreachable_count > MAX_UNREACHABLE_NODES:
        return answers.final_problem(state.key, result)
    # No caller has this key and nothing was sent under it.
    state.key = ""
    return None
