"""Admission of requests to the slots of one backend server."""

import collections

from clementinekeel.admission import _estimate
from clementinekeel.admission import _level
from clementinekeel.admission import _queue
from clementinekeel.admission import _remaining_time
from clementinekeel.admission import _reservation
from clementinekeel.admission import limiters
from clementinekeel.admission import messages
from clementinekeel.configuration import model
from clementinekeel.runtime import invariants

# Length of the queue as a multiple of the slots. A long queue keeps the slots
# busy through gaps in the arrivals; a short one leaves less to drain after a
# surge.
QUEUE_FACTOR = {
    model.Objective.GOODPUT: 2.0,
    model.Objective.RECOVERY_TIME: 0.5,
}
RAMP_MS = 10_000
RAMP_START_SHARE = 0.1
# While less than this share of the limit is in use, no request is refused
# because of the estimate: only running requests can correct an estimate that
# has become too high.
ESTIMATE_MIN_SHARE = 0.1
RETRY_MIN_MS = 100
RETRY_MAX_MS = 5_000


class AdmissionController:
    """Decides which requests run, which wait and which are refused.

    A refused request has not run. The caller of this class has to release
    each admitted stream exactly once, and to call ``expire`` no later than
    ``next_expiry_ms``.

    Parameters
    ----------
    slots : int
        Requests that the backend server runs at a time, at least 1.
    objective : Objective
        Determines the length of the queue and how quickly the limit falls.
    limiter : str
        Registered name of the concurrency limiter.
    now_ms : int
        Current time on this node's clock.

    Raises
    ------
    UnknownNameError
        If no limiter has that name.
    ValueError
        If ``slots`` is less than 1.
    """

    def __init__(
        self, slots: int, objective: model.Objective, limiter: str, now_ms: int
    ) -> None:
        _require_slots(slots)
        self._slots = slots
        self._objective = objective
        self._queue_factor = QUEUE_FACTOR[objective]
        self._make_limiter = limiters.limiter.LIMITERS.get(limiter)
        self._limiter = self._make_limiter(slots, objective, now_ms)
        self._service_times = _estimate.ServiceTimes()
        self._remaining_times = _remaining_time.RemainingTimes()
        self._reservations = _reservation.SlotReservations()
        self._level = _level.LevelTracker(now_ms)
        self._queue = _queue.RankedQueue()
        self._running: dict[int, int] = {}
        self._running_by_rank: collections.Counter[int] = collections.Counter()
        self._ramp_start_ms: int | None = None
        self._is_leaving = False
        self._previously_queued = 0
        self._now_ms = now_ms

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self._running and not self._queue

    @property
    def queue_limit(self) -> int:
        """Requests that may wait for a slot."""
        return max(1, int(self._queue_factor * self._slots))

    @property
    def next_expiry_ms(self) -> int | None:
        """Latest time for the next ``expire``, None if nothing is queued."""
        earliest_ms = self._queue.next_expiry_ms
        if earliest_ms is None:
            return None
        if self._ramp_start_ms is not None:
            earliest_ms = min(earliest_ms, self._now_ms + self._ramp_step_ms())
        hold_end_ms = self._level.hold_end_ms(self._now_ms)
        if hold_end_ms is not None:
            earliest_ms = min(earliest_ms, hold_end_ms)
        return earliest_ms

    def limit(self, now_ms: int) -> int:
        """Return the current concurrency limit."""
        limit = min(self._limiter.limit, float(self._slots))
        if self._ramp_start_ms is not None:
            limit = min(limit, self._ramp_limit(now_ms))
        return max(1, int(limit))

    def offer(
        self, offer: messages.Offer, now_ms: int
    ) -> list[messages.Decision]:
        """Decide about a new request.

        Returns
        -------
        list of Decision
            The decision about the offer, and decisions about queued
            requests: displacements by the offer, and what ``expire``
            decides.
        """
        is_new = offer.stream not in self._running
        is_new = is_new and offer.stream not in self._queue
        invariants.check(is_new, "admission_stream_new", stream=offer.stream)
        if not is_new:
            return []
        self._remaining_times.add(offer, now_ms)
        decisions = self.expire(now_ms)
        decisions += self._decide(offer, now_ms)
        return self._check_queue_bound(decisions)

    def release(
        self, stream: int, now_ms: int, ok: bool, service_ms: float
    ) -> list[messages.Decision]:
        """Free the slot of a request that has ended.

        Parameters
        ----------
        ok : bool
            Whether the backend server served the request; False for an
            error, for a refusal by an overloaded backend server and for a
            missed deadline.
        service_ms : float
            Time for which the request held the slot.

        Returns
        -------
        list of Decision
            Admissions of queued requests, and refusals of those that can no
            longer finish in time.
        """
        rank = self._running.pop(stream, None)
        invariants.check(
            rank is not None, "admission_release_running", stream=stream
        )
        if rank is None:
            return []
        sample = limiters.limiter.Sample(
            ok,
            service_ms,
            self.running + 1,
            self._is_limited(now_ms),
            rank,
        )
        self._running_by_rank[rank] -= 1
        self._service_times.add(rank, ok, service_ms)
        self._limiter.on_finished(sample, now_ms)
        return self.expire(now_ms)

    def expire(self, now_ms: int) -> list[messages.Decision]:
        """Refuse queued requests that are too late; admit others."""
        self._now_ms = now_ms
        self._end_ramp(now_ms)
        decisions = self._refuse_late(now_ms)
        decisions += self._dispatch(now_ms)
        return self._check_queue_bound(decisions)

    def cancel(self, stream: int, now_ms: int) -> list[messages.Decision]:
        """Remove a queued request that its caller has abandoned.

        A running request keeps its slot until it is released, because the
        backend server may still be working on it.
        """
        self._queue.remove(stream)
        return self.expire(now_ms)

    def level(self, now_ms: int) -> messages.Level:
        """Return the level to report to callers."""
        limit = self.limit(now_ms)
        load = (self.running + self.queued) / limit
        rank = self._level.reported_rank(now_ms)
        return messages.Level(rank, load, self._retry_after_ms(now_ms))

    def start_ramp(self, now_ms: int) -> None:
        """Limit a backend server during its warm-up.

        The limit rises from a tenth of its slots to all of them.
        """
        self._ramp_start_ms = now_ms

    def set_leaving(self) -> None:
        """Refuse new requests; those queued or running are kept."""
        self._is_leaving = True

    def set_objective(self, objective: model.Objective, now_ms: int) -> None:
        """Change the objective.

        A new limiter replaces the old one, since its parameters depend on
        the objective.
        """
        if objective is self._objective:
            return
        self._objective = objective
        self._queue_factor = QUEUE_FACTOR[objective]
        self._limiter = self._make_limiter(self._slots, objective, now_ms)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots.

        Added slots are used from the next ``expire`` on. Requests beyond a
        lower number keep running, and the queue shrinks as it is served.

        Raises
        ------
        ValueError
            If ``slots`` is less than 1.
        """
        _require_slots(slots)
        self._slots = slots
        self._limiter.set_slots(slots)

    def _decide(
        self, offer: messages.Offer, now_ms: int
    ) -> list[messages.Decision]:
        if self._is_leaving:
            return [messages.Refuse(offer.stream, "leaving", 0)]
        if self._misses_deadline(offer, now_ms):
            return [self._refuse(offer.stream, "deadline", now_ms)]
        if self._may_start(offer.rank, now_ms):
            return [self._start(offer.stream, offer.rank, 0, now_ms)]
        is_held_back = offer.rank > self._level.admissible_rank(now_ms)
        # While a less important request is queued, that one is displaced.
        if is_held_back and not self._queue.less_important(offer.rank):
            return self._shed(offer.stream, offer.rank, "overload", now_ms)
        p99_ms = self._service_times.rank_p99_ms(offer.rank)
        if not self._trusts_estimate(now_ms):
            return self._enqueue(offer, now_ms)
        if now_ms + p99_ms >= offer.expires_ms:
            # Too late even without a wait. A tight deadline of one caller
            # has no effect on the level. With the usual deadline of its rank,
            # the request would have run in a free slot, and no less important
            # request may take the next one.
            if self._remaining_times.is_usual(offer, now_ms):
                self._level.on_shed(offer.rank, now_ms)
            return [self._refuse(offer.stream, "deadline", now_ms)]
        # The next slot is expected after half the time between two releases.
        # If the wait is longer, ``_refuse_late`` refuses the request in time.
        ahead = self._queue.count_ahead(offer) + 0.5
        wait_ms = self._wait_ms(ahead, now_ms)
        if now_ms + wait_ms + p99_ms >= offer.expires_ms:
            return self._shed(offer.stream, offer.rank, "deadline", now_ms)
        return self._enqueue(offer, now_ms)

    def _enqueue(
        self, offer: messages.Offer, now_ms: int
    ) -> list[messages.Decision]:
        decisions: list[messages.Decision] = []
        if self.queued >= self.queue_limit:
            last = self._queue.last
            if last.rank <= offer.rank:
                return self._shed(offer.stream, offer.rank, "overload", now_ms)
            self._queue.remove(last.stream)
            decisions = self._shed(last.stream, last.rank, "displaced", now_ms)
        self._queue.add(offer, now_ms)
        self._level.on_queued(now_ms)
        return [messages.Enqueue(offer.stream), *decisions]

    def _refuse_late(self, now_ms: int) -> list[messages.Decision]:
        decisions: list[messages.Decision] = []
        if not self._queue:
            return decisions
        # While the backend server is idle, the estimate isn't applied, but
        # deadlines are.
        is_trusted = self._trusts_estimate(now_ms)
        p99_by_rank: dict[int, float] = {}
        for entry in self._queue.entries:
            if is_trusted and entry.rank not in p99_by_rank:
                p99_by_rank[entry.rank] = self._service_times.rank_p99_ms(
                    entry.rank
                )
            p99_ms = p99_by_rank.get(entry.rank, 0.0)
            if now_ms + p99_ms < entry.expires_ms:
                continue
            self._queue.remove(entry.stream)
            self._level.on_shed(entry.rank, now_ms)
            decisions.append(self._refuse(entry.stream, "deadline", now_ms))
        return decisions

    def _dispatch(self, now_ms: int) -> list[messages.Decision]:
        decisions: list[messages.Decision] = []
        while self._queue:
            entry = self._queue.entries[0]
            if not self._may_start(entry.rank, now_ms):
                break
            self._queue.remove(entry.stream)
            waited_ms = now_ms - entry.queued_ms
            decisions.append(
                self._start(entry.stream, entry.rank, waited_ms, now_ms)
            )
        if self._queue:
            self._level.on_queued(now_ms)
        return decisions

    def _may_start(self, rank: int, now_ms: int) -> bool:
        limit = self.limit(now_ms)
        if self.running >= limit or rank > self._level.admissible_rank(now_ms):
            return False
        return self._reservations.allows(rank, limit, self._running_by_rank)

    def _start(
        self, stream: int, rank: int, waited_ms: int, now_ms: int
    ) -> messages.Decision:
        limit = self.limit(now_ms)
        invariants.check(
            self.running < limit, "admission_within_limit", limit=limit
        )
        self._running[stream] = rank
        self._running_by_rank[rank] += 1
        self._level.on_admitted(rank, now_ms)
        mean_ms = self._service_times.rank_mean_ms(rank)
        self._reservations.on_start(rank, waited_ms, mean_ms, limit)
        return messages.Admit(stream)

    def _shed(
        self, stream: int, rank: int, reason: str, now_ms: int
    ) -> list[messages.Decision]:
        """Refuse a request and all less important ones in the queue."""
        self._level.on_shed(rank, now_ms)
        decisions: list[messages.Decision] = []
        decisions.append(self._refuse(stream, reason, now_ms))
        for entry in self._queue.less_important(rank):
            self._queue.remove(entry.stream)
            self._level.on_shed(entry.rank, now_ms)
            decisions.append(self._refuse(entry.stream, "displaced", now_ms))
        invariants.check(
            not self._queue.less_important(rank),
            "admission_shed_in_order",
            rank=rank,
        )
        return decisions

    def _refuse(
        self, stream: int, reason: str, now_ms: int
    ) -> messages.Decision:
        retry_after_ms = self._retry_after_ms(now_ms)
        return messages.Refuse(stream, reason, retry_after_ms)

    def _misses_deadline(self, offer: messages.Offer, now_ms: int) -> bool:
        mean_ms = 0.0
        if self._trusts_estimate(now_ms):
            mean_ms = self._service_times.rank_mean_ms(offer.rank)
        return now_ms + mean_ms >= offer.expires_ms

    def _wait_ms(self, requests: float, now_ms: int) -> float:
        return requests * self._service_times.mean_ms / self.limit(now_ms)

    def _trusts_estimate(self, now_ms: int) -> bool:
        return self.running >= ESTIMATE_MIN_SHARE * self.limit(now_ms)

    def _is_limited(self, now_ms: int) -> bool:
        return self.queued > 0 or 2 * self.running >= self.limit(now_ms)

    def _retry_after_ms(self, now_ms: int) -> int:
        wait_ms = self._wait_ms(self.queued + 1, now_ms)
        return int(min(max(wait_ms, RETRY_MIN_MS), RETRY_MAX_MS))

    def _ramp_limit(self, now_ms: int) -> float:
        elapsed_ms = now_ms - (self._ramp_start_ms or 0)
        share = RAMP_START_SHARE
        share += (1 - RAMP_START_SHARE) * elapsed_ms / RAMP_MS
        return share * self._slots

    def _ramp_step_ms(self) -> int:
        return max(1, RAMP_MS // self._slots)

    def _end_ramp(self, now_ms: int) -> None:
        start_ms = self._ramp_start_ms
        if start_ms is not None and now_ms - start_ms >= RAMP_MS:
            self._ramp_start_ms = None

    def _check_queue_bound(
        self, decisions: list[messages.Decision]
    ) -> list[messages.Decision]:
        # After a reduction of the slots, more requests may be queued already.
        bound = max(self.queue_limit, self._previously_queued)
        invariants.check(
            self.queued <= bound, "admission_queue_bounded", queued=self.queued
        )
        self._previously_queued = self.queued
        return decisions


def _require_slots(slots: int) -> None:
    if slots < 1:
        raise ValueError(f"slots must be at least 1, not {slots}")
