"""Loopback relay between two processes, which delays, cuts and resets.

Between two nodes it stands at the address that the destination announces, as
address translation does: the first frame of each side names an address, which
is replaced by that of a relay.
"""

import asyncio
from collections.abc import Callable
import enum
from typing import NamedTuple

from clementinekeel.nodes import frames

READ_BYTES = 65_536


class Direction(enum.Enum):
    """Which way bytes go, as seen from the side that connects."""

    TO = "to"
    FROM = "from"


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class Faults:
    """Faults on one path; ``changed`` wakes up what is held back."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.held: set[Direction] = set()
        self.changed = asyncio.Event()

    def set(
        self, held: set[Direction] | None = None, delay_s: float = 0.0
    ) -> None:
        """Replace the faults in force."""
        self.held = held or set()
        self.delay_s = delay_s
        self.changed.set()
        self.changed = asyncio.Event()


class _Pair:
    """The two connections of one relayed connection."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.source = ""
        self.is_silent = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Relays the connections to one address.

    Parameters
    ----------
    faults_of : callable
        Returns the faults on the path from a source; its name is empty
        until a first frame tells it.
    translate : callable or None
        Replaces the address in the first frame of a node; None where no
        frames are spoken.
    """

    def __init__(
        self,
        target: Address,
        faults_of: Callable[[str], Faults],
        translate: Callable[[frames.Hello], frames.Hello] | None = None,
    ) -> None:
        self._target = target
        self._faults_of = faults_of
        self._translate = translate
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, *address)

    def reset(self, source: str | None = None) -> None:
        """Reset the open connections, or those of one source."""
        for pair in list(self._pairs):
            if source is None or pair.source == source:
                pair.abort()

    def silence(self) -> None:
        """Let the open connections deliver nothing any more."""
        for pair in self._pairs:
            pair.is_silent = True

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair([writer, far_writer])
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pass(pair, reader, far_writer, Direction.TO),
                self._pass(pair, far_reader, writer, Direction.FROM),
            )
        except OSError:
            # One side was reset; so is the other.
            pair.abort()
        finally:
            self._pairs.discard(pair)

    async def _pass(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        data = b""
        if self._translate is not None:
            data = await self._first_frame(pair, reader, direction)
        while True:
            data = data or await reader.read(READ_BYTES)
            faults = self._faults_of(pair.source)
            while direction in faults.held or pair.is_silent:
                await faults.changed.wait()
            if faults.delay_s:
                await asyncio.sleep(faults.delay_s)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()
            data = b""

    async def _first_frame(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        direction: Direction,
    ) -> bytes:
        assert self._translate is not None
        try:
            head = await reader.readexactly(frames.HEADER_BYTES)
            content = await reader.readexactly(int.from_bytes(head[:4], "big"))
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("no first frame") from error
        (hello,) = frames.FrameReader().feed(head + content)
        if not isinstance(hello, frames.Hello):
            raise ConnectionResetError("the first frame is no greeting")
        if direction is Direction.TO:
            pair.source = hello.node
        return frames.encode(self._translate(hello))
