"""The outbound proxy: answers to callers, with several nodes in memory."""

import asyncio
import random

import pytest

from clementinekeel.nodes import frames
from clementinekeel.routing import placement
from clementinekeel.routing import table
from clementinekeel.sidecar import stop_plan
from tests import memory_loop
from tests.sidecar import harness


def run_members(function, count=2, **changes):
    async def main():
        members = [
            harness.Member(f"n{i + 1}", **changes) for i in range(count)
        ]
        servers = [harness.BackendServer(m.settings.node) for m in members]
        for member in members:
            for other in members:
                member.add_peer(other)
        await harness.settle()
        await function(members, servers)

    memory_loop.run(main)


def test_request_is_served_by_another_node():
    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        await harness.settle()
        connection, _ = harness.send(members[0])
        await harness.settle()
        ((status, head, body),) = connection.answers
        assert (status, body) == (200, b"fine")
        assert b"seal: s" in head
        ((head, headers, _),) = servers[1].requests
        assert head.startswith(b"GET /a/x HTTP/1.1")
        assert headers[b"caller"] == b"s"

    run_members(scenario)


def test_long_bodies_arrive_whole_in_both_directions():
    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        answer = bytes(range(256)) * 1_000
        servers[1].behave = lambda c, h, i: c.answer(i, body=answer)
        await harness.settle()
        sent = bytes(reversed(range(256))) * 1_500
        connection, _ = harness.send(members[0], method=b"POST", body=sent)
        await harness.settle()
        assert servers[1].requests[0][2] == sent
        assert connection.answers[0][2] == answer

    run_members(scenario)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
@pytest.mark.parametrize("kept_frames", [0, 1, 2])
def test_answer_cut_by_the_end_of_a_node_is_not_passed_on(path, kept_frames):
    """Callers would get a short body that looks whole."""

    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        await harness.settle()
        body = b"x" * (frames.PART_BYTES * 3)
        servers[1].behave = lambda c, h, i: c.answer(i, body=body)
        (link,) = members[1].peers._inbound_links
        send, sent = link.send_result, []

        def send_until_the_end(frame):
            if isinstance(frame, frames.Answer | frames.AnswerPart):
                sent.append(frame)
                if len(sent) > kept_frames:
                    link.close()
                    return
            send(frame)

        link.send_result = send_until_the_end
        connection, _ = harness.send(members[0], path)
        await harness.settle(2)
        ((status, _, answered),) = connection.answers
        assert (status, answered) == (502, b'{"reason":"link_lost"}')

    run_members(scenario)


@pytest.mark.parametrize(
    "deadline", [b"9" * 16, b"9" * 5_000, b"-1", b"soon", b"1e3", b""]
)
def test_deadline_that_is_no_number_leaves_that_of_the_route(deadline):
    """Its caller got no answer, and its connection was not closed."""

    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        await harness.settle()
        connection, _ = harness.send(members[0], deadline=deadline)
        await harness.settle()
        assert [status for status, _, _ in connection.answers] == [200]
        _, headers, _ = servers[1].requests[0]
        assert 900 <= int(headers[b"deadline"]) <= 1_000

    run_members(scenario)


def test_request_goes_to_another_endpoint_when_one_is_full():
    """A request must not wait while another endpoint has a free slot."""

    async def scenario(members, servers):
        for member in members:
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat(member.settings.node, slots=1)
            )
        for server in servers:
            server.behave = lambda c, h, i: None
        await harness.settle()
        for _ in range(3):
            harness.send(members[0])
        await harness.settle()
        assert [len(s.requests) for s in servers] == [1, 1, 1]

    run_members(scenario, count=3)


def test_refusal_carries_a_retry_after_header():
    async def scenario(members, servers):
        connection, _ = harness.send(members[0])
        ((status, head, _),) = connection.answers
        assert status == 503
        assert b"retry-after: 0." in head

    run_members(scenario)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
def test_request_on_a_lost_link_is_not_answered_as_not_run(path):
    """The request may have run on the VM of the node that was lost."""

    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        servers[1].behave = lambda c, h, i: None
        await harness.settle()
        connection, _ = harness.send(members[0], path)
        await harness.settle()
        for link in list(members[1].peers._inbound_links):
            link.abort()
        await harness.settle()
        assert [a[0] for a in connection.answers] == [502]

    run_members(scenario)


def run_with_preferred_node(function, slots=20):
    """Run a scenario with three nodes, of which n2 has the nearest endpoint.

    This endpoint has already answered requests, so that there is a retry
    budget and a measured service time.
    """

    async def scenario(members, servers):
        for number, member in enumerate(members[1:], 2):
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat(f"n{number}", slots=slots)
            )
        await harness.settle()
        for peer in members[0].peers.known:
            peer.service_ms = 20.0
            if peer.node != "n2":
                peer.tier = placement.Tier.REMOTE
        for _ in range(100):
            harness.send(members[0])
            await harness.settle(0.01)
        for server in servers:
            server.requests.clear()
        await function(members, servers)

    run_members(scenario, count=3)


def test_idempotent_request_is_retried_after_a_failure():
    """Otherwise the lost answer of one endpoint fails the whole call chain."""

    async def scenario(members, servers):
        servers[1].behave = lambda c, h, i: c.transport.abort()
        connection, _ = harness.send(members[0])
        await harness.settle()
        assert [a[0] for a in connection.answers] == [200]
        assert servers[1].requests
        assert len(servers[2].requests) == 1

    run_with_preferred_node(scenario)


def test_non_idempotent_request_is_not_retried_after_a_failure():
    async def scenario(members, servers):
        servers[1].behave = lambda c, h, i: c.transport.abort()
        connection, _ = harness.send(members[0], b"/b/x", b"POST")
        await harness.settle(1)
        members[0].outbound_proxy.tick()
        await harness.settle(1)
        assert [a[0] for a in connection.answers] == [502]
        assert [len(s.requests) for s in servers] == [0, 1, 0]

    run_with_preferred_node(scenario)


def test_failed_request_is_not_refused_as_not_run():
    """It may have run at the first endpoint, whatever the other endpoints
    answer.
    """

    async def scenario(members, servers):
        servers[1].behave = lambda c, h, i: c.transport.abort()
        members[2].inbound_proxy.on_leave("e-n3")
        await harness.settle()
        connection, _ = harness.send(members[0])
        await harness.settle()
        assert [a[0] for a in connection.answers] == [502]

    run_with_preferred_node(scenario)


def test_answer_after_a_lost_link_has_no_parts_of_an_earlier_answer():
    """When a link is lost between two parts of a long answer, the first parts
    must not be delivered with the answer of the next endpoint.
    """

    async def scenario(members, servers):
        long_answer = bytes(range(256)) * 1_000
        servers[1].behave = lambda c, h, i: None
        servers[2].behave = lambda c, h, i: c.answer(i, body=long_answer)
        connection, exchange = harness.send(members[0])
        await harness.settle()
        (stream,) = exchange.pending
        first = frames.Answer(
            stream, 200, b"", b"first", 100_000, 0, 0, False, 1, 20
        )
        members[0].outbound_proxy.on_answer(exchange, first)
        part = frames.AnswerPart(stream, b"part")
        members[0].outbound_proxy.on_answer_part(exchange, part)
        for link in list(members[1].peers._inbound_links):
            link.abort()
        await harness.settle()
        ((status, _, body),) = connection.answers
        assert (status, body) == (200, long_answer)

    run_with_preferred_node(scenario)


async def wait_with_ticks(member, seconds):
    for _ in range(round(seconds / 0.05)):
        await harness.settle(0.05)
        member.outbound_proxy.tick()


def test_request_is_retried_elsewhere_when_an_endpoint_is_silent():
    """Otherwise a silent endpoint holds requests until their deadline."""

    async def scenario(members, servers):
        servers[1].behave = lambda c, h, i: None
        connection, _ = harness.send(members[0])
        await wait_with_ticks(members[0], 0.4)
        assert [a[0] for a in connection.answers] == [200]
        assert members[1].inbound_proxy.is_idle

    run_with_preferred_node(scenario)


def answer_late(connection, _headers, request_id):
    """Answer after the timeout of an attempt and before the deadline."""
    asyncio.get_running_loop().call_later(0.6, connection.answer, request_id)


def refuse_all(connection, _headers, request_id):
    connection.answer(request_id, 503, b"Not-Run: 1\r\n")


def test_request_taken_back_is_not_lost_when_another_endpoint_refuses_it():
    """The endpoint that was at work would have answered in time."""

    async def scenario(members, servers):
        servers[1].behave, servers[2].behave = answer_late, refuse_all
        connection, _ = harness.send(members[0])
        await wait_with_ticks(members[0], 0.9)
        assert [status for status, _, _ in connection.answers] == [200]

    run_with_preferred_node(scenario)


def test_stopping_node_does_not_take_a_request_back_from_its_endpoint():
    """The other endpoint refused the request, so that the planned stop ended
    one at which an endpoint was at work.
    """

    async def scenario(members, servers):
        servers[1].behave, servers[2].behave = answer_late, refuse_all
        connection, _ = harness.send(members[0])
        await harness.settle(0.1)
        members[0].outbound_proxy.begin_stop(stop_plan.plan_stop(6.0))
        await wait_with_ticks(members[0], 0.8)
        assert [status for status, _, _ in connection.answers] == [200]

    run_with_preferred_node(scenario)


def test_request_is_not_retried_when_all_endpoints_are_full():
    """Overload delays answers too, and retries would add to it."""

    async def scenario(members, servers):
        for server in servers:
            server.behave = lambda c, h, i: None
        for peer in members[0].peers.known:
            peer.tier, peer.service_ms = placement.Tier.ZONE, 20.0
        for _ in range(4):
            harness.send(members[0])
        await wait_with_ticks(members[0], 0.6)
        assert sum(len(s.requests) for s in servers) == 4

    run_with_preferred_node(scenario, slots=2)


def test_timeout_of_the_route_ends_a_request():
    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        servers[1].behave = lambda c, h, i: None
        await harness.settle()
        connection, _ = harness.send(members[0])
        await harness.settle(1.3)
        assert [a[0] for a in connection.answers] == [504]

    run_members(scenario)


def test_silent_link_is_found_and_replaced():
    """Connections between nodes may go silent without a reset."""

    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(harness.heartbeat("n2"))
        await harness.settle()
        asyncio.get_running_loop().silence("n2", 5)
        for _ in range(24):
            for member in members:
                member.tick()
            await harness.settle(0.25)
        connection, _ = harness.send(members[0])
        await harness.settle()
        assert [a[0] for a in connection.answers] == [200]

    run_members(scenario)


def test_replaced_node_is_removed_and_its_successor_is_added():
    """Otherwise the address of a replaced VM is dialed under its old name for
    ever, and each attempt loses requests.
    """

    async def scenario(members, servers):
        successor = harness.Member("n3")
        loop = asyncio.get_running_loop()
        loop.listeners[members[1].settings.peers] = successor.peers.accept
        for link in list(members[1].peers._inbound_links):
            link.abort()
        await harness.settle()
        for _ in range(4):
            members[0].tick()
            await harness.settle(0.25)
        known = {peer.node for peer in members[0].peers.known}
        assert known == {"n1", "n3"}

    run_members(scenario)


def test_unlisted_node_is_kept_while_its_link_is_open():
    """A store that loses entries must not empty the list of nodes."""

    async def scenario(members, servers):
        members[0].peers.set_listed(set())
        for _ in range(40):
            members[0].tick()
            await harness.settle(0.25)
        assert {p.node for p in members[0].peers.known} == {"n1", "n2"}

    run_members(scenario)


def test_older_configuration_never_replaces_a_newer_one():
    async def scenario(members, servers):
        outbound_proxy = members[0].outbound_proxy
        assert outbound_proxy.activate(harness.routing_table(5))
        assert not outbound_proxy.activate(harness.routing_table(4))
        assert not outbound_proxy.activate(harness.routing_table(5))
        assert outbound_proxy.version == 5

    run_members(scenario)


def test_node_without_the_store_gets_the_configuration_from_others():
    async def scenario(members, servers):
        received = []
        members[1].peers.versions.on_configuration = lambda content, peer: (
            received.append((content, peer))
        )
        members[0].peers.versions.configuration = (7, b"seven")
        members[0].peers.versions.announce()
        await harness.settle(0.5)
        assert received == [(b"seven", "n1")]

    run_members(scenario)


def test_outdated_node_requests_a_configuration_from_one_node():
    """If all 78 other nodes sent a long configuration to each outdated node,
    they would saturate the link between regions, which is billed by volume.
    """

    async def scenario(members, servers):
        outdated = members[0].peers.versions
        sources = []

        def apply(content, peer):
            sources.append(peer)
            outdated.configuration = (7, content)

        outdated.on_configuration = apply
        for member in members[1:]:
            member.peers.versions.configuration = (7, b"x" * 100_000)
            member.peers.versions.announce()
        await harness.settle(3)
        transports = asyncio.get_running_loop().transports
        sent = sum(len(transport.written) for transport in transports)
        assert len(sources) == 1
        assert sent < 150_000

    run_members(scenario, count=6)


def test_next_node_is_asked_when_the_nearest_does_not_answer():
    async def scenario(members, servers):
        outdated = members[0].peers.versions
        received = []
        outdated.on_configuration = lambda content, peer: received.append(peer)
        for member in members[1:]:
            member.peers.versions.configuration = (7, b"seven")
            member.peers.versions.announce()
        await harness.settle(0.1)
        # The nearest nodes with a newer version lose it again.
        members[1].peers.versions.configuration = (0, b"")
        members[2].peers.versions.configuration = (0, b"")
        await harness.settle(4)
        assert "n4" in received

    run_members(scenario, count=4)


def test_refusals_by_backend_servers_are_retried_within_the_budget():
    """Backend servers that refused a third of all requests once got 27,810
    retries in 10 s, where 7,087 were allowed.
    """

    async def scenario(members, servers):
        for member in members:
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat(member.settings.node, slots=50)
            )
        for server in servers:
            server.behave = lambda c, h, i: c.answer(i, 503, b"Not-Run: 1\r\n")
        await harness.settle()
        for _ in range(100):
            harness.send(members[0])
            await harness.settle(0.01)
        arrived = [h[b"id"] for s in servers for _, h, _ in s.requests]
        assert 0 < len(arrived) - len(set(arrived)) <= 20

    run_members(scenario, count=3)


def test_split_route_has_its_shares_in_a_small_sample():
    shares = (table.Share("s", 90), table.Share("t", 10))
    split = harness.ROUTE._replace(shares=shares)
    choice = table.WeightedChoice()
    chosen = [choice.choose(split) for _ in range(100)]
    assert chosen.count("t") == 10


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        (b"/none/x", {}, 404),
        (b"/a/x", {"id": b"twice"}, 400),
    ],
    ids=["no route", "two request ids"],
)
def test_invalid_requests_are_answered_by_the_node(path, headers, status):
    async def scenario(members, servers):
        connection, _ = harness.send(members[0], path, **headers)
        assert [a[0] for a in connection.answers] == [status]

    run_members(scenario)


def test_no_state_of_a_request_is_left_after_it_ended():
    """Streams that are never removed would use up the node's memory."""

    async def scenario(members, servers):
        members[1].inbound_proxy.on_heartbeat(
            harness.heartbeat("n2", slots=20)
        )
        await harness.settle()
        for _ in range(20):
            harness.send(members[0])
        await harness.settle()
        assert all(not peer.exchanges for peer in members[0].peers.known)
        assert all(
            not link.streams for link in members[1].peers._inbound_links
        )
        assert members[0].outbound_proxy.is_idle
        assert members[1].inbound_proxy.is_idle

    run_members(scenario)


def test_frames_are_read_from_a_stream_in_small_pieces():
    sent = [
        frames.Cancel(7),
        frames.Refusal(1, "overload", 20, 3, 4),
        frames.AnswerPart(2, b"x" * 1_000),
    ]
    data = b"".join(map(frames.encode, sent))
    reader = frames.FrameReader()
    received = []
    for start in range(0, len(data), 3):
        received += reader.feed(data[start : start + 3])
    assert received == sent


LONG_ROUTE = harness.ROUTE._replace(timeout_ms=6_000, max_attempts=3)


async def begin_stops(members):
    """Begin planned stops at members whose endpoints are usable."""
    for member in members:
        node = member.settings.node
        member.inbound_proxy.on_heartbeat(harness.heartbeat(node))
        member.inbound_proxy.begin_stop(stop_plan.plan_stop(6.0))
    await harness.settle()


@pytest.mark.parametrize("stopping", [1, 6])
def test_request_that_stopping_nodes_refuse_goes_to_another_one(stopping):
    """After four refusals it was given up, with an endpoint left."""

    async def scenario(members, servers):
        sender, *others, last = members
        sender.outbound_proxy.activate(harness.routing_table(2, (LONG_ROUTE,)))
        await begin_stops(others)
        last.inbound_proxy.on_heartbeat(
            harness.heartbeat(last.settings.node, warm_up_left_ms=60_000)
        )
        await harness.settle()
        # The endpoint that goes on is the last choice.
        for peer in sender.peers.known:
            peer.reported_load = 50 if peer.node == last.settings.node else 0
        connection, exchange = harness.send(sender)
        await harness.settle()
        assert [status for status, _, _ in connection.answers] == [200]
        assert exchange.backend_arrivals == 0
        assert exchange.tried_nodes >= {last.settings.node}

    run_members(scenario, stopping + 2)


def test_stopping_node_that_refused_is_not_preferred_for_long():
    """Each request would cost a round trip to it."""

    async def scenario(members, servers):
        sender, near, far = members
        sender.outbound_proxy.activate(harness.routing_table(2, (LONG_ROUTE,)))
        await begin_stops([near])
        far.inbound_proxy.on_heartbeat(harness.heartbeat("n3"))
        await harness.settle()
        sender.peers._random = random.Random(1)
        for peer in sender.peers.known:
            peer.transit_ms = 50.0 if peer.node == "n3" else 0.0
        for _ in range(5):
            harness.send(sender)
            await harness.settle()
        ended = [f for e, f in sender.log.events if e == "request_ended"]
        assert [fields["status"] for fields in ended] == [200] * 5
        assert [fields["offers"] for fields in ended] == [2, 1, 1, 1, 1]

    run_members(scenario, 3)


def grant_one_retry(member):
    """Let the budget have one retry; return a list of those asked for."""
    asked = []

    def try_consume(exchange, _route, _uncounted_runs=0):
        asked.append(exchange.request_id)
        return len(asked) == 1

    member.chain.try_consume_retry = try_consume
    return asked


def test_retry_that_a_stopping_node_refuses_uses_the_budget_once():
    """The refused retry has not arrived at a backend server, and was paid
    for again at the next endpoint.
    """

    async def scenario(members, servers):
        sender, failing, stopping, last = members
        sender.outbound_proxy.activate(harness.routing_table(2, (LONG_ROUTE,)))
        await begin_stops([stopping])
        for member in (failing, last):
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat(member.settings.node)
            )
        servers[1].behave = lambda c, h, i: c.transport.abort()
        await harness.settle()
        loads = {"n2": 0, "n3": 1, "n4": 50}
        for peer in sender.peers.known:
            peer.reported_load = loads.get(peer.node, 0)
        sender.peers._random = random.Random(1)
        paid = grant_one_retry(sender)
        connection, exchange = harness.send(sender)
        await harness.settle(0.2)
        assert [status for status, _, _ in connection.answers] == [200]
        assert exchange.tried_nodes == {"n2", "n3", "n4"}
        assert len(paid) == 1
        assert exchange.backend_arrivals == 1

    run_members(scenario, 4)


def test_retry_after_silence_that_is_refused_is_made_elsewhere():
    """The silent endpoint was waited for until the deadline, although the
    retry was paid for.
    """

    async def scenario(members, servers):
        sender, silent, stopping, last = members
        sender.outbound_proxy.activate(
            harness.routing_table(2, (LONG_ROUTE._replace(max_attempts=2),))
        )
        await begin_stops([stopping])
        for member in (silent, last):
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat(member.settings.node, slots=50)
            )
        stopping.inbound_proxy.on_heartbeat(
            harness.heartbeat("n3", 2, slots=50)
        )
        servers[1].behave = lambda c, h, i: None
        await harness.settle()
        transit_ms = {"n2": 0.0, "n3": 10.0, "n4": 20.0}
        for peer in sender.peers.known:
            peer.transit_ms = transit_ms.get(peer.node, 0.0)
        sender.peers._random = random.Random(1)
        grant_one_retry(sender)
        connection, exchange = harness.send(sender)
        for _ in range(40):
            await harness.settle()
            sender.outbound_proxy.tick()
        assert [status for status, _, _ in connection.answers] == [200]
        assert exchange.tried_nodes == {"n2", "n3", "n4"}

    run_members(scenario, 4)
