"""Two nodes on loopback, with a clock that only the test advances."""

import itertools
import time

import anyio
import anyio.lowlevel
import trio.testing
import zmq

from clementinekeel.nodes import _socket
from clementinekeel.nodes import codec
from clementinekeel.nodes import drops
from clementinekeel.nodes import messages
from clementinekeel.nodes import pool
from clementinekeel.nodes import server
from clementinekeel.nodes import session

KEY = b"k" * 32
INCARNATION = 9
TIMEOUT_S = 10
"""Longest wait for a condition in real time, reached only in failing tests."""
STEP_S = 0.25
CALL = messages.Call(
    stream=0,
    key="",
    successor="",
    service="s",
    endpoint="e",
    method="GET",
    path="/",
    headers=(),
    request_class="c",
    rank=0,
    idempotent=True,
    expires_ms=0,
    allowance=0,
    request_id="r",
    length=0,
    last=True,
)
LOAD = messages.Load(0, 0.0, 0)


def _bind(node, address):
    """Bind; False while zmq is still closing an earlier socket there."""
    try:
        node.bind(address)
    except zmq.ZMQError as error:
        assert error.errno == zmq.EADDRINUSE
        return False
    return True


def is_ping_answered(client):
    """Tell whether the answer to the last ping has arrived."""
    is_closed = client.state is session.State.CLOSED
    return is_closed or client._last_heard_ms >= client._last_ping_ms


def make_codec(node_id="client", incarnation=1, key=KEY):
    return codec.Codec(codec.Keyring([key]), node_id, incarnation)


def make_answer(stream, body=b"", last=True):
    length = len(body) if last else -1
    return messages.Answer(stream, "completed", 200, (), 0, LOAD, length, last)


class Handler:
    """Handler that collects the streams that the server opens."""

    def __init__(self):
        self.streams = []
        self.cancelled = []

    def on_call(self, stream):
        self.streams.append(stream)
        stream.on_cancel = lambda reason, is_lost: self.cancelled.append(
            (stream.number, reason, is_lost)
        )

    on_inquire = on_call
    on_configuration_request = on_call


class RawPeer:
    """A zmq socket that sends arbitrary messages and collects the received."""

    def __init__(self, context, kind, node_codec, on_message=None):
        self.socket = _socket.MessageSocket(context, kind, self._on_frames)
        self.codec = node_codec
        self.received = []
        self.routing = []
        self._sequence = itertools.count(1)
        self._kind = kind
        self._on_message = on_message or (lambda message: None)
        self.signer = node_codec

    def frames(self, payload, session=0, sequence=None, body=b"", clock=0):
        if sequence is None:
            sequence = next(self._sequence)
        return self.signer.encode(payload, body, session, sequence, clock)

    def send(self, *arguments, **options):
        frames = self.frames(*arguments, **options)
        self.socket.send([*self.routing, *frames])

    def kinds(self):
        return [message.envelope.kind for message in self.received]

    def _on_frames(self, frames):
        if self._kind == zmq.ROUTER:
            self.routing, frames = frames[:1], frames[1:]
        message = self.codec.decode(frames, "test")
        self.received.append(message)
        self._on_message(message)


class Network:
    """Nodes, raw peers and the clock of a test."""

    def __init__(self, context, tasks, clock):
        self.context = context
        self._sockets = []
        self.drops = drops.DropLog()
        self.tasks = tasks
        self._clock = clock

    def close(self):
        for socket in self._sockets:
            socket.close()

    async def wait_until(self, condition):
        """Run other tasks, with the clock stopped, until a condition holds."""
        limit = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < limit, "condition not met"
            await anyio.lowlevel.checkpoint()

    async def advance(self, seconds, condition=lambda: True):
        """Advance the clock in steps and wait for the condition after each."""
        for _ in range(round(seconds / STEP_S)):
            self._clock.jump(STEP_S)
            await trio.testing.wait_all_tasks_blocked()
            await self.wait_until(condition)

    async def serve(self, incarnation=INCARNATION, address="127.0.0.1:0"):
        handler = Handler()
        node_codec = make_codec("server", incarnation)
        node = server.Server(self.context, node_codec, handler, self.drops)
        await self.wait_until(lambda: _bind(node, address))
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await node.run()

        self.tasks.start_soon(run)
        node.stop = scope.cancel
        return node, handler

    def open(self, address, incarnation=INCARNATION):
        client = session.Session(
            self.context,
            make_codec(),
            address,
            "server",
            incarnation,
            self.drops,
        )
        self.tasks.start_soon(client.run)
        return client

    async def connect(self, address):
        client = self.open(address)
        await self.wait_until(lambda: client.state is session.State.OPEN)
        return client

    async def pair(self):
        node, handler = await self.serve()
        return node, handler, await self.connect(node.endpoint)

    async def call(self, client, handler, **fields):
        """Send a call and wait until the server has it."""
        count = len(handler.streams)
        stream = client.open_stream()
        client.send(CALL._replace(stream=stream.number, **fields))
        await self.wait_until(lambda: len(handler.streams) > count)
        return stream, handler.streams[-1]

    def pool(self, idle_ms=2_000):
        sessions = pool.SessionPool(
            self.context, make_codec(), self.drops, idle_ms
        )
        self.tasks.start_soon(sessions.run)
        return sessions

    def raw(self, kind, node_codec, on_message=None):
        peer = RawPeer(self.context, kind, node_codec, on_message)
        self._sockets.append(peer.socket)
        self.tasks.start_soon(peer.socket.run)
        return peer
