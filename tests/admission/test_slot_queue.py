"""Waiting for slots under load, with the patterns that the queue answers."""

import heapq
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from clementinekeel.admission import slot_queue

NOW = 100.0


def ticket(number, rank=1, chain_began_at=NOW, left_s=1.0):
    return slot_queue.SlotRequest(number, rank, chain_began_at, NOW + left_s)


def full_queue(slots=2, service_ms=100.0):
    queue = slot_queue.SlotQueue(slots)
    for number in range(slots):
        queue.offer(ticket(-number - 1), NOW)
    for _ in range(200):
        queue._service_ms += 0.5 * (service_ms - queue._service_ms)
    return queue


def test_urgent_requests_go_first():
    queue = full_queue()
    queue.offer(ticket(1, rank=2), NOW)
    queue.offer(ticket(2, rank=0), NOW)
    assert queue.finish(-1, NOW, None).admitted == [2]


def test_older_chains_go_first_within_a_rank():
    """Four calls of one lookup each found room with the same chance, so that
    of lookups that had begun most failed at the third or fourth call.
    """
    queue = full_queue()
    queue.offer(ticket(1, chain_began_at=NOW - 0.1), NOW)
    queue.offer(ticket(2, chain_began_at=NOW - 0.5), NOW)
    assert queue.finish(-1, NOW, None).admitted == [2]


def test_hopeless_request_is_refused_at_once():
    """A request that can't be answered in time must not wait for that."""
    queue = full_queue(slots=2, service_ms=400)
    changes = queue.offer(ticket(1, left_s=0.3), NOW)
    assert [r.reason for r in changes.refused] == ["overload"]


def test_long_queue_displaces_the_least_urgent():
    queue = full_queue(slots=2, service_ms=100)
    for number in range(1, 8):
        queue.offer(ticket(number, rank=3, left_s=2), NOW)
    displaced = []
    for number in range(11, 18):
        displaced += queue.offer(ticket(number, rank=0, left_s=2), NOW).refused
    assert {r.reason for r in displaced} == {"displaced"}
    assert all(r.number < 10 for r in displaced)


def test_waiting_request_is_refused_when_its_time_runs_out():
    queue = full_queue()
    queue.offer(ticket(1, left_s=1.0), NOW)
    assert queue.expire(NOW + 0.5).refused == []
    (refusal,) = queue.expire(NOW + 0.97).refused
    assert refusal == (1, "deadline")


@pytest.mark.parametrize("change", ["drop", "cancel"])
def test_dropped_request_is_never_admitted(change):
    queue = full_queue()
    queue.offer(ticket(1), NOW)
    if change == "drop":
        assert queue.refuse_all("leaving").refused == [(1, "leaving")]
    else:
        assert queue.cancel(1)
    assert queue.finish(-1, NOW, None).admitted == []


def replay(queue_of, seconds=6.0, per_s=65.0):
    """Replay a burst of chains of four calls at an endpoint of 2 slots.

    65 chains a second of 4 calls of 10 ms need 2.6 slots of 2; a chain fails
    with its first refused call, and 0.35 s after it began.
    """
    queue = queue_of(2)
    for _ in range(200):
        queue._service_ms += 0.5 * (10.0 - queue._service_ms)
    numbers = itertools.count(1)
    events = []
    for index in range(int(seconds * per_s)):
        began = NOW + index / per_s
        heapq.heappush(events, (began, next(numbers), "call", began, 4))
    owners, finished = {}, 0

    def apply(changes, now):
        for number in changes.admitted:
            heapq.heappush(events, (now + 0.01, number, "end", 0, 0))

    while events:
        now, number, kind, began, left = heapq.heappop(events)
        if kind == "call":
            owners[number] = (began, left)
            ask = slot_queue.SlotRequest(number, 1, began, began + 0.35)
            apply(queue.offer(ask, now), now)
        else:
            began, left = owners[number]
            apply(queue.finish(number, now, 10.0), now)
            if left == 1:
                finished += now <= began + 0.35
            else:
                entry = (now, next(numbers), "call", began, left - 1)
                heapq.heappush(events, entry)
    return finished / (seconds * per_s)


class _ArrivalOrder(slot_queue.SlotQueue):
    """The baseline: requests of a rank in the order of their arrival."""

    def offer(self, ticket, now):
        return super().offer(ticket._replace(chain_began_at=now), now)


def test_burst_of_chains_serves_more_than_in_arrival_order():
    """Load pattern: a burst at a deep service that each lookup needs four
    times. The capacity suffices for 77% of the chains.
    """
    served = replay(slot_queue.SlotQueue)
    assert served > replay(_ArrivalOrder) + 0.1
    assert served > 0.65


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["offer", "finish", "cancel", "tick"]),
            strategies.integers(0, 3),
            strategies.integers(0, 30),
        ),
        max_size=120,
    )
)
def test_each_request_ends_once_and_slots_are_kept(steps):
    """A request that is both refused and admitted would run after the
    refusal had promised that it never will.
    """
    queue = slot_queue.SlotQueue(3)
    now, number = NOW, 0
    running, waiting, ended = set(), set(), set()

    def apply(changes):
        for admitted in changes.admitted:
            assert admitted not in ended | running
            running.add(admitted)
            waiting.discard(admitted)
        for refusal in changes.refused:
            assert refusal.number not in ended | running
            ended.add(refusal.number)
            waiting.discard(refusal.number)

    for step, rank, amount in steps:
        if step == "offer":
            number += 1
            waiting.add(number)
            left = 0.05 * amount
            apply(
                queue.offer(
                    slot_queue.SlotRequest(number, rank, now, now + left), now
                )
            )
        elif step == "finish" and running:
            done = running.pop()
            ended.add(done)
            apply(queue.finish(done, now, 10.0 * amount))
        elif step == "cancel" and waiting:
            gone = min(waiting)
            assert queue.cancel(gone)
            waiting.discard(gone)
            ended.add(gone)
        elif step == "tick":
            now += amount / 100
            apply(queue.expire(now))
        assert queue.running == len(running) <= 3
        assert queue.queued == len(waiting)
