"""Admission of requests to the slots of one backend server."""

import collections

from clementinekeel.admission import _estimate
from clementinekeel.admission import _headroom
from clementinekeel.admission import _level
from clementinekeel.admission import _patience
from clementinekeel.admission import _queue
from clementinekeel.admission import limiters
from clementinekeel.admission import messages
from clementinekeel.configuration import model
from clementinekeel.runtime import invariants

# Queued requests as a multiple of the slots. A long queue keeps the slots
# busy through gaps in the arrivals; a short one leaves less to drain after a
# surge.
QUEUE_FACTOR = {
    model.Objective.GOODPUT: 2.0,
    model.Objective.RECOVERY_TIME: 0.5,
}
RAMP_MS = 10_000
RAMP_START_SHARE = 0.1
# Below this share of the limit in use the estimate refuses nothing: only
# running requests can correct an estimate that became too high.
ESTIMATE_MIN_SHARE = 0.1
RETRY_MIN_MS = 100
RETRY_MAX_MS = 5_000


class AdmissionController:
    """Decides which requests run, wait, or are refused as not run.

    The caller releases each admitted stream exactly once, and calls
    ``expire`` no later than ``next_expiry_ms``.

    Parameters
    ----------
    slots : int
        Requests that the backend server runs at a time, at least 1.
    objective : Objective
        Sets the length of the queue and how quickly the limit falls.
    limiter : str
        Registered name of the concurrency limiter.
    now_ms : int
        Present time on this node's clock.

    Raises
    ------
    UnknownNameError
        If no limiter has that name.
    ValueError
        If there is no slot.
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
        self._patience = _patience.Patience()
        self._headroom = _headroom.Headroom()
        self._level = _level.LevelTracker(now_ms)
        self._queue = _queue.RankedQueue()
        self._running: dict[int, int] = {}
        self._held: collections.Counter[int] = collections.Counter()
        self._ramp_start_ms: int | None = None
        self._is_leaving = False
        self._queue_peak = 0
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
        """Time of the next ``expire``, or None if nothing is queued."""
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
        """Return the number of requests that may run at present."""
        limit = min(self._limiter.limit, float(self._slots))
        if self._ramp_start_ms is not None:
            limit = min(limit, self._ramp_limit(now_ms))
        return max(1, int(limit))

    def offer(
        self, offer: messages.Offer, now_ms: int
    ) -> list[messages.Decision]:
        """Decide about a request.

        Returns
        -------
        list of Decision
            The decision about the offer, and decisions about queued
            requests that it displaced or that time has decided.
        """
        is_new = offer.stream not in self._running
        is_new = is_new and offer.stream not in self._queue
        invariants.check(is_new, "admission_stream_new", stream=offer.stream)
        if not is_new:
            return []
        self._patience.add(offer, now_ms)
        decisions = self.expire(now_ms)
        decisions += self._decide(offer, now_ms)
        return self._checked(decisions)

    def release(
        self, stream: int, now_ms: int, ok: bool, service_ms: float
    ) -> list[messages.Decision]:
        """Free the slot of a request that has ended.

        Parameters
        ----------
        ok : bool
            Whether the backend server served it; False for an error, for
            load shed by the backend server and for a missed deadline.
        service_ms : float
            Time for which it held the slot.

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
        self._held[rank] -= 1
        self._service_times.add(rank, ok, service_ms)
        self._limiter.on_finished(sample, now_ms)
        return self.expire(now_ms)

    def expire(self, now_ms: int) -> list[messages.Decision]:
        """Apply the passing of time to the queue."""
        self._now_ms = now_ms
        self._end_ramp(now_ms)
        decisions = self._drop_late(now_ms)
        decisions += self._dispatch(now_ms)
        return self._checked(decisions)

    def cancel(self, stream: int, now_ms: int) -> list[messages.Decision]:
        """Forget a queued request whose caller has gone.

        A running request keeps its slot until it is released, because the
        backend server may still be working on it.
        """
        self._queue.remove(stream)
        return self.expire(now_ms)

    def level(self, now_ms: int) -> messages.Level:
        """Return what is admitted at present."""
        limit = self.limit(now_ms)
        load = (self.running + self.queued) / limit
        rank = self._level.rank(now_ms)
        return messages.Level(rank, load, self._retry_after_ms(now_ms))

    def start_ramp(self, now_ms: int) -> None:
        """Limit a backend server that starts cold, from a tenth upwards."""
        self._ramp_start_ms = now_ms

    def set_leaving(self) -> None:
        """Refuse new requests; what is queued or running is kept."""
        self._is_leaving = True

    def set_objective(self, objective: model.Objective, now_ms: int) -> None:
        """Follow a change of the rules.

        The limiter starts anew, since its parameters depend on the objective.
        """
        if objective is self._objective:
            return
        self._objective = objective
        self._queue_factor = QUEUE_FACTOR[objective]
        self._limiter = self._make_limiter(self._slots, objective, now_ms)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; ``expire`` then uses new ones.

        Requests beyond a lower number keep running, and the queue shrinks
        as it is served.

        Raises
        ------
        ValueError
            If there is no slot.
        """
        _require_slots(slots)
        self._slots = slots
        self._limiter.set_slots(slots)

    def _decide(
        self, offer: messages.Offer, now_ms: int
    ) -> list[messages.Decision]:
        if self._is_leaving:
            return [messages.Refuse(offer.stream, "leaving", 0)]
        if self._is_late(offer, now_ms):
            return [self._refuse(offer.stream, "deadline", now_ms)]
        if self._may_start(offer.rank, now_ms):
            return [self._start(offer.stream, offer.rank, 0, now_ms)]
        is_held = offer.rank > self._level.floor(now_ms)
        # While a lesser request is queued, it is the one to be displaced.
        if is_held and not self._queue.below(offer.rank):
            return self._shed(offer.stream, offer.rank, "overload", now_ms)
        safe_ms = self._service_times.safe_ms(offer.rank)
        if not self._trusts_estimate(now_ms):
            return self._enqueue(offer, now_ms)
        if now_ms + safe_ms >= offer.expires_ms:
            # Too late without any wait: the deadline of one caller has no
            # effect on the level. Where it is the usual one of the rank, the
            # request would have run in a free slot, and no lesser one may
            # take the next.
            if self._patience.is_usual(offer, now_ms):
                self._level.on_shed(offer.rank, now_ms)
            return [self._refuse(offer.stream, "deadline", now_ms)]
        # Half the time between two releases for the next slot: where it
        # takes longer, ``_drop_late`` refuses the request in time.
        ahead = self._queue.ahead_of(offer) + 0.5
        wait_ms = self._wait_ms(ahead, now_ms)
        if now_ms + wait_ms + safe_ms >= offer.expires_ms:
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
        self._level.on_busy(now_ms)
        return [messages.Enqueue(offer.stream), *decisions]

    def _drop_late(self, now_ms: int) -> list[messages.Decision]:
        decisions: list[messages.Decision] = []
        if not self._queue:
            return decisions
        # An idle backend server refutes an estimate, not a deadline.
        is_trusted = self._trusts_estimate(now_ms)
        needs_ms: dict[int, float] = {}
        for entry in self._queue.entries:
            if is_trusted and entry.rank not in needs_ms:
                needs_ms[entry.rank] = self._service_times.safe_ms(entry.rank)
            need_ms = needs_ms.get(entry.rank, 0.0)
            if now_ms + need_ms < entry.expires_ms:
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
            self._level.on_busy(now_ms)
        return decisions

    def _may_start(self, rank: int, now_ms: int) -> bool:
        limit = self.limit(now_ms)
        if self.running >= limit or rank > self._level.floor(now_ms):
            return False
        return self._headroom.allows(rank, limit, self._held)

    def _start(
        self, stream: int, rank: int, waited_ms: int, now_ms: int
    ) -> messages.Decision:
        limit = self.limit(now_ms)
        invariants.check(
            self.running < limit, "admission_within_limit", limit=limit
        )
        self._running[stream] = rank
        self._held[rank] += 1
        self._level.on_admitted(rank, now_ms)
        mean_ms = self._service_times.rank_mean_ms(rank)
        self._headroom.on_start(rank, waited_ms, mean_ms, limit)
        return messages.Admit(stream)

    def _shed(
        self, stream: int, rank: int, reason: str, now_ms: int
    ) -> list[messages.Decision]:
        """Refuse a request, and all queued ones of lesser importance."""
        self._level.on_shed(rank, now_ms)
        decisions: list[messages.Decision] = []
        decisions.append(self._refuse(stream, reason, now_ms))
        for entry in self._queue.below(rank):
            self._queue.remove(entry.stream)
            self._level.on_shed(entry.rank, now_ms)
            decisions.append(self._refuse(entry.stream, "displaced", now_ms))
        invariants.check(
            not self._queue.below(rank), "admission_shed_in_order", rank=rank
        )
        return decisions

    def _refuse(
        self, stream: int, reason: str, now_ms: int
    ) -> messages.Decision:
        retry_after_ms = self._retry_after_ms(now_ms)
        return messages.Refuse(stream, reason, retry_after_ms)

    def _is_late(self, offer: messages.Offer, now_ms: int) -> bool:
        need_ms = 0.0
        if self._trusts_estimate(now_ms):
            need_ms = self._service_times.rank_mean_ms(offer.rank)
        return now_ms + need_ms >= offer.expires_ms

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

    def _checked(
        self, decisions: list[messages.Decision]
    ) -> list[messages.Decision]:
        # Fewer slots shrink the bound below what is queued already.
        bound = max(self.queue_limit, self._queue_peak)
        invariants.check(
            self.queued <= bound, "admission_queue_bounded", queued=self.queued
        )
        self._queue_peak = self.queued
        return decisions


def _require_slots(slots: int) -> None:
    if slots < 1:
        raise ValueError(f"a backend server needs a slot, not {slots}")
