"""Entry side of a call: rules, choice of the endpoint, attempts, outcome."""

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

MAX_MOVES = 8
"""Successor keys followed for one request; a chain is never longer than the
allowance of the requests that made it."""
MAX_UNREACHABLE = 5
"""Nodes tried in vain before the caller is told."""


class Policies(NamedTuple):
    """Registered names of the rules in use and related settings."""

    retry: str
    key_lifetime_ms: int


class _Target(NamedTuple):
    """Where the next attempt goes, and under which key."""

    candidate: routing.Candidate
    key: str


class _Progress:
    """What the attempts of one request have led to so far."""

    def __init__(self, plan: plans.Plan, report: trail.Report) -> None:
        self.plan = plan
        self.report = report
        self.key = plan.request.key
        self.attempts = 0
        self.moves = 0
        self.unreachable = 0
        self.exclude: set[tuple[str, int]] = set()
        self.earlier: attempt.Answered | attempt.MayHaveRun | None = None
        """Last attempt that ran or may have run, before a further one."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request is run without a record.

        A caller's key is always kept to, because an inquiry about it would
        otherwise say that the request did not run.
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
        Returns whether this node takes no new work.
    directory : directories.Directory
        Endpoints and nodes.
    router : routers.Router
        Chooses endpoints.
    sessions : pool.SessionPool
        Sessions to other nodes.
    issuer : keys.KeyIssuer
        Issues and parses keys.
    retry_budget : budget.RetryBudget
        Bounds retries of this node.
    served : contexts.Contexts
        Requests that the backend server is serving.
    policies : Policies
        Rules in use.
    decision_trail : trail.DecisionTrail
        Remembers recent decisions for operators.
    random_source : random.Random
        Jitter.
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
        served: contexts.Contexts,
        policies: Policies,
        decision_trail: trail.DecisionTrail,
        random_source: random.Random,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self._configuration = configuration
        self._is_leaving = is_leaving
        self._directory = directory
        self._router = router
        self._sessions = sessions
        self._issuer = issuer
        self._budget = retry_budget
        self._served = served
        self._policies = policies
        self._trail = decision_trail
        self._random = random_source
        self._services: frozenset[str] = frozenset()
        self._services_of: model.Configuration | None = None

    def set_budget(self, retry_budget: budget.RetryBudget) -> None:
        """Use another budget, since the rules have changed."""
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
            self._served,
            self._is_leaving(),
            clock.now_ms(),
        )
        if isinstance(plan, callers.CallerProblem):
            answer: callers.CallerAnswer | callers.CallerProblem = plan
        else:
            answer = await self._run_guarded(plan)
        self.counts[str(answer.outcome)] += 1
        if isinstance(answer, callers.CallerProblem):
            self.refusals[answer.reason] += 1
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
        """Return the outcome of a key, following its successors."""
        expires_ms = clock.now_ms() + 2 * attempt.CONNECT_TIMEOUT_MS
        return await self._inquire_chain(key, expires_ms)

    async def _inquire_chain(
        self, key: str, expires_ms: int
    ) -> callers.KeyState | callers.CallerProblem:
        for _ in range(MAX_MOVES):
            found = self._owner_of(key)
            if isinstance(found, callers.CallerProblem):
                return found
            session = self._session(found.candidate)
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
                answers.STATUS[Outcome.UNKNOWN],
                "internal_error",
                "the node met an unexpected error",
                "attempt",
                "backend servers",
                answers.RETRY_MS,
                plan.request.key,
            )

    async def _run_plan(
        self, plan: plans.Plan
    ) -> callers.CallerAnswer | callers.CallerProblem:
        request = plan.request
        report = self._trail.open(
            request.request_id,
            request.service,
            plan.operation.name,
            plan.request_class,
            plan.rank,
            plan.operation.idempotent,
        )
        progress = _Progress(plan, report)
        answer = await self._within_context(progress)
        report.end(answer.outcome)
        return answer

    async def _within_context(
        self, progress: _Progress
    ) -> callers.CallerAnswer | callers.CallerProblem:
        plan = progress.plan
        if plan.context is None:
            return await self._attempt_all(progress)
        # The end of the request that caused this one cancels it.
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
        plan.context.onward.add(scope)
        try:
            with scope:
                answer = await self._attempt_all(progress)
                used = plan.allowance.used
        finally:
            plan.context.onward.discard(scope)
            _return_draw(plan, used)
        if answer.outcome is not Outcome.COMPLETED:
            # The nodes above must not add their retries to those made here.
            plan.context.pool.exhaust()
        return answer

    async def _attempt_all(
        self, progress: _Progress
    ) -> callers.CallerAnswer | callers.CallerProblem:
        self._budget.on_first_attempt(progress.plan.request.service)
        while True:
            target = await self._next_target(progress)
            if isinstance(target, callers.CallerProblem):
                return self._with_earlier(progress, target)
            result = await self._attempt(progress, target)
            self._settle_allowance(progress, result)
            _note(progress, target, result)
            answer = await self._conclude(progress, target, result)
            if answer is not None:
                return self._with_earlier(progress, answer)

    def _with_earlier(
        self,
        progress: _Progress,
        answer: callers.CallerAnswer | callers.CallerProblem,
    ) -> callers.CallerAnswer | callers.CallerProblem:
        """Replace "not run" if an earlier attempt may have run."""
        earlier = progress.earlier
        if earlier is None or answer.outcome is not Outcome.REFUSED:
            return answer
        if isinstance(earlier, attempt.Answered):
            return answers.caller_answer(earlier, progress.key)
        return answers.final_problem(progress.key, earlier)

    async def _next_target(
        self, progress: _Progress
    ) -> _Target | callers.CallerProblem:
        plan = progress.plan
        if progress.is_idempotent:
            choice = self._choose(
                plan.request.service, plan.rank, progress.exclude
            )
            if isinstance(choice, routing.NoTarget):
                return answers.no_target(choice)
            return _Target(choice, "")
        if not progress.key:
            target = await self._new_target(
                plan.request.service,
                plan.rank,
                plan.expires_ms,
                progress.exclude,
            )
            if isinstance(target, _Target):
                progress.key = target.key
            return target
        found = self._owner_of(progress.key)
        if isinstance(found, callers.CallerProblem):
            return await self._with_fresh_key(found, plan)
        if found.candidate.service != plan.request.service:
            return problems.refusal(
                400, "bad_key", "the key was issued for another service"
            )
        self._router.record_attempt(found.candidate)
        return found

    async def _with_fresh_key(
        self, problem: callers.CallerProblem, plan: plans.Plan
    ) -> callers.CallerProblem:
        """Add a key that can be used instead of one no node issued."""
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
        for _ in range(MAX_UNREACHABLE):
            choice = self._choose(service, rank, tried)
            if isinstance(choice, routing.NoTarget):
                return answers.no_target(choice)
            session = self._session(choice)
            is_open: bool | None = None
            try:
                is_open = await attempt.connect(session, expires_ms)
            finally:
                if is_open is None:
                    self._observe(choice, None, 0)
            if is_open:
                return _Target(choice, self._issue(choice, session))
            self._observe(choice, attempt.unreachable(session), 0)
            tried.add((choice.node_id, choice.incarnation))
        return answers.no_target(
            routing.NoTarget("no_endpoint", answers.RETRY_MS)
        )

    def _issue(
        self, candidate: routing.Candidate, session: node_session.Session
    ) -> str:
        return self._issuer.issue(
            candidate.service,
            candidate.endpoint,
            candidate.node_id,
            candidate.incarnation,
            session.peer_clock_ms + self._policies.key_lifetime_ms,
        )

    def _owner_of(self, key: str) -> _Target | callers.CallerProblem:
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
                answers.STATUS[Outcome.UNKNOWN],
                "owner_lost",
                "the node that owned this key is gone",
                "find owner",
                parsed.node_id,
                0,
                key,
            )
        return _Target(owner, key)

    async def _attempt(
        self, progress: _Progress, target: _Target
    ) -> attempt.Result:
        started_ms = clock.now_ms()
        result: attempt.Result | None = None
        try:
            result = await self._send(progress, target)
        finally:
            latency_ms = clock.now_ms() - started_ms
            self._observe(target.candidate, result, latency_ms)
        return result

    async def _send(
        self, progress: _Progress, target: _Target
    ) -> attempt.Result:
        plan = progress.plan
        session = self._session(target.candidate)
        if not await attempt.connect(session, plan.expires_ms):
            return attempt.unreachable(session)
        progress.attempts += 1
        self.counts["attempts"] += 1
        call = self._call_message(progress, target)
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
        self, progress: _Progress, target: _Target
    ) -> messages.Call:
        plan = progress.plan
        request = plan.request
        return messages.Call(
            stream=0,
            key=target.key,
            successor=self._successor(progress, target),
            service=request.service,
            endpoint=target.candidate.endpoint,
            method=request.method,
            path=request.path,
            headers=request.headers,
            request_class=plan.request_class,
            rank=plan.rank,
            idempotent=progress.is_idempotent,
            # Set when the message is sent.
            expires_ms=0,
            allowance=plan.allowance.grant(),
            request_id=request.request_id,
            length=_body_length(request.body),
            last=request.body.is_complete,
        )

    def _successor(self, progress: _Progress, target: _Target) -> str:
        """Issue the key under which a refused request may run elsewhere."""
        plan = progress.plan
        service = plan.request.service
        if progress.is_idempotent or plan.allowance.remaining < 1:
            return ""
        if self._budget.available(service) < 1:
            return ""
        here = (target.candidate.node_id, target.candidate.incarnation)
        choice = self._choose(service, plan.rank, {*progress.exclude, here})
        if isinstance(choice, routing.NoTarget):
            return ""
        # Whether it is attempted is decided later, as for any key.
        self._observe(choice, None, 0)
        session = self._session(choice)
        # A key needs the other node's clock, so only nodes that this one
        # already talks to can be successors.
        if session.state is not node_session.State.OPEN:
            return ""
        return self._issue(choice, session)

    def _settle_allowance(
        self, progress: _Progress, result: attempt.Result
    ) -> None:
        allowance = progress.plan.allowance
        if isinstance(result, attempt.Answered):
            allowance.on_answer(result.answer.allowance_used)
        elif isinstance(result, attempt.NotRun):
            allowance.on_refused()
        elif result.allowance_used is None:
            allowance.on_lost()
        else:
            allowance.on_answer(result.allowance_used)

    async def _conclude(
        self, progress: _Progress, target: _Target, result: attempt.Result
    ) -> callers.CallerAnswer | callers.CallerProblem | None:
        """Return what the caller gets, or None before the next attempt."""
        if isinstance(result, attempt.Answered):
            if result.answer.outcome is not Outcome.FAILED:
                return answers.caller_answer(result, target.key)
        elif isinstance(result, attempt.NotRun):
            if result.reason == "moved":
                return _follow(progress, result)
            if result.signal is routing.Signal.UNREACHABLE:
                return _skip_unreachable(progress, target, result)
        decision = self._decide(progress, result)
        if isinstance(decision, retries.Stop):
            return await self._give_up(progress, target, result)
        if not isinstance(result, attempt.NotRun):
            progress.earlier = result
        await self._prepare_retry(progress, target, result, decision)
        return None

    async def _give_up(
        self, progress: _Progress, target: _Target, result: attempt.Result
    ) -> callers.CallerAnswer | callers.CallerProblem:
        if isinstance(result, attempt.Answered):
            return answers.caller_answer(result, target.key)
        if isinstance(result, attempt.NotRun) and result.moved:
            result = await self._end_chain(result)
        return answers.final_problem(progress.key, result)

    async def _end_chain(self, result: attempt.NotRun) -> attempt.NotRun:
        """Use up a successor key that is not tried.

        Another copy of the request may follow the record to the successor,
        so "not run" may be told only after its owner has recorded it.
        """
        expires_ms = clock.now_ms() + attempt.LATE_ANSWER_MS
        state = await self._inquire_chain(result.moved, expires_ms)
        if isinstance(state, callers.CallerProblem):
            return result
        if state.state != Outcome.REFUSED:
            return result
        return result._replace(moved="")

    async def _prepare_retry(
        self,
        progress: _Progress,
        target: _Target,
        result: attempt.Result,
        decision: retries.RetryAfter,
    ) -> None:
        progress.plan.allowance.try_consume()
        self.counts["retries"] += 1
        candidate = target.candidate
        progress.exclude.add((candidate.node_id, candidate.incarnation))
        await clock.sleep_ms(decision.delay_ms)
        if isinstance(result, attempt.NotRun) and not progress.is_idempotent:
            progress.key = result.moved

    def _decide(
        self, progress: _Progress, result: attempt.Result
    ) -> retries.Decision:
        plan = progress.plan
        outcome, hint_ms, can_repeat = _view(progress, result)
        if not (can_repeat and plan.request.body.is_repeatable):
            return retries.Stop("not_repeatable")
        return decisions.decide(
            retries.Attempt(
                service=plan.request.service,
                outcome=outcome,
                idempotent=progress.is_idempotent,
                number=progress.attempts,
                allowance=plan.allowance.remaining,
                grant_exhausted=plan.allowance.grant_exhausted,
                remaining_ms=progress.remaining_ms,
                retry_after_ms=hint_ms,
            ),
            self._budget,
            self._random,
            self._policies.retry,
        )

    def _choose(
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
        """Tell the router how a choice ended; None if nothing was sent."""
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

    def _session(self, candidate: routing.Candidate) -> node_session.Session:
        return self._sessions.get(
            candidate.address, candidate.node_id, candidate.incarnation
        )

    def _known_services(
        self, configuration: model.Configuration | None
    ) -> frozenset[str]:
        if configuration is not self._services_of:
            self._services_of = configuration
            services = (
                configuration.inventory.services if configuration else ()
            )
            self._services = frozenset(item.name for item in services)
        return self._services


def _note(
    progress: _Progress, target: _Target, result: attempt.Result
) -> None:
    peer = target.candidate.endpoint
    if isinstance(result, attempt.Answered):
        progress.report.note("attempt", peer, result.answer.outcome)
    elif isinstance(result, attempt.NotRun):
        progress.report.note(result.step, peer, "refused", result.reason)
    else:
        progress.report.note(result.step, peer, result.outcome, result.reason)


def _return_draw(plan: plans.Plan, used: int | None) -> None:
    assert plan.context is not None
    assert plan.draw is not None
    if used is None:
        plan.context.pool.mark_used(plan.draw)
    else:
        plan.context.pool.release(plan.draw, used)


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


def _body_length(body: callers.Body) -> int:
    return len(body.first) if body.is_complete else body.length


def _view(
    progress: _Progress, result: attempt.Result
) -> tuple[Outcome, int, bool]:
    """Return outcome, hint, and whether another attempt is allowed."""
    if isinstance(result, attempt.NotRun):
        can_repeat = progress.is_idempotent or bool(result.moved)
        return Outcome.REFUSED, result.retry_after_ms, can_repeat
    if isinstance(result, attempt.MayHaveRun):
        return result.outcome, 0, progress.is_idempotent
    # A long answer is still arriving, so it is passed on as it is.
    can_repeat = progress.is_idempotent and result.answer.last
    return result.answer.outcome, 0, can_repeat


def _follow(
    progress: _Progress, result: attempt.NotRun
) -> callers.CallerProblem | None:
    """Go on with the successor that an earlier attempt has left."""
    progress.moves += 1
    progress.key = result.moved
    if progress.moves > MAX_MOVES:
        return answers.too_many_moves(result.moved)
    return None


def _skip_unreachable(
    progress: _Progress, target: _Target, result: attempt.NotRun
) -> callers.CallerProblem | None:
    """Choose another node instead of one that cannot be reached.

    Nothing was sent, so this adds no load and uses no allowance.
    """
    candidate = target.candidate
    progress.exclude.add((candidate.node_id, candidate.incarnation))
    progress.unreachable += 1
    if progress.plan.request.key or progress.moves:
        # An earlier attempt under this key may have reached the owner.
        return answers.owner_unreachable(target.candidate.node_id, target.key)
    if progress.unreachable > MAX_UNREACHABLE:
        return answers.final_problem(progress.key, result)
    # No caller has this key and nothing was sent under it.
    progress.key = ""
    return None
