"""Requests for admission and the decisions about them."""

from typing import NamedTuple

# Rank of the level while nothing is shed; above the rank of any class.
ANY_RANK = 255


class Offer(NamedTuple):
    """A request that needs a slot.

    Attributes
    ----------
    stream : int
        Identifies the request at this node.
    rank : int
        Rank of its class; 0 is shed last.
    expires_ms : int
        Deadline of its caller, on this node's clock.
    """

    stream: int
    rank: int
    expires_ms: int


class Admit(NamedTuple):
    """The request has a slot and may run."""

    stream: int


class Enqueue(NamedTuple):
    """The request waits for a slot."""

    stream: int


class Refuse(NamedTuple):
    """The request gets no slot and has not run.

    Attributes
    ----------
    reason : str
        ``overload``, ``deadline``, ``displaced`` or ``leaving``.
    retry_after_ms : int
        Recommended delay before another attempt.
    """

    stream: int
    reason: str
    retry_after_ms: int


Decision = Admit | Enqueue | Refuse


class Level(NamedTuple):
    """What an endpoint admits at present; sent with each answer.

    Attributes
    ----------
    rank : int
        Least important rank that is still admitted, ``ANY_RANK`` if
        nothing is shed.
    load : float
        Requests running and queued, as a share of the concurrency limit.
    retry_after_ms : int
        Recommended delay before another attempt of a refused request.
    """

    rank: int
    load: float
    retry_after_ms: int
