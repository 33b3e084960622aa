"""Issued keys, outcomes, and decisions of the endpoint that owns a key."""

import enum
from typing import NamedTuple


class Outcome(enum.StrEnum):
    """Outcome of a request, as reported to its caller."""

    COMPLETED = "completed"
    """The backend server answered, and the answer is complete."""
    REFUSED = "refused"
    """The request has not run and will not run under this key."""
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
        Incarnation of that node; only this incarnation may run the key.
    expires_ms : int
        Expiry on the owner's clock.
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
    """Complete answer of a backend server, kept for repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Run(NamedTuple):
    """The request of this arrival may run; the key is recorded as running."""


class Wait(NamedTuple):
    """The key is running; this arrival will receive the same outcome."""


class Finished(NamedTuple):
    """The key has a final outcome.

    Attributes
    ----------
    answer : KeptAnswer or None
        None if the answer was not kept or there is none.
    """

    outcome: Outcome
    reason: str
    answer: KeptAnswer | None


class Moved(NamedTuple):
    """The key was refused here, and a successor key may run in its place.

    Attributes
    ----------
    successor : str
        Text form of the successor key.
    """

    successor: str


Decision = Run | Wait | Finished | Moved
