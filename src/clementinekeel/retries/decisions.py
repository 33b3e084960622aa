"""Decision whether an attempt is retried."""

from collections.abc import Callable
import random

from clementinekeel.outcomes import messages as outcomes
from clementinekeel.retries import backoff
from clementinekeel.retries import budget as budgets
from clementinekeel.retries import messages
from clementinekeel.runtime import registry

BASELINE_ATTEMPTS = 3
DEFAULT_POLICY = "bounded"

Policy = Callable[
    [messages.Attempt, budgets.RetryBudget, float], messages.Decision
]
"""Decides whether to retry an attempt that may be retried.

The last argument is the back-off in ms.
"""

POLICIES: registry.Registry[Policy] = registry.Registry("retry policy")


def decide(
    attempt: messages.Attempt,
    budget: budgets.RetryBudget,
    random_source: random.Random,
    policy: str = DEFAULT_POLICY,
) -> messages.Decision:
    """Decide whether to retry after an attempt that did not complete.

    Under every policy, a request is retried only if it did not run or is
    idempotent, and only if the back-off ends before the deadline.

    Parameters
    ----------
    attempt : Attempt
        The last attempt.
    budget : RetryBudget
        Pays for the retry if the policy uses budgets.
    random_source : random.Random
        Source of the back-off's jitter.
    policy : str
        Name in ``POLICIES``.

    Raises
    ------
    UnknownNameError
        If no policy has that name.
    """
    chosen = POLICIES.get(policy)
    if attempt.outcome is outcomes.Outcome.COMPLETED:
        return messages.Stop("completed")
    if (
        attempt.outcome is not outcomes.Outcome.REFUSED
        and not attempt.idempotent
    ):
        return messages.Stop("may_have_run")
    delay_ms = backoff.delay_ms(
        attempt.number, attempt.retry_after_ms, random_source
    )
    if delay_ms >= attempt.remaining_ms:
        return messages.Stop("deadline")
    return chosen(attempt, budget, delay_ms)


@POLICIES.register("bounded")
def _bounded(
    attempt: messages.Attempt, budget: budgets.RetryBudget, delay_ms: float
) -> messages.Decision:
    """Stay within the request's allowance and the service's budget."""
    if attempt.grant_exhausted:
        return messages.Stop("stopped")
    if attempt.allowance <= 0:
        return messages.Stop("allowance")
    # Checked last: a retry that is not made must not use the budget.
    if not budget.try_consume(attempt.service):
        return messages.Stop("budget")
    return messages.RetryAfter(delay_ms)


@POLICIES.register("baseline")
def _baseline(
    attempt: messages.Attempt, budget: budgets.RetryBudget, delay_ms: float
) -> messages.Decision:
    """Make up to three attempts at each hop; a baseline for comparison."""
    if attempt.number >= BASELINE_ATTEMPTS:
        return messages.Stop("attempts")
    return messages.RetryAfter(delay_ms)
