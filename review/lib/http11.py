"""Minimal HTTP/1.1 messages for the stand-ins of the review."""

import asyncio
import urllib.parse


class Message:
    """Start line, headers (lower case) and body of a message."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self):
        """Target of a request, as sent."""
        return self.start.split(" ")[1]

    @property
    def path(self):
        """Target without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """Fields of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """Read a message; None if the connection ends before it is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(lines[0], headers, body)


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def encode(start, headers, body=b""):
    """Return the bytes of a message with the length of its body."""
    lines = [start, f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(address, start, headers, body=b"", timeout_s=10.0):
    """Send a request on a new connection; return the answer or None."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode(start, headers, body))
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
