"""Event loop with a virtual clock and connections in memory.

The clock advances to the next timer when no task is ready, so that tests
neither wait nor depend on the speed of the machine.
"""

import asyncio
import collections
import selectors
import socket

TEST_TIMEOUT_S = 600
"""Virtual time after which a test is ended as hung."""


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("the test waits for an event that cannot occur")
        if not ready and timeout > 0:
            self.now += timeout
        return ready


class _Socket:
    """Options of one side of a connection."""

    def __init__(self):
        self._options = {}

    def setsockopt(self, level, name, value):
        self._options[level, name] = value

    @property
    def silence_limit_s(self):
        """Silence after which probes have failed; None without probes."""
        if not self._options.get((socket.SOL_SOCKET, socket.SO_KEEPALIVE)):
            return None
        idle, interval, count = (
            self._options[socket.IPPROTO_TCP, name]
            for name in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
            )
        )
        return idle + interval * count


class MemoryTransport(asyncio.Transport):
    """One side of a connection; ``peer`` is the other side.

    A silent side sends nothing more, not even the end of the connection. One
    that is stalled keeps what is written, and the end, until it goes on.
    """

    def __init__(self, loop, protocol, local, remote):
        self._socket = _Socket()
        super().__init__(
            {"sockname": local, "peername": remote, "socket": self._socket}
        )
        self.loop = loop
        self.protocol = protocol
        self.peer = None
        self.local = local
        self.remote = remote
        self.is_closed = False
        self.is_silent = False
        self.is_stalled = False
        self.is_ending = False
        self.has_sent_eof = False
        self.unsent = []
        self.written = b""

    def is_closing(self):
        return self.is_closed or self.is_ending

    def stall(self):
        """Send nothing more until ``go_on``, as to a slow reader."""
        self.is_stalled = True

    def go_on(self):
        self.is_stalled = False
        unsent, self.unsent = self.unsent, []
        for data in unsent:
            self.loop.after_delay(self.peer.deliver, data)
        if self.has_sent_eof:
            self._deliver_eof()
        if self.is_ending:
            self._close(None, None)

    def write_eof(self):
        self.has_sent_eof = True
        if not self.is_stalled:
            self._deliver_eof()

    def receive_eof(self):
        if not self.is_closing() and not self.protocol.eof_received():
            self.close()

    def _deliver_eof(self):
        if not self.is_closed and not self.is_silent:
            self.loop.after_delay(self.peer.receive_eof)

    def silence(self):
        """Lose all packets from now on; probes of the kernel notice it."""
        self.is_silent = True
        limit_s = self._socket.silence_limit_s
        if limit_s is not None:
            error = TimeoutError("no answer to probes")
            self.loop.call_later(limit_s, self.close_by_peer, error)

    def get_write_buffer_size(self):
        return sum(map(len, self.unsent))

    def write(self, data):
        self.written += data
        if self.is_stalled:
            self.unsent.append(bytes(data))
        elif not self.is_closed and not self.is_silent:
            self.loop.after_delay(self.peer.deliver, bytes(data))

    def deliver(self, data):
        if self.is_closed:
            return
        try:
            self.protocol.data_received(data)
        except Exception as error:
            # As on the transports of asyncio and uvloop.
            self.loop.call_exception_handler(
                {"message": "data_received() failed", "exception": error}
            )
            self.abort()

    def close(self):
        if self.unsent:
            self.is_ending = True
        else:
            self._close(None, None)

    def abort(self):
        self._close(None, ConnectionResetError("reset"))

    def _close(self, own_error, peer_error):
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.call_soon(self.protocol.connection_lost, own_error)
        if not self.is_silent:
            self.loop.after_delay(self.peer.close_by_peer, peer_error)

    def close_by_peer(self, error):
        if self.is_closed:
            return
        if error is None:
            self.protocol.eof_received()
        self.is_closed = True
        self.loop.call_soon(self.protocol.connection_lost, error)


class _Server:
    def __init__(self, loop, address):
        self._loop = loop
        self._address = address

    def close(self):
        self._loop.listeners.pop(self._address, None)


class MemoryLoop(asyncio.SelectorEventLoop):
    """Event loop whose connections stay in memory.

    Connections are made after ``connect_delay_s`` and data arrive after
    ``delay_s``. Connections to ``silent_hosts`` are neither
    accepted nor refused.
    """

    def __init__(self):
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)
        self.listeners = {}
        self.transports = []
        self.silent_hosts = set()
        self.delay_s = 0.0
        self._delayed = collections.defaultdict(collections.deque)
        self.connect_delay_s = 0.0

    def time(self):
        return self._time_selector.now

    def after_delay(self, function, *arguments):
        if self.delay_s:
            # Timers for the same time run in any order.
            delayed = self._delayed[self.delay_s]
            delayed.append((function, arguments))
            self.call_later(self.delay_s, self._run_next, delayed)
        else:
            self.call_soon(function, *arguments)

    @staticmethod
    def _run_next(delayed):
        function, arguments = delayed.popleft()
        function(*arguments)

    async def create_server(self, factory, host, port, **_options):
        self.listeners[(host, port)] = factory
        return _Server(self, (host, port))

    async def create_connection(self, factory, host, port, **_options):
        if host in self.silent_hosts:
            await asyncio.sleep(TEST_TIMEOUT_S)
        if self.connect_delay_s:
            await asyncio.sleep(self.connect_delay_s)
        accept = self.listeners.get((host, port))
        if accept is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        client, server = factory(), accept()
        client_side = MemoryTransport(
            self, client, ("caller", 1), (host, port)
        )
        server_side = MemoryTransport(
            self, server, (host, port), ("caller", 1)
        )
        client_side.peer, server_side.peer = server_side, client_side
        self.transports += [client_side, server_side]
        client.connection_made(client_side)
        server.connection_made(server_side)
        return client_side, client

    def silence(self, host, port):
        """Make the open connections to an address silent, permanently."""
        for transport in self.transports:
            if (host, port) in (transport.local, transport.remote):
                transport.silence()


def run(function, *arguments):
    """Run a coroutine function on a new ``MemoryLoop``."""
    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(_bounded(function, arguments))


async def _bounded(function, arguments):
    async with asyncio.timeout(TEST_TIMEOUT_S):
        return await function(*arguments)
