"""Bound on the arrivals of one request over a whole tree of calls."""

import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from clementinekeel.outcomes import messages as outcomes
from clementinekeel.retries import allowance
from clementinekeel.retries import budget as budgets
from clementinekeel.retries import calls
from clementinekeel.retries import decisions
from clementinekeel.retries import messages

ALLOWANCE = 2
LOST = "lost"
OK = "ok"
FAIL = "fail"
REFUSE = "refuse"
UNSENT = "unsent"


class Chain:
    """Runs requests through a tree of services.

    A tree is a tuple of subtrees; a service is named by its path in it.
    ``fate(path)`` returns what happens to one attempt.
    """

    def __init__(
        self, tree, fate, policy="bounded", share=1.0, total=ALLOWANCE
    ):
        self.tree = tree
        self.fate = fate
        self.policy = policy
        self.total = total
        self.budgets = collections.defaultdict(
            lambda: budgets.RetryBudget(share)
        )
        self.arrivals = collections.Counter()
        self.random = random.Random(1)

    def request(self):
        call = calls.CallAllowance(self.total)
        return self.call((0,), self.tree, call)

    def call(self, path, tree, call):
        """Make the attempts of one call; return whether it succeeded."""
        budget = self.budgets[path]
        budget.on_first_attempt("s")
        number = 0
        while True:
            number += 1
            outcome = self.attempt(path, tree, call)
            attempt = messages.Attempt(
                "s",
                outcome,
                True,
                number,
                call.remaining,
                call.grant_exhausted,
                1e9,
                0,
            )
            decision = decisions.decide(
                attempt, budget, self.random, self.policy
            )
            if isinstance(decision, messages.Stop):
                return outcome is outcomes.Outcome.COMPLETED
            assert call.try_consume() or self.policy == "baseline"

    def attempt(self, path, tree, call):
        granted = call.grant()
        fate = self.fate(path)
        if fate == REFUSE:
            call.on_refused()
            return outcomes.Outcome.REFUSED
        if fate == UNSENT:
            call.on_lost()
            return outcomes.Outcome.UNKNOWN
        self.arrivals[path] += 1
        pool = allowance.AllowancePool(granted)
        is_complete = self.serve(path, tree, pool)
        if fate == LOST:
            call.on_lost()
            call.on_answer(0)
            return outcomes.Outcome.UNKNOWN
        call.on_answer(pool.used)
        succeeded = is_complete and fate == OK
        return (
            outcomes.Outcome.COMPLETED
            if succeeded
            else outcomes.Outcome.FAILED
        )

    def serve(self, path, tree, pool):
        """Make all downstream calls at the same time."""
        downstream = [(pool.reserve(), subtree) for subtree in tree]
        is_complete = True
        for index, (reservation, subtree) in enumerate(downstream):
            call = calls.CallAllowance(reservation.amount)
            succeeded = self.call((*path, index), subtree, call)
            if self.fate((*path, index)) == LOST:
                pool.mark_used(reservation)
            pool.release(reservation, call.used)
            if not succeeded:
                pool.exhaust()
                is_complete = False
        return is_complete


def full_budget():
    """Return a budget so full that only the allowance limits retries."""
    budget = budgets.RetryBudget(1.0)
    for _ in range(budgets.DEFAULT_CAP):
        budget.on_first_attempt("s")
    return budget


TREES = st.recursive(
    st.just(()),
    lambda inner: st.lists(inner, min_size=1, max_size=3).map(tuple),
    max_leaves=8,
)
FATES = [OK, FAIL, FAIL, LOST, LOST, REFUSE, UNSENT]


@settings(max_examples=500)
@given(
    tree=TREES,
    total=st.sampled_from([0, 1, 2, 2, 2, 5]),
    source=st.randoms(use_true_random=False),
)
def test_arrivals_are_bounded_by_the_allowance(tree, total, source):
    """Lost and late answers must not release allowance that was used.

    With the default allowance of 2, the bound is 3 arrivals.
    """
    chain = Chain(tree, lambda path: source.choice(FATES), total=total)
    chain.budgets = collections.defaultdict(full_budget)
    chain.request()
    assert max(chain.arrivals.values(), default=0) <= 1 + total


FOUR_DEEP = ((((),),),)
DEEPEST = (0, 0, 0, 0)


def fail_deepest(path):
    return FAIL if path == DEEPEST else OK


@pytest.mark.parametrize(
    ("policy", "share", "requests", "most"),
    [
        pytest.param("bounded", 0.1, 10_000, 11_000, id="10% of requests"),
        pytest.param("bounded", 1.0, 1, 3, id="one request"),
    ],
)
def test_attempts_at_a_failing_service(policy, share, requests, most):
    """Retry budgets of upstream hops must not add up at one service."""
    chain = Chain(FOUR_DEEP, fail_deepest, policy, share)
    for _ in range(requests):
        chain.request()
    assert requests < chain.arrivals[DEEPEST] <= most


def test_baseline_multiplies_at_each_hop():
    chain = Chain(FOUR_DEEP, fail_deepest, "baseline")
    chain.request()
    assert chain.arrivals[DEEPEST] == 81
