"""Candidates for a request and observations of earlier requests."""

import enum
from typing import NamedTuple


class Candidate(NamedTuple):
    """An endpoint that can be chosen, as listed by the membership."""

    endpoint: str
    service: str
    zone: str
    region: str
    node_id: str
    incarnation: int
    address: str


class Signal(enum.StrEnum):
    """How an attempt at an endpoint ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LEAVING = "leaving"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    # Ended before there was a result: the request is no longer in flight, and
    # nothing is known about the endpoint.
    CANCELLED = "cancelled"


class Observation(NamedTuple):
    """Result of one attempt at an endpoint.

    Attributes
    ----------
    admitted_rank : int
        Least important rank that the endpoint admits.
    load : float
        Running and queued requests, as a share of its concurrency limit.
    retry_after_ms : int
        Time for which less important requests are expected to be refused.
    latency_ms : float
        Time from sending the request to the end of the answer.
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
