"""Problem details (RFC 9457) for callers."""

import math

import msgspec

from clementinekeel.callers import headers as caller_headers
from clementinekeel.callers import messages
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.runtime import clock

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:clementinekeel:problem:"

_TITLES = {
    outcomes.Outcome.REFUSED: "The request did not run",
    outcomes.Outcome.FAILED: "The request ran and failed",
    outcomes.Outcome.UNKNOWN: "The request may have run",
    outcomes.Outcome.COMPLETED: "The request ran, and its answer is not kept",
}


def render(
    problem: messages.CallerProblem, request_id: str
) -> tuple[int, messages.Headers, bytes]:
    """Return status, headers and body of the answer for a problem."""
    body = msgspec.json.encode(
        {
            "type": TYPE_PREFIX + problem.reason,
            "title": _TITLES[problem.outcome],
            "status": problem.status,
            "detail": problem.detail,
            "outcome": problem.outcome,
            "reason": problem.reason,
            "step": problem.step,
            "peer": problem.peer,
            "retry_after_ms": problem.retry_after_ms,
            "request_id": request_id,
            "idempotency_key": problem.key,
        }
    )
    headers = [
        ("content-type", CONTENT_TYPE),
        (caller_headers.OUTCOME, str(problem.outcome)),
        (caller_headers.REASON, problem.reason),
    ]
    if problem.key:
        headers.append((caller_headers.IDEMPOTENCY_KEY, problem.key))
    if problem.retry_after_ms > 0:
        # Retry-After is in whole seconds; the second header is exact.
        seconds = math.ceil(problem.retry_after_ms / clock.MS_PER_S)
        headers.append((caller_headers.RETRY_AFTER, str(seconds)))
        headers.append(
            (caller_headers.RETRY_AFTER_MS, str(problem.retry_after_ms))
        )
    return problem.status, tuple(headers), body


def refusal(
    status: int,
    reason: str,
    detail: str,
    step: str = "accept",
    peer: str = "caller",
    retry_after_ms: int = 0,
    key: str = "",
    outcome: outcomes.Outcome = outcomes.Outcome.REFUSED,
) -> messages.CallerProblem:
    """Return the problem for a request that a node refused.

    ``outcome`` is ``UNKNOWN`` if the request may have run nevertheless.
    """
    return messages.CallerProblem(
        outcome,
        status,
        reason,
        detail,
        step,
        peer,
        retry_after_ms,
        key,
    )
