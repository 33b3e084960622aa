"""Which endpoint gets a request, with the loads that the rule answers."""

from clementinekeel.routing import placement

TIER = placement.Tier


def candidate(name, **changes):
    fields = {
        "name": name,
        "tier": TIER.ZONE,
        "slots": 10,
        "load": 0,
        "service_ms": 100.0,
        "transit_ms": 0.0,
        "is_cold": False,
        "is_suspect": False,
    }
    return placement.Candidate(**{**fields, **changes})


def choose(*candidates, size=2_000, draw=0.9):
    found = placement.choose_by_expected_time(candidates, size, draw)
    return found.name if found else None


def test_near_endpoint_is_preferred():
    far = candidate("far", tier=TIER.REGION, service_ms=80.0)
    assert choose(candidate("near"), far) == "near"


def test_full_near_endpoint_is_left():
    near = candidate("near", load=25)
    assert choose(near, candidate("far", tier=TIER.REGION)) == "far"


def test_recordings_stay_where_a_lookup_leaves():
    """The link between regions is narrow and billed by volume."""
    near = candidate("near", load=30)
    far = candidate("far", tier=TIER.REMOTE)
    assert choose(near, far, size=1_000) == "far"
    assert choose(near, far, size=60_000) == "near"


def test_suspect_endpoint_is_used_last():
    suspect = candidate("suspect", is_suspect=True)
    assert choose(suspect, candidate("far", tier=TIER.REGION)) == "far"
    assert choose(suspect) == "suspect"


def test_congested_link_costs_what_it_takes():
    far = candidate("far", tier=TIER.REMOTE, transit_ms=1_500.0)
    assert choose(candidate("near", load=60), far) == "near"


def test_every_near_endpoint_is_measured_again():
    """An endpoint that was slow once would never be tried again."""
    slow = candidate("slow", tier=TIER.REGION, service_ms=900.0)
    share = placement.EXPLORATION_SHARE
    assert choose(candidate("near"), slow, draw=share * 0.9) == "slow"


def test_recordings_do_not_explore():
    slow = candidate("slow", tier=TIER.REGION)
    share = placement.EXPLORATION_SHARE
    chosen = choose(candidate("near"), slow, size=60_000, draw=share * 0.9)
    assert chosen == "near"


def test_no_candidate():
    assert choose() is None


def replay(rule, seconds=8):
    """Replay a zone that sends 1.8 times what its endpoint can do.

    Its slow endpoint has 10 slots of 200 ms; one in the next zone has 10 of
    100 ms and is idle. Returns the mean time of an answer in ms.
    """
    near, far = {"load": 0.0}, {"load": 0.0}
    total = count = 0
    for _step in range(seconds * 90):
        for state, rate in ((near, 50), (far, 100)):
            state["load"] = max(0.0, state["load"] - rate / 90)
        chosen = rule(
            (
                candidate("near", load=round(near["load"]), service_ms=200.0),
                candidate(
                    "far",
                    load=round(far["load"]),
                    tier=TIER.REGION,
                    service_ms=100.0,
                ),
            ),
            1_000,
            0.9,
        )
        state, work = (near, 200.0) if chosen.name == "near" else (far, 100.0)
        total += work * max(1.0, state["load"] / 10)
        count += 1
        state["load"] += 1
    return total / count


def test_uneven_zones_are_served_faster_than_by_the_nearest():
    """Load pattern: one zone sends 1.8 times what its endpoint can do."""
    expected = replay(placement.choose_by_expected_time)
    nearest = replay(placement.choose_nearest)
    assert expected < 0.5 * nearest
