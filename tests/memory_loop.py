"""Event loop with a virtual clock and connections in memory.

The clock jumps to the next timer when nothing else is left to do, so that
tests neither wait nor depend on the speed of the machine.
"""

import asyncio
import selectors

STUCK_S = 600
"""Virtual time after which a test has certainly hung."""


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("the test waits for something that never comes")
        if not ready and timeout > 0:
            self.now += timeout
        return ready


class MemoryTransport(asyncio.Transport):
    """One side of a connection; the other side is ``peer``."""

    def __init__(self, loop, protocol, local, remote):
        super().__init__({"sockname": local, "peername": remote})
        self.loop = loop
        self.protocol = protocol
        self.peer = None
        self.local = local
        self.remote = remote
        self.is_over = False
        self.is_silent = False
        self.written = b""

    def is_closing(self):
        return self.is_over

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data
        if not self.is_over and not self.is_silent:
            self.loop.after_delay(self.peer.deliver, bytes(data))

    def deliver(self, data):
        if not self.is_over:
            self.protocol.data_received(data)

    def close(self):
        self.end(None, None)

    def abort(self):
        self.end(None, ConnectionResetError("reset"))

    def end(self, own_error, peer_error):
        if self.is_over:
            return
        self.is_over = True
        self.loop.call_soon(self.protocol.connection_lost, own_error)
        if not self.is_silent:
            self.loop.after_delay(self.peer.lose, peer_error)

    def lose(self, error):
        if self.is_over:
            return
        if error is None:
            self.protocol.eof_received()
        self.is_over = True
        self.loop.call_soon(self.protocol.connection_lost, error)


class _Server:
    def __init__(self, loop, address):
        self._loop = loop
        self._address = address

    def close(self):
        self._loop.listeners.pop(self._address, None)


class MemoryLoop(asyncio.SelectorEventLoop):
    """Event loop whose connections stay in memory."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self.listeners = {}
        self.transports = []
        self.silent_hosts = set()
        self.delay_s = 0.0

    def time(self):
        return self._jumping.now

    def after_delay(self, function, *arguments):
        if self.delay_s:
            self.call_later(self.delay_s, function, *arguments)
        else:
            self.call_soon(function, *arguments)

    async def create_server(self, factory, host, port, **_options):
        self.listeners[(host, port)] = factory
        return _Server(self, (host, port))

    async def create_connection(self, factory, host, port, **_options):
        if host in self.silent_hosts:
            await asyncio.sleep(STUCK_S)
        make = self.listeners.get((host, port))
        if make is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        client, server = factory(), make()
        near = MemoryTransport(self, client, ("caller", 1), (host, port))
        far = MemoryTransport(self, server, (host, port), ("caller", 1))
        near.peer, far.peer = far, near
        self.transports += [near, far]
        client.connection_made(near)
        server.connection_made(far)
        return near, client

    def silence(self, host, port):
        """Let the open connections to an address go silent for good."""
        for transport in self.transports:
            if (host, port) in (transport.local, transport.remote):
                transport.is_silent = True


def run(function, *arguments):
    """Run a coroutine function on a new loop."""
    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(_bounded(function, arguments))


async def _bounded(function, arguments):
    async with asyncio.timeout(STUCK_S):
        return await function(*arguments)
