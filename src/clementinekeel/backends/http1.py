"""HTTP/1.1 client connections for backend servers and the store.

A connection carries one request at a time. Bytes that do not belong to the
request, such as a second answer, never reach a caller: an answer that names
another request is skipped, and a connection with surplus bytes is closed.
"""

import asyncio
from collections.abc import Callable
from typing import cast, NamedTuple

import httptools

from clementinekeel.backends import _answer_memory
from clementinekeel.runtime import decoding

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers of one connection, and headers that each hop sets itself."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bytes received for one request, with interim answers and those of other
requests, above which it fails: a node may use only 200 MB in total."""
MAX_HEAD_BYTES = 64 * 1024
"""Longer heads of answers are failures; common servers stop at 8 to 64 KiB."""
MAX_FRAMING_BYTES = 256 * 1024
"""Bytes received for one request beside all bodies, above which it fails if
the bodies have fewer: chunks of one byte take seconds of processor time for an
answer of the greatest length."""
KEEP_ALIVE_SHARE = 0.5
"""Share of the server's keep-alive time for which idle connections are reused.

The server counts from the time when it sent its answer. If it closes the
connection while a request is on the way, the request may have run.
"""
MAX_REFUSED_REQUESTS = 32
"""Refused requests that a connection remembers; then it is replaced."""
DEFAULT_KEEP_ALIVE_MS = 4_000
"""For servers that state no time; common servers close after five seconds."""


class Answer(NamedTuple):
    """A complete answer.

    Attributes
    ----------
    reason : bytes
        Reason phrase of the status line.
    headers : list of tuple
        Names in lower case and values, in the order received, without
        hop-by-hop headers.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Failure(NamedTuple):
    """There is no complete answer; the request may have run.

    Attributes
    ----------
    has_partial_answer : bool
        Whether bytes were received after the request was sent.
    """

    reason: str
    has_partial_answer: bool


Outcome = Answer | Failure


class HttpConnection(asyncio.Protocol):
    """A connection to an HTTP server.

    Parameters
    ----------
    id_header : bytes
        Name of the header in which answers repeat the identifier of their
        request; empty if answers have none.
    memory : AnswerMemory or None
        Memory for incomplete answers that connections of a pool share.

    Attributes
    ----------
    idle_since : float
        Time at which the last request ended, on the event loop's clock.
    request_count : int
        Requests sent on this connection.
    """

    def __init__(
        self,
        id_header: bytes,
        memory: _answer_memory.AnswerMemory | None = None,
    ) -> None:
        self._id_header = id_header
        self._memory = memory
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        # The parser refers to this object: set to None at the end, since both
        # would wait for the garbage collector.
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._on_outcome: Callable[[Outcome], None] | None = None
        self._outcome: Outcome | None = None
        self._request_id = b""
        self._refused_ids: set[bytes] = set()
        self._is_head = False
        self._must_close = False
        self._is_mismatched = False
        self._reads_until_close = False
        self._has_partial_answer = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_reading_head = True
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        # Not a list of parts: many small chunks would take several times
        # their bytes.
        self._body = bytearray()
        self._keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        self.idle_since = self._loop.time()
        self.request_count = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        if self._must_close or self._on_outcome is not None:
            return False
        if self._transport is None or self._transport.is_closing():
            return False
        idle_ms = (self._loop.time() - self.idle_since) * 1000
        return idle_ms < self._keep_alive_ms * KEEP_ALIVE_SHARE

    @property
    def _status(self) -> int:
        return self._parser.get_status_code() if self._parser else 0

    def may_send(self, request_id: bytes) -> bool:
        """Tell whether a request may be sent on this connection.

        A request that the server has refused here may not: a copy of the
        refusal could not be told from the answer to the second attempt.
        """
        return request_id not in self._refused_ids

    def note_refusal(self) -> None:
        """Note that the last answer said that its request did not run."""
        self._refused_ids.add(self._request_id)
        if len(self._refused_ids) >= MAX_REFUSED_REQUESTS:
            self._must_close = True

    def send(
        self,
        head: bytes,
        body: bytes,
        request_id: bytes,
        is_head: bool,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        """Send a request.

        ``on_outcome`` is called once, unless the request is cancelled.
        """
        self._on_outcome = on_outcome
        self._request_id = request_id
        self._is_head = is_head
        self._has_partial_answer = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._head_bytes = 0
        self.request_count += 1
        transport = self._transport
        if transport is None or transport.is_closing():
            self._finish(Failure("connection closed", False))
            return
        transport.write(head + body if body else head)

    def cancel(self) -> None:
        """Reset the connection without reporting an outcome."""
        self._on_outcome = None
        self._forget_answer()
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def abort(self) -> None:
        """Reset the connection; the current request fails."""
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def fail_answer(self, reason: str) -> None:
        """Reset the connection; the current request fails with a reason."""
        self.abort()
        self._finish(Failure(reason, True))

    def close(self) -> None:
        """Close the connection after all data was sent."""
        self._must_close = True
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._on_outcome is None or self._parser is None:
            # No request is waiting for an answer.
            self.cancel()
            return
        self._has_partial_answer = True
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._must_close = True
            if self._outcome is None:
                self._outcome = Failure(f"no HTTP answer: {error}", True)
        if self._must_close and self._outcome is not None:
            transport = self._transport
            if transport is not None:
                transport.close()
        # Reported only after all bytes were parsed: the connection may be
        # reused at once, and bytes after the answer must not be taken for
        # the answer of the next request.
        if self._outcome is not None:
            self._finish(self._outcome)
        else:
            self._bound_answer(len(data))

    def eof_received(self) -> bool:
        """Complete an answer that ends when the connection closes."""
        self._must_close = True
        if self._reads_until_close and self._on_outcome is not None:
            self._complete(self._status)
            if self._outcome is not None:
                self._finish(self._outcome)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that is waiting for its answer."""
        self._must_close = True
        reason = "connection closed" if exc is None else str(exc)
        self._finish(Failure(reason, self._has_partial_answer))
        self._parser = None

    def on_message_begin(self) -> None:
        """Start to read an answer."""
        self._headers = []
        self._body = bytearray()
        self._reason = b""
        self._is_reading_head = True
        self._head_bytes = 0
        self._is_mismatched = False
        self._reads_until_close = False
        if self._on_outcome is None or self._outcome is not None:
            self._must_close = True

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped."""
        if not self._is_reading_head:
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the identifier of the answer and how its body ends."""
        self._is_reading_head = False
        if self._outcome is not None:
            return
        if self._id_header:
            named = [v for n, v in self._headers if n == self._id_header]
            self._is_mismatched = named != [self._request_id]
        is_framed = False
        for name, value in self._headers:
            if name in (b"content-length", b"transfer-encoding"):
                is_framed = True
            elif name == b"keep-alive":
                self._read_keep_alive(value)
        status = self._status
        if self._is_head and status >= 200 and not self._is_mismatched:
            self._must_close = True
            self._complete(status)
        elif not is_framed and status >= 200 and status not in (204, 304):
            self._reads_until_close = not self._is_mismatched
            self._must_close = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._body_bytes += len(data)
        if self._is_mismatched or self._outcome is not None:
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Complete an answer whose length is known."""
        status = self._status
        if self._is_mismatched or status < 200 or self._outcome is not None:
            return
        if self._reads_until_close:
            return
        if self._parser is None or not self._parser.should_keep_alive():
            self._must_close = True
        self._complete(status)

    def _bound_answer(self, size: int) -> None:
        """Fail an incomplete answer that is too long."""
        self._received_bytes += size
        if self._is_reading_head:
            self._head_bytes += size
        framing_bytes = self._received_bytes - self._body_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self.fail_answer("head of the answer too long")
        elif framing_bytes > max(MAX_FRAMING_BYTES, self._body_bytes):
            self.fail_answer("framing of the answer too long")
        elif self._received_bytes > MAX_ANSWER_BYTES:
            self.fail_answer("answer too long")
        elif self._memory is not None:
            self._memory.add(self, size)

    def _forget_answer(self) -> None:
        """Free what was received of an answer."""
        self._headers = []
        self._body = bytearray()
        if self._memory is not None:
            self._memory.release(self)

    def _read_keep_alive(self, value: bytes) -> None:
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            timeout_s = decoding.decode_number(number.strip())
            if name.strip().lower() == b"timeout" and timeout_s is not None:
                self._keep_alive_ms = timeout_s * 1000

    def _complete(self, status: int) -> None:
        dropped = HOP_BY_HOP_HEADERS
        for name, value in self._headers:
            if name == b"connection":
                dropped = dropped.union(
                    item.strip().lower() for item in value.split(b",")
                )
        headers = [item for item in self._headers if item[0] not in dropped]
        body = bytes(self._body)
        self._body = bytearray()
        self._outcome = Answer(status, self._reason, headers, body)

    def _finish(self, outcome: Outcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        self._outcome = None
        self._forget_answer()
        self.idle_since = self._loop.time()
        if on_outcome is not None:
            on_outcome(outcome)
