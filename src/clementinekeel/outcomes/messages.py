"""Issued keys, outcomes and the decisions of the owner of a key."""

import enum
from typing import NamedTuple


class Outcome(enum.StrEnum):
    """What a caller learns about its request."""

    COMPLETED = "completed"
    """The backend server answered, and the answer is whole."""
    REFUSED = "refused"
    """The request did not run and will not run under this key."""
    FAILED = "failed"
    """The request ran, and the backend server failed."""
    UNKNOWN = "unknown"
    """The request may have run."""


class IssuedKey(NamedTuple):
    """Contents of an issued idempotency key.

    Attributes
    ----------
    service, endpoint : str
        Endpoint that owns the key.
    node_id : str
        Node beside that endpoint.
    incarnation : int
        Incarnation of that node; only it may run the key.
    expires_ms : int
        End of use, on the owner's clock.
    serial : bytes
        12 random bytes.
    """

    service: str
    endpoint: str
    node_id: str
    incarnation: int
    expires_ms: int
    serial: bytes


class KeptAnswer(NamedTuple):
    """Whole answer of a backend server, kept for repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Run(NamedTuple):
    """The caller's request may run now; the record says running."""


class Wait(NamedTuple):
    """The key is running; the same outcome will be sent to this arrival."""


class Finished(NamedTuple):
    """The key has a final outcome.

    Attributes
    ----------
    answer : KeptAnswer or None
        None if it is not kept or there is none.
    """

    outcome: Outcome
    reason: str
    answer: KeptAnswer | None


class Moved(NamedTuple):
    """The key was refused here and moved to a successor.

    Attributes
    ----------
    successor : str
        Text form of the successor key.
    """

    successor: str


Decision = Run | Wait | Finished | Moved
