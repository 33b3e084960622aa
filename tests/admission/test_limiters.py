"""Limiters fall when the backend server slows down, and come back."""

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
