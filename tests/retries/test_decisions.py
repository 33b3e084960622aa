"""Which attempts are retried, and after which delay."""

import random

import pytest

from clementinekeel.outcomes import messages as outcomes
from clementinekeel.retries import backoff
from clementinekeel.retries import budget as budgets
from clementinekeel.retries import decisions
from clementinekeel.retries import messages

REFUSED = messages.Attempt(
    "s", outcomes.Outcome.REFUSED, False, 1, 2, False, 5_000, 0
)


def full_budget():
    budget = budgets.RetryBudget(1)
    budget.on_first_attempt("s")
    return budget


def decide(policy="bounded", budget=None, **changes):
    attempt = REFUSED._replace(**changes)
    budget = budget or full_budget()
    return decisions.decide(attempt, budget, random.Random(1), policy)


@pytest.mark.parametrize("policy", decisions.POLICIES.names)
@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        (
            {"outcome": outcomes.Outcome.FAILED, "idempotent": True},
            None,
        ),
        (
            {"outcome": outcomes.Outcome.UNKNOWN, "idempotent": True},
            None,
        ),
        ({"outcome": outcomes.Outcome.FAILED}, "may_have_run"),
        ({"outcome": outcomes.Outcome.UNKNOWN}, "may_have_run"),
        (
            {
                "outcome": outcomes.Outcome.COMPLETED,
                "idempotent": True,
            },
            "completed",
        ),
        ({"remaining_ms": 0}, "deadline"),
        ({"remaining_ms": 900, "retry_after_ms": 900}, "deadline"),
    ],
    ids=lambda value: str(value),
)
def test_rules_of_every_policy(policy, changes, reason):
    decision = decide(policy, **changes)
    if reason is None:
        assert isinstance(decision, messages.RetryAfter)
    else:
        assert decision == messages.Stop(reason)


@pytest.mark.parametrize(
    ("policy", "changes", "reason"),
    [
        ("bounded", {"allowance": 0}, "allowance"),
        ("bounded", {"grant_exhausted": True}, "stopped"),
        ("bounded", {"service": "other"}, "budget"),
        ("baseline", {"number": 3}, "attempts"),
    ],
)
def test_limits_of_a_policy(policy, changes, reason):
    assert decide(policy, **changes) == messages.Stop(reason)


def test_baseline_needs_neither_allowance_nor_budget():
    decision = decide("baseline", number=2, allowance=0, service="other")
    assert isinstance(decision, messages.RetryAfter)


@pytest.mark.parametrize(
    "changes",
    [{"allowance": 0}, {"grant_exhausted": True}, {"remaining_ms": 0}],
)
def test_stopped_retry_does_not_use_the_budget(changes):
    budget = full_budget()
    assert isinstance(decide(budget=budget, **changes), messages.Stop)
    assert budget.available("s") == 1


def test_budget_is_a_share_of_first_attempts():
    """Adding tenths in floating point would grant the tenth retry too late."""
    budget = budgets.RetryBudget()
    granted = 0
    for _ in range(1_000):
        budget.on_first_attempt("s")
        granted += budget.try_consume("s")
    assert granted == 100


def test_saved_retries_are_capped():
    """A long time without retries must not end in a burst of them."""
    budget = budgets.RetryBudget(0.1, cap=10)
    for _ in range(1_000):
        budget.on_first_attempt("s")
    assert [budget.try_consume("s") for _ in range(11)] == [True] * 10 + [
        False
    ]
    budget.remove("s")
    assert budget.available("s") == 0


@pytest.mark.parametrize(("share", "cap"), [(-0.1, 1), (1.1, 1), (0.1, 0)])
def test_impossible_budget_is_rejected(share, cap):
    with pytest.raises(ValueError, match="is"):
        budgets.RetryBudget(share, cap)


DELAYS = {
    "first": (1, 0, 25),
    "doubles": (3, 0, 100),
    "is bounded": (9, 0, 1_000),
    "huge number stays cheap": (10**9, 0, 1_000),
    "after the hint": (1, 700, 25),
    "negative hint": (1, -700, 25),
}


@pytest.mark.parametrize(
    ("number", "hint_ms", "span_ms"), DELAYS.values(), ids=DELAYS
)
def test_full_jitter_after_the_hint(number, hint_ms, span_ms):
    source = random.Random(1)
    delays = [backoff.delay_ms(number, hint_ms, source) for _ in range(999)]
    shortest = max(0, hint_ms)
    assert shortest <= min(delays) < shortest + span_ms * 0.05
    assert shortest + span_ms * 0.95 < max(delays) <= shortest + span_ms
