"""Routing prefers near endpoints and avoids outliers, never all of them."""

import collections
import random

import pytest

from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.routing import router
from clementinekeel.runtime import registry

NO_NODES = frozenset()
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
Signal = messages.Signal


def candidate(name, zone="z1", incarnation=1):
    return messages.Candidate(
        name, "s", zone, ZONES[zone], name, incarnation, ""
    )


def make_router(*candidates, balancer="two_choices", seed=1):
    tested_router = router.Router("z1", "r1", random.Random(seed), balancer)
    tested_router.update("s", list(candidates), 0)
    return tested_router


def observe(
    tested_router, endpoint, signal, now=0, rank=255, load=0.0, retry=0
):
    observation = messages.Observation(signal, rank, load, retry, 1.0)
    tested_router.observe(endpoint, observation, now)


def count_choices(tested_router, now=0, rank=0, count=400, exclude=NO_NODES):
    chosen = collections.Counter()
    for _ in range(count):
        target = tested_router.choose("s", rank, now, exclude)
        if isinstance(target, messages.NoTarget):
            chosen[target.reason] += 1
            continue
        chosen[target.endpoint] += 1
        observe(tested_router, target, Signal.CANCELLED, now)
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
            id="region full but admitting, so no other region is used",
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
def test_nearest_endpoint_with_capacity_is_chosen(
    observations, expected, balancer
):
    tested_router = make_router(NEAR, MID, FAR, balancer=balancer)
    for endpoint, signal, load in observations:
        observe(tested_router, endpoint, signal, load=load)
    assert set(count_choices(tested_router)) == {expected}


def test_refused_rank_leaves_the_region_only_when_all_of_it_refuses():
    """Another region may still serve lookups that all near endpoints shed."""
    tested_router = make_router(NEAR, MID, FAR)
    observe(tested_router, NEAR, Signal.REFUSED, rank=0, load=1.5, retry=1_000)
    assert set(count_choices(tested_router, rank=2)) == {"mid"}
    observe(tested_router, MID, Signal.REFUSED, rank=0, load=1.5, retry=1_000)
    assert set(count_choices(tested_router, rank=2)) == {"far"}
    assert "far" not in count_choices(tested_router, rank=0)


def test_overload_sends_a_few_probes():
    """Without probes, the router would not notice a recovery in time."""
    tested_router = make_router(NEAR, MID)
    for endpoint in (NEAR, MID):
        observe(tested_router, endpoint, Signal.REFUSED, rank=1, retry=3_000)
    target = tested_router.choose("s", 2, 1_000, NO_NODES)
    assert target == messages.NoTarget("overload", 2_000)
    chosen = count_choices(tested_router, 1_000, rank=2, count=5_000)
    probes = 5_000 - chosen["overload"]
    assert 20 <= probes <= 100
    observe(tested_router, NEAR, Signal.ANSWERED, 1_500, rank=255)
    assert set(count_choices(tested_router, 1_500, rank=2)) == {"near"}


def test_reported_level_expires():
    """A wrong or old level must not exclude an endpoint forever."""
    tested_router = make_router(NEAR)
    observe(tested_router, NEAR, Signal.REFUSED, rank=0, load=9.0, retry=10**9)
    assert count_choices(tested_router, 4_900, rank=3)["overload"] > 300
    assert set(count_choices(tested_router, 5_100, rank=3)) == {"near"}


def test_reported_load_is_avoided_and_decays():
    tested_router = make_router(NEAR, NEAR2)
    observe(tested_router, NEAR, Signal.ANSWERED, load=0.9)
    assert count_choices(tested_router)["near"] < 20
    assert count_choices(tested_router, 60_000)["near"] > 100


def test_in_flight_requests_count_as_load():
    """Between two answers, a router only knows the requests it has sent."""
    tested_router = make_router(NEAR, NEAR2)
    chosen = collections.Counter(
        tested_router.choose("s", 0, 0, NO_NODES).endpoint for _ in range(100)
    )
    assert chosen == {"near": 50, "near2": 50}


def test_ejection_backs_off_and_ends():
    tested_router = make_router(NEAR, MID)
    periods = []
    now = 0
    for _ in range(4):
        observe(tested_router, NEAR, Signal.UNREACHABLE, now)
        start = now
        while set(count_choices(tested_router, now, count=20)) == {"mid"}:
            now += 50
        periods.append(now - start)
    assert 500 <= periods[0] <= 1_550
    assert 4_000 <= periods[3] <= 12_050
    observe(tested_router, NEAR, Signal.ANSWERED, now)
    observe(tested_router, NEAR, Signal.UNREACHABLE, now)
    assert set(count_choices(tested_router, now + 1_550)) == {"near"}


def test_at_most_half_of_the_endpoints_is_ejected():
    """A network fault at this node looks like a failure of all endpoints."""
    entries = [candidate(f"e{n}") for n in range(5)]
    tested_router = make_router(*entries)
    for endpoint in entries:
        observe(tested_router, endpoint, Signal.UNREACHABLE)
    assert len(count_choices(tested_router)) == 3


def test_shorter_list_ends_ejections():
    """Ejections from a longer list must not eject all of a shorter one."""
    entries = [candidate(f"e{n}") for n in range(4)]
    tested_router = make_router(*entries)
    observe(tested_router, entries[0], Signal.UNREACHABLE)
    observe(tested_router, entries[1], Signal.UNREACHABLE)
    tested_router.update("s", entries[:2], 10)
    assert len(count_choices(tested_router, 10)) == 1
    tested_router.update("s", entries[:1], 10)
    assert set(count_choices(tested_router, 10)) == {"e0"}


def test_last_endpoint_is_not_ejected():
    tested_router = make_router(NEAR)
    observe(tested_router, NEAR, Signal.UNREACHABLE)
    assert set(count_choices(tested_router)) == {"near"}


def test_endpoint_is_leaving_until_its_next_incarnation():
    tested_router = make_router(NEAR)
    observe(tested_router, NEAR, Signal.LEAVING)
    assert tested_router.choose("s", 0, 0, NO_NODES).reason == "no_endpoint"
    tested_router.update("s", [candidate("near", incarnation=2)], 5)
    assert tested_router.choose("s", 0, 5, NO_NODES).incarnation == 2


def test_excluded_node_is_not_chosen():
    tested_router = make_router(NEAR, MID)
    assert set(
        count_choices(tested_router, exclude=frozenset({("near", 1)}))
    ) == {"mid"}


def test_unknown_service_and_removed_service():
    tested_router = make_router(NEAR)
    assert (
        tested_router.choose("t", 0, 0, NO_NODES).reason == "unknown_service"
    )
    tested_router.update("s", [], 0)
    assert (
        tested_router.choose("s", 0, 0, NO_NODES).reason == "unknown_service"
    )
    observe(tested_router, NEAR, Signal.ANSWERED)


def test_unknown_balancer_is_rejected():
    with pytest.raises(registry.UnknownNameError):
        make_router(balancer="none")
