"""Which requests run at a backend server, wait for a slot or are refused.

The queue is made for this load pattern: for seconds, more requests arrive than
the slots can take, with service times of which one in a hundred is five times
the mean. No more requests run than the backend server processes at once, since
servers that can't queue a request may never answer it. The queue stays short
enough that its requests can still be answered in time; all others are refused
at once, so that the sender can try another endpoint. A backend server with a
rate limit gets its requests in the same order, at that rate.
"""

import heapq
from typing import NamedTuple

from clementinekeel.admission import rate_limiter

SERVICE_START_MS = 100.0
"""Service time assumed before the first measurement, in milliseconds."""
SERVICE_GAIN = 0.05
"""Weight of one service time; the average follows about the last 20."""
WAIT_MAX_MS = 400.0
"""Longest estimated wait of a queued request. A longer queue only delays
requests that another endpoint or a later attempt would serve sooner."""
WAIT_RATIO_MAX = 8.0
"""Upper bound of the ratio of actual to estimated wait."""
WAIT_RATIO_GAIN = 0.1
"""Weight of one wait in the average of that ratio."""
WAIT_SHARE = 0.3
"""Share of a request's remaining time that it may wait; the rest is for its
own work and for the calls that it still has to make."""


class SlotRequest(NamedTuple):
    """A request that needs a slot.

    Attributes
    ----------
    number : int
        Identifies the request at this node.
    rank : int
        Importance; 0 is served first.
    chain_started_at : float
        When its call chain started, in seconds of the event loop's clock. The
        oldest chain is served first, so that started chains are finished
        instead of all failing halfway.
    expires_at : float
        Deadline of its caller, in seconds of the event loop's clock.
    """

    number: int
    rank: int
    chain_started_at: float
    expires_at: float


class Refusal(NamedTuple):
    """A request that gets no slot at this endpoint."""

    number: int
    reason: str


class Changes(NamedTuple):
    """Requests that are admitted or refused when the queue changes.

    Attributes
    ----------
    admitted : list of int
        Numbers of the requests that hold a slot from now on.
    refused : list of Refusal
        Requests that have not run and will not.
    """

    admitted: list[int]
    refused: list[Refusal]


def _sort_key(request: SlotRequest) -> tuple[int, float, int]:
    return request.rank, request.chain_started_at, request.number


class SlotQueue:
    """Slots of one backend server and the requests that wait for them."""

    def __init__(self, slots: int = 0) -> None:
        self._slots = slots
        self._rate = rate_limiter.RateLimiter()
        self._running: set[int] = set()
        self._heap: list[tuple[int, float, int, SlotRequest]] = []
        self._waiting: dict[int, SlotRequest] = {}
        self._service_ms = SERVICE_START_MS
        # Time of queueing and estimated wait in ms, by number.
        self._wait_estimates: dict[int, tuple[float, float]] = {}
        self._wait_ratio = 1.0

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """Slots of the backend server."""
        return self._slots

    @property
    def service_ms(self) -> float:
        """Average time for which a request holds a slot."""
        return self._service_ms

    @property
    def retry_after_ms(self) -> float:
        """Time until a slot is likely to be free for one more request."""
        return (len(self._waiting) + 1) * self._release_interval_ms()

    def resize(self, slots: int, now: float) -> Changes:
        """Set the number of slots."""
        self._slots = slots
        return self._fill_slots(now)

    def limit_rate(self, limit_per_s: float | None, now: float) -> Changes:
        """Set the rate at which requests may start; None for no limit."""
        self._rate.set_limit(limit_per_s, now)
        refused = self._shed().refused
        changes = self._fill_slots(now)
        return Changes(changes.admitted, refused + changes.refused)

    def next_start_at(self, now: float) -> float | None:
        """Return when a waiting request may start because of the rate.

        None if nothing waits, or if the next start needs a slot first.
        """
        if not self._waiting or len(self._running) >= self._slots:
            return None
        return self._rate.next_permit_at(now)

    def start_waiting(self, now: float) -> Changes:
        """Start the waiting requests for which the rate now has permits."""
        return self._fill_slots(now)

    def on_resend(self, now: float) -> None:
        """Count a further arrival of a running request towards the rate."""
        self._rate.consume(now)

    def offer(self, request: SlotRequest, now: float) -> Changes:
        """Decide about a new request."""
        if request.expires_at <= now:
            return Changes([], [Refusal(request.number, "deadline")])
        has_free_slot = len(self._running) < self._slots and not self._waiting
        if has_free_slot and self._rate.try_consume(now):
            self._running.add(request.number)
            return Changes([request.number], [])
        estimated_ms = self._wait_ms(request)
        if estimated_ms * self._wait_ratio > self._wait_max_ms(request, now):
            return Changes([], [Refusal(request.number, "overload")])
        self._wait_estimates[request.number] = now, estimated_ms
        heapq.heappush(self._heap, (*_sort_key(request), request))
        self._waiting[request.number] = request
        return self._shed()

    def finish(
        self, number: int, now: float, service_ms: float | None
    ) -> Changes:
        """Free the slot of a request that has ended.

        Parameters
        ----------
        service_ms : float or None
            Time for which the request held the slot; None if this is no
            measure of its work, such as the time until a failure.
        """
        self._running.discard(number)
        if service_ms is not None:
            self._service_ms += SERVICE_GAIN * (service_ms - self._service_ms)
        return self._fill_slots(now)

    def cancel(self, number: int) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        self._wait_estimates.pop(number, None)
        return self._waiting.pop(number, None) is not None

    def refuse_all(self, reason: str) -> Changes:
        """Refuse all waiting requests."""
        refused = [Refusal(number, reason) for number in self._waiting]
        self._waiting.clear()
        self._wait_estimates.clear()
        self._heap.clear()
        return Changes([], refused)

    def bring_forward(self, seconds: float) -> None:
        """Bring the deadlines of waiting requests forward."""
        self._waiting = {
            number: request._replace(expires_at=request.expires_at - seconds)
            for number, request in self._waiting.items()
        }
        self._heap = [
            (*_sort_key(request), request)
            for request in self._waiting.values()
        ]
        heapq.heapify(self._heap)

    def expire(self, now: float) -> Changes:
        """Refuse waiting requests that can't be answered in time."""
        late = [
            Refusal(number, "deadline")
            for number, request in self._waiting.items()
            if (request.expires_at - now) * 1000 < self._service_ms * 0.5
        ]
        for refusal in late:
            del self._waiting[refusal.number]
            self._update_wait_ratio(refusal.number, now)
        return Changes([], late)

    def _release_interval_ms(self) -> float:
        slot_interval_ms = self._service_ms / max(1, self._slots)
        return max(slot_interval_ms, self._rate.interval_ms)

    def _wait_ms(self, request: SlotRequest) -> float:
        sort_key = _sort_key(request)
        ahead = sum(
            1
            for waiting in self._waiting.values()
            if _sort_key(waiting) < sort_key
        )
        return (ahead + 1) * self._release_interval_ms()

    def _update_wait_ratio(self, number: int, now: float) -> None:
        # Requests that arrive later but are more urgent go ahead, such as the
        # next calls of older chains, so that an estimate from the queue alone
        # is too short.
        estimate = self._wait_estimates.pop(number, None)
        if estimate is None:
            return
        waited_ms = (now - estimate[0]) * 1000
        ratio = min(WAIT_RATIO_MAX, max(1.0, waited_ms / estimate[1]))
        self._wait_ratio += WAIT_RATIO_GAIN * (ratio - self._wait_ratio)

    def _wait_max_ms(self, request: SlotRequest, now: float) -> float:
        remaining_ms = (request.expires_at - now) * 1000
        return min(WAIT_MAX_MS, remaining_ms * WAIT_SHARE)

    def _shed(self) -> Changes:
        # Behind an urgent request, less urgent ones may now wait too long.
        limit = WAIT_MAX_MS / self._release_interval_ms() + 1
        refused: list[Refusal] = []
        while len(self._waiting) > limit:
            last = max(self._waiting.values(), key=_sort_key)
            del self._waiting[last.number]
            self._wait_estimates.pop(last.number, None)
            refused.append(Refusal(last.number, "displaced"))
        return Changes([], refused)

    def _fill_slots(self, now: float) -> Changes:
        admitted: list[int] = []
        refused: list[Refusal] = []
        while self._heap and len(self._running) < self._slots:
            request = self._heap[0][-1]
            if request.number not in self._waiting:
                heapq.heappop(self._heap)
                continue
            remaining_ms = (request.expires_at - now) * 1000
            is_late = remaining_ms < self._service_ms * 0.5
            if not is_late and not self._rate.try_consume(now):
                break
            heapq.heappop(self._heap)
            del self._waiting[request.number]
            self._update_wait_ratio(request.number, now)
            if is_late:
                refused.append(Refusal(request.number, "deadline"))
                continue
            self._running.add(request.number)
            admitted.append(request.number)
        return Changes(admitted, refused)
