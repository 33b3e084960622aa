"""HTTP/1.1 connection to the local backend server.

A request is sent once. This module never retries a request, because only the
record of outcomes may decide whether a request is retried.
"""

from collections.abc import AsyncIterator
import select
import socket as socket_module
from typing import NamedTuple

import anyio
import anyio.abc
import h11

from clementinekeel.backends import errors
from clementinekeel.runtime import clock

READ_BYTES = 256 * 1024
"""As much as the event loop reads at once. With less, unread bytes could stay
in its buffer, where ``is_reusable`` does not detect them."""
MAX_HEAD_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 256 * 1024
"""Size of the kernel's receive buffer. The event loop reads up to 32 times in
a row before it can be paused; the size of the buffer limits how much memory a
long answer takes that way."""
MAX_IDLE_MS = 4_000
"""Longest idle time for reuse; shorter than the keep-alive time of common HTTP
servers (5 s)."""

Headers = tuple[tuple[str, str], ...]
_LATIN1 = "latin-1"
_BODILESS_STATUSES = frozenset({204, 304})
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class Head(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


class Connection:
    """An HTTP connection that runs one request at a time.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Connected stream; owned by this object.
    peer : str
        Address of the backend server.
    """

    def __init__(self, stream: anyio.abc.SocketStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._was_sent = False
        self._is_head = False
        self._idle_since_ms = clock.now_ms()
        socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._descriptor = socket.fileno()
        socket.setsockopt(
            socket_module.SOL_SOCKET,
            socket_module.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )

    @property
    def is_expired(self) -> bool:
        """Whether it was idle so long that the server may close it."""
        return clock.now_ms() - self._idle_since_ms > MAX_IDLE_MS

    @property
    def peer(self) -> str:
        """Address of the backend server."""
        return self._peer

    @property
    def is_reusable(self) -> bool:
        """Whether the next request can be sent on this connection."""
        if self.is_expired:
            return False
        # An idle connection that is readable was closed by the server, or
        # has bytes that belong to no request. A request sent on it would be
        # lost with an unknown outcome.
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        return not poll.poll(0)

    async def send_head(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send the head of a request and the first part of its body."""
        data = self._serialize_head(method, target, headers)
        self._is_head = method == "HEAD"
        if body:
            data += self._serialize(h11.Data(data=body))
        await self._write(data)

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._serialize(h11.Data(data=data)))

    async def send_end(self) -> None:
        """Send the end of the request."""
        data = self._serialize(h11.EndOfMessage())
        if data:
            await self._write(data)

    async def receive_head(self) -> Head:
        """Read the head of the answer.

        Raises
        ------
        errors.BackendError
            If there is no head, or if it does not state where the body ends.
        """
        while True:
            event = await self._next_event("receive head")
            if isinstance(event, h11.Response):
                headers = tuple(
                    (name.decode(_LATIN1), value.decode(_LATIN1))
                    for name, value in event.headers
                )
                head = Head(event.status_code, headers)
                if not self._is_framed(head):
                    raise self._error(
                        "receive head",
                        "answer has neither a length nor chunks, so that a "
                        "cut one cannot be told from a whole one",
                    )
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._error("receive head", "connection closed")

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the answer's body.

        Raises
        ------
        errors.BackendError
            If the body is cut.
        """
        while True:
            event = await self._next_event("receive body")
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise self._error("receive body", "connection closed")

    def finish(self) -> bool:
        """End the request; return whether the connection can be reused."""
        is_done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if not is_done:
            return False
        # Bytes after the answer would be taken for the next answer.
        unread, _ = self._http.trailing_data
        if unread:
            return False
        self._http.start_next_cycle()
        self._was_sent = False
        self._idle_since_ms = clock.now_ms()
        return True

    async def close(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    def _is_framed(self, head: Head) -> bool:
        if self._is_head or head.status in _BODILESS_STATUSES:
            return True
        return any(name in _FRAMING_HEADERS for name, _ in head.headers)

    def _serialize_head(
        self, method: str, target: str, headers: Headers
    ) -> bytes:
        try:
            request = h11.Request(
                method=method,
                target=target,
                headers=[
                    (name.encode(_LATIN1), value.encode(_LATIN1))
                    for name, value in headers
                ],
            )
        except (h11.LocalProtocolError, UnicodeEncodeError):
            # The library's message quotes the value, which may be a key.
            raise self._error("send", "illegal head of a request") from None
        return self._serialize(request)

    def _serialize(self, event: h11.Event) -> bytes:
        try:
            return self._http.send(event) or b""
        except h11.LocalProtocolError as error:
            raise self._error("send", str(error)) from error

    async def _write(self, data: bytes) -> None:
        self._was_sent = True
        try:
            await self._stream.send(data)
        except (OSError, anyio.ClosedResourceError) as error:
            raise self._error("send", _describe(error)) from error
        except anyio.BrokenResourceError as error:
            raise self._error("send", "connection lost") from error

    async def _next_event(self, step: str) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._error(step, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._read(step))

    async def _read(self, step: str) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise self._error(step, _describe(error)) from error

    def _error(self, step: str, reason: str) -> errors.BackendError:
        return errors.BackendError(step, self._peer, reason, self._was_sent)


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
