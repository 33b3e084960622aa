"""Exchange of configuration versions between nodes."""

import pytest

from clementinekeel.nodes import frames
from clementinekeel.sidecar import versions
from tests import memory_loop
from tests.sidecar import harness

CONFIGURATION_BOUND_S = 2.5
"""Time after which an acknowledged change is in force."""
ROUND_TRIP_S = 0.1
"""Round trip between regions, with some reserve."""


class RecordingLink:
    """Takes the place of a link and keeps the frames that are sent."""

    def __init__(self, node):
        self.peer = frames.Hello(
            frames.PROTOCOL_VERSION, node, 1, "z1", "r1", node, 5, 0, 1
        )
        self.is_open = True
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)


def asked(links):
    """Return the links on which a configuration was requested."""
    return [
        link
        for link in links
        if any(isinstance(f, frames.ConfigurationRequest) for f in link.sent)
    ]


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


@pytest.mark.parametrize("silent", [0, 1, 2, 3])
def test_silent_nodes_do_not_delay_a_version_beyond_the_bound(silent):
    """Asking them one after the other, a second each, exceeded 2.5 s."""

    async def scenario(exchange, links):
        exchange.configuration = (1, b"")
        await harness.settle(versions.ANNOUNCE_DELAY_S)
        for link in links:
            exchange.on_frame(link, frames.Ping(2))
        left_s = CONFIGURATION_BOUND_S - versions.ANNOUNCE_DELAY_S
        await harness.settle(left_s - ROUND_TRIP_S)
        assert links[silent] in asked(links)

    run_exchange(scenario, "n2", "n3", "n4", "n5")


def test_announcements_do_not_grow_with_the_fleet():
    """All of 195 nodes announced each version to all others."""
    names = [f"n{number}" for number in range(195)]

    async def scenario(exchange, links):
        exchange.configuration = (2, b"")
        for _ in range(195):
            # One node after the other draws its links.
            exchange.announce()
        sent = [len(link.sent) for link in links]
        assert sum(sent) == 195 * versions.ANNOUNCED_LINKS
        assert min(sent) >= 1

    run_exchange(scenario, *names)


def test_no_other_node_is_asked_once_a_version_has_arrived():
    """A long configuration would fill the link between regions."""

    async def scenario(exchange, links):
        exchange.configuration = (1, b"")
        for link in links:
            exchange.on_frame(link, frames.Ping(2))
        await harness.settle(versions.FETCH_DELAY_S + ROUND_TRIP_S)
        exchange.configuration = (2, b"")
        await harness.settle(5)
        assert asked(links) == links[:1]

    run_exchange(scenario, "n2", "n3", "n4")
