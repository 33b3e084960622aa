"""Retries that the budget allows in sliding windows."""

import hypothesis
from hypothesis import strategies
import pytest

from clementinekeel.retries import window

SHARE = 0.1


def test_share_of_the_requests_may_be_retried():
    budget = window.WindowedBudget(10, extra=0)
    for index in range(100):
        budget.on_first_attempt(50 + index / 20, True)
    consumed = sum(budget.try_consume(55, SHARE, True) for _ in range(50))
    assert consumed == 10


def test_last_part_is_reserved_for_urgent_requests():
    budget = window.WindowedBudget(10, extra=9.9)
    budget.on_first_attempt(50, True)
    assert sum(budget.try_consume(50, SHARE, False) for _ in range(20)) == 3
    assert sum(budget.try_consume(50, SHARE, True) for _ in range(20)) == 7


def test_budget_follows_the_busier_window_before():
    """While callers are throttled, the fewer requests still need retries."""
    budget = window.WindowedBudget(10, extra=0)
    for index in range(200):
        budget.on_first_attempt(40 + index / 20, True)
    assert budget.try_consume(59.5, SHARE, True)
    assert not budget.try_consume(75, SHARE, True)


def test_service_without_urgent_requests_reserves_nothing():
    """A service with lookups only had 0.3 of a retry in a window."""
    budget = window.WindowedBudget(10, extra=0)
    for index in range(100):
        budget.on_first_attempt(50 + index / 20, False)
    assert sum(budget.try_consume(55, SHARE, False) for _ in range(20)) == 10


def test_nodes_round_to_their_common_budget():
    """60 nodes with 0.76 of a retry each must use about 45, not none."""
    nodes = [
        window.WindowedBudget(10, 0.76, rounding=(n + 0.5) / 60)
        for n in range(60)
    ]
    consumed = sum(
        n.try_consume(50, 0.0, True) for n in nodes for _ in range(5)
    )
    assert 44 <= consumed <= 46


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.integers(0, 40)),
        max_size=300,
    )
)
@pytest.mark.parametrize("extra", [0, 3])
def test_no_window_has_more_retries_than_the_rule_allows(extra, steps):
    """The platform's rule bounds the ratio in every sliding window."""
    budget = window.WindowedBudget(10, extra)
    now = 100.0
    requests, retries = [], []
    for is_retry, pause in steps:
        now += pause / 20
        if not is_retry:
            budget.on_first_attempt(now, True)
            requests.append(now)
        elif budget.try_consume(now, SHARE, True):
            retries.append(now)
    for start in retries:
        in_window = [t for t in retries if start <= t < start + 10]
        recent = [t for t in requests if start - 11 <= t < start + 10]
        assert len(in_window) <= extra + SHARE * len(recent)


def test_demand_that_moves_to_another_node_is_not_counted_twice():
    """The busiest window of one node and that of another one may be at
    different times; callers of a zone that move have only one budget.
    """
    budgets = [window.WindowedBudget(10, extra=0) for _ in range(2)]
    requests, retries = [], []
    for tick in range(800):
        now = 100 + tick / 20
        demand = (2, 1) if tick < 400 else (1, 2)
        for budget, count in zip(budgets, demand, strict=True):
            for _ in range(count):
                budget.on_first_attempt(now, False)
                requests.append(now)
                if budget.try_consume(now, SHARE, False):
                    retries.append(now)
    for start in retries:
        used = sum(start <= t < start + 10 for t in retries)
        allowed = max(
            sum(start - lag <= t < start - lag + 10 for t in requests)
            for lag in (0, 5, 10)
        )
        assert used <= SHARE * allowed
