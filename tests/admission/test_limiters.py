"""Limiters fall when the backend server slows down, and come back."""

import heapq
import random

import pytest

from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model

SLOTS = 90


def drive(entry, service_ms, windows, start_ms=0, ok=True):
    now_ms = start_ms
    for _ in range(windows * 10):
        now_ms += 10
        entry.on_finished(limiter.Sample(ok, service_ms, 50, True), now_ms)
    return now_ms


def make(name, objective=model.Objective.GOODPUT):
    return limiter.LIMITERS.get(name)(SLOTS, objective, 0)


@pytest.mark.parametrize("name", limiter.LIMITERS.names)
def test_steady_service_keeps_all_slots(name):
    """Noise-free service at the normal speed must not cost goodput."""
    entry = make(name)
    drive(entry, 50.0, 50)
    assert entry.limit == SLOTS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize(
    ("service_ms", "ok"),
    [
        pytest.param(400.0, True, id="slow service"),
        pytest.param(1.0, False, id="fast failures"),
        pytest.param(2_000.0, False, id="missed deadlines"),
    ],
)
def test_limit_falls_and_returns_within_3_s(name, service_ms, ok):
    """A limit that stays low after an overload loses goodput."""
    entry = make(name)
    now_ms = drive(entry, 50.0, 20)
    now_ms = drive(entry, service_ms, 50, now_ms, ok)
    assert 1 <= entry.limit < SLOTS / 3
    drive(entry, 50.0, 30, now_ms)
    assert entry.limit == SLOTS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_recovery_time_objective_falls_faster(name):
    limits = []
    for objective in model.Objective:
        entry = make(name, objective)
        now_ms = drive(entry, 50.0, 20)
        drive(entry, 400.0, 3, now_ms)
        limits.append(entry.limit)
    assert limits[1] < limits[0]


@pytest.mark.parametrize("name", limiter.LIMITERS.names)
def test_new_slots_bound_the_limit(name):
    """More than the slots would break the backend server's own limit."""
    entry = make(name)
    entry.set_slots(10)
    assert entry.limit == 10
    entry.set_slots(30)
    assert entry.limit == 30


def simulate(entry, start_ms, duration_ms, service_ms):
    """Keep the limit in use; the service time depends on concurrency."""
    source = random.Random(7)
    ends = []
    for now_ms in range(start_ms, start_ms + duration_ms):
        while ends and ends[0][0] <= now_ms:
            _, took_ms = heapq.heappop(ends)
            sample = limiter.Sample(True, took_ms, len(ends) + 1, True)
            entry.on_finished(sample, now_ms)
        while len(ends) < int(entry.limit):
            factor = source.lognormvariate(-0.08, 0.4)
            took_ms = factor * service_ms(len(ends) + 1)
            heapq.heappush(ends, (now_ms + max(1, round(took_ms)), took_ms))
    return start_ms + duration_ms


@pytest.mark.parametrize("objective", model.Objective)
def test_constant_slowness_keeps_the_slots(objective):
    """A lower limit only costs goodput if it doesn't speed the service up."""
    entry = limiter.LIMITERS.get("hill_climb")(20, objective, 0)
    now_ms = simulate(entry, 0, 5_000, lambda running: 50.0)
    limits = []
    for _ in range(60):
        now_ms = simulate(entry, now_ms, 1_000, lambda running: 200.0)
        limits.append(entry.limit)
    assert sum(limits) / len(limits) >= 0.95 * 20


@pytest.mark.parametrize("objective", model.Objective)
def test_thrashing_lowers_the_limit_and_its_end_restores_it(objective):
    """Above the knee more concurrency only makes each request slower."""
    entry = limiter.LIMITERS.get("hill_climb")(20, objective, 0)
    now_ms = 5_000
    simulate(entry, 0, now_ms, lambda running: 50.0)
    now_ms = simulate(
        entry, now_ms, 20_000, lambda running: 50.0 * max(1, running / 4)
    )
    assert 4 <= entry.limit <= 10
    simulate(entry, now_ms, 3_000, lambda running: 50.0)
    assert entry.limit == 20


def test_long_requests_among_short_ones_are_not_slowness():
    """A recording takes 50 times as long as a lookup, and is no overload."""
    entry = make("hill_climb")
    source = random.Random(7)
    now_ms = 0
    for _ in range(5_000):
        now_ms += 10
        rank = 0 if source.random() < 0.1 else 2
        service_ms = 500.0 if rank == 0 else 10.0
        entry.on_finished(
            limiter.Sample(True, service_ms, 50, True, rank), now_ms
        )
        assert entry.limit == SLOTS


def test_failures_lower_the_limit_and_their_end_restores_it():
    """A backend server that fails every call gets fewer of them."""
    entry = make("hill_climb")
    now_ms = drive(entry, 50.0, 20)
    now_ms = drive(entry, 1.0, 200, now_ms, ok=False)
    assert entry.limit < SLOTS / 3
    # A trial that is under way ends first.
    drive(entry, 50.0, 60, now_ms)
    assert entry.limit == SLOTS
