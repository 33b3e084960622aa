"""Sending of one request to the local backend server."""

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

MIN_FAILURE_STATUS = 500
BODILESS_STATUSES = frozenset({204, 304})


class ExpiredError(Exception):
    """The deadline passed before the request was sent."""


class WholeAnswer(NamedTuple):
    """Answer whose body fits into one message to the entry node."""

    head: connection.Head
    body: bytes


class LongAnswer(NamedTuple):
    """Answer whose body is sent to the entry node in chunks.

    Attributes
    ----------
    first : bytes
        First part of the body.
    length : int
        Length of the body in bytes, or -1 if the backend server did not state
        it.
    rest : AsyncIterator of bytes
        Yields the parts after the first one.
    """

    head: connection.Head
    first: bytes
    length: int
    rest: AsyncIterator[bytes]


@contextlib.asynccontextmanager
async def send(
    connections: pool.ConnectionPool,
    call: messages.Call,
    stream: server.ServerStream,
    context: contexts.Context,
) -> AsyncIterator[WholeAnswer | LongAnswer]:
    """Send a request and yield its answer, of a long one the first part.

    The connection is kept if the answer was read to its end. Otherwise it is
    closed, which cancels the request at the backend server.

    Raises
    ------
    ExpiredError
        If the deadline passed while waiting for a connection; nothing was
        sent.
    clementinekeel.backends.errors.BackendError
        If there is no complete answer.
    streams.BodyError
        If the body of the request is cut.
    """
    backend_connection = await connections.acquire()
    is_read = False
    try:
        # This process may have been paused since it admitted the call.
        if clock.now_ms() >= call.expires_ms:
            raise ExpiredError
        if not call.last:
            # Invited only when there is a connection. If none can be opened,
            # the request can be sent whole to another endpoint.
            stream.invite_body()
        await _send_request(
            backend_connection,
            connections,
            call,
            stream.incoming_body,
            context,
        )
        yield await _read_answer(backend_connection, call.method)
        is_read = True
    finally:
        if is_read:
            await connections.release(backend_connection)
        else:
            with anyio.CancelScope(shield=True):
                await connections.discard(backend_connection)


async def _send_request(
    backend_connection: connection.Connection,
    connections: pool.ConnectionPool,
    call: messages.Call,
    request_body: streams.IncomingBody,
    context: contexts.Context,
) -> None:
    headers = _request_headers(connections, call, context)
    if call.last:
        body = b"".join([part async for part in request_body.chunks()])
        await backend_connection.send_head(
            call.method, call.path, headers, body
        )
    else:
        await backend_connection.send_head(
            call.method, call.path, headers, b""
        )
        async for part in request_body.chunks():
            await backend_connection.send_body(part)
    await backend_connection.send_end()


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


async def _read_answer(
    backend_connection: connection.Connection, method: str
) -> WholeAnswer | LongAnswer:
    head = await backend_connection.receive_head()
    if method != "HEAD" and not _has_length(head):
        # The body would end with the connection, which a crash of the backend
        # server ends as well.
        raise backend_errors.BackendError(
            "receive head",
            backend_connection.peer,
            "answer without length",
            was_sent=True,
        )
    parts = backend_connection.receive_body()
    first = bytearray()
    async for part in parts:
        first += part
        if len(first) > streams.CHUNK_BYTES:
            return LongAnswer(
                head,
                bytes(first[: streams.CHUNK_BYTES]),
                _content_length(head),
                _remaining_parts(bytes(first[streams.CHUNK_BYTES :]), parts),
            )
    return WholeAnswer(head, bytes(first))


async def _remaining_parts(
    pending: bytes, parts: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield pending
    async for part in parts:
        yield part


def _has_length(head: connection.Head) -> bool:
    if head.status in BODILESS_STATUSES:
        return True
    find_header = caller_headers.find
    if find_header(head.headers, "content-length") is not None:
        return True
    return find_header(head.headers, "transfer-encoding") is not None


def _content_length(head: connection.Head) -> int:
    text = caller_headers.find(head.headers, "content-length")
    return int(text) if text is not None else -1


def is_failure(head: connection.Head) -> bool:
    """Tell whether the backend server reported a failure."""
    return head.status >= MIN_FAILURE_STATUS


def is_refusal(head: connection.Head) -> bool:
    """Tell whether the backend server states that it did not run."""
    outcome = caller_headers.find(head.headers, caller_headers.OUTCOME)
    return outcome == "refused"
