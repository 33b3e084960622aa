"""Loopback TCP relay that delays, blocks and resets connections.

A relay between two nodes listens at the address that other nodes know for the
destination. The first frame in each direction contains the address of its
sender; as in address translation, it is replaced by that of the sender's
relay.
"""

import asyncio
from collections.abc import Callable
import enum
from typing import NamedTuple

from clementinekeel.nodes import frames

READ_BYTES = 65_536


class Direction(enum.Enum):
    """Direction of bytes, as seen from the side that connects."""

    TO_TARGET = "to"
    FROM_TARGET = "from"


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class Faults:
    """Faults on one path.

    Attributes
    ----------
    blocked : set of Direction
        Directions in which nothing is forwarded.
    changed : asyncio.Event
        Set when the faults are replaced; wakes up blocked connections.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.blocked: set[Direction] = set()
        self.changed = asyncio.Event()

    def replace(
        self, blocked: set[Direction] | None = None, delay_s: float = 0.0
    ) -> None:
        """Replace the faults in force."""
        self.blocked = blocked or set()
        self.delay_s = delay_s
        self.changed.set()
        self.changed = asyncio.Event()


class RelayedConnection:
    """A connection from a source and the relay's own to the target."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.source = ""
        self.is_silent = False

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Relays the connections to one address.

    Parameters
    ----------
    faults_of : callable
        Returns the faults on the path from a source; the source is empty
        until a first frame names it.
    translate_hello : callable or None
        Replaces the address in the first frame of a node; None where the
        connections carry no frames.
    """

    def __init__(
        self,
        target: Address,
        faults_of: Callable[[str], Faults],
        translate_hello: Callable[[frames.Hello], frames.Hello] | None = None,
    ) -> None:
        self._target = target
        self._faults_of = faults_of
        self._translate_hello = translate_hello
        self._connections: set[RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def start(self, address: Address) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._accept, *address)

    def stop(self) -> None:
        """Refuse connections from now on, and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self, source: str | None = None) -> None:
        """Reset all open connections, or those of one source."""
        for connection in list(self._connections):
            if source is None or connection.source == source:
                connection.abort()

    def silence(self) -> list[RelayedConnection]:
        """Stop forwarding on the connections that are now open."""
        for connection in self._connections:
            connection.is_silent = True
        return list(self._connections)

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
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        connection = RelayedConnection([writer, target_writer])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(
                    connection, reader, target_writer, Direction.TO_TARGET
                ),
                self._forward(
                    connection, target_reader, writer, Direction.FROM_TARGET
                ),
            )
        except OSError:
            # One side was reset, so the other is reset too.
            connection.abort()
        finally:
            self._connections.discard(connection)

    async def _forward(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        data = b""
        if self._translate_hello is not None:
            data = await self._read_first_frame(connection, reader, direction)
        while True:
            data = data or await reader.read(READ_BYTES)
            faults = self._faults_of(connection.source)
            while direction in faults.blocked or connection.is_silent:
                await faults.changed.wait()
            if faults.delay_s:
                await asyncio.sleep(faults.delay_s)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()
            data = b""

    async def _read_first_frame(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        direction: Direction,
    ) -> bytes:
        assert self._translate_hello is not None
        try:
            header = await reader.readexactly(frames.HEADER_BYTES)
            content = await reader.readexactly(
                int.from_bytes(header[:4], "big")
            )
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("no first frame") from error
        (hello,) = frames.FrameReader().feed(header + content)
        if not isinstance(hello, frames.Hello):
            raise ConnectionResetError("the first frame is not a Hello")
        if direction is Direction.TO_TARGET:
            connection.source = hello.node
        return frames.encode(self._translate_hello(hello))
