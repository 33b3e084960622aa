"""When a link is tested, doubted and given up."""

import pytest

from clementinekeel.nodes import liveness

CHECK_S = 0.05
"""Interval at which a node checks links on which it waits."""
Action = liveness.Action


def actions(link, begin, end, is_waiting=True):
    """Return the times and kinds of what is due, checked periodically."""
    found = []
    for step in range(round((end - begin) / CHECK_S) + 1):
        now = begin + step * CHECK_S
        action = link.check(now, is_waiting)
        if action is not Action.NONE:
            found.append((round(now, 3), action))
    return found


def link_with_round_trip(seconds):
    link = liveness.Liveness(0.0)
    link.on_offer(0.0)
    (probe,) = actions(link, 0.0, liveness.MIN_PATIENCE_S)
    link.on_received(probe[0] + seconds)
    return link


@pytest.mark.parametrize(
    ("round_trip_s", "doubt_s"),
    [(0.002, 0.4), (0.062, 0.6), (5.0, 1.1)],
    ids=["zone", "region", "slow"],
)
def test_silence_is_doubted_in_a_few_round_trips(round_trip_s, doubt_s):
    """With a fixed 1.5 s, all requests offered meanwhile were late."""
    link = link_with_round_trip(round_trip_s)
    link.on_offer(10.0)
    kinds = [kind for _, kind in actions(link, 10.0, 10.0 + doubt_s)]
    assert kinds == [Action.PROBE, Action.DOUBT]
    assert link.is_doubtful


def test_doubtful_link_is_given_up_only_after_the_full_silence():
    """A node that is frozen for a second goes on with its work."""
    link = link_with_round_trip(0.002)
    link.on_offer(10.0)
    found = dict((kind, time) for time, kind in actions(link, 10.0, 12.0))
    silent_s = found[Action.END] - found[Action.PROBE]
    assert silent_s >= liveness.SILENCE_TIMEOUT_S


def test_anything_received_ends_the_doubt():
    link = link_with_round_trip(0.002)
    link.on_offer(10.0)
    actions(link, 10.0, 10.4)
    link.on_received(10.4)
    assert not link.is_doubtful
    assert actions(link, 10.4, 11.8, is_waiting=False) == []


def test_a_peer_that_was_slow_once_is_given_more_time():
    """Each doubt costs a connection at a node that is already slow."""
    link = link_with_round_trip(0.002)
    link.on_offer(10.0)
    actions(link, 10.0, 10.4)
    link.on_received(10.6)
    assert link.patience_s == liveness.MAX_PATIENCE_S


def test_long_request_costs_few_pings():
    """A request of 4 s beside no others; each ping is answered."""
    link = link_with_round_trip(0.002)
    link.on_offer(10.0)
    pings = 0
    for step in range(80):
        now = 10.0 + step * CHECK_S
        if link.check(now, True) is Action.PROBE:
            pings += 1
            link.on_received(now + 0.002)
    assert pings <= 5


def test_idle_link_is_tested_rarely():
    link = link_with_round_trip(0.002)
    link.on_received(10.0)
    first, *_ = actions(link, 10.0, 12.0, is_waiting=False)
    assert first == (10.0 + liveness.IDLE_PROBE_S, Action.PROBE)


def test_pause_of_this_process_is_not_silence_of_the_peer():
    """After a freeze of 5 s all links were given up at once."""
    link = link_with_round_trip(0.002)
    link.on_offer(10.0)
    actions(link, 10.0, 10.2)
    link.postpone(5.0)
    assert link.check(15.2, True) is Action.NONE


@pytest.mark.parametrize(
    ("links", "idle_s"), [(15, 1.5), (75, 1.5), (195, 3.9), (1_000, 20.0)]
)
def test_idle_links_of_a_large_fleet_are_tested_more_rarely(links, idle_s):
    """Tests of all links took processor time and crossed the regions."""
    assert liveness.idle_probe_s(links) == pytest.approx(idle_s)


def test_ping_behind_a_long_body_is_not_silence():
    """The link was replaced again and again, and the body began anew."""
    link = link_with_round_trip(0.002)
    link.on_offer(10.0)
    assert link.check(10.2, True) is Action.PROBE
    for step in range(1, 40):
        now = 10.2 + 0.1 * step
        link.on_progress(now)
        assert link.check(now + 0.05, True) is Action.NONE
