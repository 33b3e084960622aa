"""Waiting for slots under the load patterns that the queue is made for."""

import heapq
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from clementinekeel.admission import slot_queue

NOW = 100.0


def make_request(number, rank=1, chain_started_at=NOW, remaining_s=1.0):
    return slot_queue.SlotRequest(
        number, rank, chain_started_at, NOW + remaining_s
    )


def full_queue(slots=2, service_ms=100.0):
    queue = slot_queue.SlotQueue(slots)
    for number in range(slots):
        queue.offer(make_request(-number - 1), NOW)
    for _ in range(200):
        queue._service_ms += 0.5 * (service_ms - queue._service_ms)
    return queue


def test_urgent_requests_are_served_first():
    queue = full_queue()
    queue.offer(make_request(1, rank=2), NOW)
    queue.offer(make_request(2, rank=0), NOW)
    assert queue.finish(-1, NOW, None).admitted == [2]


def test_older_chains_are_served_first_within_a_rank():
    """In the order of arrival, each of the four calls of a lookup would have
    the same chance of a slot, and most lookups would fail at the third or
    fourth call.
    """
    queue = full_queue()
    queue.offer(make_request(1, chain_started_at=NOW - 0.1), NOW)
    queue.offer(make_request(2, chain_started_at=NOW - 0.5), NOW)
    assert queue.finish(-1, NOW, None).admitted == [2]


def test_request_without_time_to_wait_is_refused_at_once():
    """A request that can't be answered in time must not wait first."""
    queue = full_queue(slots=2, service_ms=400)
    changes = queue.offer(make_request(1, remaining_s=0.3), NOW)
    assert [r.reason for r in changes.refused] == ["overload"]


def test_long_queue_displaces_the_least_urgent():
    queue = full_queue(slots=2, service_ms=100)
    for number in range(1, 8):
        queue.offer(make_request(number, rank=3, remaining_s=2), NOW)
    displaced = []
    for number in range(11, 18):
        displaced += queue.offer(
            make_request(number, rank=0, remaining_s=2), NOW
        ).refused
    assert {r.reason for r in displaced} == {"displaced"}
    assert all(r.number < 10 for r in displaced)


def test_waiting_request_is_refused_when_its_time_runs_out():
    queue = full_queue()
    queue.offer(make_request(1, remaining_s=1.0), NOW)
    assert queue.expire(NOW + 0.5).refused == []
    (refusal,) = queue.expire(NOW + 0.97).refused
    assert refusal == (1, "deadline")


@pytest.mark.parametrize("change", ["drop", "cancel"])
def test_removed_request_is_never_admitted(change):
    queue = full_queue()
    queue.offer(make_request(1), NOW)
    if change == "drop":
        assert queue.refuse_all("leaving").refused == [(1, "leaving")]
    else:
        assert queue.cancel(1)
    assert queue.finish(-1, NOW, None).admitted == []


def simulate_chains(make_queue, seconds=6.0, per_s=65.0):
    """Simulate a burst of chains of four calls at an endpoint of 2 slots.

    65 chains a second of 4 calls of 10 ms would need 2.6 slots. A chain fails
    with its first refused call, or 0.35 s after its start. Returns the share
    of the chains that finished.
    """
    queue = make_queue(2)
    for _ in range(200):
        queue._service_ms += 0.5 * (10.0 - queue._service_ms)
    numbers = itertools.count(1)
    events = []
    for index in range(int(seconds * per_s)):
        started_at = NOW + index / per_s
        heapq.heappush(
            events, (started_at, next(numbers), "call", started_at, 4)
        )
    calls, finished = {}, 0

    def apply(changes, now):
        for number in changes.admitted:
            heapq.heappush(events, (now + 0.01, number, "end", 0, 0))

    while events:
        now, number, kind, started_at, calls_left = heapq.heappop(events)
        if kind == "call":
            calls[number] = (started_at, calls_left)
            request = slot_queue.SlotRequest(
                number, 1, started_at, started_at + 0.35
            )
            apply(queue.offer(request, now), now)
        else:
            started_at, calls_left = calls[number]
            apply(queue.finish(number, now, 10.0), now)
            if calls_left == 1:
                finished += now <= started_at + 0.35
            else:
                event = (
                    now,
                    next(numbers),
                    "call",
                    started_at,
                    calls_left - 1,
                )
                heapq.heappush(events, event)
    return finished / (seconds * per_s)


class _ArrivalOrder(slot_queue.SlotQueue):
    """Baseline: serves requests of a rank in the order of their arrival."""

    def offer(self, request, now):
        return super().offer(request._replace(chain_started_at=now), now)


def test_burst_of_chains_serves_more_than_in_arrival_order():
    """Load pattern: a burst at a deep service that each lookup needs four
    times. The capacity suffices for 77% of the chains.
    """
    served = simulate_chains(slot_queue.SlotQueue)
    assert served > simulate_chains(_ArrivalOrder) + 0.1
    assert served > 0.65


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["offer", "finish", "cancel", "tick", "limit", "start"]
            ),
            strategies.integers(0, 3),
            strategies.integers(0, 30),
        ),
        max_size=120,
    )
)
def test_each_request_ends_once_and_slots_are_not_exceeded(steps):
    """A request that is both refused and admitted would run although the
    refusal says that it never will.
    """
    queue = slot_queue.SlotQueue(3)
    now, number = NOW, 0
    running, queued, ended = set(), set(), set()

    def apply(changes):
        for admitted in changes.admitted:
            assert admitted not in ended | running
            running.add(admitted)
            queued.discard(admitted)
        for refusal in changes.refused:
            assert refusal.number not in ended | running
            ended.add(refusal.number)
            queued.discard(refusal.number)

    for step, rank, amount in steps:
        if step == "offer":
            number += 1
            queued.add(number)
            remaining_s = 0.05 * amount
            apply(
                queue.offer(
                    slot_queue.SlotRequest(
                        number, rank, now, now + remaining_s
                    ),
                    now,
                )
            )
        elif step == "finish" and running:
            finished = running.pop()
            ended.add(finished)
            apply(queue.finish(finished, now, 10.0 * amount))
        elif step == "cancel" and queued:
            cancelled = min(queued)
            assert queue.cancel(cancelled)
            queued.discard(cancelled)
            ended.add(cancelled)
        elif step == "tick":
            now += amount / 100
            apply(queue.expire(now))
        elif step == "limit":
            apply(queue.limit_rate(float(amount) if rank else None, now))
        elif step == "start":
            apply(queue.start_waiting(now))
        assert queue.running == len(running) <= 3
        assert queue.queued == len(queued)
        # Without a time to start, a waiting request would wait for ever.
        starts = queue.next_start_at(now) is not None
        assert starts == bool(queued and len(running) < 3)


def test_waiting_requests_start_at_the_rate_of_the_limit():
    """A backend server has free slots, but takes fewer requests a second."""
    queue = slot_queue.SlotQueue(10)
    queue.limit_rate(10, NOW)
    for number in range(1, 4):
        queue.offer(make_request(number, remaining_s=5), NOW)
    started = []
    for step in range(1, 101):
        changes = queue.start_waiting(NOW + step / 100)
        started += [(number, step) for number in changes.admitted]
    assert started == [(1, 10), (2, 20), (3, 30)]


def test_wait_for_the_rate_decides_who_is_refused():
    """Otherwise requests wait in vain although another endpoint has room."""
    queue = slot_queue.SlotQueue(10)
    queue.limit_rate(2, NOW)
    refused = queue.offer(make_request(1), NOW).refused
    assert [r.reason for r in refused] == ["overload"]
    assert queue.retry_after_ms == 500


def test_least_urgent_requests_are_refused_when_the_limit_falls():
    queue = slot_queue.SlotQueue(10)
    queue.limit_rate(100, NOW)
    for number in range(1, 21):
        queue.offer(make_request(number, rank=number % 2, remaining_s=5), NOW)
    refused = {r.number for r in queue.limit_rate(5, NOW).refused}
    assert set(range(1, 21)) - refused == {2, 4, 6}


def test_queue_tells_when_the_next_request_may_start():
    queue = slot_queue.SlotQueue(1)
    queue.limit_rate(10, NOW)
    assert queue.next_start_at(NOW) is None
    queue.offer(make_request(1, remaining_s=5), NOW)
    assert queue.next_start_at(NOW) == pytest.approx(NOW + 0.1)
    queue.start_waiting(NOW + 0.1)
    queue.offer(make_request(2, remaining_s=5), NOW + 0.1)
    assert queue.next_start_at(NOW + 0.1) is None


def test_deadlines_that_are_brought_forward_keep_the_order():
    """A queue that outlived a suspension of its VM ran expired requests."""
    queue = slot_queue.SlotQueue(1)
    for number, rank in ((1, 0), (2, 2), (3, 0)):
        queue.offer(slot_queue.SlotRequest(number, rank, 0.0, 5.0), 0.0)
    queue.bring_forward(2.0)
    assert queue.expire(2.0).refused == []
    assert queue.finish(1, 2.0, None).admitted == [3]
    late = queue.expire(3.0).refused
    assert [refusal.number for refusal in late] == [2]
