"""Inbound side of a node: the proxy in front of the backend server on its VM.

All requests for the backend server pass through this proxy, so only this node
decides what runs there: once the departure of a backend server has been
acknowledged, it gets no new requests, whatever other nodes know of it.
"""

import asyncio
from collections.abc import Callable

from clementinekeel.admission import fingerprint
from clementinekeel.admission import slot_queue
from clementinekeel.backends import http1
from clementinekeel.backends import local
from clementinekeel.callers import dialect as dialect_module
from clementinekeel.membership import heartbeats
from clementinekeel.membership import statements
from clementinekeel.nodes import frames
from clementinekeel.retries import service_budgets
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import pauses as pauses_module
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import backend_statements
from clementinekeel.sidecar import crash_detection
from clementinekeel.sidecar import crash_reports as crash_reports_module
from clementinekeel.sidecar import job as job_module
from clementinekeel.sidecar import metrics as metrics_module
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.sidecar import stop_plan

DEADLINE_GRACE_S = 0.12
"""Time after the deadline in which the backend server's own answer may still
arrive."""
STALE_REUSE_S = 0.01
"""A reused connection that ends within this time without an answer had already
been closed; an idempotent request is sent once more on a new connection."""
RESEND_SHARES = service_budgets.RetryShares(0.05, 0.05)
"""Parts of the platform's retry ratio and extra retries for these resends: the
backend server may have run the request before it reset the connection."""
ANSWER_MEMORY_SHARE = 0.15
"""Share of the memory limit that incomplete answers may take."""
SERVER_ERROR = 500
"""Lowest HTTP status that reports a failure of the backend server."""
USABLE_SLOT_SHARE = 0.95
"""Share of the slots that is used. Backend servers slow down by a third when
their last slots are taken, which loses more throughput than these slots add.
"""
MIN_SLOTS_FOR_RESERVE = 20
"""With fewer slots all are used: one unused slot would cost more throughput
than the slowdown."""
QUICK_FAILURE_S = 0.02
"""A connection that ends within this time after a request was sent, without
any answer, did not end because of the work for that request."""
QUICK_FAILURE_LIMIT = 3
"""Quick failures in a row after which the backend server counts as down."""
QUICK_FAILURE_PAUSE_S = 0.3
"""Time for which the backend server counts as down after quick failures;
short, since only some of its requests may fail."""
MAX_LOGGED_FINGERPRINTS = 16
"""Those of the last requests to fail are logged."""
UNREACHABLE_PAUSE_S = 1.0
"""Time for which a backend server that can't be reached gets no requests,
unless its next heartbeat arrives sooner."""


def _usable_slots(slots: int) -> int:
    return (
        slots
        if slots < MIN_SLOTS_FOR_RESERVE
        else int(slots * USABLE_SLOT_SHARE)
    )


def _lasting_part(status: frames.EndpointStatus) -> frames.EndpointStatus:
    """Return a status without what changes with each request."""
    return status._replace(
        running=0, queued=0, warm_up_left_ms=0, has_answered=False
    )


class InboundProxy:
    """Admits requests to the backend server and returns its answers.

    Each request is a job here, from its offer to its answer or refusal.

    Parameters
    ----------
    on_status_change : callable
        Called when the state that other nodes see may have changed.
    count_nodes : callable
        Returns the number of known nodes, 0 before their list was read.
    crash_reports : CrashReports
        Tells which requests crash the endpoints of the service.
    pauses : PauseDetector
        Tells how late this process reads what was sent to it.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        dialect: dialect_module.Dialect,
        decisions: decision_log.DecisionLog,
        on_status_change: Callable[[], None],
        metrics: metrics_module.NodeMetrics,
        count_nodes: Callable[[], int],
        crash_reports: crash_reports_module.CrashReports,
        pauses: pauses_module.PauseDetector,
    ) -> None:
        self._pauses = pauses
        self._metrics = metrics
        self._crash_reports = crash_reports
        self._settings = settings
        self._dialect = dialect
        self._decisions = decisions
        self._on_status_change = on_status_change
        self._loop = asyncio.get_running_loop()
        backend = settings.backend
        self._pool = local.LocalPool(
            backend.host,
            backend.port,
            dialect.request_id,
            round(
                settings.memory_mb * settings_module.MIB * ANSWER_MEMORY_SHARE
            ),
        )
        self._crashes = crash_detection.CrashDetector(
            self._pool, self._on_crash
        )
        self._heartbeats = heartbeats.HeartbeatRecord()
        self._queue = slot_queue.SlotQueue()
        self._statements = backend_statements.BackendStatements(
            dialect, decisions
        )
        self._applied_limit_per_s: float | None = None
        self._start_timer: asyncio.TimerHandle | None = None
        self._resend_budgets = service_budgets.ServiceBudgets(
            settings.retry_limits,
            RESEND_SHARES.total,
            self._loop.time(),
            count_nodes,
        )
        self._jobs: dict[int, job_module.Job] = {}
        self._jobs_by_request_id: dict[str, job_module.Job] = {}
        # Offers whose bodies have not arrived yet.
        self._incomplete_jobs: set[job_module.Job] = set()
        self._last_number = 0
        self._is_stopping = False
        self._stop_plan: stop_plan.StopPlan | None = None
        self._stop_began_at = 0.0
        self._down_until = 0.0
        self._quick_failures = 0
        self._warm_up_until = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def status(self) -> frames.EndpointStatus:
        """State of the backend server, for other nodes."""
        heartbeat = self._heartbeats.latest
        if heartbeat is None:
            return frames.no_endpoint(
                self._settings.service, self._heartbeats.departed
            )
        warm_up_left_ms = max(
            0, round((self._warm_up_until - self._loop.time()) * 1000)
        )
        return frames.EndpointStatus(
            endpoint=heartbeat.endpoint,
            service=heartbeat.service,
            is_accepting=self._accepts(heartbeat),
            slots=self._queue.slots,
            running=self._queue.running,
            queued=self._queue.queued,
            warm_up_left_ms=warm_up_left_ms,
            rate_limit_per_s=self._statements.published_limit_per_s,
            started_ms=heartbeat.incarnation_ms,
            has_answered=self._statements.has_answered,
            is_leaving=heartbeat.state is heartbeats.EndpointState.DRAINING,
        )

    @property
    def latest_heartbeat(self) -> heartbeats.Heartbeat | None:
        """Newest heartbeat of the backend server, or None."""
        return self._heartbeats.latest

    @property
    def rate_limit_per_s(self) -> float | None:
        """Limit that the backend server states, in requests a second."""
        return self._statements.limit_per_s

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or running."""
        return not self._jobs

    @property
    def queue(self) -> slot_queue.SlotQueue:
        """Slots of the backend server and requests that wait for one."""
        return self._queue

    def find_job(self, request_id: str) -> job_module.Job | None:
        """Return the queued or running job of a request, or None."""
        return self._jobs_by_request_id.get(request_id)

    async def check_health(self, path: str) -> http1.Answer | None:
        """Send a health check; return its answer, or None if there is none."""
        try:
            return await local.check_health(*self._settings.backend, path)
        except (OSError, TimeoutError) as error:
            self._decisions.write(
                "probe_failed", False, error=type(error).__name__
            )
            return None

    def on_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Apply the state and the slots that a heartbeat reports."""
        before = self.status
        previous = self._heartbeats.latest
        if not self._heartbeats.accept(heartbeat, self._loop.time()):
            self._decisions.write(
                "heartbeat_outdated",
                False,
                endpoint=heartbeat.endpoint,
                sequence=heartbeat.sequence,
            )
            return
        now = self._loop.time()
        self._down_until = 0.0
        self._warm_up_until = now + heartbeat.warm_up_left_ms / 1000
        if previous is None or not heartbeat.is_same_incarnation(previous):
            self._pool.close_idle()
            self._apply(self._queue.refuse_all("replaced"))
            self._statements.begin_incarnation()
            self._crashes.begin_incarnation()
            self._apply_limit()
        self._apply(self._queue.resize(_usable_slots(heartbeat.slots), now))
        self._refuse_waiting_if_leaving()
        self._report_status_change(before)

    def on_leave(self, endpoint: str) -> None:
        """Stop sending requests to a backend server that leaves."""
        before = self.status
        if self._heartbeats.remove(endpoint, self._loop.time()):
            self._apply(self._queue.refuse_all("leaving"))
            self._report_status_change(before)

    def has_left(self, endpoint: str) -> bool:
        """Tell whether a backend server has left since this node started."""
        return self._heartbeats.has_left(endpoint)

    def on_earlier_departure(self, endpoint: str, started_ms: int) -> None:
        """Never use a backend server that an earlier process saw leave."""
        before = self.status
        self._heartbeats.refuse(endpoint, started_ms)
        self._report_status_change(before)

    def on_earlier_statement(
        self, statement: frames.EarlierStatement, node: str
    ) -> None:
        """Keep to what the backend server stated before this node started."""
        heartbeat = self._heartbeats.latest
        stated_by = statement.endpoint, statement.started_ms
        if heartbeat is None or stated_by != (
            heartbeat.endpoint,
            heartbeat.incarnation_ms,
        ):
            if statement.is_leaving:
                self._decisions.write(
                    "departure_returned",
                    False,
                    endpoint=statement.endpoint,
                    started_ms=statement.started_ms,
                    peer=node,
                )
                self.on_earlier_departure(*stated_by)
            return
        self._statements.on_earlier_statement(statement, node)
        self._apply_limit()
        if statement.is_leaving:
            self._stop_for_leaving()

    def begin_stop(self, plan: stop_plan.StopPlan) -> None:
        """Begin a planned stop now.

        Requests of other nodes that may outlast it are refused if they wait
        for a slot, for a connection or for the rest of their body.
        """
        self._stop_plan = plan
        self._stop_began_at = self._loop.time()
        jobs = [j for j in self._jobs.values() if not self._may_take(j)]
        for job in jobs:
            if self._queue.cancel(job.number):
                self._try(job, self._refuse, frames.STOPPING)
        # Their slots go to the requests that are still waiting.
        for job in jobs:
            if not job.has_ended and not job.sent_at:
                self._try(job, self._end, frames.STOPPING, frames.STOPPING)
        for job in list(self._incomplete_jobs):
            if not self._may_take(job):
                self._try(job, self._refuse, frames.STOPPING)

    def stop(self) -> None:
        """Accept no new requests and refuse those that have not started."""
        before = self.status
        self._is_stopping = True
        self._apply(self._queue.refuse_all("leaving"))
        for job in list(self._incomplete_jobs):
            self._try(job, self._refuse, "leaving")
        self._report_status_change(before)

    def end_all(self) -> None:
        """Report the requests that outlast a planned stop as failed."""
        for job in list(self._jobs.values()):
            self._try(job, self._fail, "stopping")

    def offer(
        self,
        sender: job_module.Sender,
        offer: frames.Offer,
        is_own: bool = False,
    ) -> None:
        """Accept an offered request, or the first part of one.

        Parameters
        ----------
        is_own : bool
            Whether this node took the request from its caller.
        """
        now = self._loop.time()
        excess_ms = 0.0
        if not is_own:
            # Time that passed on the way, or before this node read the offer.
            excess_ms = max(
                sender.transit.excess_ms(offer.sent_ms, now),
                self._pauses.lateness_s * 1000,
            )
        expires_at = now + (offer.remaining_ms - excess_ms) / 1000
        job = job_module.Job(sender, offer, expires_at, now, is_own)
        sender.streams[offer.stream] = job
        sender.last_stream = max(sender.last_stream, offer.stream)
        if job.missing_bytes <= 0:
            self._submit(job)
        elif self._may_take(job):
            self._incomplete_jobs.add(job)
        else:
            self._refuse(job, frames.STOPPING)

    def offer_part(
        self, sender: job_module.Sender, part: frames.OfferPart
    ) -> None:
        """Accept a further part of a request's body."""
        job = sender.streams.get(part.stream)
        if job is None or job.has_ended:
            return
        job.body_parts.append(part.data)
        job.missing_bytes -= len(part.data)
        if job.missing_bytes <= 0:
            self._incomplete_jobs.discard(job)
            self._submit(job)

    def cancel(self, sender: job_module.Sender, stream: int) -> None:
        """Cancel a request whose sender no longer waits for the answer.

        A request that is not idempotent and already runs is not interrupted:
        its effect would be unknown.
        """
        job = sender.streams.pop(stream, None)
        if job is None or job.has_ended:
            return
        try:
            if self._queue.cancel(job.number) or not job.number:
                self._remove_job(job, "cancelled")
            elif job.offer.is_idempotent or job.connection is None:
                self._end(job, None, "cancelled")
            else:
                self._record_end(job, "caller_left", True)
        except Exception as error:
            self._on_error(job, error)

    def cancel_all(self, sender: job_module.Sender) -> None:
        """Cancel all requests of a link that was lost."""
        for stream in list(sender.streams):
            self.cancel(sender, stream)

    def on_suspended(self, seconds: float) -> None:
        """Bring deadlines forward, since the clock stood still meanwhile."""
        for job in self._jobs.values():
            job.expires_at -= seconds
        self._queue.bring_forward(seconds)
        self._apply(self._queue.expire(self._loop.time()))

    def tick(self) -> None:
        """Refuse requests that can't be answered in time; prune the pool."""
        self._apply(self._queue.expire(self._loop.time()))
        self._pool.close_expired()
        self._publish_limit()

    def _accepts(self, heartbeat: heartbeats.Heartbeat) -> bool:
        if self._is_stopping or heartbeat.state is not (
            heartbeats.EndpointState.READY
        ):
            return False
        return self._loop.time() >= self._down_until

    def _may_take(self, job: job_module.Job) -> bool:
        """Tell whether a planned stop leaves enough time for a request.

        A request that this node took from its caller ends with the stop
        wherever it runs, so that another endpoint would be no better.
        """
        plan = self._stop_plan
        if plan is None or job.is_own:
            return True
        now = self._loop.time()
        lasts_s = job.expires_at + DEADLINE_GRACE_S - now
        return plan.may_take_offer(now - self._stop_began_at, lasts_s)

    def _report_status_change(self, before: frames.EndpointStatus) -> None:
        after = self.status
        if _lasting_part(before) != _lasting_part(after):
            self._decisions.write(
                "endpoint_changed",
                False,
                endpoint=after.endpoint or before.endpoint,
                service=after.service,
                accepts=after.is_accepting,
                slots=after.slots,
                rate_limit_per_s=after.rate_limit_per_s,
            )
            self._on_status_change()

    def _try(
        self,
        job: job_module.Job,
        step: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Carry out a step for one job, so that its error ends only this."""
        try:
            step(job, *arguments)
        except Exception as error:
            self._on_error(job, error)

    def _on_error(self, job: job_module.Job, error: Exception) -> None:
        """End a job whose handling has raised; free all that it holds.

        Each step may fail as well, and those of a job that has ended already
        change nothing.
        """
        supervision.report_error(self._loop, "job", error)
        steps: list[Callable[[], object]] = []
        if not job.has_ended:
            job.has_ended = True
            connection, job.connection = job.connection, None
            if connection is not None:
                steps.append(connection.cancel)
            steps.append(lambda: self._send_error(job))
            steps.append(
                lambda: self._remove_job(job, "failed:internal_error")
            )
        steps.append(lambda: self._free_slot(job))
        for step in steps:
            try:
                step()
            except Exception as step_error:
                supervision.report_error(self._loop, "end job", step_error)

    def _send_error(self, job: job_module.Job) -> None:
        """Refuse a job that was never sent to the backend server."""
        stream, reason = job.offer.stream, "internal_error"
        job.sender.send_result(
            frames.Failure(stream, reason)
            if job.sent_at
            else frames.Refusal(
                stream, reason, 0, self._queue.running, self._queue.queued
            )
        )

    def _free_slot(self, job: job_module.Job) -> None:
        self._queue.cancel(job.number)
        changes = self._queue.finish(job.number, self._loop.time(), None)
        self._apply(changes)

    def _submit(self, job: job_module.Job) -> None:
        try:
            self._accept_or_refuse(job)
        except Exception as error:
            self._on_error(job, error)

    def _accept_or_refuse(self, job: job_module.Job) -> None:
        heartbeat = self._heartbeats.latest
        if heartbeat is None or not self._accepts(heartbeat):
            self._refuse(job, "leaving")
        elif heartbeat.endpoint != job.offer.endpoint:
            self._refuse(job, "other_endpoint")
        elif not self._may_take(job):
            self._refuse(job, frames.STOPPING)
        elif self._crash_reports.refusal_s(job.offer.fingerprint):
            self._refuse(job, frames.QUARANTINED)
        else:
            self._last_number += 1
            job.number = self._last_number
            self._jobs[job.number] = job
            self._jobs_by_request_id[job.offer.request_id] = job
            slot_request = slot_queue.SlotRequest(
                job.number,
                job.offer.rank,
                job.arrived_at - job.offer.chain_age_ms / 1000,
                job.expires_at,
            )
            self._apply(self._queue.offer(slot_request, self._loop.time()))

    def _apply(self, changes: slot_queue.Changes) -> None:
        for refusal in changes.refused:
            job = self._jobs.get(refusal.number)
            if job is not None:
                self._try(job, self._refuse, refusal.reason)
        for number in changes.admitted:
            job = self._jobs.get(number)
            if job is not None:
                self._try(job, self._start)
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Start a waiting request when the rate limit allows the next one."""
        if self._start_timer is not None:
            return
        start_at = self._queue.next_start_at(self._loop.time())
        if start_at is not None:
            self._start_timer = self._loop.call_at(
                start_at, self._start_waiting
            )

    def _start_waiting(self) -> None:
        self._start_timer = None
        self._apply(self._queue.start_waiting(self._loop.time()))

    def _start(self, job: job_module.Job) -> None:
        if self._crash_reports.refusal_s(job.offer.fingerprint):
            # It was reported while the request waited.
            self._end(job, frames.QUARANTINED, frames.QUARANTINED)
            return
        self._crash_reports.on_start(job.offer.fingerprint)
        job.started_at = self._loop.time()
        if not job.offer.is_retry:
            self._resend_budgets.on_request(
                self._settings.service, job.started_at, job.offer.rank == 0
            )
        connection = self._pool.acquire_idle(
            job.offer.is_idempotent, job.offer.request_id.encode()
        )
        if connection is not None:
            self._send(job, connection)
            return
        self._connect(job)

    def _connect(self, job: job_module.Job) -> None:
        task = self._loop.create_task(self._connect_and_send(job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, job: job_module.Job) -> None:
        try:
            await self._try_to_connect_and_send(job)
        except Exception as error:
            self._on_error(job, error)

    async def _try_to_connect_and_send(self, job: job_module.Job) -> None:
        try:
            connection = await self._pool.connect()
        except (OSError, TimeoutError) as error:
            self._on_unreachable(job, error)
            return
        heartbeat = self._heartbeats.latest
        if job.has_ended:
            self._pool.release(connection)
        elif (
            heartbeat is not None and heartbeat.endpoint != job.offer.endpoint
        ):
            self._pool.release(connection)
            self._give_up_connecting(job, "replaced")
        elif job.expires_at <= self._loop.time():
            self._pool.release(connection)
            self._give_up_connecting(job, "deadline")
        else:
            self._send(job, connection)

    def _on_unreachable(self, job: job_module.Job, error: OSError) -> None:
        self._crashes.on_connection_failed(error)
        self._mark_down(type(error).__name__, UNREACHABLE_PAUSE_S)
        if not job.has_ended:
            self._give_up_connecting(job, "backend_unreachable")

    def _give_up_connecting(self, job: job_module.Job, reason: str) -> None:
        """End a job that can't be sent; refuse it only if it never was."""
        if job.is_resent:
            self._fail(job, reason)
        else:
            self._end(job, reason, reason)

    def _send(
        self, job: job_module.Job, connection: http1.HttpConnection
    ) -> None:
        offer = job.offer
        job.connection = connection
        self._metrics.on_arrival()
        now = job.sent_at = self._loop.time()
        remaining_ms = max(1, round((job.expires_at - now) * 1000))
        body = (
            job.body_parts[0]
            if len(job.body_parts) == 1
            else b"".join(job.body_parts)
        )
        head = b"%s%s: %d\r\n%s: %s\r\n\r\n" % (
            offer.head,
            self._dialect.deadline_ms,
            remaining_ms,
            self._dialect.target,
            offer.endpoint.encode(),
        )
        if job.timer is None:
            job.timer = self._loop.call_at(
                job.expires_at + DEADLINE_GRACE_S, self._time_out, job
            )
        connection.send(
            head,
            body,
            offer.request_id.encode(),
            offer.is_head,
            lambda outcome: self._on_outcome(job, outcome),
        )

    def _on_outcome(self, job: job_module.Job, outcome: http1.Outcome) -> None:
        try:
            self._handle_outcome(job, outcome)
        except Exception as error:
            self._on_error(job, error)

    def _handle_outcome(
        self, job: job_module.Job, outcome: http1.Outcome
    ) -> None:
        connection, job.connection = job.connection, None
        is_refused = isinstance(outcome, http1.Answer) and any(
            name == self._dialect.not_run for name, _ in outcome.headers
        )
        if connection is not None:
            if is_refused:
                connection.note_refusal()
            if isinstance(outcome, http1.Answer):
                self._pool.release(connection)
            else:
                connection.close()
        if isinstance(outcome, http1.Answer):
            self._observe(job, outcome)
        if job.has_ended:
            return
        if isinstance(outcome, http1.Failure):
            self._on_failure(job, outcome, connection)
        elif is_refused:
            self._end(job, "backend_refused", "backend_refused")
        else:
            self._crash_reports.on_answer(job.offer.fingerprint)
            self._answer(job, outcome)

    def _observe(self, job: job_module.Job, answer: http1.Answer) -> None:
        """Apply what the backend server states about itself."""
        heartbeat = self._heartbeats.latest
        if heartbeat is None or heartbeat.endpoint != job.offer.endpoint:
            return
        report = self._statements.on_answer(
            job.offer, answer.headers, job.sent_at
        )
        self._apply_limit()
        if report.is_leaving:
            self._stop_for_leaving()

    def _stop_for_leaving(self) -> None:
        """Send no new requests to a backend server that states its leaving."""
        before = self.status
        self._heartbeats.on_stated_leaving()
        self._refuse_waiting_if_leaving()
        self._report_status_change(before)

    def _refuse_waiting_if_leaving(self) -> None:
        heartbeat = self._heartbeats.latest
        if heartbeat is not None and not self._accepts(heartbeat):
            self._apply(self._queue.refuse_all("leaving"))

    def _apply_limit(self) -> None:
        """Let the queue keep to the limit in force."""
        limit_per_s = self._statements.limit_per_s
        if limit_per_s == self._applied_limit_per_s:
            return
        self._applied_limit_per_s = limit_per_s
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        self._apply(self._queue.limit_rate(limit_per_s, self._loop.time()))
        if self._statements.published_limit_per_s is None:
            # Other nodes know the limit before the answer that states it.
            self._publish_limit()

    def _publish_limit(self) -> None:
        """Tell other nodes of a changed limit.

        Called when a limit begins, and at a fixed interval, since it may
        change with each answer.
        """
        before = self.status
        self._statements.published_limit_per_s = self._statements.limit_per_s
        self._report_status_change(before)

    def _on_failure(
        self,
        job: job_module.Job,
        failure: http1.Failure,
        connection: http1.HttpConnection | None,
    ) -> None:
        self._crashes.on_run_failed(job.offer.fingerprint)
        age_s = self._loop.time() - job.sent_at
        was_stale = (
            connection is not None
            and connection.request_count > 1
            and age_s < STALE_REUSE_S
        )
        if was_stale and not failure.has_partial_answer:
            self._pool.close_idle()
            if self._try_consume_resend(job):
                job.is_resent = True
                self._queue.on_resend(self._loop.time())
                self._connect(job)
                return
        self._count_quick_failure(age_s, failure.has_partial_answer)
        self._fail(job, failure.reason)

    def _on_crash(self, fingerprints: tuple[int, ...]) -> None:
        heartbeat = self._heartbeats.latest
        if heartbeat is None:
            return
        self._crash_reports.on_crash(
            statements.Incarnation(
                heartbeat.endpoint, heartbeat.incarnation_ms
            ),
            fingerprints,
        )
        names = [fingerprint.encode_fingerprint(run) for run in fingerprints]
        self._decisions.write(
            "backend_ended",
            False,
            endpoint=heartbeat.endpoint,
            started_ms=heartbeat.incarnation_ms,
            running=len(names),
            fingerprints=",".join(names[-MAX_LOGGED_FINGERPRINTS:]),
        )

    def _try_consume_resend(self, job: job_module.Job) -> bool:
        """Tell whether a request may be sent again, and use the budget."""
        if not job.offer.is_idempotent or job.is_resent:
            return False
        is_allowed = self._resend_budgets.try_consume(
            self._settings.service,
            self._loop.time(),
            RESEND_SHARES,
            job.offer.rank == 0,
        )
        self._metrics.on_retry(
            self._settings.service,
            metrics_module.RetryCause.STALE_CONNECTION,
            is_allowed,
        )
        return is_allowed

    def _count_quick_failure(self, age_s: float, has_bytes: bool) -> None:
        """Mark a backend server as down if it resets connections at once."""
        if has_bytes or age_s > QUICK_FAILURE_S:
            self._quick_failures = 0
            return
        self._quick_failures += 1
        if self._quick_failures >= QUICK_FAILURE_LIMIT:
            self._quick_failures = 0
            self._mark_down("resets", QUICK_FAILURE_PAUSE_S)

    def _mark_down(self, error: str, duration_s: float) -> None:
        before = self.status
        self._down_until = self._loop.time() + duration_s
        self._decisions.write(
            "backend_unreachable",
            False,
            endpoint=before.endpoint,
            error=error,
        )
        self._apply(self._queue.refuse_all("backend_unreachable"))
        self._report_status_change(before)
        self._loop.call_later(duration_s, self._on_status_change)

    def _fail(self, job: job_module.Job, reason: str) -> None:
        job.sender.send_result(frames.Failure(job.offer.stream, reason))
        self._end(job, None, "failed:" + reason)

    def _answer(self, job: job_module.Job, answer: http1.Answer) -> None:
        self._quick_failures = 0
        now = self._loop.time()
        service_ms = (now - job.started_at) * 1000
        changes = self._queue.finish(job.number, now, service_ms)
        status = answer.status
        head = b"HTTP/1.1 %d %s\r\n" % (status, answer.reason)
        head += b"".join(b"%s: %s\r\n" % item for item in answer.headers)
        body, stream = answer.body, job.offer.stream
        first_part = body[: frames.PART_BYTES]
        job.sender.send_result(
            frames.Answer(
                stream,
                status,
                head,
                first_part,
                len(body),
                self._queue.running,
                self._queue.queued,
                job.is_dependency_overloaded and status >= SERVER_ERROR,
                round((now - job.arrived_at) * 1000),
                round(self._queue.service_ms),
            )
        )
        for start in range(frames.PART_BYTES, len(body), frames.PART_BYTES):
            part = body[start : start + frames.PART_BYTES]
            job.sender.send_result(frames.AnswerPart(stream, part))
        self._remove_job(job, "answered")
        self._apply(changes)

    def _time_out(self, job: job_module.Job) -> None:
        if job.has_ended:
            return
        try:
            self._fail(job, "backend_silent")
        except Exception as error:
            self._on_error(job, error)

    def _refuse(self, job: job_module.Job, reason: str) -> None:
        retry_after_ms = self._queue.retry_after_ms
        if reason == frames.QUARANTINED:
            refusal_s = self._crash_reports.refusal_s(job.offer.fingerprint)
            retry_after_ms = refusal_s * 1000
        elif reason == frames.STOPPING and self._stop_plan is not None:
            # The load says nothing about the time until the node is back.
            since_stop_s = self._loop.time() - self._stop_began_at
            end_in_s = self._stop_plan.earliest_end_in_s(since_stop_s)
            retry_after_ms = end_in_s * 1000
        job.sender.send_result(
            frames.Refusal(
                job.offer.stream,
                reason,
                round(retry_after_ms),
                self._queue.running,
                self._queue.queued,
            )
        )
        self._remove_job(job, reason)

    def _end(
        self, job: job_module.Job, refusal_reason: str | None, outcome: str
    ) -> None:
        """End a job that has no answer and free its slot.

        Parameters
        ----------
        refusal_reason : str or None
            Reason for the refusal that is sent to the sender; None to send
            no refusal.
        outcome : str
            Outcome for the log and the metrics, with an optional detail
            after a colon.
        """
        connection, job.connection = job.connection, None
        if connection is not None:
            connection.cancel()
        if refusal_reason is not None:
            self._refuse(job, refusal_reason)
        else:
            self._remove_job(job, outcome)
        now = self._loop.time()
        self._apply(self._queue.finish(job.number, now, None))

    def _remove_job(self, job: job_module.Job, outcome: str) -> None:
        job.has_ended = True
        if job.timer is not None:
            job.timer.cancel()
        self._jobs.pop(job.number, None)
        self._incomplete_jobs.discard(job)
        if self._jobs_by_request_id.get(job.offer.request_id) is job:
            del self._jobs_by_request_id[job.offer.request_id]
        job.sender.streams.pop(job.offer.stream, None)
        job.body_parts = []
        self._record_end(job, outcome, outcome in ("answered", "cancelled"))

    def _record_end(
        self, job: job_module.Job, outcome: str, is_routine: bool
    ) -> None:
        name, _, reason = outcome.partition(":")
        now = self._loop.time()
        wait_ms = ((job.started_at or now) - job.arrived_at) * 1000
        service_ms = (now - job.sent_at) * 1000 if job.sent_at else None
        self._metrics.on_job(name, job.offer.rank, wait_ms, service_ms)
        self._decisions.write(
            "job_ended",
            is_routine,
            request_id=job.offer.request_id,
            outcome=name,
            reason=reason,
            rank=job.offer.rank,
            fingerprint=fingerprint.encode_fingerprint(job.offer.fingerprint),
            is_retry=job.offer.is_retry,
            is_resent=job.is_resent,
            waited_ms=round(wait_ms),
            late_ms=round(
                job.offer.remaining_ms
                - (job.expires_at - job.arrived_at) * 1000
            ),
            service_ms=None if service_ms is None else round(service_ms),
            running=self._queue.running,
            queued=self._queue.queued,
            slots=self._queue.slots,
            since_stop_ms=(
                None
                if self._stop_plan is None
                else round((job.arrived_at - self._stop_began_at) * 1000)
            ),
        )
