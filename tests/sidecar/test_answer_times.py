"""How long the answers of a route took lately."""

import pytest

from clementinekeel.sidecar import answer_times


def recorded(*seconds, at=0.0):
    times = answer_times.AnswerTimes()
    for lasted_s in seconds:
        times.record("lookup", lasted_s, at)
    return times


@pytest.mark.parametrize("answers", [0, 1, answer_times.MIN_ANSWERS - 1])
def test_few_answers_give_no_estimate(answers):
    """The next answer may take several times as long as the first one."""
    assert recorded(*[0.05] * answers).sufficient_s("lookup", 0.0) is None


def test_longest_answer_counts():
    """With the mean, one request in a hundred would be broken off."""
    times = recorded(*[0.05] * 99, 0.4)
    assert times.sufficient_s("lookup", 0.0) == pytest.approx(0.7)
    assert times.sufficient_s("booking", 0.0) is None


@pytest.mark.parametrize(
    ("after_s", "is_known"), [(29.0, True), (59.0, True), (90.0, False)]
)
def test_answers_are_forgotten_after_a_minute(after_s, is_known):
    """A slow phase must not keep short calls out for good."""
    times = recorded(*[0.05] * 20)
    assert (times.sufficient_s("lookup", after_s) is not None) is is_known


def test_slow_phase_is_kept_when_a_window_ends():
    """The record of a new window would have fast answers alone."""
    times = recorded(0.8, *[0.05] * 20)
    for second in range(31, 40):
        times.record("lookup", 0.05, float(second))
    assert times.sufficient_s("lookup", 40.0) == pytest.approx(1.3)


def test_routes_that_are_gone_are_forgotten():
    """Each configuration may name other routes."""
    times = answer_times.AnswerTimes()
    for number in range(1_000):
        times.record(f"route-{number}", 0.05, float(number))
    assert len(times._current) + len(times._last) <= 62
