"""Links between nodes, and what each node knows of the others."""

import asyncio

from clementinekeel.nodes import frames
from clementinekeel.sidecar import settings
from tests import memory_loop
from tests.sidecar import world


class Dialer(asyncio.Protocol):
    """Connects like a node and keeps the frames that it gets."""

    def __init__(self):
        self.transport = None
        self.reader = frames.FrameReader()
        self.received = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += self.reader.feed(data)

    def eof_received(self):
        return False

    def greet(self, name="n9"):
        hello = frames.Hello(1, name, 1, "z1", "r1", name, 5, 0)
        self.transport.write(frames.encode(hello))


def run_with_dialer(function):
    async def main():
        member = world.Member("n1")
        loop = asyncio.get_running_loop()
        address = settings.Address("n1", 5)
        _, dialer = await loop.create_connection(Dialer, *address)
        await function(member, dialer)

    memory_loop.run(main)


def test_status_waits_for_the_greeting():
    """A node ends a link whose first frame is not a greeting.

    A change of the backend server between a connection and its greeting cost
    the link, and requests were sent elsewhere until it was dialed again.
    """

    async def scenario(member, dialer):
        member.gate.heartbeat(world.beat("n1"))
        await world.settle()
        assert dialer.received == []
        dialer.greet()
        await world.settle()
        kinds = [type(frame) for frame in dialer.received]
        assert kinds == [frames.Hello, frames.EndpointStatus]
        assert dialer.received[1].is_accepting

    run_with_dialer(scenario)
