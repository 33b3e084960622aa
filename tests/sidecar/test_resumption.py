"""Requests on links that go silent without a reset."""

import asyncio
import contextlib
import random

import pytest

from clementinekeel.nodes import frames
from clementinekeel.nodes import result_memory
from clementinekeel.sidecar import node
from tests import memory_loop
from tests.sidecar import harness

KINDS = pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
"""An idempotent request and one that is not."""
RECOVERY_S = 0.75
"""Two waits for a sign, a handshake and a round trip at most."""
RUN_S = 0.3


class Pair:
    """Two nodes; the endpoint is beside the second one."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.first, self.second = harness.Member("n1"), harness.Member("n2")
        self.server = harness.BackendServer("n2", self._answer_later)

    async def connect(self):
        self.first.add_peer(self.second)
        await harness.settle()
        self.second.inbound_proxy.on_heartbeat(
            harness.heartbeat("n2", slots=50)
        )
        await harness.settle()

    def silence(self):
        self.loop.silence("n2", 5)

    async def check_forever(self):
        while True:
            await asyncio.sleep(node.CHECK_INTERVAL_S)
            self.first.tick()
            self.second.tick()

    def events(self, name):
        return [f for event, f in self.first.log.events if event == name]

    def _answer_later(self, connection, _headers, request_id):
        self.loop.call_later(RUN_S, connection.answer, request_id)


def run_pair(function):
    async def main():
        pair = Pair()
        await pair.connect()
        checks = asyncio.create_task(pair.check_forever())
        await function(pair)
        checks.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await checks

    memory_loop.run(main)


def statuses(connection):
    return [status for status, _, _ in connection.answers]


@KINDS
def test_offer_that_was_lost_with_its_link_runs_once(path):
    """It waited for its timeout, and ended in a 502."""

    async def scenario(pair):
        pair.silence()
        connection, _ = harness.send(pair.first, path)
        await harness.settle(RECOVERY_S + RUN_S)
        assert statuses(connection) == [200]
        assert len(pair.server.requests) == 1

    run_pair(scenario)


@KINDS
def test_run_whose_link_goes_silent_is_answered_without_another_run(path):
    """The answer was written to a connection that led nowhere."""

    async def scenario(pair):
        connection, _ = harness.send(pair.first, path)
        await harness.settle()
        pair.silence()
        await harness.settle(RUN_S + RECOVERY_S)
        assert statuses(connection) == [200]
        assert len(pair.server.requests) == 1

    run_pair(scenario)


@KINDS
def test_answer_lost_before_its_silence_shows_is_sent_again(path):
    """The run ends before the silence is noticed."""

    async def scenario(pair):
        pair.server.behave = lambda c, h, i: c.answer(i, body=b"x" * 200_000)
        (link,) = pair.second.peers._inbound_links
        send_result = link.send_result

        def lose(frame):
            pair.silence()
            send_result(frame)

        link.send_result = lose
        connection, _ = harness.send(pair.first, path)
        await harness.settle(RECOVERY_S)
        assert statuses(connection) == [200]
        assert connection.answers[0][2] == b"x" * 200_000
        assert len(pair.server.requests) == 1

    run_pair(scenario)


def test_body_that_was_cut_by_silence_is_offered_again_whole():
    async def scenario(pair):
        body = b"y" * (frames.PART_BYTES * 4)
        peer = next(p for p in pair.first.peers.known if p.node == "n2")
        send = peer.link.send

        def cut(frame):
            send(frame)
            if isinstance(frame, frames.Offer):
                pair.silence()

        peer.link.send = cut
        connection, _ = harness.send(pair.first, b"/b/x", b"POST", body)
        await harness.settle(RECOVERY_S + RUN_S)
        assert statuses(connection) == [200]
        assert [received for _, _, received in pair.server.requests] == [body]

    run_pair(scenario)


@KINDS
def test_second_link_that_goes_silent_at_once_is_replaced_as_well(path):
    """The node doesn't know whether the first replacement was noticed."""

    async def scenario(pair):
        connection, _ = harness.send(
            pair.first, path, deadline=b"5000", connection=None
        )
        await harness.settle()
        pair.silence()
        while not pair.events("link_replaced"):
            await harness.settle(0.001)
        pair.silence()
        while len(pair.events("link_replaced")) < 2:
            await harness.settle(0.01)
        await harness.settle(RECOVERY_S)
        assert statuses(connection) == [200]
        assert len(pair.server.requests) == 1

    run_pair(scenario)


@pytest.mark.parametrize("seconds", [0.0, 0.01, 0.1, 0.29, 0.31, 0.4])
@KINDS
def test_requests_are_never_refused_after_their_run(
    path, seconds, monkeypatch
):
    """Without the result, it is unknown whether the request has run."""
    monkeypatch.setattr(result_memory, "MAX_BYTES", 0)

    async def scenario(pair):
        connection, _ = harness.send(pair.first, path)
        await harness.settle(seconds)
        pair.silence()
        await harness.settle(3)
        (status,) = statuses(connection)
        if pair.server.requests:
            assert status in (200, 502, 504)
        if path == b"/b/x":
            assert len(pair.server.requests) <= 1

    run_pair(scenario)


def test_cancellation_that_was_lost_is_made_up_for():
    """The endpoint went on with work that nobody waits for."""

    async def scenario(pair):
        pair.server.behave = lambda c, h, i: None
        caller, exchange = harness.send(pair.first)
        other, _ = harness.send(pair.first)
        await harness.settle()
        pair.silence()
        pair.first.outbound_proxy.cancel(exchange)
        await harness.settle(RECOVERY_S)
        assert pair.second.inbound_proxy.queue.running == 1
        assert caller.answers == other.answers == []

    run_pair(scenario)


def test_restarted_node_knows_nothing_of_earlier_offers():
    """A new process can't tell what the former one has run."""

    async def scenario(pair):
        connection, _ = harness.send(pair.first, b"/b/x")
        await harness.settle()
        pair.silence()
        pair.second = harness.Member("n2")
        pair.second.inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        await harness.settle(3)
        assert statuses(connection) == [502]
        assert len(pair.server.requests) == 1

    run_pair(scenario)


def test_frozen_node_is_not_flooded_and_keeps_its_work():
    """A node that answers nowhere is given the full time."""

    async def scenario(pair):
        connections = []

        def accept():
            connections.append(asyncio.Protocol())
            return connections[-1]

        connection, _ = harness.send(pair.first, b"/b/x")
        await harness.settle()
        peer = next(p for p in pair.first.peers.known if p.node == "n2")
        thawed = pair.loop.listeners[("n2", 5)]
        pair.loop.listeners[("n2", 5)] = accept
        (server_side,) = [
            t for t in pair.loop.transports if t.local == ("n2", 5)
        ]
        held, server_side.write = [], lambda data: held.append(data)
        await harness.settle(0.8)
        pair.loop.listeners[("n2", 5)] = thawed
        del server_side.write
        for data in held:
            server_side.write(data)
        await harness.settle()
        assert statuses(connection) == [200]
        assert len(connections) <= 2
        assert peer.link is not None and not peer.link.is_doubtful
        assert pair.events("link_replaced") == []

    run_pair(scenario)


def test_other_endpoints_are_preferred_while_a_link_is_doubtful():
    """Requests were offered on the silent link until it was given up."""

    async def scenario(pair):
        third = harness.Member("n3", zone="z2")
        # The first request must go to the near endpoint, not to a random one.
        pair.first.peers._random = random.Random(1)
        server = harness.BackendServer("n3")
        pair.first.add_peer(third)
        await harness.settle()
        third.inbound_proxy.on_heartbeat(harness.heartbeat("n3", slots=50))
        await harness.settle()
        pair.silence()
        pair.loop.silent_hosts.add("n2")
        harness.send(pair.first)
        await harness.settle(0.5)
        before = len(server.requests)
        callers = [harness.send(pair.first, b"/b/x")[0] for _ in range(20)]
        await harness.settle(0.2)
        assert [statuses(caller) for caller in callers] == [[200]] * 20
        assert len(server.requests) == before + 20

    run_pair(scenario)


def test_resumption_before_a_hello_ends_the_link():
    async def main():
        member = harness.Member("n1")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            asyncio.Protocol, *member.settings.peers
        )
        transport.write(frames.encode(frames.Resume((1,), (1, 2))))
        await harness.settle()
        assert transport.is_closing()

    memory_loop.run(main)


def test_resumption_of_unknown_links_promises_nothing():
    """A refusal would state that the offers have not run."""

    async def main():
        member = harness.Member("n1")
        loop = asyncio.get_running_loop()
        received, reader = [], frames.FrameReader()

        class Peer(asyncio.Protocol):
            def data_received(self, data):
                received.extend(reader.feed(data))

        transport, _ = await loop.create_connection(
            Peer, *member.settings.peers
        )
        hello = frames.Hello(
            frames.PROTOCOL_VERSION, "n9", 1, "z1", "r1", "n9", 5, 0, 9
        )
        transport.write(frames.encode(hello))
        resume = frames.Resume((7, 8), tuple(range(1_000)))
        transport.write(frames.encode(resume))
        await harness.settle()
        results = [f for f in received if isinstance(f, frames.Failure)]
        assert len(results) == 1_000
        assert not any(isinstance(f, frames.Refusal) for f in received)
        assert received[-1] == frames.Resumed()

    memory_loop.run(main)
