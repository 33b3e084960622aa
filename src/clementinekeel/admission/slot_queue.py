"""Which requests run at a backend server, wait for a slot or are refused.

Load pattern answered: more requests arrive than the slots can take, for
seconds, with work times of which one in a hundred is five times the mean.
Slots never exceed what the backend server processes at once, since servers
that can't queue a request may never answer it. The queue stays short enough
that what it holds can still be answered in time; the rest is refused at once,
so that the sender can try another endpoint.
"""

import heapq
from typing import NamedTuple

SERVICE_MS_START = 100.0
"""Service time assumed before the first measurement, in milliseconds."""
SERVICE_GAIN = 0.05
"""Weight of a new measurement; about 20 requests decide the average."""
MAX_WAIT_MS = 400.0
"""Longest wait that is planned for; a longer queue only ages requests, while
another endpoint or a later return serves them better."""
MAX_INFLATION = 8.0
"""Largest factor between planned and actual waits that is believed."""
INFLATION_GAIN = 0.1
"""Weight of a new measurement of that factor."""
WAIT_SHARE = 0.3
"""Share of a request's remaining time that may be spent waiting; the rest is
for its own work and for calls that it has yet to make."""


class SlotRequest(NamedTuple):
    """A request that asks for a slot.

    Attributes
    ----------
    rank : int
        Importance; 0 is served first.
    began_at : float
        When the chain of calls began. The oldest goes first, so that chains
        that have begun are finished instead of all failing halfway.
    expires_at : float
        When its caller stops waiting, in seconds of the runtime's clock.
    """

    number: int
    rank: int
    began_at: float
    expires_at: float


class Refused(NamedTuple):
    """A request that gets no slot here."""

    number: int
    reason: str


class Changes(NamedTuple):
    """What a change of the queue leads to.

    Attributes
    ----------
    admitted : list of int
        Requests that have a slot from now on.
    refused : list of Refused
        Requests that have not run and will not.
    """

    admitted: list[int]
    refused: list[Refused]


def _order(ticket: SlotRequest) -> tuple[int, float, int]:
    return ticket.rank, ticket.began_at, ticket.number


class SlotQueue:
    """Slots of one backend server and the requests that wait for them."""

    def __init__(self, slots: int = 0) -> None:
        self._slots = slots
        self._running: set[int] = set()
        self._heap: list[tuple[int, float, int, SlotRequest]] = []
        self._waiting: dict[int, SlotRequest] = {}
        self._service_ms = SERVICE_MS_START
        self._entered: dict[int, tuple[float, float]] = {}
        self._inflation = 1.0

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
        """When a slot is likely to be free for one more request."""
        return (len(self._waiting) + 1) * self._slot_gap_ms()

    def resize(self, slots: int, now: float) -> Changes:
        """Set the number of slots."""
        self._slots = slots
        return self._fill(now)

    def offer(self, ticket: SlotRequest, now: float) -> Changes:
        """Decide about a new request."""
        if ticket.expires_at <= now:
            return Changes([], [Refused(ticket.number, "deadline")])
        if len(self._running) < self._slots and not self._waiting:
            self._running.add(ticket.number)
            return Changes([ticket.number], [])
        planned_ms = self._wait_ms(ticket)
        if planned_ms * self._inflation > self._patience_ms(ticket, now):
            return Changes([], [Refused(ticket.number, "overload")])
        self._entered[ticket.number] = now, planned_ms
        heapq.heappush(self._heap, (*_order(ticket), ticket))
        self._waiting[ticket.number] = ticket
        return self._shed(now)

    def finish(
        self, number: int, now: float, service_ms: float | None
    ) -> Changes:
        """Free the slot of a request; ``None`` if its time says nothing."""
        self._running.discard(number)
        if service_ms is not None:
            self._service_ms += SERVICE_GAIN * (service_ms - self._service_ms)
        return self._fill(now)

    def cancel(self, number: int) -> bool:
        """Drop a waiting request; tell whether it was waiting."""
        self._entered.pop(number, None)
        return self._waiting.pop(number, None) is not None

    def refuse_all(self, reason: str) -> Changes:
        """Refuse all waiting requests."""
        refused = [Refused(number, reason) for number in self._waiting]
        self._waiting.clear()
        self._entered.clear()
        self._heap.clear()
        return Changes([], refused)

    def expire(self, now: float) -> Changes:
        """Refuse waiting requests that can't be answered in time."""
        late = [
            Refused(number, "deadline")
            for number, ticket in self._waiting.items()
            if (ticket.expires_at - now) * 1000 < self._service_ms * 0.5
        ]
        for refusal in late:
            del self._waiting[refusal.number]
            self._learn_wait(refusal.number, now)
        return Changes([], late)

    def _slot_gap_ms(self) -> float:
        return self._service_ms / max(1, self._slots)

    def _wait_ms(self, ticket: SlotRequest) -> float:
        order = _order(ticket)
        ahead = sum(1 for t in self._waiting.values() if _order(t) < order)
        return (ahead + 1) * self._slot_gap_ms()

    def _learn_wait(self, number: int, now: float) -> None:
        # Requests that come later but rank higher go ahead, such as the next
        # calls of older chains, so that a plan by the queue alone is short.
        entered = self._entered.pop(number, None)
        if entered is None:
            return
        waited_ms = (now - entered[0]) * 1000
        ratio = min(MAX_INFLATION, max(1.0, waited_ms / entered[1]))
        self._inflation += INFLATION_GAIN * (ratio - self._inflation)

    def _patience_ms(self, ticket: SlotRequest, now: float) -> float:
        left_ms = (ticket.expires_at - now) * 1000
        return min(MAX_WAIT_MS, left_ms * WAIT_SHARE)

    def _shed(self, now: float) -> Changes:
        # An urgent request may have pushed less urgent ones too far back.
        limit = MAX_WAIT_MS / self._slot_gap_ms() + 1
        refused: list[Refused] = []
        while len(self._waiting) > limit:
            worst = max(self._waiting.values(), key=_order)
            del self._waiting[worst.number]
            self._entered.pop(worst.number, None)
            refused.append(Refused(worst.number, "displaced"))
        return Changes([], refused)

    def _fill(self, now: float) -> Changes:
        admitted: list[int] = []
        refused: list[Refused] = []
        while self._heap and len(self._running) < self._slots:
            ticket = heapq.heappop(self._heap)[-1]
            if self._waiting.pop(ticket.number, None) is None:
                continue
            self._learn_wait(ticket.number, now)
            left_ms = (ticket.expires_at - now) * 1000
            if left_ms < self._service_ms * 0.5:
                refused.append(Refused(ticket.number, "deadline"))
                continue
            self._running.add(ticket.number)
            admitted.append(ticket.number)
        return Changes(admitted, refused)
