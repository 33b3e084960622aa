"""Limits fall while the backend server is overloaded, and recover."""

import heapq
import random

import pytest

from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model

SLOTS = 90


def add_samples(concurrency_limiter, service_ms, windows, start_ms=0, ok=True):
    now_ms = start_ms
    for _ in range(windows * 10):
        now_ms += 10
        concurrency_limiter.on_finished(
            limiter.Sample(ok, service_ms, 50, True), now_ms
        )
    return now_ms


def make_limiter(name, objective=model.Objective.GOODPUT):
    return limiter.LIMITERS.get(name)(SLOTS, objective, 0)


@pytest.mark.parametrize("name", limiter.LIMITERS.names)
def test_steady_service_time_keeps_the_limit_at_the_slots(name):
    """A constant service time, without noise, must not cost goodput."""
    concurrency_limiter = make_limiter(name)
    add_samples(concurrency_limiter, 50.0, 50)
    assert concurrency_limiter.limit == SLOTS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize(
    ("service_ms", "ok"),
    [
        pytest.param(400.0, True, id="slow service"),
        pytest.param(1.0, False, id="fast failures"),
        pytest.param(2_000.0, False, id="missed deadlines"),
    ],
)
def test_limit_falls_and_recovers_within_3_s(name, service_ms, ok):
    """A limit that stays low after an overload loses goodput."""
    concurrency_limiter = make_limiter(name)
    now_ms = add_samples(concurrency_limiter, 50.0, 20)
    now_ms = add_samples(concurrency_limiter, service_ms, 50, now_ms, ok)
    assert 1 <= concurrency_limiter.limit < SLOTS / 3
    add_samples(concurrency_limiter, 50.0, 30, now_ms)
    assert concurrency_limiter.limit == SLOTS


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_recovery_time_objective_falls_faster(name):
    limits = []
    for objective in model.Objective:
        concurrency_limiter = make_limiter(name, objective)
        now_ms = add_samples(concurrency_limiter, 50.0, 20)
        add_samples(concurrency_limiter, 400.0, 3, now_ms)
        limits.append(concurrency_limiter.limit)
    assert limits[1] < limits[0]


@pytest.mark.parametrize("name", limiter.LIMITERS.names)
def test_limit_follows_a_change_of_the_slots(name):
    """A limit above the slots would exceed the backend server's own limit."""
    concurrency_limiter = make_limiter(name)
    concurrency_limiter.set_slots(10)
    assert concurrency_limiter.limit == 10
    concurrency_limiter.set_slots(30)
    assert concurrency_limiter.limit == 30


def simulate_backend(
    concurrency_limiter, start_ms, duration_ms, mean_service_ms
):
    """Run as many requests as the limit allows, one step per millisecond.

    ``mean_service_ms`` returns the mean service time at a concurrency.
    """
    source = random.Random(7)
    ends = []
    for now_ms in range(start_ms, start_ms + duration_ms):
        while ends and ends[0][0] <= now_ms:
            _, service_ms = heapq.heappop(ends)
            sample = limiter.Sample(True, service_ms, len(ends) + 1, True)
            concurrency_limiter.on_finished(sample, now_ms)
        while len(ends) < int(concurrency_limiter.limit):
            factor = source.lognormvariate(-0.08, 0.4)
            service_ms = factor * mean_service_ms(len(ends) + 1)
            heapq.heappush(
                ends,
                (now_ms + max(1, round(service_ms)), service_ms),
            )
    return start_ms + duration_ms


@pytest.mark.parametrize("objective", model.Objective)
def test_slowness_independent_of_the_limit_keeps_the_limit(objective):
    """A lower limit that doesn't speed up the service only costs goodput."""
    concurrency_limiter = limiter.LIMITERS.get("hill_climb")(20, objective, 0)
    now_ms = simulate_backend(
        concurrency_limiter, 0, 5_000, lambda running: 50.0
    )
    limits = []
    for _ in range(60):
        now_ms = simulate_backend(
            concurrency_limiter, now_ms, 1_000, lambda running: 200.0
        )
        limits.append(concurrency_limiter.limit)
    assert sum(limits) / len(limits) >= 0.95 * 20


@pytest.mark.parametrize("objective", model.Objective)
def test_slowness_by_concurrency_lowers_the_limit_until_it_ends(objective):
    """Above the concurrency that the service can use, which is 4 here, more
    of it only makes each request slower.
    """
    concurrency_limiter = limiter.LIMITERS.get("hill_climb")(20, objective, 0)
    now_ms = 5_000
    simulate_backend(concurrency_limiter, 0, now_ms, lambda running: 50.0)
    now_ms = simulate_backend(
        concurrency_limiter,
        now_ms,
        20_000,
        lambda running: 50.0 * max(1, running / 4),
    )
    assert 4 <= concurrency_limiter.limit <= 10
    simulate_backend(concurrency_limiter, now_ms, 3_000, lambda running: 50.0)
    assert concurrency_limiter.limit == 20


def test_long_requests_among_short_ones_are_not_slowness():
    """A recording takes 50 times as long as a lookup, which is no overload."""
    concurrency_limiter = make_limiter("hill_climb")
    source = random.Random(7)
    now_ms = 0
    for _ in range(5_000):
        now_ms += 10
        rank = 0 if source.random() < 0.1 else 2
        service_ms = 500.0 if rank == 0 else 10.0
        concurrency_limiter.on_finished(
            limiter.Sample(True, service_ms, 50, True, rank), now_ms
        )
        assert concurrency_limiter.limit == SLOTS


def test_failures_lower_the_limit_until_they_end():
    """A backend server that fails every request gets fewer of them."""
    concurrency_limiter = make_limiter("hill_climb")
    now_ms = add_samples(concurrency_limiter, 50.0, 20)
    now_ms = add_samples(concurrency_limiter, 1.0, 200, now_ms, ok=False)
    assert concurrency_limiter.limit < SLOTS / 3
    # A trial that has already started ends first.
    add_samples(concurrency_limiter, 50.0, 60, now_ms)
    assert concurrency_limiter.limit == SLOTS
