"""Admission never exceeds the limit and sheds in the order of the ranks."""

import random

import pytest

from clementinekeel.admission import _estimate
from clementinekeel.admission import controller
from clementinekeel.admission import messages
from clementinekeel.configuration import model
from clementinekeel.runtime import registry

GOODPUT = model.Objective.GOODPUT
RECOVERY = model.Objective.RECOVERY_TIME


def make(slots=4, objective=GOODPUT, limiter="fixed"):
    return controller.AdmissionController(slots, objective, limiter, 0)


def offer(control, stream, rank=0, now=0, expires=10_000):
    return control.offer(messages.Offer(stream, rank, expires), now)


def fill(control, rank, count, now=0, start=0):
    for stream in range(start, start + count):
        offer(control, stream, rank, now)


def learn(control, service_ms, rank=0, count=20):
    for stream in range(10_000, 10_000 + count):
        offer(control, stream, rank)
        control.release(stream, 0, True, service_ms)


def refused(decisions):
    return {
        d.stream: d.reason for d in decisions if isinstance(d, messages.Refuse)
    }


def admitted(decisions):
    return [d.stream for d in decisions if isinstance(d, messages.Admit)]


def test_flood_of_low_rank_leaves_a_slot():
    """A flood that holds every slot makes a booking wait for its end."""
    control = make(slots=4)
    fill(control, 3, 20)
    assert control.running == 3
    assert offer(control, 100, 0) == [messages.Admit(100)]


def test_waiting_rank_gains_headroom():
    """One slot is too few when slow lookups hold all the others."""
    control = make(slots=20)
    fill(control, 3, 40)
    for turn in range(30):
        fill(control, 0, 2, now=turn * 100, start=1_000 + 2 * turn)
        for _ in range(2):
            running = sorted(control._running)
            done = [s for s in running if s >= 1_000] or running
            control.release(done[0], turn * 100 + 50, True, 50.0)
    assert control._reservations._reservations[0].slots > 1


def test_higher_rank_displaces_lowest():
    """A full queue of lookups must not turn a booking away."""
    control = make(slots=1)
    offer(control, 0)
    offer(control, 1, rank=3)
    offer(control, 2, rank=2)
    decisions = offer(control, 3, rank=0)
    assert decisions[0] == messages.Enqueue(3)
    assert refused(decisions) == {1: "displaced"}


def test_equal_rank_is_refused_when_full():
    """Displacing an equal would waste the time that it has waited."""
    control = make(slots=1)
    fill(control, 0, 3)
    assert refused(offer(control, 3)) == {3: "overload"}


def test_shedding_holds_back_lesser_ranks():
    """A lookup must not run in the gap after a booking was shed."""
    control = make(slots=2)
    fill(control, 0, 7)
    for stream in range(6):
        control.release(stream, 10, True, 10.0)
    assert control.is_idle
    assert refused(offer(control, 50, rank=2, now=20)) == {50: "overload"}
    assert admitted(offer(control, 51, rank=2, now=300)) == [51]


def test_order_is_rank_then_deadline_then_arrival():
    control = make(slots=1)
    offer(control, 0)
    offer(control, 1, rank=1, expires=500)
    offer(control, 2, rank=0, expires=900)
    assert admitted(control.release(0, 1, True, 1.0)) == [2]
    offer(control, 3, rank=1, expires=400)
    assert admitted(control.release(2, 2, True, 1.0)) == [3]
    offer(control, 4, rank=1, expires=500)
    assert admitted(control.release(3, 3, True, 1.0)) == [1]


@pytest.mark.parametrize(
    ("running", "expires", "reason"),
    [
        pytest.param(0, 0, "deadline", id="already expired"),
        pytest.param(1, 100, "deadline", id="shorter than the service time"),
        pytest.param(4, 250, "deadline", id="service time and wait too long"),
        pytest.param(4, 1_000, None, id="time enough to wait"),
        pytest.param(0, 100, None, id="idle server refutes the estimate"),
    ],
)
def test_request_that_cannot_finish(running, expires, reason):
    """Work for a request that ends after its deadline is wasted."""
    control = make(slots=4)
    learn(control, 200.0)
    fill(control, 0, running)
    decisions = offer(control, 50, expires=expires)
    assert refused(decisions) == ({50: reason} if reason else {})


def test_booking_that_would_wait_too_long_clears_lookups():
    """No lookup may be admitted in place of a booking that was shed."""
    control = make(slots=1)
    learn(control, 200.0)
    offer(control, 0)
    offer(control, 1, rank=2)
    decisions = offer(control, 2, rank=0, expires=350)
    assert refused(decisions) == {2: "deadline", 1: "displaced"}
    assert control.queued == 0


def test_tight_deadline_of_one_caller_sheds_nobody_else():
    """Only a lack of slots may clear lookups, not one caller's deadline."""
    control = make(slots=1)
    learn(control, 200.0)
    offer(control, 0)
    offer(control, 1, rank=2)
    decisions = offer(control, 2, rank=0, expires=210)
    assert refused(decisions) == {2: "deadline"}
    assert control.queued == 1


def test_release_refuses_what_became_late():
    """A queued request that is late must not get the free slot."""
    control = make(slots=2)
    fill(control, 0, 2)
    offer(control, 2, expires=150)
    offer(control, 3, expires=900)
    decisions = control.release(0, 100, True, 100.0)
    assert refused(decisions) == {2: "deadline"}
    assert admitted(decisions) == [3]


def test_expire_without_any_release():
    """A stuck backend server releases nothing; waiting callers must hear."""
    control = make(slots=1)
    offer(control, 0)
    offer(control, 1, expires=300)
    assert control.next_expiry_ms == 300
    assert refused(control.expire(300)) == {1: "deadline"}
    assert control.next_expiry_ms is None


def test_cancelled_is_never_admitted():
    control = make(slots=1)
    fill(control, 0, 2)
    assert control.cancel(1, 5) == []
    assert control.release(0, 6, True, 6.0) == []


def test_cancel_of_running_keeps_its_slot():
    """The backend server may work on; another request would be one more."""
    control = make(slots=1)
    fill(control, 0, 2)
    assert control.cancel(0, 5) == []
    assert control.running == 1


def test_leaving_refuses_new_and_keeps_queued():
    """A planned stop must not drop what was already accepted."""
    control = make(slots=1)
    fill(control, 0, 2)
    control.set_leaving()
    assert refused(offer(control, 9)) == {9: "leaving"}
    assert admitted(control.release(0, 1, True, 1.0)) == [1]


def test_ramp_after_a_cold_start():
    """A cold backend server fails under its full load."""
    control = make(slots=20)
    control.start_ramp(0)
    assert control.limit(0) == 2
    assert control.limit(5_000) == 11
    fill(control, 0, 3)
    assert control.next_expiry_ms == 500
    assert admitted(control.expire(600)) == [2]
    assert control.limit(10_000) == 20


def test_ramp_ends():
    control = make(slots=20)
    control.start_ramp(0)
    control.expire(10_000)
    assert control._ramp_start_ms is None


def test_fewer_slots_apply_at_once():
    control = make(slots=4)
    fill(control, 0, 6)
    control.set_slots(2)
    assert control.release(0, 1, True, 1.0) == []
    assert control.release(1, 1, True, 1.0) == []
    assert admitted(control.release(2, 1, True, 1.0)) == [4]


def test_zero_slots_are_rejected():
    with pytest.raises(ValueError, match="must be at least 1"):
        make(slots=0)


def test_unknown_limiter_is_rejected():
    with pytest.raises(registry.UnknownNameError):
        make(limiter="none")


def test_objective_sets_the_queue():
    """Recovery time depends on what is left to drain after a surge."""
    assert make(20, GOODPUT).queue_limit == 40
    assert make(20, RECOVERY).queue_limit == 10


def test_level_falls_when_a_rank_starves_and_rises_later():
    """Callers must learn to hold back, and to come back."""
    control = make(slots=2)
    assert control.level(0).rank == messages.ANY_RANK
    fill(control, 0, 2)
    for now in range(0, 800, 20):
        offer(control, 100 + now, rank=0, now=now, expires=60_000)
        offer(control, 101 + now, rank=3, now=now, expires=60_000)
    level = control.level(800)
    assert level.rank < 3
    assert level.retry_after_ms > 0
    for stream in list(control._running):
        control.release(stream, 800, True, 50.0)
    while control.running:
        control.release(next(iter(control._running)), 800, True, 50.0)
    assert control.level(900).rank == level.rank
    assert control.level(10_000).rank == messages.ANY_RANK


def test_booking_without_time_to_wait_holds_back_lookups():
    """A lookup must not take the slot that a refused booking lacked.

    When the service is so slow that nothing has time to wait, the next free
    slot would go to whichever request arrives first.
    """
    control = make(slots=1)
    learn(control, 200.0)
    for stream in range(100, 400):
        offer(control, stream, rank=0, now=0, expires=210)
    running = next(iter(control._running))
    control.release(running, 100, True, 200.0)
    decisions = offer(control, 400, rank=3, now=100, expires=1_000)
    assert refused(decisions) == {400: "overload"}


def test_p99_of_slow_requests_is_within_the_deadline():
    """Service times are skewed: the mean deviation hides the slow ones."""
    times = _estimate.ServiceTimes()
    source = random.Random(7)
    values = [200 * source.lognormvariate(-0.08, 0.4) for _ in range(5_000)]
    late = 0
    for number, value in enumerate(values):
        late += number >= 500 and value > times.rank_p99_ms(0)
        times.add(0, True, value)
    assert late <= 0.015 * len(values)


def test_change_of_the_objective_is_in_force_at_once():
    """Guards against a rule that only a restart of the node would apply."""
    control = make(slots=4, objective=GOODPUT)
    assert control.queue_limit == 8
    control.set_objective(RECOVERY, 0)
    assert control.queue_limit == 2
