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
        Length in bytes, or -1 if the caller did not state it.
    read : Callable
        Returns the next part, and None after the last one.
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
        """Whether the body can still be sent from its beginning."""
        return not self._is_started

    async def rest(self) -> AsyncIterator[bytes]:
        """Yield what follows the first part; can be used once."""
        self._is_started = True
        while not self.is_complete:
            data = await self._read()
            if data is None:
                return
            yield data


class CallerRequest(NamedTuple):
    """A request as the caller's interface has understood it.

    Attributes
    ----------
    path : str
        Path and query string at the backend server.
    key : str
        Value of the Idempotency-Key header, or empty.
    timeout_ms : int
        Time the caller waits, or 0 if it states none.
    request_class : str
        Class that the caller asks for, or empty.
    context : str
        Context of the request that causes this one, or empty.
    is_from_backend : bool
        Whether it comes from the backend server beside this node.
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
    """Answer of the backend server, on its way to the caller.

    Attributes
    ----------
    outcome : Outcome
        Completed or failed.
    body : bytes
        The whole body, or nothing if ``rest`` has it.
    length : int
        Length of the body in bytes, or -1 if it is not known.
    rest : AsyncIterator of bytes or None
        Parts of a long body; None if ``body`` is the whole body. It raises
        ``runtime.errors.StepError`` if the body is cut.
    """

    outcome: outcomes.Outcome
    status: int
    headers: Headers
    key: str
    body: bytes
    length: int
    rest: AsyncIterator[bytes] | None


class CallerProblem(NamedTuple):
    """Why there is no answer of the backend server.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Fixed word for programs.
    detail : str
        Text for people.
    step, peer : str
        Where it happened.
    retry_after_ms : int
        Earliest sensible time for another attempt; 0 if there is none.
    key : str
        Idempotency key to ask again with, or empty.
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
    """Answer to an inquiry.

    Attributes
    ----------
    state : str
        An outcome or ``running``.
    """

    state: str
    reason: str
