"""The side of a node that guards the backend server on its VM.

All requests for the backend server pass here, so that only this node decides
what runs there: a backend server that leaves gets nothing new from the moment
its leaving is acknowledged, whatever other nodes know.
"""

import asyncio
from collections.abc import Callable

from clementinekeel.admission import slot_queue
from clementinekeel.backends import http1
from clementinekeel.backends import local
from clementinekeel.callers import dialect as dialect_module
from clementinekeel.membership import heartbeats
from clementinekeel.nodes import frames
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import job as job_module
from clementinekeel.sidecar import metrics as metrics_module
from clementinekeel.sidecar import settings as settings_module

DEADLINE_GRACE_S = 0.12
"""Time beyond the deadline for the backend server's own answer to arrive."""
STALE_REUSE_S = 0.01
"""A reused connection that ends within this time without an answer had been
closed before; an idempotent request is sent once more on a new one."""
SERVER_ERROR = 500
"""Lowest HTTP status of a failure of the backend server."""
SLOT_SHARE = 0.95
"""Part of the slots that is used: backend servers slow down by a third when
the last ones are taken, which costs more than those slots give."""
FEW_SLOTS = 20
"""With fewer slots, leaving one unused costs more than that."""
QUICK_FAILURE_S = 0.02
"""A connection that ends within this time of a request was not about its
work."""
QUICK_FAILURES = 3
"""Such ends in a row after which the backend server counts as down."""
QUICK_DOWN_S = 0.3
"""How long it does then; short, since it may fail only a part."""
DOWN_RETRY_S = 1.0
"""How long a backend server that can't be reached gets no requests; its next
heartbeat ends this sooner."""


def _usable_slots(slots: int) -> int:
    return slots if slots < FEW_SLOTS else int(slots * SLOT_SHARE)


class Gate:
    """Admission to the backend server and the exchange with it."""

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        dialect: dialect_module.Dialect,
        decisions: decision_log.DecisionLog,
        on_status: Callable[[], None],
        metrics: metrics_module.NodeMetrics,
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._dialect = dialect
        self._decisions = decisions
        self._on_status = on_status
        self._loop = asyncio.get_running_loop()
        backend = settings.backend
        self._pool = local.LocalPool(
            backend.host, backend.port, dialect.request_id
        )
        self._beats = heartbeats.HeartbeatRecord()
        self._queue = slot_queue.SlotQueue()
        self._jobs: dict[int, job_module.Job] = {}
        self._by_request: dict[str, job_module.Job] = {}
        self._numbers = 0
        self._is_stopping = False
        self._down_until = 0.0
        self._quick_failures = 0
        self._cold_until = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def status(self) -> frames.EndpointStatus:
        """State of the backend server, for other nodes."""
        beat = self._beats.latest
        if beat is None:
            return frames.EndpointStatus(
                "", self._settings.service, False, 0, 0, 0, 0
            )
        cold_ms = max(0, round((self._cold_until - self._loop.time()) * 1000))
        return frames.EndpointStatus(
            beat.endpoint,
            beat.service,
            self._accepts(beat),
            self._queue.slots,
            self._queue.running,
            self._queue.queued,
            cold_ms,
        )

    @property
    def backend(self) -> heartbeats.Heartbeat | None:
        """Newest heartbeat of the backend server, or None."""
        return self._beats.latest

    @property
    def is_idle(self) -> bool:
        """Whether no request is held."""
        return not self._jobs

    @property
    def queue(self) -> slot_queue.SlotQueue:
        """Slots and waiting requests."""
        return self._queue

    def find_job(self, request_id: str) -> job_module.Job | None:
        """Return the running request with an identifier, or None."""
        return self._by_request.get(request_id)

    async def probe(self, path: str) -> http1.Answer | None:
        """Ask the backend server for its health; None without an answer."""
        try:
            return await local.probe(*self._settings.backend, path)
        except (OSError, TimeoutError) as error:
            self._decisions.write(
                "probe_failed", False, error=type(error).__name__
            )
            return None

    def heartbeat(self, beat: heartbeats.Heartbeat) -> None:
        """Take over what the backend server says of itself."""
        before = self.status
        held = self._beats.latest
        if not self._beats.accept(beat, self._loop.time()):
            self._decisions.write(
                "heartbeat_outdated",
                False,
                endpoint=beat.endpoint,
                sequence=beat.sequence,
            )
            return
        now = self._loop.time()
        self._down_until = 0.0
        self._cold_until = now + beat.cold_ms / 1000
        if held is None or not beat.is_same_start(held):
            self._pool.close_idle()
            self._apply(self._queue.drop_all("replaced"))
        self._apply(self._queue.resize(_usable_slots(beat.slots), now))
        if not self._accepts(beat):
            self._apply(self._queue.drop_all("leaving"))
        self._report(before)

    def leave(self, endpoint: str) -> None:
        """Note that the backend server goes; it gets no new requests."""
        before = self.status
        if self._beats.remove(endpoint, self._loop.time()):
            self._apply(self._queue.drop_all("leaving"))
            self._report(before)

    def stop(self) -> None:
        """Take no new requests and hand back those that wait."""
        before = self.status
        self._is_stopping = True
        self._apply(self._queue.drop_all("leaving"))
        self._report(before)

    def offer(self, sender: job_module.Sender, offer: frames.Offer) -> None:
        """Take an offered request, or its first part."""
        now = self._loop.time()
        late_ms = sender.transit.excess_ms(offer.sent_ms, now)
        expires_at = now + (offer.budget_ms - late_ms) / 1000
        job = job_module.Job(sender, offer, expires_at, now)
        sender.streams[offer.stream] = job
        if job.missing <= 0:
            self._submit(job)

    def offer_part(
        self, sender: job_module.Sender, part: frames.OfferPart
    ) -> None:
        """Take a further part of a request's body."""
        job = sender.streams.get(part.stream)
        if job is None or job.is_over:
            return
        job.parts.append(part.data)
        job.missing -= len(part.data)
        if job.missing <= 0:
            self._submit(job)

    def cancel(self, sender: job_module.Sender, stream: int) -> None:
        """End a request for which nobody waits any more.

        A request that is not idempotent and already runs is left to its end:
        breaking it off would leave unknown what it did.
        """
        job = sender.streams.pop(stream, None)
        if job is None or job.is_over:
            return
        if self._queue.cancel(job.number) or not job.number:
            self._forget(job, "cancelled")
        elif job.offer.is_idempotent or job.connection is None:
            self._end(job, None, "cancelled")
        else:
            self._note(job, "caller_left", True)

    def cancel_all(self, sender: job_module.Sender) -> None:
        """End the requests of a link that was lost."""
        for stream in list(sender.streams):
            self.cancel(sender, stream)

    def tick(self) -> None:
        """Refuse requests that can't be answered in time; close old idle."""
        self._apply(self._queue.expire(self._loop.time()))
        self._pool.close_expired()

    def _accepts(self, beat: heartbeats.Heartbeat) -> bool:
        if self._is_stopping or beat.state is not (
            heartbeats.EndpointState.READY
        ):
            return False
        return self._loop.time() >= self._down_until

    def _report(self, before: frames.EndpointStatus) -> None:
        after = self.status
        if (before.endpoint, before.is_accepting, before.slots) != (
            after.endpoint,
            after.is_accepting,
            after.slots,
        ):
            self._decisions.write(
                "endpoint_changed",
                False,
                endpoint=after.endpoint or before.endpoint,
                service=after.service,
                accepts=after.is_accepting,
                slots=after.slots,
            )
            self._on_status()

    def _submit(self, job: job_module.Job) -> None:
        beat = self._beats.latest
        if beat is None or not self._accepts(beat):
            self._refuse(job, "leaving")
        elif beat.endpoint != job.offer.endpoint:
            self._refuse(job, "other_endpoint")
        else:
            self._numbers += 1
            job.number = self._numbers
            self._jobs[job.number] = job
            self._by_request[job.offer.request_id] = job
            ticket = slot_queue.Ticket(
                job.number,
                job.offer.rank,
                job.arrived_at - job.offer.age_ms / 1000,
                job.expires_at,
            )
            self._apply(self._queue.offer(ticket, self._loop.time()))

    def _apply(self, changes: slot_queue.Changes) -> None:
        for refusal in changes.refused:
            job = self._jobs.get(refusal.number)
            if job is not None:
                self._refuse(job, refusal.reason)
        for number in changes.admitted:
            job = self._jobs.get(number)
            if job is not None:
                self._start(job)

    def _start(self, job: job_module.Job) -> None:
        job.started_at = self._loop.time()
        connection = self._pool.take_idle(job.offer.is_idempotent)
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
            connection = await self._pool.connect()
        except (OSError, TimeoutError) as error:
            self._on_unreachable(job, error)
            return
        beat = self._beats.latest
        if job.is_over:
            self._pool.release(connection)
        elif beat is not None and beat.endpoint != job.offer.endpoint:
            self._pool.release(connection)
            self._end(job, "replaced", "replaced")
        elif job.expires_at <= self._loop.time():
            self._pool.release(connection)
            self._end(job, "deadline", "deadline")
        else:
            self._send(job, connection)

    def _on_unreachable(self, job: job_module.Job, error: Exception) -> None:
        self._mark_down(type(error).__name__, DOWN_RETRY_S)
        if job.is_over:
            return
        if job.is_resent:
            self._fail(job, "backend_unreachable")
        else:
            self._end(job, "backend_unreachable", "backend_unreachable")

    def _send(
        self, job: job_module.Job, connection: http1.HttpConnection
    ) -> None:
        offer = job.offer
        job.connection = connection
        now = job.sent_at = self._loop.time()
        left_ms = max(1, round((job.expires_at - now) * 1000))
        body = job.parts[0] if len(job.parts) == 1 else b"".join(job.parts)
        head = b"%s%s: %d\r\n%s: %s\r\n\r\n" % (
            offer.head,
            self._dialect.deadline_ms,
            left_ms,
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
        connection, job.connection = job.connection, None
        if connection is not None:
            if isinstance(outcome, http1.Answer):
                self._pool.release(connection)
            else:
                connection.close()
        if job.is_over:
            return
        if isinstance(outcome, http1.Failure):
            self._on_failure(job, outcome, connection)
        elif any(n == self._dialect.not_run for n, _ in outcome.headers):
            self._end(job, "backend_refused", "backend_refused")
        else:
            self._answer(job, outcome)

    def _on_failure(
        self,
        job: job_module.Job,
        failure: http1.Failure,
        connection: http1.HttpConnection | None,
    ) -> None:
        age_s = self._loop.time() - job.sent_at
        was_stale = (
            connection is not None
            and connection.request_count > 1
            and age_s < STALE_REUSE_S
        )
        if was_stale and not failure.has_partial_answer:
            self._pool.close_idle()
            if job.offer.is_idempotent and not job.is_resent:
                job.is_resent = True
                self._connect(job)
                return
        self._note_failure(age_s, failure.has_partial_answer)
        self._fail(job, failure.reason)

    def _note_failure(self, age_s: float, has_bytes: bool) -> None:
        """Keep requests from a backend server that resets all at once."""
        if has_bytes or age_s > QUICK_FAILURE_S:
            self._quick_failures = 0
            return
        self._quick_failures += 1
        if self._quick_failures >= QUICK_FAILURES:
            self._quick_failures = 0
            self._mark_down("resets", QUICK_DOWN_S)

    def _mark_down(self, error: str, duration_s: float) -> None:
        before = self.status
        self._down_until = self._loop.time() + duration_s
        self._decisions.write(
            "backend_unreachable",
            False,
            endpoint=before.endpoint,
            error=error,
        )
        self._apply(self._queue.drop_all("backend_unreachable"))
        self._report(before)
        self._loop.call_later(duration_s, self._on_status)

    def _fail(self, job: job_module.Job, reason: str) -> None:
        job.sender.send(frames.Failure(job.offer.stream, reason))
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
        first = body[: frames.PART_BYTES]
        job.sender.send(
            frames.Answer(
                stream,
                status,
                head,
                first,
                len(body),
                self._queue.running,
                self._queue.queued,
                job.is_starved and status >= SERVER_ERROR,
                round((now - job.arrived_at) * 1000),
                round(self._queue.service_ms),
            )
        )
        for start in range(frames.PART_BYTES, len(body), frames.PART_BYTES):
            part = body[start : start + frames.PART_BYTES]
            job.sender.send(frames.AnswerPart(stream, part))
        self._forget(job, "answered")
        self._apply(changes)

    def _time_out(self, job: job_module.Job) -> None:
        if not job.is_over:
            self._fail(job, "backend_silent")

    def _refuse(self, job: job_module.Job, reason: str) -> None:
        job.sender.send(
            frames.Refusal(
                job.offer.stream,
                reason,
                round(self._queue.retry_after_ms),
                self._queue.running,
                self._queue.queued,
            )
        )
        self._forget(job, reason)

    def _end(
        self, job: job_module.Job, refusal: str | None, note: str
    ) -> None:
        """Free the slot of a job; refuse it if a reason is given."""
        connection, job.connection = job.connection, None
        if connection is not None:
            connection.cancel()
        if refusal is not None:
            self._refuse(job, refusal)
        else:
            self._forget(job, note)
        now = self._loop.time()
        self._apply(self._queue.finish(job.number, now, None))

    def _forget(self, job: job_module.Job, note: str) -> None:
        job.is_over = True
        if job.timer is not None:
            job.timer.cancel()
        self._jobs.pop(job.number, None)
        if self._by_request.get(job.offer.request_id) is job:
            del self._by_request[job.offer.request_id]
        job.sender.streams.pop(job.offer.stream, None)
        job.parts = []
        self._note(job, note, note in ("answered", "cancelled"))

    def _note(self, job: job_module.Job, note: str, is_routine: bool) -> None:
        name, _, reason = note.partition(":")
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
            waited_ms=round(wait_ms),
            late_ms=round(
                job.offer.budget_ms - (job.expires_at - job.arrived_at) * 1000
            ),
            service_ms=None if service_ms is None else round(service_ms),
            running=self._queue.running,
            queued=self._queue.queued,
            slots=self._queue.slots,
        )
