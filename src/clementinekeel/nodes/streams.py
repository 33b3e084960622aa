"""Bodies sent between nodes, with flow control and an integrity check.

A body longer than one frame is sent in chunks. The receiver grants credit,
one per chunk, so that a slow receiver slows the sender down, and a node
buffers at most ``WINDOW_CHUNKS`` chunks of a stream.
"""

import collections
from collections.abc import AsyncIterator, Callable
import hashlib

import anyio

from clementinekeel.nodes import messages
from clementinekeel.runtime import errors

CHUNK_BYTES = 64 * 1024
WINDOW_CHUNKS = 16
DIGEST_BYTES = 16


class BodyError(errors.StepError):
    """A body was cut, reordered, or does not match its digest."""


class IncomingBody:
    """Receiving end of a body.

    Parameters
    ----------
    peer : str
        Sender, named in errors.
    grant : Callable
        Called with the number of further chunks that the sender may send.
    credit : int
        Chunks that the sender may send before the first grant.
    """

    def __init__(
        self, peer: str, grant: Callable[[int], None], credit: int
    ) -> None:
        self._peer = peer
        self._send_grant = grant
        self._credit = credit
        self._first = b""
        self._is_open = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._changed = anyio.Event()
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._length = 0
        self._next_sequence = 0
        self._is_complete = False
        self._error: BodyError | None = None

    def open(self, first: bytes, is_last: bool) -> None:
        """Add the part of the body that came with the first message."""
        self._is_open = True
        self._first = first
        self._is_complete = is_last
        if not is_last:
            # A body in a single message needs no digest: the MAC covers it.
            self._digest.update(first)
            self._length = len(first)
        self._notify()

    def grant(self, chunks: int) -> None:
        """Grant the sender credit for more chunks."""
        self._credit += chunks
        self._send_grant(chunks)

    def on_chunk(self, chunk: messages.Chunk, body: bytes) -> None:
        """Add the next chunk; an invalid chunk fails the stream."""
        if self._error is not None or self._is_complete:
            return
        fault = self._find_fault(chunk, body)
        if fault:
            self.fail(fault)
            return
        self._next_sequence += 1
        if chunk.last:
            self._finish(chunk)
        else:
            self._credit -= 1
            self._append(body)

    def fail(self, reason: str) -> None:
        """End the body with an error, unless it is complete."""
        if self._error is None and not self._is_complete:
            self._error = BodyError("receive body", self._peer, reason)
            self._notify()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Yields
        ------
        bytes
            Non-empty parts in order.

        Raises
        ------
        BodyError
            If the body is cut or does not match its length and digest. A
            body is complete only if the iteration ends without an error.
        """
        while True:
            if self._first:
                first, self._first = self._first, b""
                yield first
            elif self._chunks:
                yield self._chunks.popleft()
                if not self._is_complete:
                    self.grant(1)
            elif self._error is not None:
                raise self._error
            elif self._is_complete:
                return
            else:
                self._changed = anyio.Event()
                await self._changed.wait()

    def _find_fault(self, chunk: messages.Chunk, body: bytes) -> str:
        """Return what is wrong with a chunk; empty if it is valid."""
        if not self._is_open or chunk.sequence != self._next_sequence:
            return "chunk out of sequence"
        if bool(body) == chunk.last:
            return "chunk without data, or data in the last chunk"
        if not chunk.last and self._credit < 1:
            return "sender exceeds its credit"
        return ""

    def _append(self, data: bytes) -> None:
        self._chunks.append(data)
        self._digest.update(data)
        self._length += len(data)
        self._notify()

    def _finish(self, chunk: messages.Chunk) -> None:
        is_whole = (
            chunk.length == self._length
            and chunk.digest == self._digest.digest()
        )
        if is_whole:
            self._is_complete = True
            self._notify()
        else:
            self.fail("length or digest does not fit")

    def _notify(self) -> None:
        self._changed.set()


class OutgoingBody:
    """Sending end of a body.

    Parameters
    ----------
    stream : int
        Stream number in the messages.
    peer : str
        Receiver, named in errors.
    send : Callable
        Sends a chunk message with its body; returns False if the chunk was
        not sent.
    credit : int
        Chunks that may be sent before the first grant.
    """

    def __init__(
        self,
        stream: int,
        peer: str,
        send: Callable[[messages.Chunk, bytes], bool],
        credit: int,
    ) -> None:
        self._stream = stream
        self._peer = peer
        self._send = send
        self._credit = credit
        self._changed = anyio.Event()
        self._digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._length = 0
        self._sequence = 0
        self._error: BodyError | None = None

    def open(self, first: bytes) -> None:
        """Count the part of the body that is sent with the first message."""
        self._digest.update(first)
        self._length += len(first)

    def on_credit(self, credit: messages.Credit) -> None:
        """Add credit granted by the receiver."""
        # A receiver never grants more than one window in advance.
        self._credit = min(WINDOW_CHUNKS, self._credit + max(0, credit.chunks))
        self._changed.set()

    def fail(self, reason: str) -> None:
        """Stop sending; later writes raise an error."""
        if self._error is None:
            self._error = BodyError("send body", self._peer, reason)
            self._changed.set()

    async def wait_credit(self) -> None:
        """Wait until a chunk may be sent.

        Raises
        ------
        BodyError
            If the stream has failed.
        """
        while self._credit < 1 and self._error is None:
            self._changed = anyio.Event()
            await self._changed.wait()
        if self._error is not None:
            raise self._error

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting for credit.

        Raises
        ------
        BodyError
            If the stream has failed.
        """
        for start in range(0, len(data), CHUNK_BYTES):
            await self._write_chunk(data[start : start + CHUNK_BYTES], False)

    async def finish(self) -> None:
        """Send the last chunk with length and digest."""
        await self._write_chunk(b"", True)

    async def _write_chunk(self, data: bytes, is_last: bool) -> None:
        # The last chunk is empty and needs no credit.
        if not is_last:
            await self.wait_credit()
        if self._error is not None:
            raise self._error
        self._digest.update(data)
        self._length += len(data)
        chunk = messages.Chunk(
            self._stream,
            self._sequence,
            is_last,
            self._length if is_last else -1,
            self._digest.digest() if is_last else b"",
        )
        self._sequence += 1
        if not is_last:
            self._credit -= 1
        if not self._send(chunk, data):
            # To the receiver, later chunks would be out of sequence.
            self.fail("connection is lost or full")
        if self._error is not None:
            raise self._error
