"""Links between nodes."""

import asyncio

import pytest

from clementinekeel.nodes import frames
from clementinekeel.sidecar import settings
from tests import memory_loop
from tests.sidecar import harness


class DialingNode(asyncio.Protocol):
    """Connects like a node and keeps the frames that it receives."""

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

    def send_hello(self, name="n9", protocol=frames.PROTOCOL_VERSION):
        hello = frames.Hello(protocol, name, 1, "z1", "r1", name, 5, 0, 1)
        self.transport.write(frames.encode(hello))


def run_with_dialer(function):
    async def main():
        member = harness.Member("n1")
        loop = asyncio.get_running_loop()
        address = settings.Address("n1", 5)
        _, dialer = await loop.create_connection(DialingNode, *address)
        await function(member, dialer)

    memory_loop.run(main)


def test_status_is_sent_after_the_hello():
    """A node ends a link whose first frame is not a hello.

    Otherwise a change of the backend server between the connection and the
    hello ends the link, and no requests arrive until it is dialed again.
    """

    async def scenario(member, dialer):
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1"))
        await harness.settle()
        assert dialer.received == []
        dialer.send_hello()
        await harness.settle()
        kinds = [type(frame) for frame in dialer.received]
        assert kinds == [frames.Hello, frames.EndpointStatus]
        assert dialer.received[1].is_accepting

    run_with_dialer(scenario)


@pytest.mark.parametrize("error", [OverflowError, UnicodeError, OSError])
def test_node_is_dialed_again_after_an_address_that_can_not_be_used(error):
    """A node whose entry was odd for a while was never dialed again."""

    async def main():
        member, other = harness.Member("n1"), harness.Member("n2")
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def fail(*_arguments, **_options):
            raise error("port must be 0-65535")

        loop.create_connection = fail
        member.add_peer(other)
        await harness.settle(1)
        loop.create_connection = create_connection
        await harness.settle(1)
        member.tick()
        await harness.settle(1)
        (peer,) = [p for p in member.peers.known if p.node == "n2"]
        assert peer.link is not None
        assert "node_unreachable" in [event for event, _ in member.log.events]

    memory_loop.run(main)


def test_node_with_another_protocol_version_gets_no_link():
    """Offers of an older build lack fields that the node needs."""

    async def scenario(member, dialer):
        dialer.send_hello(protocol=frames.PROTOCOL_VERSION - 1)
        await harness.settle()
        assert not any(p.link for p in member.peers.known)
        assert "protocol_mismatch" in [event for event, _ in member.log.events]

    run_with_dialer(scenario)
