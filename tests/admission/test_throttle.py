"""Throttling of requests at the node where their call chain starts."""

import random

from clementinekeel.admission import throttle


class Unthrottled(throttle.RouteThrottle):
    """Baseline: every request is admitted."""

    def admitted_share(self, now):
        return 1.0


def simulate(route_throttle, capacity, offered, seconds, start=50.0):
    """Simulate offered load above the capacity of a deep service.

    A request needs four calls. If more requests are admitted than the
    capacity allows, each call succeeds with the same probability. Returns the
    useful share of the possible requests and the number of refused ones.
    """
    source = random.Random(7)
    useful = refused = 0
    for step in range(seconds * 4):
        now = start + step / 4
        share = route_throttle.admitted_share(now)
        admitted = sum(source.random() < share for _ in range(offered // 4))
        refused += offered // 4 - admitted
        call_success = min(1.0, capacity / 4 / max(1, admitted))
        for _ in range(admitted):
            is_overload_failure = source.random() > call_success**4
            useful += not is_overload_failure
            route_throttle.on_ended(is_overload_failure)
    return useful / (min(capacity, offered) * seconds), refused


def test_throttle_serves_more_when_a_deep_service_is_overloaded():
    """Load pattern: 1.7 times the capacity of a deep service for 10 s."""
    baseline, _ = simulate(Unthrottled(), 100, 170, 10)
    served, refused = simulate(throttle.RouteThrottle(), 100, 170, 10)
    assert baseline < 0.3
    assert served > 0.75
    assert refused > 0


def test_nothing_is_refused_while_requests_succeed():
    _, refused = simulate(throttle.RouteThrottle(), 200, 100, 10)
    assert refused == 0


def test_admitted_share_recovers_soon_after_the_overload():
    """A throttle that doesn't recover would outlast the overload."""
    route_throttle = throttle.RouteThrottle()
    simulate(route_throttle, 20, 100, 10)
    assert route_throttle.admitted_share(60.0) < 0.5
    simulate(route_throttle, 200, 100, 7, start=60.0)
    assert route_throttle.admitted_share(67.0) == 1.0
