"""Backend servers that state in their answers that they leave.

The bound is the operators' rule: no request that a caller sends later than
2.5 s after such an answer reaches the backend server.
"""

import pytest

from clementinekeel.membership import heartbeats
from clementinekeel.nodes import frames
from tests import memory_loop
from tests.sidecar import harness
from tests.sidecar import test_inbound
from tests.sidecar import test_rate_limit

LEAVING = b"Leaving: 1\r\n"
DRAIN_S = 2.5


def answer_leaving(connection, headers, request_id):
    connection.answer(request_id, extra=LEAVING)


def test_backend_server_that_states_its_leaving_gets_no_new_requests():
    """Its heartbeat comes up to 1.5 s later, or does not arrive at all."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, test_inbound.offer(1))
        await harness.settle()
        assert sender.frames[0].status == 200
        member.inbound_proxy.offer(sender, test_inbound.offer(2))
        await harness.settle()
        assert sender.frames[1].reason == "leaving"
        assert len(server.requests) == 1
        status = member.inbound_proxy.status
        assert (status.is_accepting, status.is_leaving) == (False, True)

    test_inbound.run_with_proxy(scenario, answer_leaving)


def test_refusal_of_a_backend_server_can_state_its_leaving():
    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, test_inbound.offer(1))
        await harness.settle()
        assert sender.frames[0].reason == "backend_refused"
        assert not member.inbound_proxy.status.is_accepting

    test_inbound.run_with_proxy(
        scenario,
        lambda c, h, i: c.answer(i, 503, b"Not-Run: 1\r\n" + LEAVING),
    )


def test_waiting_requests_are_refused_as_not_run():
    """They would reach a backend server that has stated its leaving."""

    async def scenario(member, server, sender):
        for stream in range(1, 5):
            member.inbound_proxy.offer(sender, test_inbound.offer(stream))
        await harness.settle()
        server.connections[0].answer(b"r1", extra=LEAVING)
        await harness.settle()
        refused = {
            f.stream: f.reason
            for f in sender.frames
            if isinstance(f, frames.Refusal)
        }
        assert refused == {3: "leaving", 4: "leaving"}
        assert len(server.requests) == 2

    test_inbound.run_with_proxy(scenario, test_inbound.never_answer)


@pytest.mark.parametrize("sequence", [2, 50])
def test_heartbeat_does_not_undo_a_stated_leaving(sequence):
    """A heartbeat that was sent before the leaving may arrive after it."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, test_inbound.offer(1))
        await harness.settle()
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", sequence))
        assert not member.inbound_proxy.status.is_accepting

    test_inbound.run_with_proxy(scenario, answer_leaving)


def test_leaving_ends_with_the_incarnation():
    """A backend server may start again under the same name and address."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, test_inbound.offer(1))
        await harness.settle()
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 1, incarnation_ms=2)
        )
        status = member.inbound_proxy.status
        assert (status.is_accepting, status.is_leaving) == (True, False)

    test_inbound.run_with_proxy(scenario, answer_leaving)


def test_heartbeat_after_a_health_check_does_not_undo_a_stated_leaving():
    """The incarnation of a health check is a lower bound of the actual one."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, test_inbound.offer(1))
        await harness.settle()
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 1, incarnation_ms=9)
        )
        assert not member.inbound_proxy.status.is_accepting
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 2, incarnation_ms=9)
        )
        assert not member.inbound_proxy.status.is_accepting

    async def main():
        member = harness.Member("n1")
        server = harness.BackendServer("n1", answer_leaving)
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", is_from_health_check=True)
        )
        await scenario(member, server, test_inbound.Sender())

    memory_loop.run(main)


def test_restarted_node_sends_nothing_to_a_backend_server_that_leaves():
    """The restarted node has heard of no leaving, but other nodes have."""

    async def scenario(members, servers):
        servers[0].behave = answer_leaving
        harness.send(members[1])
        await harness.settle()
        assert len(servers[0].requests) == 1
        members[0].peers.close()
        await harness.settle(1.0)
        restarted = harness.Member("n1")
        restarted.add_peer(members[1])
        restarted.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 2))
        await harness.settle(0.5)
        members[1].tick()
        await harness.settle(DRAIN_S)
        connection, _ = harness.send(members[1])
        await harness.settle()
        assert connection.answers[0][0] == 503
        assert len(servers[0].requests) == 1
        status = restarted.inbound_proxy.status
        assert (status.is_accepting, status.is_leaving) == (False, True)

    test_rate_limit.run_members(scenario, [None], others=1)


def test_health_check_that_states_the_leaving_does_not_verify(monkeypatch):
    """A health check may report a backend server as healthy wrongly."""
    from clementinekeel.sidecar import backend_verification

    async def main():
        member = harness.Member("n1")
        harness.BackendServer("n1")
        verifier = backend_verification.BackendVerifier(
            member.inbound_proxy, harness.DIALECT, "s", member.log
        )
        headers = [(b"instance", b"e-n1"), (b"leaving", b"1")]
        answer = harness.Answer(200, b"OK", headers, b"")

        async def check_health(path):
            return answer

        monkeypatch.setattr(member.inbound_proxy, "check_health", check_health)
        verifier.on_heartbeat(harness.heartbeat("n1"), "/health")
        await harness.settle()
        assert not member.inbound_proxy.status.is_accepting
        headers.pop()
        verifier.on_heartbeat(harness.heartbeat("n1"), "/health")
        await harness.settle()
        assert member.inbound_proxy.status.is_accepting

    memory_loop.run(main)


def test_draining_heartbeat_is_remembered_for_a_restarted_node():
    async def scenario(members, servers):
        members[0].inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 2, state=heartbeats.EndpointState.DRAINING)
        )
        await harness.settle()
        members[0].peers.close()
        await harness.settle(1.0)
        restarted = harness.Member("n1")
        restarted.add_peer(members[1])
        # A delayed heartbeat, sent before the leaving.
        restarted.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 1))
        await harness.settle(0.5)
        members[1].tick()
        await harness.settle(0.5)
        assert not restarted.inbound_proxy.status.is_accepting

    test_rate_limit.run_members(scenario, [None], others=1)


@pytest.mark.parametrize("is_heartbeat_first", [True, False])
def test_departure_is_remembered_for_a_restarted_node(is_heartbeat_first):
    """A node that is killed while the store is away has not written there
    that its backend server has left; a heartbeat sent before the departure
    brought the server back in use.
    """

    async def scenario(members, servers):
        members[0].inbound_proxy.on_leave("e-n1")
        await harness.settle()
        members[0].peers.close()
        await harness.settle(1.0)
        restarted = harness.Member("n1")
        restarted.add_peer(members[1])
        if is_heartbeat_first:
            restarted.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 2))
        await harness.settle(0.5)
        members[1].tick()
        await harness.settle(0.5)
        if not is_heartbeat_first:
            restarted.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 2))
        assert not restarted.inbound_proxy.status.is_accepting
        connection, _ = harness.send(members[1])
        await harness.settle()
        assert connection.answers[0][0] == 503
        assert not servers[0].requests
        # Its successor at the address is used.
        restarted.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 1, endpoint="e-new", incarnation_ms=2)
        )
        await harness.settle()
        harness.send(members[1])
        await harness.settle()
        assert len(servers[0].requests) == 1

    test_rate_limit.run_members(scenario, [None], others=1)


def test_departure_outlives_two_restarts():
    """The first restarted process passes on what it was told."""

    async def scenario(members, servers):
        members[0].inbound_proxy.on_leave("e-n1")
        await harness.settle()
        previous = members[0]
        for _ in range(2):
            previous.peers.close()
            await harness.settle(1.0)
            previous = harness.Member("n1")
            previous.add_peer(members[1])
            await harness.settle(0.5)
            members[1].tick()
            await harness.settle(0.5)
        previous.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 2))
        assert not previous.inbound_proxy.status.is_accepting

    test_rate_limit.run_members(scenario, [None], others=1)


def test_earlier_limit_does_not_undo_a_leaving():
    """A backend server with a rate limit leaves while its node restarts."""

    async def scenario(members, servers):
        servers[0].behave = lambda c, h, i: c.answer(
            i, extra=b"Rate-Limit: 10\r\n"
        )
        harness.send(members[1])
        await harness.settle()
        members[0].peers.close()
        await harness.settle(1.0)
        restarted = harness.Member("n1")
        restarted.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 2, state=heartbeats.EndpointState.DRAINING)
        )
        restarted.add_peer(members[1])
        await harness.settle(0.5)
        members[1].tick()
        await harness.settle(0.5)
        status = members[1].peers._peers["n1"].status
        assert (status.is_accepting, status.is_leaving) == (False, True)

    test_rate_limit.run_members(scenario, [None], others=1)


def test_departure_before_the_first_use_is_recorded():
    """A node that has just started acknowledged the departure of a backend
    server that it was still verifying, and told no one of it.
    """
    from clementinekeel.sidecar import backend_verification

    async def main():
        member = harness.Member("n1")
        verifier = backend_verification.BackendVerifier(
            member.inbound_proxy, harness.DIALECT, "s", member.log
        )
        verifier.on_heartbeat(harness.heartbeat("n1"), "")
        verifier.on_leave("e-n1")
        member.inbound_proxy.on_leave("e-n1")
        status = member.inbound_proxy.status
        assert (status.endpoint, status.is_leaving) == ("e-n1", True)
        assert member.inbound_proxy.has_left("e-n1")

    memory_loop.run(main)
