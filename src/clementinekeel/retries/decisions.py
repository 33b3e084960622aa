"""Decision whether an attempt is followed by another one."""

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
"""Decides about an attempt that may be repeated, given a back-off in ms."""

POLICIES: registry.Registry[Policy] = registry.Registry("retry policy")


def decide(
    attempt: messages.Attempt,
    budget: budgets.RetryBudget,
    random_source: random.Random,
    policy: str = DEFAULT_POLICY,
) -> messages.Decision:
    """Decide whether to try again after an attempt that did not complete.

    Under every policy, only an attempt that did not run or an idempotent
    request is tried again, and never beyond the remaining time.

    Parameters
    ----------
    attempt : Attempt
        The last attempt.
    budget : RetryBudget
        A retry is taken from it if the policy uses budgets.
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
    # The budget comes last: a retry that is not made must not use it up.
    if not budget.try_consume(attempt.service):
        return messages.Stop("budget")
    return messages.RetryAfter(delay_ms)


@POLICIES.register("baseline")
def _baseline(
    attempt: messages.Attempt, budget: budgets.RetryBudget, delay_ms: float
) -> messages.Decision:
    """Make three attempts at each hop, as the rule to measure against."""
    if attempt.number >= BASELINE_ATTEMPTS:
        return messages.Stop("attempts")
    return messages.RetryAfter(delay_ms)
