"""Frames that no node sends, on links of nodes with requests in flight.

None of them may raise an error in the node that gets it, or take the other
requests of the node along.
"""

import asyncio
import typing

import hypothesis
from hypothesis import strategies

from clementinekeel.nodes import frames
from tests import memory_loop
from tests.sidecar import harness

ODD_ADDRESS = ("odd", 5)
LAST_ROUTE = harness.ROUTE._replace(name="last", prefix="/last/")
INTEGERS = strategies.one_of(
    strategies.integers(-2, 12),
    strategies.sampled_from([-(2**63), 2**31, 2**53, 2**63, 2**64 - 1]),
)
VALUES = {
    int: INTEGERS,
    bool: strategies.booleans(),
    str: strategies.sampled_from(
        ["", "s", "n1", "n2", "odd", "e-n1", "e-n2", "z1", "é\n", "x" * 300]
    ),
    bytes: strategies.sampled_from(
        [
            b"",
            b"x",
            b"1",
            b"99",
            b"\r\n\r\n",
            b"GET /a/x HTTP/1.1\r\n",
            b"\xff",
        ]
    ),
    float | None: strategies.one_of(
        strategies.none(), strategies.floats(allow_nan=True)
    ),
    tuple[int, ...]: strategies.lists(INTEGERS, max_size=4).map(tuple),
}


def frames_of(kind):
    types = typing.get_type_hints(kind)
    fields = [VALUES[types[name]] for name in kind._fields]
    return strategies.tuples(*fields).map(kind._make)


FRAMES = strategies.one_of(*map(frames_of, frames._KINDS))
ENCODED = strategies.one_of(
    FRAMES.map(frames.encode),
    # Of a valid length, with any kind and content.
    strategies.tuples(
        strategies.integers(0, 255), strategies.binary(max_size=30)
    ).map(lambda p: len(p[1]).to_bytes(4, "big") + bytes([p[0]]) + p[1]),
)


class OddNode(asyncio.Protocol):
    """One end of a link, from which any bytes can be sent."""

    def __init__(self, name="odd"):
        self.name = name
        self.reader = frames.FrameReader()
        self.received = []
        self.has_greeted = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        for frame in self.reader.feed(data):
            self.received.append(frame)
            if isinstance(frame, frames.Hello) and not self.has_greeted:
                self.greet(frame.link)

    def greet(self, link):
        self.has_greeted = True
        hello = frames.Hello(
            frames.PROTOCOL_VERSION,
            self.name,
            1,
            "z1",
            "r1",
            "odd",
            5,
            0,
            link,
        )
        status = frames.no_endpoint("s")._replace(
            endpoint="e-odd", is_accepting=True, slots=2, has_answered=True
        )
        self.send(frames.encode(hello) + frames.encode(status))

    def send(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)

    def eof_received(self):
        return False

    def connection_lost(self, error):
        pass


class AnyCaller(harness.CallerConnection):
    """Keeps answers with any head, such as one of an odd node."""

    def respond(self, head, body, keep=True):
        self.answers.append(head)


def add_backend_server(name):
    """Run a backend server that closes connections with odd requests."""
    server = harness.BackendServer(name)
    on_request = server.on_request

    def on_any_request(connection, head, headers, body):
        if b"id" in headers:
            on_request(connection, head, headers, body)
        else:
            connection.transport.close()

    server.on_request = on_any_request


def check(scenario, data):
    """Run a scenario; no error may reach the event loop."""
    errors = []

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        first, second = harness.Member("n1"), harness.Member("n2")
        add_backend_server("n1")
        add_backend_server("n2")
        for member in (first, second):
            name = member.settings.node
            member.inbound_proxy.on_heartbeat(harness.heartbeat(name))
        first.add_peer(second)
        second.add_peer(first)
        await harness.settle()
        first.outbound_proxy.activate(
            harness.routing_table(
                2, (harness.ROUTE, harness.NON_IDEMPOTENT_ROUTE, LAST_ROUTE)
            )
        )
        await scenario(loop, first, data)
        await tick(first)
        # Requests that the odd node has got end when its link does.
        loop.listeners.pop(ODD_ADDRESS, None)
        for transport in loop.transports:
            if isinstance(transport.protocol, OddNode):
                transport.abort()
        await tick(first)
        connection, _ = harness.send(first, path=b"/last/x")
        await harness.settle(1.5)
        assert [status for status, _, _ in connection.answers] == [200]
        assert first.outbound_proxy.is_idle
        assert first.inbound_proxy.is_idle
        assert first.inbound_proxy.queue.running == 0

    memory_loop.run(main)
    assert not errors


async def tick(member):
    for _ in range(4):
        await harness.settle(0.25)
        member.tick()
        member.outbound_proxy.tick()


async def send_to_listener(loop, member, data):
    """Open a link to the node, greet it and send frames."""
    connections = []
    for _ in range(data.draw(strategies.integers(1, 2))):
        _, odd = await loop.create_connection(OddNode, *member.settings.peers)
        odd.greet(len(connections) + 1)
        connections.append(odd)
    await harness.settle()
    for content in data.draw(strategies.lists(ENCODED, max_size=6)):
        data.draw(strategies.sampled_from(connections)).send(content)
        if data.draw(strategies.booleans()):
            await harness.settle(0.01)


async def send_from_dialed(loop, member, data):
    """Let the node dial the odd one, which sends frames instead of results."""
    odd_nodes = []

    def accept():
        odd_nodes.append(OddNode())
        return odd_nodes[-1]

    loop.listeners[ODD_ADDRESS] = accept
    member.peers.add_or_update("odd", "odd", 5, "z1", "r1", True)
    await harness.settle()
    sent = [AnyCaller() for _ in range(8)]
    for number, connection in enumerate(sent):
        path = b"/a/x" if number < 4 else b"/b/x"
        harness.send(member, path, connection=connection)
    await harness.settle(0.01)
    for content in data.draw(strategies.lists(ENCODED, max_size=6)):
        odd_nodes[-1].send(content)
        if data.draw(strategies.booleans()):
            await harness.settle(0.01)
    await tick(member)
    await tick(member)
    assert all(len(connection.answers) == 1 for connection in sent)


@hypothesis.settings(max_examples=100)
@hypothesis.given(data=strategies.data())
def test_odd_frames_from_a_node_that_opened_a_link(data):
    check(send_to_listener, data)


@hypothesis.settings(max_examples=100)
@hypothesis.given(data=strategies.data())
def test_odd_frames_from_a_node_that_was_dialed(data):
    check(send_from_dialed, data)
