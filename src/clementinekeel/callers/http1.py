"""HTTP/1.1 server connections for callers, heartbeats and health checks.

A connection passes complete requests to its server, one at a time and in
order. The limits on callers are those of the configuration in force.
"""

import asyncio
from collections.abc import Callable
from typing import cast, NamedTuple, Protocol

import httptools

from clementinekeel.backends import http1
from clementinekeel.routing import table
from clementinekeel.runtime import supervision

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
NEW_CONNECTION_S = 0.5
"""Time for which a new connection is not idle: its first request is on its
way, at most a round trip later."""
MAX_PIPELINED = 8
"""Requests that may wait on one connection; further ones are rejected."""


class Request(NamedTuple):
    """A complete request.

    Attributes
    ----------
    headers : list of tuple
        Names in lower case and values, in the order received, without
        hop-by-hop headers.
    started_at : float
        Time at which its first byte was read, in seconds of the event
        loop's clock.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    started_at: float


class PendingRequest(Protocol):
    """A request that is being handled."""

    def cancel(self) -> None:
        """Cancel the request: the caller has closed its connection."""


class Server(Protocol):
    """Handles the requests of a listener's connections."""

    @property
    def limits(self) -> table.CallerLimits:
        """Limits on callers."""

    @property
    def is_stopping(self) -> bool:
        """Whether connections are closed after the next answer."""

    def has_memory_for(self, size: int) -> bool:
        """Tell whether ``size`` more bytes of a body fit in memory."""

    def handle(
        self, connection: "ServerConnection", request: Request
    ) -> PendingRequest | None:
        """Handle a request; the answer is sent by ``connection.respond``.

        Returns
        -------
        PendingRequest or None
            None if the request was answered at once.
        """


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(
        self,
        server: Server,
        on_open: Callable[["ServerConnection"], None],
        on_close: Callable[["ServerConnection"], None],
    ) -> None:
        self._server = server
        self._on_open = on_open
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        # The parser refers to this object: set to None at the end, since both
        # would wait for the garbage collector.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._transport: asyncio.Transport | None = None
        self._pipelined: list[tuple[Request, bool]] = []
        self._current: PendingRequest | None = None
        self._handled_count = 0
        self._is_busy = False
        self._is_refused = False
        # Status and reason of the last answer, behind requests in progress.
        self._rejection: tuple[int, str] | None = None
        self._keep_alive = True
        self._is_reading = False
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._started_at = 0.0
        self._opened_at = self._last_active_at = self._loop.time()
        self.remote_host = ""

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled."""
        return self._is_busy

    @property
    def buffered_bytes(self) -> int:
        """Bytes read so far of the current request body."""
        return self._body_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def respond(self, head: bytes, body: bytes, keep: bool = True) -> None:
        """Send an answer.

        Parameters
        ----------
        head : bytes
            Status line and headers, each ended by CRLF, without the length
            of the body and without hop-by-hop headers.
        body : bytes
            Complete body.
        keep : bool
            Whether the connection may be used again.
        """
        transport = self._transport
        self._is_busy = False
        self._current = None
        if transport is None or transport.is_closing():
            return
        # A stopping node still answers what the caller has pipelined.
        is_last = (
            self._server.is_stopping
            and not self._pipelined
            and self._rejection is None
        )
        keep = keep and self._keep_alive and not is_last
        connection = b"" if keep else b"Connection: close\r\n"
        transport.write(
            b"%sContent-Length: %d\r\n%s\r\n" % (head, len(body), connection)
            + body
        )
        self._last_active_at = self._loop.time()
        if not keep:
            transport.close()
        elif self._pipelined:
            self._handle_next()
        elif self._rejection is not None:
            self._answer_rejection(*self._rejection)

    def reject(self, status: int, reason: str) -> None:
        """Answer with an error of the node itself and close the connection.

        Requests that were read before are answered first: the status says
        nothing of them, and they may run.
        """
        self._is_refused = True
        self._parts = []
        self._body_bytes = 0
        if self._is_busy:
            self._rejection = status, reason
        else:
            self._answer_rejection(status, reason)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection unless a request is being read or handled.

        A new connection stays open for its first request.
        """
        if self._is_busy or self._is_reading or self._transport is None:
            return
        age_s = self._loop.time() - self._opened_at
        if age_s >= NEW_CONNECTION_S:
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle or slow beyond its limits.

        Parameters
        ----------
        now : float
            Time of the event loop's clock.
        """
        limits = self._server.limits
        if self._is_busy:
            return
        silent_ms = (now - self._last_active_at) * 1000
        if self._is_reading:
            if silent_ms > limits.header_timeout_ms:
                self.reject(408, "request_incomplete")
        elif silent_ms > limits.idle_timeout_ms:
            self.close_idle()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.remote_host = peer[0] if peer else ""
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._last_active_at = self._loop.time()
        if self._is_refused or self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "upgrade_not_supported")
        except httptools.HttpParserCallbackError as error:
            # A fault of a callback of this class, not of the caller.
            supervision.report_error(self._loop, "read request", error)
            self._fail(500, "internal_error")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being handled."""
        self._pipelined.clear()
        self._parts = []
        self._parser = None
        self._on_close(self)
        current, self._current = self._current, None
        if current is not None:
            current.cancel()

    def on_message_begin(self) -> None:
        """Start to read a request."""
        self._is_reading = True
        self._started_at = self._loop.time()
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._parts = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))
        self._count_header_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Send 100 Continue if the caller waits for it."""
        if self._transport is None or self._is_refused:
            return
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if self._is_refused:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            self.reject(413, "body_too_long")
        elif not self._server.has_memory_for(len(data)):
            self.reject(503, "memory")
        else:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Handle a complete request, or queue it behind the current one."""
        self._is_reading = False
        if self._is_refused or self._parser is None:
            return
        keep_alive = self._parser.should_keep_alive()
        request = Request(
            self._parser.get_method(),
            self._target,
            _end_to_end(self._headers),
            b"".join(self._parts),
            self._started_at,
        )
        self._parts = []
        self._pipelined.append((request, keep_alive))
        if not self._is_busy:
            self._handle_next()
        elif len(self._pipelined) > MAX_PIPELINED:
            self._pipelined.pop()
            self.reject(400, "too_many_pipelined_requests")

    def _handle_next(self) -> None:
        request, self._keep_alive = self._pipelined.pop(0)
        self._is_busy = True
        self._handled_count = number = self._handled_count + 1
        try:
            current = self._server.handle(self, request)
        except Exception as error:
            supervision.report_error(self._loop, "handle request", error)
            if self._is_busy:
                self._pipelined.clear()
                self._answer_rejection(500, "internal_error")
            return
        # Behind one that was answered at once, the next may be in progress.
        if self._is_busy and number == self._handled_count:
            self._current = current

    def _answer_rejection(self, status: int, reason: str) -> None:
        self._is_refused = True
        head, body = error_answer(status, reason)
        self.respond(head, body, keep=False)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._is_refused:
            return
        if self._header_bytes > self._server.limits.header_bytes:
            self.reject(431, "headers_too_long")

    def _fail(self, status: int, reason: str) -> None:
        if self._is_busy:
            # The current request is still answered; all later bytes are
            # ignored.
            self._is_refused = True
            self._keep_alive = False
        else:
            self.reject(status, reason)


def _end_to_end(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    dropped = http1.HOP_BY_HOP_HEADERS | {b"expect"}
    for name, value in headers:
        if name == b"connection":
            dropped = dropped.union(
                item.strip().lower() for item in value.split(b",")
            )
    return [item for item in headers if item[0] not in dropped]


def error_answer(
    status: int, reason: str, extra_headers: bytes = b""
) -> tuple[bytes, bytes]:
    """Return head and body of an error answer of the node itself.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Machine-readable reason, sent in the body.
    extra_headers : bytes
        Further headers, each ended by CRLF.
    """
    head = b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s" % (
        status,
        REASON_PHRASES.get(status, b"Error"),
        extra_headers,
    )
    return head, b'{"reason":"%s"}' % reason.encode()
