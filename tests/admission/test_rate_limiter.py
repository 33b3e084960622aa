"""Permits of a backend server's rate limit."""

import hypothesis
from hypothesis import strategies
import pytest

from clementinekeel.admission import rate_limiter

NOW = 100.0


def limited(rate, now=NOW):
    limiter = rate_limiter.RateLimiter()
    limiter.set_limit(rate, now)
    return limiter


def test_without_a_limit_there_are_always_permits():
    limiter = rate_limiter.RateLimiter()
    assert all(limiter.try_consume(NOW) for _ in range(1_000))


def test_a_new_limit_starts_without_permits():
    """The backend server has just got requests at its full rate."""
    limiter = limited(10)
    assert not limiter.try_consume(NOW)
    assert limiter.next_permit_at(NOW) == pytest.approx(NOW + 0.1)
    assert limiter.try_consume(limiter.next_permit_at(NOW))


def test_an_idle_backend_server_gets_no_long_burst():
    """Permits of a quiet minute must not arrive together."""
    limiter = limited(20)
    granted = sum(limiter.try_consume(NOW + 60) for _ in range(100))
    assert granted == 20 * rate_limiter.BURST_S


@pytest.mark.parametrize("rate", [0.0, 0.01])
def test_low_limits_let_a_request_through_now_and_then(rate):
    """Without an answer, the end of the limit would not be noticed."""
    limiter = limited(rate)
    assert limiter.try_consume(NOW + 1 / rate_limiter.MIN_RATE_PER_S)
    assert not limiter.try_consume(NOW + 1 / rate_limiter.MIN_RATE_PER_S)


def test_resends_delay_later_requests():
    """An arrival that can't be held back counts towards the limit."""
    limiter = limited(10)
    for _ in range(5):
        limiter.consume(NOW)
    assert not limiter.try_consume(NOW + 0.5)
    assert limiter.try_consume(NOW + 0.6)


def test_changed_limit_keeps_no_more_permits_than_its_burst():
    limiter = limited(100)
    limiter.set_limit(4, NOW + 10)
    granted = sum(limiter.try_consume(NOW + 10) for _ in range(100))
    assert granted == 1


@hypothesis.given(
    strategies.floats(0.5, 500),
    strategies.lists(strategies.floats(0, 0.3), min_size=1, max_size=200),
)
def test_no_span_has_more_than_the_rate_and_a_burst(rate, gaps):
    """Bound of any span: the rate times its length, and the burst."""
    limiter, now, granted = limited(rate), NOW, []
    for gap in gaps:
        now += gap
        for _ in range(30):
            if limiter.try_consume(now):
                granted.append(now)
    burst = max(1.0, rate * rate_limiter.BURST_S)
    for index, start in enumerate(granted):
        for count, end in enumerate(granted[index:], 1):
            assert count <= rate * (end - start) + burst + 0.01


def test_wait_for_a_permit_of_a_huge_limit_advances_the_clock():
    """Starts were tried again and again at the same time."""
    limiter = limited(10.0**15)
    assert not limiter.try_consume(NOW)
    permit_at = limiter.next_permit_at(NOW)
    assert permit_at > NOW
    assert limiter.try_consume(permit_at)
