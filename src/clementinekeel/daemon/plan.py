"""Class, deadline and allowance of a caller's request, from the rules."""

from typing import NamedTuple

from clementinekeel.callers import messages as callers
from clementinekeel.callers import problems
from clementinekeel.configuration import classifier
from clementinekeel.configuration import model
from clementinekeel.daemon import contexts
from clementinekeel.retries import allowance
from clementinekeel.retries import calls


class Plan(NamedTuple):
    """Request that may be attempted, and the terms that apply to it.

    Attributes
    ----------
    operation : Operation
        Operation of the rules that the request matches.
    rank : int
        Priority under overload; requests of rank 0 are shed last.
    expires_ms : int
        Deadline on this node's clock.
    context : Context or None
        Context of the request that caused this one.
    reservation : Reservation or None
        Part of that request's allowance, reserved for this one.
    allowance : CallAllowance
        Split of this request's extra attempts.
    """

    request: callers.CallerRequest
    operation: model.Operation
    request_class: str
    rank: int
    expires_ms: int
    context: contexts.Context | None
    reservation: allowance.Reservation | None
    allowance: calls.CallAllowance


def make(
    request: callers.CallerRequest,
    configuration: model.Configuration | None,
    services: frozenset[str],
    served_contexts: contexts.Contexts,
    is_leaving: bool,
    now_ms: int,
) -> Plan | callers.CallerProblem:
    """Return the plan of a request, or the problem for which it is refused.

    Parameters
    ----------
    configuration : Configuration or None
        Configuration in force, if there is one.
    services : frozenset of str
        Services of its inventory.
    served_contexts : Contexts
        Requests that the local backend server is serving.
    is_leaving : bool
        Whether this node refuses new requests. Downstream calls of requests
        that it still serves are accepted.
    now_ms : int
        Present time.
    """
    if configuration is None:
        return problems.refusal(
            503,
            "no_configuration",
            "the node has not received a configuration yet",
            step="configure",
            peer="platform",
            retry_after_ms=1_000,
        )
    if request.service not in services:
        return problems.refusal(
            404, "unknown_service", "the inventory has no such service"
        )
    context = None
    if request.is_from_backend and request.context:
        context = served_contexts.find(request.context)
        if context is None:
            return problems.refusal(
                409,
                "context_ended",
                "the request that caused this call has ended",
            )
    if is_leaving and context is None:
        return problems.refusal(
            503, "leaving", "the node is being stopped; use another one"
        )
    operation = classifier.classify(
        configuration, request.service, request.method, request.path
    )
    chosen_class = _choose_class(request, operation, configuration.rules)
    if isinstance(chosen_class, callers.CallerProblem):
        return chosen_class
    return _build(
        request, operation, chosen_class, context, configuration, now_ms
    )


def _choose_class(
    request: callers.CallerRequest,
    operation: model.Operation,
    rules: model.Rules,
) -> model.RequestClass | callers.CallerProblem:
    default = model.RequestClass(operation.request_class, operation.rank)
    if not request.request_class:
        return default
    for item in rules.classes:
        # Callers may lower the importance of a request but not raise it.
        if item.name == request.request_class and item.rank >= default.rank:
            return item
    return problems.refusal(
        400,
        "bad_class",
        "the class is unknown or more important than the rules allow",
    )


def _build(
    request: callers.CallerRequest,
    operation: model.Operation,
    chosen_class: model.RequestClass,
    context: contexts.Context | None,
    configuration: model.Configuration,
    now_ms: int,
) -> Plan:
    timeout_ms = operation.deadline_ms
    if request.timeout_ms:
        timeout_ms = min(timeout_ms, request.timeout_ms)
    expires_ms = now_ms + timeout_ms
    rank = chosen_class.rank
    reservation: allowance.Reservation | None = None
    extra_attempts = configuration.rules.retry_allowance
    if context is not None:
        expires_ms = min(expires_ms, context.expires_ms)
        # A lookup that a booking waits for is as important as the booking.
        rank = min(rank, context.rank)
        reservation = context.pool.reserve()
        extra_attempts = reservation.amount
    elif request.is_from_backend:
        extra_attempts = 0
    return Plan(
        request,
        operation,
        chosen_class.name,
        rank,
        expires_ms,
        context,
        reservation,
        calls.CallAllowance(extra_attempts),
    )
