"""Answers and problems for callers at the end of a request."""

from clementinekeel.callers import messages as callers
from clementinekeel.callers import problems
from clementinekeel.daemon import attempt
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing

Outcome = outcomes.Outcome

RETRY_AFTER_MS = 500
"""Time after which a caller may ask again, if no node has stated one."""

HTTP_STATUS = {
    Outcome.REFUSED: 503,
    Outcome.FAILED: 502,
    Outcome.UNKNOWN: 504,
    Outcome.COMPLETED: 200,
}


def caller_answer(result: attempt.Answered, key: str) -> callers.CallerAnswer:
    """Return the caller's answer for an answer of the backend server."""
    answer = result.answer
    return callers.CallerAnswer(
        answer.outcome,
        answer.status,
        answer.headers,
        key,
        # The stream yields a long answer from its beginning, first part
        # included.
        result.body if answer.last else b"",
        answer.length,
        None if answer.last else attempt.body_parts(result),
    )


def no_target(choice: routing.NoTarget) -> callers.CallerProblem:
    """Return the refusal of a request for which no endpoint can be chosen."""
    details = {
        "unknown_service": "no endpoint of the service is known",
        "no_endpoint": "no endpoint of the service can be reached",
        "overload": "all endpoints refuse requests of this class at present",
    }
    return problems.refusal(
        503,
        choice.reason,
        details.get(choice.reason, choice.reason),
        step="route",
        peer="backend servers",
        retry_after_ms=choice.retry_after_ms,
    )


def owner_unreachable(node_id: str, key: str) -> callers.CallerProblem:
    """Return the problem of a key whose owner cannot be reached now."""
    return callers.CallerProblem(
        Outcome.UNKNOWN,
        HTTP_STATUS[Outcome.UNKNOWN],
        "owner_unreachable",
        "the owner of the key cannot be reached; ask again with the same key",
        "connect",
        node_id,
        RETRY_AFTER_MS,
        key,
    )


def too_many_moves(key: str) -> callers.CallerProblem:
    """Return the problem of a key with too long a chain of successors."""
    return callers.CallerProblem(
        Outcome.UNKNOWN,
        HTTP_STATUS[Outcome.UNKNOWN],
        "too_many_moves",
        "the request was moved too often; ask again with this key",
        "follow",
        "backend servers",
        RETRY_AFTER_MS,
        key,
    )


def final_problem(
    key: str, result: attempt.NotRun | attempt.MayHaveRun
) -> callers.CallerProblem:
    """Return the problem of a request whose last attempt did not complete."""
    if isinstance(result, attempt.NotRun):
        outcome = Outcome.REFUSED
        retry_after_ms = result.retry_after_ms
        if result.successor:
            # This node has not tried the successor key, but a copy of the
            # request at another node may run under it.
            outcome = Outcome.UNKNOWN
    else:
        outcome = result.outcome
        retry_after_ms = RETRY_AFTER_MS
    return callers.CallerProblem(
        outcome,
        HTTP_STATUS[outcome],
        result.reason,
        f"{result.reason.replace('_', ' ')} ({result.step})",
        result.step,
        result.peer,
        retry_after_ms,
        key,
    )
