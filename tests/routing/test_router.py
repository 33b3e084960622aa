"""Routing stays near, avoids outliers and never gives up a service."""

import collections
import random

import pytest

from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.routing import router
from clementinekeel.runtime import registry

NONE = frozenset()
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
Signal = messages.Signal


def candidate(name, zone="z1", incarnation=1):
    return messages.Candidate(
        name, "s", zone, ZONES[zone], name, incarnation, ""
    )


def make(*candidates, balancer="two_choices", seed=1):
    made = router.Router("z1", "r1", random.Random(seed), balancer)
    made.update("s", list(candidates), 0)
    return made


def observe(made, entry, signal, now=0, rank=255, load=0.0, retry=0):
    seen = messages.Observation(signal, rank, load, retry, 1.0)
    made.observe(entry, seen, now)


def spread(made, now=0, rank=0, count=400, exclude=NONE):
    chosen = collections.Counter()
    for _ in range(count):
        target = made.choose("s", rank, now, exclude)
        if isinstance(target, messages.NoTarget):
            chosen[target.reason] += 1
            continue
        chosen[target.endpoint] += 1
        observe(made, target, Signal.CANCELLED, now)
    return chosen


NEAR = candidate("near")
NEAR2 = candidate("near2")
MID = candidate("mid", "z2")
FAR = candidate("far", "z3")


@pytest.mark.parametrize(
    ("observations", "expected"),
    [
        pytest.param([], "near", id="all healthy"),
        pytest.param([(NEAR, Signal.ANSWERED, 1.5)], "mid", id="zone full"),
        pytest.param(
            [(NEAR, Signal.ANSWERED, 1.5), (MID, Signal.ANSWERED, 1.5)],
            "near",
            id="region full but admitting, so the link is not used",
        ),
        pytest.param([(NEAR, Signal.LEAVING, 0)], "mid", id="leaving"),
        pytest.param([(NEAR, Signal.UNREACHABLE, 0)], "mid", id="unreachable"),
        pytest.param([(NEAR, Signal.FAILED, 0)] * 5, "mid", id="failing"),
        pytest.param(
            [(NEAR, Signal.FAILED, 0)] * 4, "near", id="few failures"
        ),
        pytest.param(
            [(NEAR, Signal.LEAVING, 0), (MID, Signal.LEAVING, 0)],
            "far",
            id="region gone",
        ),
    ],
)
@pytest.mark.parametrize("balancer", balancers.BALANCERS.names)
def test_nearest_that_can_serve(observations, expected, balancer):
    made = make(NEAR, MID, FAR, balancer=balancer)
    for entry, signal, load in observations:
        observe(made, entry, signal, load=load)
    assert set(spread(made)) == {expected}


def test_refused_rank_crosses_the_link_only_when_region_refuses():
    """Lookups that near endpoints shed may still be served far away."""
    made = make(NEAR, MID, FAR)
    observe(made, NEAR, Signal.REFUSED, rank=0, load=1.5, retry=1_000)
    assert set(spread(made, rank=2)) == {"mid"}
    observe(made, MID, Signal.REFUSED, rank=0, load=1.5, retry=1_000)
    assert set(spread(made, rank=2)) == {"far"}
    assert "far" not in spread(made, rank=0)


def test_overload_lets_a_few_probes_through():
    """Without probes nobody notices that the endpoints admit again."""
    made = make(NEAR, MID)
    for entry in (NEAR, MID):
        observe(made, entry, Signal.REFUSED, rank=1, retry=3_000)
    target = made.choose("s", 2, 1_000, NONE)
    assert target == messages.NoTarget("overload", 2_000)
    chosen = spread(made, 1_000, rank=2, count=5_000)
    probes = 5_000 - chosen["overload"]
    assert 20 <= probes <= 100
    observe(made, NEAR, Signal.ANSWERED, 1_500, rank=255)
    assert set(spread(made, 1_500, rank=2)) == {"near"}


def test_hint_fades_so_that_the_endpoint_is_asked_again():
    """A wrong or old hint must not exclude an endpoint for good."""
    made = make(NEAR)
    observe(made, NEAR, Signal.REFUSED, rank=0, load=9.0, retry=10**9)
    assert spread(made, 4_900, rank=3)["overload"] > 300
    assert set(spread(made, 5_100, rank=3)) == {"near"}


def test_load_steers_and_fades():
    made = make(NEAR, NEAR2)
    observe(made, NEAR, Signal.ANSWERED, load=0.9)
    assert spread(made)["near"] < 20
    assert spread(made, 60_000)["near"] > 100


def test_in_flight_requests_count():
    """Between two answers a router only knows what it has sent itself."""
    made = make(NEAR, NEAR2)
    chosen = collections.Counter(
        made.choose("s", 0, 0, NONE).endpoint for _ in range(100)
    )
    assert chosen == {"near": 50, "near2": 50}


def test_ejection_backs_off_and_ends():
    made = make(NEAR, MID)
    periods = []
    now = 0
    for _ in range(4):
        observe(made, NEAR, Signal.UNREACHABLE, now)
        start = now
        while set(spread(made, now, count=20)) == {"mid"}:
            now += 50
        periods.append(now - start)
    assert 500 <= periods[0] <= 1_550
    assert 4_000 <= periods[3] <= 12_050
    observe(made, NEAR, Signal.ANSWERED, now)
    observe(made, NEAR, Signal.UNREACHABLE, now)
    assert set(spread(made, now + 1_550)) == {"near"}


def test_never_more_than_half_is_ejected():
    """A fault of the own network looks like the failure of all endpoints."""
    entries = [candidate(f"e{n}") for n in range(5)]
    made = make(*entries)
    for entry in entries:
        observe(made, entry, Signal.UNREACHABLE)
    assert len(spread(made)) == 3


def test_smaller_list_readmits():
    """Ejections of a larger list must not empty a smaller one."""
    entries = [candidate(f"e{n}") for n in range(4)]
    made = make(*entries)
    observe(made, entries[0], Signal.UNREACHABLE)
    observe(made, entries[1], Signal.UNREACHABLE)
    made.update("s", entries[:2], 10)
    assert len(spread(made, 10)) == 1
    made.update("s", entries[:1], 10)
    assert set(spread(made, 10)) == {"e0"}


def test_last_endpoint_is_not_ejected():
    made = make(NEAR)
    observe(made, NEAR, Signal.UNREACHABLE)
    assert set(spread(made)) == {"near"}


def test_leaving_ends_with_the_incarnation():
    made = make(NEAR)
    observe(made, NEAR, Signal.LEAVING)
    assert made.choose("s", 0, 0, NONE).reason == "no_endpoint"
    made.update("s", [candidate("near", incarnation=2)], 5)
    assert made.choose("s", 0, 5, NONE).incarnation == 2


def test_excluded_is_not_tried_twice():
    made = make(NEAR, MID)
    assert set(spread(made, exclude=frozenset({("near", 1)}))) == {"mid"}


def test_unknown_service_and_removed_service():
    made = make(NEAR)
    assert made.choose("t", 0, 0, NONE).reason == "unknown_service"
    made.update("s", [], 0)
    assert made.choose("s", 0, 0, NONE).reason == "unknown_service"
    observe(made, NEAR, Signal.ANSWERED)


def test_unknown_balancer_is_rejected():
    with pytest.raises(registry.UnknownNameError):
        make(balancer="none")
