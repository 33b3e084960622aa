"""Candidates for a request and observations of earlier ones."""

import enum
from typing import NamedTuple


class Candidate(NamedTuple):
    """An endpoint that can be chosen, as membership sees it."""

    endpoint: str
    service: str
    zone: str
    region: str
    node_id: str
    incarnation: int
    address: str


class Signal(enum.StrEnum):
    """What the last attempt at an endpoint showed."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LEAVING = "leaving"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    # Ended by the caller before a result: frees the in-flight count and says
    # nothing about the endpoint.
    CANCELLED = "cancelled"


class Observation(NamedTuple):
    """Result of one attempt at an endpoint.

    Attributes
    ----------
    admitted_rank : int
        Least important rank that the endpoint admits.
    load : float
        Its load as a share of its concurrency limit.
    retry_after_ms : int
        Time for which requests below that rank are hopeless.
    latency_ms : float
        Time from sending to the end of the answer.
    """

    signal: Signal
    admitted_rank: int
    load: float
    retry_after_ms: int
    latency_ms: float


class NoTarget(NamedTuple):
    """No endpoint can be chosen.

    Attributes
    ----------
    reason : str
        ``unknown_service``, ``no_endpoint`` or ``overload``.
    """

    reason: str
    retry_after_ms: int
