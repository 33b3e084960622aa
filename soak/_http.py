"""HTTP/1.1 server and client connections for the stand-ins of the soak.

The product's own code is not used: a bug in its parser would be hidden by the
same bug here.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class NoAnswerError(Exception):
    """The connection failed or closed before the answer was complete."""


class ServerConnection(asyncio.Protocol):
    """Server side of one connection.

    Parameters
    ----------
    on_request : callable
        Gets the connection and each complete request.
    """

    def __init__(
        self, on_request: Callable[["ServerConnection", Request], None]
    ) -> None:
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""
        self.transport: asyncio.Transport | None = None
        self.on_lost: Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether an answer can still be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def respond(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a complete answer."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def write(self, data: bytes) -> None:
        """Send bytes, such as a part of an answer."""
        if self.is_open and self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Call ``on_lost``, if it is set."""
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reset the connection if they are malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Discard the previous request."""
        self._target, self._headers, self._body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Pass the complete request to ``on_request``."""
        path, _, query = self._target.decode().partition("?")
        method = self._parser.get_method().decode()
        self._on_request(
            self, Request(method, path, query, self._headers, self._body)
        )


class _AnswerCollector:
    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True


class ClientConnection:
    """Client side of one connection; requests are sent one at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.request_count = 0
        self.is_reusable = True

    @classmethod
    async def open(cls, host: str, port: int) -> "ClientConnection":
        """Open a connection.

        Raises
        ------
        NoAnswerError
            If it is not accepted within a second.
        """
        try:
            async with asyncio.timeout(1.0):
                return cls(*await asyncio.open_connection(host, port))
        except (OSError, TimeoutError) as error:
            raise NoAnswerError(repr(error)) from error

    async def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Send a request and return its complete answer.

        Raises
        ------
        NoAnswerError
            If the connection fails or closes first.
        """
        self.request_count += 1
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        collector = _AnswerCollector()
        parser = httptools.HttpResponseParser(collector)
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            self._writer.write(body)
            while not collector.is_complete:
                data = await self._reader.read(65_536)
                if not data:
                    raise NoAnswerError("closed")
                parser.feed_data(data)
        except (OSError, httptools.HttpParserError) as error:
            raise NoAnswerError(repr(error)) from error
        if collector.headers.get("connection", "").lower() == "close":
            self.is_reusable = False
        return Answer(
            parser.get_status_code(), collector.headers, collector.body
        )

    def close(self) -> None:
        """Close the connection."""
        self.is_reusable = False
        self._writer.close()
