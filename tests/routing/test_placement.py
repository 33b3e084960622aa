"""Choice of the endpoint under the load patterns placement is made for."""

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
        "is_warming_up": False,
        "is_suspect": False,
    }
    return placement.Candidate(**{**fields, **changes})


def choose(*candidates, size=2_000, draw=0.9):
    chosen = placement.choose_by_expected_time(candidates, size, draw)
    return chosen.name if chosen else None


def test_near_endpoint_is_preferred():
    far = candidate("far", tier=TIER.REGION, service_ms=80.0)
    assert choose(candidate("near"), far) == "near"


def test_full_near_endpoint_is_avoided():
    near = candidate("near", load=25)
    assert choose(near, candidate("far", tier=TIER.REGION)) == "far"


def test_recordings_stay_in_the_zone_where_lookups_leave_it():
    """The link between regions is narrow and billed by volume."""
    near = candidate("near", load=30)
    far = candidate("far", tier=TIER.REMOTE)
    assert choose(near, far, size=1_000) == "far"
    assert choose(near, far, size=60_000) == "near"


def test_suspect_endpoint_is_the_last_choice():
    suspect = candidate("suspect", is_suspect=True)
    assert choose(suspect, candidate("far", tier=TIER.REGION)) == "far"
    assert choose(suspect) == "suspect"


def test_measured_transit_time_counts_on_a_congested_link():
    far = candidate("far", tier=TIER.REMOTE, transit_ms=1_500.0)
    assert choose(candidate("near", load=60), far) == "near"


def test_slow_near_endpoint_is_measured_again():
    """Otherwise an endpoint that was slow once would never be tried again."""
    slow = candidate("slow", tier=TIER.REGION, service_ms=900.0)
    share = placement.EXPLORATION_SHARE
    assert choose(candidate("near"), slow, draw=share * 0.9) == "slow"


def test_recordings_are_not_sent_to_random_endpoints():
    slow = candidate("slow", tier=TIER.REGION)
    share = placement.EXPLORATION_SHARE
    chosen = choose(candidate("near"), slow, size=60_000, draw=share * 0.9)
    assert chosen == "near"


def test_no_candidate():
    assert choose() is None


def simulate(choose_candidate, seconds=8):
    """Simulate a zone that sends 1.8 times what its endpoint can serve.

    Its slow endpoint has 10 slots and a service time of 200 ms; an idle one
    in the next zone has 10 slots and 100 ms. Returns the mean latency in ms.
    """
    near, far = {"load": 0.0}, {"load": 0.0}
    total = count = 0
    for _step in range(seconds * 90):
        for state, rate in ((near, 50), (far, 100)):
            state["load"] = max(0.0, state["load"] - rate / 90)
        chosen = choose_candidate(
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
    """Load pattern: one zone sends 1.8 times what its endpoint can serve."""
    expected = simulate(placement.choose_by_expected_time)
    nearest = simulate(placement.choose_nearest)
    assert expected < 0.5 * nearest


def test_endpoint_with_less_than_a_slot_is_avoided_before_it_fills_up():
    """A rate limit of two requests a second leaves an idle endpoint less than
    one slot; all nodes would send to it at once.
    """
    near = candidate("near", slots=0.2, load=0)
    far = candidate("far", tier=placement.Tier.REGION, load=20)
    assert choose(near, far) == "far"
