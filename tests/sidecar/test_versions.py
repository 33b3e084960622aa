"""Exchange of configuration versions between nodes."""

import pytest

from clementinekeel.nodes import frames
from clementinekeel.sidecar import versions
from tests import memory_loop
from tests.sidecar import harness


class RecordingLink:
    """Takes the place of a link and keeps the frames that are sent."""

    def __init__(self, node):
        self.peer = frames.Hello(
            frames.PROTOCOL_VERSION, node, 1, "z1", "r1", node, 5, 0
        )
        self.is_open = True
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)


def run_exchange(function, *names):
    async def main():
        links = [RecordingLink(name) for name in names]
        exchange = versions.VersionExchange(
            lambda: links, links.index, harness.RecordingLog()
        )
        await function(exchange, links)

    memory_loop.run(main)


@pytest.mark.parametrize("in_force", [[1], [1, 2]], ids=["first", "second"])
def test_version_right_after_the_start_is_announced(in_force):
    """Nodes without the store get their versions from announcements alone."""

    async def scenario(exchange, links):
        for version in in_force:
            exchange.configuration = (version, b"")
            exchange.announce_later()
            await harness.settle(versions.ANNOUNCE_DELAY_S / 2)
        await harness.settle(versions.ANNOUNCE_DELAY_S)
        assert links[0].sent == [frames.Ping(in_force[-1])]

    run_exchange(scenario, "n2")
