"""Requests of callers and the answers they get."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from clementinekeel.callers import headers as caller_headers
from clementinekeel.outcomes import messages as outcomes

Headers = caller_headers.Headers


class Body:
    """Body of a request, of which the first part has been read.

    Parameters
    ----------
    first : bytes
        First part, at most one chunk.
    is_complete : bool
        Whether the first part is the whole body.
    length : int
        Length of the body in bytes, or -1 if the caller did not state it.
    read : Callable
        Returns the next part, and None after the last part.
    """

    def __init__(
        self,
        first: bytes,
        is_complete: bool,
        length: int,
        read: Callable[[], Awaitable[bytes | None]],
    ) -> None:
        self.first = first
        self.is_complete = is_complete
        self.length = length
        self._read = read
        self._is_started = False

    @property
    def is_repeatable(self) -> bool:
        """Whether the body can still be sent from the beginning."""
        return not self._is_started

    async def rest(self) -> AsyncIterator[bytes]:
        """Yield the parts after the first one; can be iterated only once."""
        self._is_started = True
        while not self.is_complete:
            data = await self._read()
            if data is None:
                return
            yield data


class CallerRequest(NamedTuple):
    """A valid request of a caller.

    Attributes
    ----------
    path : str
        Path and query string at the backend server.
    key : str
        Value of the Idempotency-Key header, or empty.
    timeout_ms : int
        Time for which the caller waits, or 0 if it states none.
    request_class : str
        Request class that the caller asks for, or empty.
    context : str
        Context token of the request that caused this one, or empty.
    is_from_backend : bool
        Whether the request comes from the local backend server.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: Headers
    body: Body
    key: str
    timeout_ms: int
    request_class: str
    context: str
    is_from_backend: bool


class CallerAnswer(NamedTuple):
    """Answer of a backend server to a caller's request.

    Attributes
    ----------
    outcome : Outcome
        Completed or failed.
    body : bytes
        The whole body; empty if ``rest`` yields it.
    length : int
        Length of the body in bytes, or -1 if it is not known.
    rest : AsyncIterator of bytes or None
        Yields a long body in parts; None if ``body`` is the whole body. It
        raises ``runtime.errors.StepError`` if the body is cut.
    """

    outcome: outcomes.Outcome
    status: int
    headers: Headers
    key: str
    body: bytes
    length: int
    rest: AsyncIterator[bytes] | None


class CallerProblem(NamedTuple):
    """Reason why there is no answer of a backend server.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Machine-readable reason.
    detail : str
        Human-readable explanation.
    step, peer : str
        Step that failed, and the party at its other end.
    retry_after_ms : int
        Time to wait before another attempt; 0 if there is no such hint.
    key : str
        Idempotency key for another attempt or inquiry, or empty.
    """

    outcome: outcomes.Outcome
    status: int
    reason: str
    detail: str
    step: str
    peer: str
    retry_after_ms: int
    key: str


class KeyGrant(NamedTuple):
    """An issued idempotency key."""

    key: str
    lifetime_ms: int


class KeyState(NamedTuple):
    """Answer to an inquiry about a key.

    Attributes
    ----------
    state : str
        An outcome or ``running``.
    """

    state: str
    reason: str
