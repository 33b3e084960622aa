"""Requests turned away where they begin."""

import random

from clementinekeel.admission import throttle


class Open(throttle.RouteThrottle):
    """The baseline: nothing is turned away."""

    def admitted_share(self, now):
        return 1.0


def replay(limiter, capacity, offered, seconds, start=50.0):
    """Replay offered load above the capacity of a deep service.

    A request needs four calls; with more begun than the capacity, each call
    finds room with the same chance.
    """
    draw = random.Random(7)
    useful = refused = 0
    for step in range(seconds * 4):
        now = start + step / 4
        share = limiter.admitted_share(now)
        begun = sum(draw.random() < share for _ in range(offered // 4))
        refused += offered // 4 - begun
        room = min(1.0, capacity / 4 / max(1, begun))
        for _ in range(begun):
            is_starved = draw.random() > room**4
            useful += not is_starved
            limiter.on_ended(is_starved)
    return useful / (min(capacity, offered) * seconds), refused


def test_overload_below_serves_more_with_the_throttle():
    """Load pattern: 1.7 times the capacity of a deep service for 10 s."""
    baseline, _ = replay(Open(), 100, 170, 10)
    served, refused = replay(throttle.RouteThrottle(), 100, 170, 10)
    assert baseline < 0.3
    assert served > 0.75
    assert refused > 0


def test_nothing_is_refused_while_requests_succeed():
    _, refused = replay(throttle.RouteThrottle(), 200, 100, 10)
    assert refused == 0


def test_requests_begin_again_soon_after_the_overload():
    """A throttle that stays shut would outlast the trigger."""
    limiter = throttle.RouteThrottle()
    replay(limiter, 20, 100, 10)
    assert limiter.admitted_share(60.0) < 0.5
    replay(limiter, 200, 100, 7, start=60.0)
    assert limiter.admitted_share(67.0) == 1.0
