"""What the gate beside a backend server lets through, and what it says."""

import pytest

from clementinekeel.membership import heartbeats
from clementinekeel.nodes import frames
from clementinekeel.nodes import transit
from tests import memory_loop
from tests.sidecar import world

DRAINING = heartbeats.EndpointState.DRAINING


class Sender:
    """Collects the frames that go back to the origin."""

    def __init__(self):
        self.streams = {}
        self.transit = transit.DelayEstimator()
        self.frames = []

    def send(self, frame):
        self.frames.append(frame)


def offer(stream, **changes):
    fields = {
        "stream": stream,
        "endpoint": "e-n1",
        "request_id": f"r{stream}",
        "sent_ms": 0,
        "budget_ms": 1_000,
        "rank": 1,
        "age_ms": 0,
        "depth": 0,
        "is_idempotent": True,
        "is_head": False,
        "head": b"GET / HTTP/1.1\r\nid: r%d\r\n" % stream,
        "body": b"",
        "body_bytes": 0,
    }
    return frames.Offer(**{**fields, **changes})


def hold(connection, headers, request_id):
    """Behaviour of a backend server that never answers."""


def run_with_gate(function, behave=None):
    async def main():
        member = world.Member("n1")
        server = world.BackendServer("n1", behave)
        member.gate.heartbeat(world.beat("n1"))
        await function(member, server, Sender())

    memory_loop.run(main)


def test_request_reaches_the_endpoint_with_what_is_left():
    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1, budget_ms=700))
        await world.settle()
        ((_, headers, _),) = server.requests
        assert headers[b"target"] == b"e-n1"
        assert 600 <= int(headers[b"deadline"]) <= 700
        (answer,) = sender.frames
        assert (answer.status, answer.body) == (200, b"fine")

    run_with_gate(scenario)


def test_no_more_requests_than_slots_are_at_the_backend_server():
    """Servers that hang when full never get more than they can take."""

    async def scenario(member, server, sender):
        for stream in range(1, 6):
            member.gate.offer(sender, offer(stream))
        await world.settle()
        assert len(server.requests) == 2
        server.connections[0].answer(b"r1")
        await world.settle()
        assert len(server.requests) == 3

    run_with_gate(scenario, hold)


@pytest.mark.parametrize("how", ["draining", "left", "stopping"])
def test_leaving_takes_effect_at_once(how):
    """A request after the acknowledgement would break the drain promise."""

    async def scenario(member, server, sender):
        for stream in range(1, 4):
            member.gate.offer(sender, offer(stream))
        await world.settle()
        if how == "draining":
            member.gate.heartbeat(world.beat("n1", 2, state=DRAINING))
        elif how == "left":
            member.gate.leave("e-n1")
        else:
            member.gate.stop()
        member.gate.offer(sender, offer(9))
        await world.settle()
        reasons = {f.stream: f.reason for f in sender.frames}
        assert reasons == {3: "leaving", 9: "leaving"}
        assert len(server.requests) == 2

    run_with_gate(scenario, hold)


def test_late_heartbeat_does_not_bring_a_left_endpoint_back():
    """A heartbeat delayed by a partition arrives after the endpoint left."""

    async def scenario(member, server, sender):
        member.gate.leave("e-n1")
        member.gate.heartbeat(world.beat("n1", 7))
        assert not member.gate.status.is_accepting
        member.gate.heartbeat(world.beat("n1", 1, incarnation_ms=2))
        assert member.gate.status.is_accepting

    run_with_gate(scenario)


def test_offer_for_another_endpoint_is_refused():
    """An address that is used again belongs to another service."""

    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1, endpoint="e-old"))
        await world.settle()
        (refusal,) = sender.frames
        assert refusal.reason == "other_endpoint"
        assert server.requests == []

    run_with_gate(scenario)


def test_unreachable_backend_server_refuses_as_not_run():
    async def scenario(member, server, sender):
        member.gate._loop.listeners.clear()
        member.gate.offer(sender, offer(1, is_idempotent=False))
        await world.settle(0.1)
        (refusal,) = sender.frames
        assert refusal.reason == "backend_unreachable"
        assert not member.gate.status.is_accepting
        member.gate.heartbeat(world.beat("n1", 2))
        assert member.gate.status.is_accepting

    run_with_gate(scenario)


def test_lost_answer_is_a_failure_and_never_a_refusal():
    """A refusal would promise that a booking has not run."""

    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1, is_idempotent=False))
        await world.settle()
        (failure,) = sender.frames
        assert isinstance(failure, frames.Failure)

    run_with_gate(scenario, lambda c, h, i: c.transport.abort())


def test_backend_server_that_resets_everything_gets_a_pause():
    """An endpoint that went down and up by turns took 147 settlements whose
    outcome was then unknown.
    """

    async def scenario(member, server, sender):
        for stream in range(1, 9):
            member.gate.offer(sender, offer(stream, is_idempotent=False))
            await world.settle(0.01)
        kinds = [type(f) for f in sender.frames]
        assert kinds == [frames.Failure] * 3 + [frames.Refusal] * 5
        server.behave = lambda c, h, i: c.answer(i)
        await world.settle(0.3)
        member.gate.offer(sender, offer(20))
        await world.settle(0.01)
        assert isinstance(sender.frames[-1], frames.Answer)

    run_with_gate(scenario, lambda c, h, i: c.transport.abort())


def test_own_refusal_of_the_backend_server_is_passed_on_as_not_run():
    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1))
        await world.settle()
        (refusal,) = sender.frames
        assert refusal.reason == "backend_refused"

    run_with_gate(
        scenario, lambda c, h, i: c.answer(i, 503, b"Not-Run: 1\r\n")
    )


def test_idempotent_request_is_cancelled_with_its_connection():
    """A backend server would go on working for a caller that has left."""

    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1))
        await world.settle()
        member.gate.cancel(sender, 1)
        await world.settle()
        assert server.closed == server.connections
        assert member.gate.queue.running == 0

    run_with_gate(scenario, hold)


def test_running_booking_is_left_to_its_end():
    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1, is_idempotent=False))
        await world.settle()
        member.gate.cancel(sender, 1)
        await world.settle()
        assert server.closed == []
        assert member.gate.queue.running == 1
        server.connections[0].answer(b"r1")
        await world.settle()
        assert member.gate.queue.running == 0

    run_with_gate(scenario, hold)


def test_waiting_request_never_runs_after_its_caller_left():
    async def scenario(member, server, sender):
        for stream in range(1, 4):
            member.gate.offer(sender, offer(stream))
        await world.settle()
        member.gate.cancel(sender, 3)
        server.connections[0].answer(b"r1")
        await world.settle()
        assert len(server.requests) == 2

    run_with_gate(scenario, hold)


def test_request_that_was_late_on_the_way_does_not_run():
    """A full link between regions delivered requests 1.4 s late, and they
    ran after their callers had left.
    """

    async def scenario(member, server, sender):
        now = round(member.gate._loop.time() * 1000)
        member.gate.offer(sender, offer(1, sent_ms=now))
        member.gate.offer(sender, offer(2, sent_ms=now - 1_400))
        await world.settle()
        assert len(server.requests) == 1
        refusal = next(f for f in sender.frames if f.stream == 2)
        assert refusal.reason == "deadline"

    run_with_gate(scenario)


def test_silent_backend_server_is_given_up_after_the_deadline():
    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1, budget_ms=300))
        await world.settle(0.4)
        assert sender.frames == []
        await world.settle(0.1)
        (failure,) = sender.frames
        assert failure.reason == "backend_silent"
        assert member.gate.queue.running == 0

    run_with_gate(scenario, hold)


def test_stale_connection_is_replaced_for_idempotent_requests():
    """Backend servers drop idle connections without notice."""

    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1))
        await world.settle()
        server.behave = lambda c, h, i: (
            c.transport.abort() if c is server.connections[0] else c.answer(i)
        )
        member.gate.offer(sender, offer(2))
        await world.settle()
        assert [type(f) for f in sender.frames] == [frames.Answer] * 2

    run_with_gate(scenario)


def test_second_answer_reaches_no_caller():
    """A faulty backend server answers a request twice, the second late."""

    async def scenario(member, server, sender):
        member.gate.offer(sender, offer(1))
        await world.settle()
        member.gate.offer(sender, offer(2))
        await world.settle()
        bodies = {f.stream: f.body for f in sender.frames}
        assert bodies == {1: b"r1", 2: b"r2"}

    def answer_old_first(connection, headers, request_id):
        if request_id == b"r2":
            connection.answer(b"r1", body=b"r1")
        connection.answer(request_id, body=request_id)

    run_with_gate(scenario, answer_old_first)
