"""Admission never exceeds the limit and sheds in the order of the ranks.

The requests of the examples are bookings of rank 0 and lookups of higher,
less important ranks.
"""

import random

import pytest

from clementinekeel.admission import _estimate
from clementinekeel.admission import controller
from clementinekeel.admission import messages
from clementinekeel.configuration import model
from clementinekeel.runtime import registry

GOODPUT = model.Objective.GOODPUT
RECOVERY = model.Objective.RECOVERY_TIME


def make_admission(slots=4, objective=GOODPUT, limiter="fixed"):
    return controller.AdmissionController(slots, objective, limiter, 0)


def offer(admission, stream, rank=0, now=0, expires=10_000):
    return admission.offer(messages.Offer(stream, rank, expires), now)


def fill(admission, rank, count, now=0, start=0):
    for stream in range(start, start + count):
        offer(admission, stream, rank, now)


def record_service_times(admission, service_ms, rank=0, count=20):
    for stream in range(10_000, 10_000 + count):
        offer(admission, stream, rank)
        admission.release(stream, 0, True, service_ms)


def refused(decisions):
    return {
        d.stream: d.reason for d in decisions if isinstance(d, messages.Refuse)
    }


def admitted(decisions):
    return [d.stream for d in decisions if isinstance(d, messages.Admit)]


def test_flood_of_lookups_leaves_a_slot():
    """If lookups held every slot, a booking would wait until one ends."""
    admission = make_admission(slots=4)
    fill(admission, 3, 20)
    assert admission.running == 3
    assert offer(admission, 100, 0) == [messages.Admit(100)]


def test_waiting_rank_gets_more_reserved_slots():
    """One reserved slot is too few if slow lookups hold all others."""
    admission = make_admission(slots=20)
    fill(admission, 3, 40)
    for step in range(30):
        fill(admission, 0, 2, now=step * 100, start=1_000 + 2 * step)
        for _ in range(2):
            running = sorted(admission._running)
            finished = [s for s in running if s >= 1_000] or running
            admission.release(finished[0], step * 100 + 50, True, 50.0)
    assert admission._reservations._reservations[0].slots > 1


def test_higher_rank_displaces_lowest():
    """A booking must not be refused because lookups fill the queue."""
    admission = make_admission(slots=1)
    offer(admission, 0)
    offer(admission, 1, rank=3)
    offer(admission, 2, rank=2)
    decisions = offer(admission, 3, rank=0)
    assert decisions[0] == messages.Enqueue(3)
    assert refused(decisions) == {1: "displaced"}


def test_equal_rank_is_refused_when_full():
    """Displacing a request of equal rank would waste the time it waited."""
    admission = make_admission(slots=1)
    fill(admission, 0, 3)
    assert refused(offer(admission, 3)) == {3: "overload"}


def test_shedding_holds_back_less_important_ranks():
    """A lookup must not run in a short gap after a booking was shed."""
    admission = make_admission(slots=2)
    fill(admission, 0, 7)
    for stream in range(6):
        admission.release(stream, 10, True, 10.0)
    assert admission.is_idle
    assert refused(offer(admission, 50, rank=2, now=20)) == {50: "overload"}
    assert admitted(offer(admission, 51, rank=2, now=300)) == [51]


def test_order_is_rank_then_deadline_then_arrival():
    admission = make_admission(slots=1)
    offer(admission, 0)
    offer(admission, 1, rank=1, expires=500)
    offer(admission, 2, rank=0, expires=900)
    assert admitted(admission.release(0, 1, True, 1.0)) == [2]
    offer(admission, 3, rank=1, expires=400)
    assert admitted(admission.release(2, 2, True, 1.0)) == [3]
    offer(admission, 4, rank=1, expires=500)
    assert admitted(admission.release(3, 3, True, 1.0)) == [1]


@pytest.mark.parametrize(
    ("running", "expires", "reason"),
    [
        pytest.param(0, 0, "deadline", id="already expired"),
        pytest.param(1, 100, "deadline", id="shorter than the service time"),
        pytest.param(4, 250, "deadline", id="service time and wait too long"),
        pytest.param(4, 1_000, None, id="enough time to wait"),
        pytest.param(0, 100, None, id="estimate not applied when idle"),
    ],
)
def test_request_that_cannot_finish(running, expires, reason):
    """The work for a request that ends after its deadline is wasted."""
    admission = make_admission(slots=4)
    record_service_times(admission, 200.0)
    fill(admission, 0, running)
    decisions = offer(admission, 50, expires=expires)
    assert refused(decisions) == ({50: reason} if reason else {})


def test_booking_that_would_wait_too_long_displaces_lookups():
    """No lookup may be admitted in place of a booking that was shed."""
    admission = make_admission(slots=1)
    record_service_times(admission, 200.0)
    offer(admission, 0)
    offer(admission, 1, rank=2)
    decisions = offer(admission, 2, rank=0, expires=350)
    assert refused(decisions) == {2: "deadline", 1: "displaced"}
    assert admission.queued == 0


def test_tight_deadline_of_one_caller_sheds_no_other_request():
    """Only a lack of slots may displace lookups, not one tight deadline."""
    admission = make_admission(slots=1)
    record_service_times(admission, 200.0)
    offer(admission, 0)
    offer(admission, 1, rank=2)
    decisions = offer(admission, 2, rank=0, expires=210)
    assert refused(decisions) == {2: "deadline"}
    assert admission.queued == 1


def test_release_refuses_late_requests():
    """A queued request that can't finish in time must not get a slot."""
    admission = make_admission(slots=2)
    fill(admission, 0, 2)
    offer(admission, 2, expires=150)
    offer(admission, 3, expires=900)
    decisions = admission.release(0, 100, True, 100.0)
    assert refused(decisions) == {2: "deadline"}
    assert admitted(decisions) == [3]


def test_expire_without_any_release():
    """A stuck backend server releases no slot; late requests must still be
    refused.
    """
    admission = make_admission(slots=1)
    offer(admission, 0)
    offer(admission, 1, expires=300)
    assert admission.next_expiry_ms == 300
    assert refused(admission.expire(300)) == {1: "deadline"}
    assert admission.next_expiry_ms is None


def test_cancelled_request_is_never_admitted():
    admission = make_admission(slots=1)
    fill(admission, 0, 2)
    assert admission.cancel(1, 5) == []
    assert admission.release(0, 6, True, 6.0) == []


def test_cancelled_running_request_keeps_its_slot():
    """The backend server may still work on the request, so that a further
    one would exceed the limit.
    """
    admission = make_admission(slots=1)
    fill(admission, 0, 2)
    assert admission.cancel(0, 5) == []
    assert admission.running == 1


def test_leaving_refuses_new_and_keeps_queued_requests():
    """A planned stop must not drop requests that were already queued."""
    admission = make_admission(slots=1)
    fill(admission, 0, 2)
    admission.set_leaving()
    assert refused(offer(admission, 9)) == {9: "leaving"}
    assert admitted(admission.release(0, 1, True, 1.0)) == [1]


def test_ramp_during_warm_up():
    """A backend server that has just started fails under its full load."""
    admission = make_admission(slots=20)
    admission.start_ramp(0)
    assert admission.limit(0) == 2
    assert admission.limit(5_000) == 11
    fill(admission, 0, 3)
    assert admission.next_expiry_ms == 500
    assert admitted(admission.expire(600)) == [2]
    assert admission.limit(10_000) == 20


def test_ramp_ends():
    admission = make_admission(slots=20)
    admission.start_ramp(0)
    admission.expire(10_000)
    assert admission._ramp_start_ms is None


def test_fewer_slots_take_effect_at_once():
    admission = make_admission(slots=4)
    fill(admission, 0, 6)
    admission.set_slots(2)
    assert admission.release(0, 1, True, 1.0) == []
    assert admission.release(1, 1, True, 1.0) == []
    assert admitted(admission.release(2, 1, True, 1.0)) == [4]


def test_zero_slots_are_rejected():
    with pytest.raises(ValueError, match="must be at least 1"):
        make_admission(slots=0)


def test_unknown_limiter_is_rejected():
    with pytest.raises(registry.UnknownNameError):
        make_admission(limiter="none")


def test_objective_sets_the_queue_limit():
    """Recovery time depends on the requests still queued after a surge."""
    assert make_admission(20, GOODPUT).queue_limit == 40
    assert make_admission(20, RECOVERY).queue_limit == 10


def test_level_falls_when_a_rank_is_starved_and_rises_later():
    """Callers have to stop sending a shed rank, and to resume later."""
    admission = make_admission(slots=2)
    assert admission.level(0).rank == messages.ANY_RANK
    fill(admission, 0, 2)
    for now in range(0, 800, 20):
        offer(admission, 100 + now, rank=0, now=now, expires=60_000)
        offer(admission, 101 + now, rank=3, now=now, expires=60_000)
    level = admission.level(800)
    assert level.rank < 3
    assert level.retry_after_ms > 0
    for stream in list(admission._running):
        admission.release(stream, 800, True, 50.0)
    while admission.running:
        admission.release(next(iter(admission._running)), 800, True, 50.0)
    assert admission.level(900).rank == level.rank
    assert admission.level(10_000).rank == messages.ANY_RANK


def test_booking_without_time_to_wait_holds_back_lookups():
    """A lookup must not get a slot right after a booking was refused.

    When the service is so slow that no booking has time to wait, the next
    free slot would go to whichever request arrives first.
    """
    admission = make_admission(slots=1)
    record_service_times(admission, 200.0)
    for stream in range(100, 400):
        offer(admission, stream, rank=0, now=0, expires=210)
    running = next(iter(admission._running))
    admission.release(running, 100, True, 200.0)
    decisions = offer(admission, 400, rank=3, now=100, expires=1_000)
    assert refused(decisions) == {400: "overload"}


def test_p99_of_slow_requests_is_within_the_deadline():
    """Service times are skewed: an estimate from the mean and the mean
    deviation would be too low for the slow ones.
    """
    times = _estimate.ServiceTimes()
    source = random.Random(7)
    values = [200 * source.lognormvariate(-0.08, 0.4) for _ in range(5_000)]
    late = 0
    for number, value in enumerate(values):
        late += number >= 500 and value > times.rank_p99_ms(0)
        times.add(0, True, value)
    assert late <= 0.015 * len(values)


def test_change_of_the_objective_takes_effect_at_once():
    """A change of the rules must not need a restart of the node."""
    admission = make_admission(slots=4, objective=GOODPUT)
    assert admission.queue_limit == 8
    admission.set_objective(RECOVERY, 0)
    assert admission.queue_limit == 2
