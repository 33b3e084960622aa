"""Attempts that did not complete and the retry decisions about them."""

from typing import NamedTuple

from clementinekeel.outcomes import messages as outcomes


class Attempt(NamedTuple):
    """An attempt that did not complete.

    Attributes
    ----------
    service : str
        Service that was called.
    outcome : Outcome
        ``REFUSED`` only if the request certainly did not run.
    idempotent : bool
        Whether running the request again does no harm.
    number : int
        Attempts made by this node for this call so far, from 1.
    allowance : int
        Extra attempts that this call may still make.
    grant_exhausted : bool
        Whether the nodes downstream have used up the attempt's grant and
        given up.
    remaining_ms : int
        Time until the request's deadline.
    retry_after_ms : int
        The server's hint, 0 if there is none.
    """

    service: str
    outcome: outcomes.Outcome
    idempotent: bool
    number: int
    allowance: int
    grant_exhausted: bool
    remaining_ms: int
    retry_after_ms: int


class RetryAfter(NamedTuple):
    """Retry after a delay."""

    delay_ms: float


class Stop(NamedTuple):
    """Do not retry.

    Attributes
    ----------
    reason : str
        ``completed``, ``may_have_run``, ``attempts``, ``allowance``,
        ``stopped``, ``deadline`` or ``budget``.
    """

    reason: str


Decision = RetryAfter | Stop
