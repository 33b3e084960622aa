"""One request at the backend server: send it and relay its answer."""

from collections.abc import AsyncIterator
import contextlib
from typing import NamedTuple

import anyio

from clementinekeel.backends import connection
from clementinekeel.backends import errors as backend_errors
from clementinekeel.backends import pool
from clementinekeel.callers import headers as caller_headers
from clementinekeel.daemon import contexts
from clementinekeel.nodes import messages
from clementinekeel.nodes import server
from clementinekeel.nodes import streams
from clementinekeel.runtime import clock

FIRST_FAILURE_STATUS = 500
BODILESS_STATUSES = frozenset({204, 304})


class ExpiredError(Exception):
    """The deadline passed before the request was written."""


class WholeAnswer(NamedTuple):
    """Answer whose body fits into one message."""

    head: connection.Head
    body: bytes


class LongAnswer(NamedTuple):
    """Answer whose body is sent in chunks.

    Attributes
    ----------
    first : bytes
        First part of the body.
    length : int
        Length that the backend server stated, or -1.
    rest : AsyncIterator of bytes
        Further parts.
    """

    head: connection.Head
    first: bytes
    length: int
    rest: AsyncIterator[bytes]


@contextlib.asynccontextmanager
async def exchange(
    connections: pool.ConnectionPool,
    call: messages.Call,
    stream: server.ServerStream,
    context: contexts.Context,
) -> AsyncIterator[WholeAnswer | LongAnswer]:
    """Send a request and receive the head and first part of its answer.

    The connection is kept if the answer was read to its end, and closed
    otherwise, which cancels the request at the backend server.

    Raises
    ------
    ExpiredError
        If the deadline passed while waiting for a connection; nothing was
        sent.
    clementinekeel.backends.errors.BackendError
        If there is no whole answer.
    streams.BodyError
        If the body of the request is cut.
    """
    used = await connections.acquire()
    is_kept = False
    try:
        # A process that was paused since admission must not forward late.
        if clock.now_ms() >= call.expires_ms:
            raise ExpiredError
        if not call.last:
            # Only now, so that a body is still whole for another endpoint
            # when no connection could be opened.
            stream.invite_body()
        await _send(used, connections, call, stream.incoming_body, context)
        yield await _receive(used, call.method)
        is_kept = True
    finally:
        if is_kept:
            await connections.release(used)
        else:
            with anyio.CancelScope(shield=True):
                await connections.discard(used)


async def _send(
    used: connection.Connection,
    connections: pool.ConnectionPool,
    call: messages.Call,
    inflow: streams.IncomingBody,
    context: contexts.Context,
) -> None:
    headers = _request_headers(connections, call, context)
    if call.last:
        body = b"".join([part async for part in inflow.chunks()])
        await used.send_head(call.method, call.path, headers, body)
    else:
        await used.send_head(call.method, call.path, headers, b"")
        async for part in inflow.chunks():
            await used.send_body(part)
    await used.send_end()


def _request_headers(
    connections: pool.ConnectionPool,
    call: messages.Call,
    context: contexts.Context,
) -> connection.Headers:
    remaining_ms = max(1, call.expires_ms - clock.now_ms())
    headers = [
        ("host", connections.address),
        *call.headers,
        (caller_headers.CONTEXT, context.token),
        (caller_headers.TIMEOUT, str(remaining_ms)),
        (caller_headers.REQUEST_CLASS, call.request_class),
        (caller_headers.REQUEST_ID, call.request_id),
    ]
    if call.length >= 0:
        headers.append(("content-length", str(call.length)))
    elif not call.last:
        headers.append(("transfer-encoding", "chunked"))
    if call.key:
        headers.append((caller_headers.IDEMPOTENCY_KEY, call.key))
    return tuple(headers)


async def _receive(
    used: connection.Connection, method: str
) -> WholeAnswer | LongAnswer:
    head = await used.receive_head()
    if method != "HEAD" and not _is_delimited(head):
        # Its end would be the end of the connection, which a crash of the
        # backend server causes as well.
        raise backend_errors.BackendError(
            "receive head", used.peer, "answer without length", was_sent=True
        )
    parts = used.receive_body()
    first = bytearray()
    async for part in parts:
        first += part
        if len(first) > streams.CHUNK_BYTES:
            return LongAnswer(
                head,
                bytes(first[: streams.CHUNK_BYTES]),
                _content_length(head),
                _rest(bytes(first[streams.CHUNK_BYTES :]), parts),
            )
    return WholeAnswer(head, bytes(first))


async def _rest(
    pending: bytes, parts: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield pending
    async for part in parts:
        yield part


def _is_delimited(head: connection.Head) -> bool:
    if head.status in BODILESS_STATUSES:
        return True
    find = caller_headers.find
    if find(head.headers, "content-length") is not None:
        return True
    return find(head.headers, "transfer-encoding") is not None


def _content_length(head: connection.Head) -> int:
    text = caller_headers.find(head.headers, "content-length")
    return int(text) if text is not None else -1


def is_failure(head: connection.Head) -> bool:
    """Tell whether the backend server reported a failure."""
    return head.status >= FIRST_FAILURE_STATUS


def is_refusal(head: connection.Head) -> bool:
    """Tell whether the backend server says that it did not run."""
    outcome = caller_headers.find(head.headers, caller_headers.OUTCOME)
    return outcome == "refused"
