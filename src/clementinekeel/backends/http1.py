"""HTTP/1.1 client connections for backend servers and the store.

A connection carries one request at a time. Bytes that belong to no request,
such as a second answer, never reach a caller: an answer that names another
request is skipped, and a connection with bytes left over is closed.
"""

import asyncio
from collections.abc import Callable
from typing import cast, NamedTuple

import httptools

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
"""Headers that concern one connection, or that the sender sets itself."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longer answers are given up: a node may hold 200 MB in all."""
KEEP_ALIVE_SHARE = 0.5
"""Idle connections are reused for this share of the time the server names.

The server counts from when it sent its answer, and a request that meets its
close may have run.
"""
DEFAULT_KEEP_ALIVE_MS = 4_000
"""For servers that name no time; common servers close after five seconds."""


class Answer(NamedTuple):
    """A whole answer.

    Attributes
    ----------
    headers : list of tuple
        Names in lower case, in the order received, without those that
        concern the connection.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Failure(NamedTuple):
    """No whole answer came; the request may have run."""

    reason: str
    has_partial_answer: bool


Outcome = Answer | Failure


class HttpConnection(asyncio.Protocol):
    """One connection.

    Parameters
    ----------
    id_header : bytes
        Name of the header by which answers name their request, empty if
        they don't.
    """

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._done: Callable[[Outcome], None] | None = None
        self._outcome: Outcome | None = None
        self._request_id = b""
        self._is_head = False
        self._is_spoiled = False
        self._is_foreign = False
        self._until_end = False
        self._has_bytes = False
        self._size = 0
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        self.idle_since = self._loop.time()
        self.request_count = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        if self._is_spoiled or self._done is not None:
            return False
        if self._transport is None or self._transport.is_closing():
            return False
        idle_ms = (self._loop.time() - self.idle_since) * 1000
        return idle_ms < self._keep_alive_ms * KEEP_ALIVE_SHARE

    def send(
        self,
        head: bytes,
        body: bytes,
        request_id: bytes,
        is_head: bool,
        done: Callable[[Outcome], None],
    ) -> None:
        """Send a request; ``done`` is called once unless it is cancelled."""
        self._done = done
        self._request_id = request_id
        self._is_head = is_head
        self._has_bytes = False
        self.request_count += 1
        transport = self._transport
        if transport is None or transport.is_closing():
            self._finish(Failure("connection closed", False))
            return
        transport.write(head + body if body else head)

    def cancel(self) -> None:
        """Close the connection; the outcome of its request is not reported."""
        self._done = None
        self._is_spoiled = True
        if self._transport is not None:
            self._transport.abort()

    def abort(self) -> None:
        """Reset the connection; its request fails."""
        self._is_spoiled = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once everything is sent."""
        self._is_spoiled = True
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read bytes of an answer."""
        if self._done is None:
            # An answer that no request waits for.
            self.cancel()
            return
        self._has_bytes = True
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._is_spoiled = True
            if self._outcome is None:
                self._outcome = Failure(f"no HTTP answer: {error}", True)
        if self._is_spoiled and self._outcome is not None:
            transport = self._transport
            if transport is not None:
                transport.close()
        # Reported only now: the connection may be used again at once, and
        # bytes behind the answer must not meet the next request.
        if self._outcome is not None:
            self._finish(self._outcome)

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        self._is_spoiled = True
        if self._until_end and self._done is not None:
            self._complete(self._parser.get_status_code())
            if self._outcome is not None:
                self._finish(self._outcome)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that still waits."""
        self._is_spoiled = True
        reason = "connection closed" if exc is None else str(exc)
        self._finish(Failure(reason, self._has_bytes))

    def on_message_begin(self) -> None:
        """Prepare for an answer."""
        self._headers = []
        self._parts = []
        self._reason = b""
        self._size = 0
        self._is_foreign = False
        self._until_end = False
        if self._done is None or self._outcome is not None:
            self._is_spoiled = True

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide whether the answer is the expected one."""
        if self._outcome is not None:
            return
        if self._id_header:
            named = [v for n, v in self._headers if n == self._id_header]
            self._is_foreign = named != [self._request_id]
        is_framed = False
        for name, value in self._headers:
            if name in (b"content-length", b"transfer-encoding"):
                is_framed = True
            elif name == b"keep-alive":
                self._read_keep_alive(value)
        status = self._parser.get_status_code()
        if self._is_head and status >= 200 and not self._is_foreign:
            self._is_spoiled = True
            self._complete(status)
        elif not is_framed and status >= 200 and status not in (204, 304):
            self._until_end = not self._is_foreign
            self._is_spoiled = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._is_foreign or self._outcome is not None:
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._is_spoiled = True
            self._outcome = Failure("answer too long", True)

    def on_message_complete(self) -> None:
        """Report a whole answer."""
        status = self._parser.get_status_code()
        if self._is_foreign or status < 200 or self._outcome is not None:
            return
        if self._until_end:
            return
        if not self._parser.should_keep_alive():
            self._is_spoiled = True
        self._complete(status)

    def _read_keep_alive(self, value: bytes) -> None:
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self._keep_alive_ms = int(number) * 1000

    def _complete(self, status: int) -> None:
        dropped = HOP_HEADERS
        for name, value in self._headers:
            if name == b"connection":
                dropped = dropped.union(
                    item.strip().lower() for item in value.split(b",")
                )
        headers = [item for item in self._headers if item[0] not in dropped]
        body = b"".join(self._parts)
        self._parts = []
        self._outcome = Answer(status, self._reason, headers, body)

    def _finish(self, outcome: Outcome) -> None:
        done, self._done = self._done, None
        self._outcome = None
        self.idle_since = self._loop.time()
        if done is not None:
            done(outcome)
