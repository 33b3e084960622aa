"""The inbound proxy: which requests reach the backend server."""

import asyncio

import pytest

from clementinekeel.membership import heartbeats
from clementinekeel.nodes import frames
from clementinekeel.nodes import transit
from clementinekeel.sidecar import stop_plan
from tests import memory_loop
from tests.sidecar import harness

DRAINING = heartbeats.EndpointState.DRAINING


PLAN = stop_plan.plan_stop(6.0)


class Sender:
    """Collects the frames that are sent back to the offering node."""

    def __init__(self):
        self.streams = {}
        self.last_stream = 0
        self.transit = transit.DelayEstimator()
        self.frames = []

    def send_result(self, frame):
        self.frames.append(frame)


def offer(stream, **changes):
    fields = {
        "stream": stream,
        "endpoint": "e-n1",
        "request_id": f"r{stream}",
        "sent_ms": 0,
        "remaining_ms": 1_000,
        "rank": 1,
        "chain_age_ms": 0,
        "depth": 0,
        "is_retry": False,
        "is_idempotent": True,
        "is_head": False,
        "fingerprint": 7,
        "head": b"GET / HTTP/1.1\r\nid: r%d\r\n" % stream,
        "body": b"",
        "body_bytes": 0,
    }
    return frames.Offer(**{**fields, **changes})


def never_answer(connection, headers, request_id):
    """Leave a request without an answer."""


def run_with_proxy(function, behave=None):
    async def main():
        member = harness.Member("n1")
        server = harness.BackendServer("n1", behave)
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1"))
        await function(member, server, Sender())

    memory_loop.run(main)


def test_request_reaches_the_endpoint_with_its_remaining_time():
    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1, remaining_ms=700))
        await harness.settle()
        ((_, headers, _),) = server.requests
        assert headers[b"target"] == b"e-n1"
        assert 600 <= int(headers[b"deadline"]) <= 700
        (answer,) = sender.frames
        assert (answer.status, answer.body) == (200, b"fine")

    run_with_proxy(scenario)


def test_backend_server_gets_no_more_requests_than_it_has_slots():
    """A backend server with more requests than slots may hang."""

    async def scenario(member, server, sender):
        for stream in range(1, 6):
            member.inbound_proxy.offer(sender, offer(stream))
        await harness.settle()
        assert len(server.requests) == 2
        server.connections[0].answer(b"r1")
        await harness.settle()
        assert len(server.requests) == 3

    run_with_proxy(scenario, never_answer)


@pytest.mark.parametrize("departure", ["draining", "left", "stopping"])
def test_leaving_takes_effect_at_once(departure):
    """No request may follow the acknowledgement of a departure."""

    async def scenario(member, server, sender):
        for stream in range(1, 4):
            member.inbound_proxy.offer(sender, offer(stream))
        await harness.settle()
        if departure == "draining":
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat("n1", 2, state=DRAINING)
            )
        elif departure == "left":
            member.inbound_proxy.on_leave("e-n1")
        else:
            member.inbound_proxy.stop()
        member.inbound_proxy.offer(sender, offer(9))
        await harness.settle()
        reasons = {f.stream: f.reason for f in sender.frames}
        assert reasons == {3: "leaving", 9: "leaving"}
        assert len(server.requests) == 2

    run_with_proxy(scenario, never_answer)


def test_delayed_heartbeat_does_not_restore_an_endpoint_that_left():
    """A network partition delays a heartbeat until the endpoint has left."""

    async def scenario(member, server, sender):
        member.inbound_proxy.on_leave("e-n1")
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 7))
        assert not member.inbound_proxy.status.is_accepting
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 1, incarnation_ms=2)
        )
        assert member.inbound_proxy.status.is_accepting

    run_with_proxy(scenario)


def test_offer_for_another_endpoint_is_refused():
    """The address of the endpoint may have passed to another service."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1, endpoint="e-old"))
        await harness.settle()
        (refusal,) = sender.frames
        assert refusal.reason == "other_endpoint"
        assert server.requests == []

    run_with_proxy(scenario)


def test_request_for_an_unreachable_backend_server_is_refused_as_not_run():
    async def scenario(member, server, sender):
        member.inbound_proxy._loop.listeners.clear()
        member.inbound_proxy.offer(sender, offer(1, is_idempotent=False))
        await harness.settle(0.1)
        (refusal,) = sender.frames
        assert refusal.reason == "backend_unreachable"
        assert not member.inbound_proxy.status.is_accepting
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 2))
        assert member.inbound_proxy.status.is_accepting

    run_with_proxy(scenario)


def test_lost_answer_is_a_failure_and_not_a_refusal():
    """A refusal guarantees that the request has not run."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1, is_idempotent=False))
        await harness.settle()
        (failure,) = sender.frames
        assert isinstance(failure, frames.Failure)

    run_with_proxy(scenario, lambda c, h, i: c.transport.abort())


def test_backend_server_that_resets_all_connections_gets_a_pause():
    """An endpoint that goes down and up repeatedly accepts requests whose
    outcome is then unknown; one such endpoint accepted 147.
    """

    async def scenario(member, server, sender):
        for stream in range(1, 9):
            member.inbound_proxy.offer(
                sender, offer(stream, is_idempotent=False)
            )
            await harness.settle(0.01)
        kinds = [type(f) for f in sender.frames]
        assert kinds == [frames.Failure] * 3 + [frames.Refusal] * 5
        server.behave = lambda c, h, i: c.answer(i)
        await harness.settle(0.3)
        member.inbound_proxy.offer(sender, offer(20))
        await harness.settle(0.01)
        assert isinstance(sender.frames[-1], frames.Answer)

    run_with_proxy(scenario, lambda c, h, i: c.transport.abort())


def test_refusal_by_the_backend_server_is_passed_on_as_not_run():
    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1))
        await harness.settle()
        (refusal,) = sender.frames
        assert refusal.reason == "backend_refused"

    run_with_proxy(
        scenario, lambda c, h, i: c.answer(i, 503, b"Not-Run: 1\r\n")
    )


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_repeated_refusal_is_not_taken_for_the_next_answer(is_idempotent):
    """A faulty backend server sends a refusal again while the request runs.

    The caller was told that a running request had not run.
    """

    async def scenario(member, server, sender):
        for stream in (1, 2):
            member.inbound_proxy.offer(
                sender,
                offer(1, is_idempotent=is_idempotent)._replace(stream=stream),
            )
            await harness.settle(0.01)
        server.connections[0].answer(b"r1", 503, b"Not-Run: 1\r\n")
        await harness.settle()
        assert [type(f) for f in sender.frames] == [
            frames.Refusal,
            frames.Answer,
        ]
        # The connection with the surplus answer is not used any more.
        assert len(server.requests) == 2

    def refuse_first(connection, headers, request_id):
        if len(connection.server.requests) == 1:
            connection.answer(request_id, 503, b"Not-Run: 1\r\n")
        else:
            asyncio.get_running_loop().call_later(
                0.02, connection.answer, request_id
            )

    run_with_proxy(scenario, refuse_first)


def test_other_requests_use_the_connection_of_a_refused_one():
    """New connections cost a backend server that is short of slots more."""

    async def scenario(member, server, sender):
        for stream in range(1, 20):
            member.inbound_proxy.offer(sender, offer(stream))
            await harness.settle(0.01)
        assert len(server.connections) == 1

    run_with_proxy(
        scenario, lambda c, h, i: c.answer(i, 503, b"Not-Run: 1\r\n")
    )


def test_idempotent_request_is_cancelled_with_its_connection():
    """Otherwise the backend server works for a caller that has left."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1))
        await harness.settle()
        member.inbound_proxy.cancel(sender, 1)
        await harness.settle()
        assert server.closed == server.connections
        assert member.inbound_proxy.queue.running == 0

    run_with_proxy(scenario, never_answer)


def test_running_non_idempotent_request_is_not_interrupted():
    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1, is_idempotent=False))
        await harness.settle()
        member.inbound_proxy.cancel(sender, 1)
        await harness.settle()
        assert server.closed == []
        assert member.inbound_proxy.queue.running == 1
        server.connections[0].answer(b"r1")
        await harness.settle()
        assert member.inbound_proxy.queue.running == 0

    run_with_proxy(scenario, never_answer)


def test_queued_request_does_not_run_after_its_caller_left():
    async def scenario(member, server, sender):
        for stream in range(1, 4):
            member.inbound_proxy.offer(sender, offer(stream))
        await harness.settle()
        member.inbound_proxy.cancel(sender, 3)
        server.connections[0].answer(b"r1")
        await harness.settle()
        assert len(server.requests) == 2

    run_with_proxy(scenario, never_answer)


def test_request_that_arrives_too_late_does_not_run():
    """A saturated link between regions delivers requests 1.4 s late; they must
    not run after their callers have left.
    """

    async def scenario(member, server, sender):
        now = round(member.inbound_proxy._loop.time() * 1000)
        member.inbound_proxy.offer(sender, offer(1, sent_ms=now))
        member.inbound_proxy.offer(sender, offer(2, sent_ms=now - 1_400))
        await harness.settle()
        assert len(server.requests) == 1
        refusal = next(f for f in sender.frames if f.stream == 2)
        assert refusal.reason == "deadline"

    run_with_proxy(scenario)


def test_request_fails_when_the_backend_server_is_silent_until_its_deadline():
    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1, remaining_ms=300))
        await harness.settle(0.4)
        assert sender.frames == []
        await harness.settle(0.1)
        (failure,) = sender.frames
        assert failure.reason == "backend_silent"
        assert member.inbound_proxy.queue.running == 0

    run_with_proxy(scenario, never_answer)


def test_stale_connection_is_replaced_for_idempotent_requests():
    """Backend servers close idle connections without notice."""

    async def scenario(member, server, sender):
        # The node's part of the extra retries grows over the first window.
        member.peers.set_listed({"n1"})
        await harness.settle(10)
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", sequence=2))
        member.inbound_proxy.offer(sender, offer(1))
        await harness.settle()
        server.behave = lambda c, h, i: (
            c.transport.abort() if c is server.connections[0] else c.answer(i)
        )
        member.inbound_proxy.offer(sender, offer(2))
        await harness.settle()
        assert [type(f) for f in sender.frames] == [frames.Answer] * 2

    run_with_proxy(scenario)


def test_duplicate_answer_reaches_no_caller():
    """A faulty backend server answers a request twice, the second one late."""

    async def scenario(member, server, sender):
        member.inbound_proxy.offer(sender, offer(1))
        await harness.settle()
        member.inbound_proxy.offer(sender, offer(2))
        await harness.settle()
        bodies = {f.stream: f.body for f in sender.frames}
        assert bodies == {1: b"r1", 2: b"r2"}

    def answer_old_first(connection, headers, request_id):
        if request_id == b"r2":
            connection.answer(b"r1", body=b"r1")
        connection.answer(request_id, body=request_id)

    run_with_proxy(scenario, answer_old_first)


def test_resent_request_is_not_refused_as_not_run():
    """The backend server is replaced while a request that it may have run
    waits for a new connection.
    """

    async def scenario(member, server, sender):
        member.peers.set_listed({"n1"})
        await harness.settle(10)
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", sequence=2))
        member.inbound_proxy.offer(sender, offer(1))
        await harness.settle()

        def replace(connection, _headers, _request_id):
            connection.transport.abort()
            replacement = harness.heartbeat(
                "n1", endpoint="e-new", incarnation_ms=2
            )
            asyncio.get_running_loop().call_later(
                0.001, member.inbound_proxy.on_heartbeat, replacement
            )

        server.behave = replace
        asyncio.get_running_loop().delay_s = 0.002
        member.inbound_proxy.offer(sender, offer(2))
        await harness.settle()
        assert len(server.requests) == 2
        assert [type(f) for f in sender.frames] == [
            frames.Answer,
            frames.Failure,
        ]

    run_with_proxy(scenario)


def test_resends_on_stale_connections_are_within_the_retry_budget():
    """A backend server that runs a short request and then resets the
    connection looks like one that had closed it before.
    """
    requests = 200
    arrived_once = set()

    async def scenario(member, server, sender):
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", sequence=2, slots=50)
        )
        for stream in range(1, requests + 1):
            member.inbound_proxy.offer(sender, offer(stream))
            await harness.settle(0.01)
        arrived = [headers[b"id"] for _, headers, _ in server.requests]
        resent = len(arrived) - len(set(arrived))
        assert 0 < resent <= requests * harness.SETTINGS.retry_ratio

    def lose_every_second_answer(connection, _headers, request_id):
        is_lost = request_id not in arrived_once and len(arrived_once) % 2
        arrived_once.add(request_id)
        if is_lost:
            connection.transport.abort()
        else:
            connection.answer(request_id)

    run_with_proxy(scenario, lose_every_second_answer)


def test_answers_without_end_do_not_fill_the_memory():
    """Each of 95 answers may be long, but not all of them together."""
    limit = harness.SETTINGS.memory_mb * 1024 * 1024 / 4
    held = []

    async def scenario(member, server, sender):
        member.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", sequence=2, slots=40)
        )
        for stream in range(1, 41):
            member.inbound_proxy.offer(
                sender, offer(stream, remaining_ms=30_000)
            )
        for _ in range(100):
            await harness.settle(0.01)
            held.append(
                sum(
                    len(c.transport.written)
                    for c in server.connections
                    if not c.transport.is_closing()
                )
            )
        assert max(held) <= limit
        assert {type(f) for f in sender.frames} == {frames.Failure}

    async def write_until_closed(connection, request_id):
        connection.transport.write(
            b"HTTP/1.1 200 OK\r\nid: %s\r\n\r\n" % request_id
        )
        while not connection.transport.is_closing():
            connection.transport.write(b"x" * 50_000)
            await asyncio.sleep(0.01)

    def answer_without_end(connection, _headers, request_id):
        work = write_until_closed(connection, request_id)
        asyncio.get_running_loop().create_task(work)

    run_with_proxy(scenario, answer_without_end)


@pytest.mark.parametrize(
    ("remaining_ms", "is_own", "is_taken"),
    [
        pytest.param(3_700, False, True, id="ends in time"),
        pytest.param(3_900, False, False, id="may outlast the stop"),
        pytest.param(3_900, True, True, id="of a caller of this node"),
    ],
)
def test_offer_that_may_outlast_a_planned_stop_is_refused(
    remaining_ms, is_own, is_taken
):
    """It was broken off at the end of the stop, after it had run for 4 s."""

    async def scenario(member, server, sender):
        proxy = member.inbound_proxy
        proxy.begin_stop(PLAN)
        await harness.settle(1.3)
        proxy.offer(sender, offer(1, remaining_ms=remaining_ms), is_own)
        await harness.settle()
        assert bool(server.requests) is is_taken
        if not is_taken:
            (refusal,) = sender.frames
            assert refusal.reason == frames.STOPPING
            # Before this time the process can't be back.
            assert refusal.retry_after_ms == 1_300

    run_with_proxy(scenario)


def test_waiting_offers_that_may_outlast_a_planned_stop_are_refused():
    """They had not run when the stop began, and were started during it."""

    async def scenario(member, server, sender):
        proxy = member.inbound_proxy
        for stream in (1, 2):
            proxy.offer(sender, offer(stream, remaining_ms=2_000))
        proxy.offer(sender, offer(3, remaining_ms=2_000))
        proxy.offer(sender, offer(4, remaining_ms=6_000))
        await harness.settle()
        proxy.begin_stop(PLAN)
        await harness.settle()
        refused = {f.stream: f.reason for f in sender.frames}
        assert refused == {4: frames.STOPPING}
        server.connections[0].answer(b"r1")
        server.connections[1].answer(b"r2")
        await harness.settle()
        assert [h[b"id"] for _, h, _ in server.requests] == [
            b"r1",
            b"r2",
            b"r3",
        ]

    run_with_proxy(scenario, never_answer)


def test_waiting_for_a_connection_does_not_keep_an_offer_from_its_refusal():
    """They were sent to the backend server after the signal, and broken off
    at the end of the stop.
    """

    async def scenario(member, server, sender):
        proxy = member.inbound_proxy
        asyncio.get_running_loop().connect_delay_s = 0.3
        for stream, remaining_ms in enumerate(
            (6_000, 2_000, 6_000, 2_000), start=1
        ):
            proxy.offer(sender, offer(stream, remaining_ms=remaining_ms))
        await harness.settle(0.1)
        proxy.begin_stop(PLAN)
        refused = {f.stream: f.reason for f in sender.frames}
        assert refused == {1: frames.STOPPING, 3: frames.STOPPING}
        await harness.settle(1)
        assert [h[b"id"] for _, h, _ in server.requests] == [b"r2", b"r4"]

    run_with_proxy(scenario)


def test_long_body_is_not_awaited_if_its_request_may_outlast_a_stop():
    """The sender can offer it elsewhere before it has sent all of it."""

    async def scenario(member, server, sender):
        proxy = member.inbound_proxy
        proxy.begin_stop(PLAN)
        proxy.offer(
            sender, offer(1, remaining_ms=6_000, body=b"a", body_bytes=2)
        )
        assert [f.reason for f in sender.frames] == [frames.STOPPING]
        proxy.offer_part(sender, frames.OfferPart(1, b"b"))
        await harness.settle()
        assert len(sender.frames) == 1
        assert server.requests == []

    run_with_proxy(scenario)


def refuse_at_the_signal(proxy):
    proxy.begin_stop(PLAN)


def refuse_at_the_end_of_the_offers(proxy):
    proxy.stop()


@pytest.mark.parametrize(
    "stop", [refuse_at_the_signal, refuse_at_the_end_of_the_offers]
)
def test_planned_stop_refuses_offers_without_their_whole_body(stop):
    """The node ended while a long body was on its way. The request had not
    run, and was answered 502 "link_lost".
    """

    async def scenario(member, server, sender):
        proxy = member.inbound_proxy
        first = offer(1, remaining_ms=6_000, body=b"a", body_bytes=2)
        proxy.offer(sender, first)
        stop(proxy)
        assert [type(f) for f in sender.frames] == [frames.Refusal]
        proxy.offer_part(sender, frames.OfferPart(1, b"b"))
        await harness.settle()
        assert len(sender.frames) == 1
        assert server.requests == []

    run_with_proxy(scenario)


@pytest.mark.parametrize(
    "stop", [refuse_at_the_signal, refuse_at_the_end_of_the_offers]
)
@pytest.mark.parametrize("is_complete", [True, False])
def test_error_for_one_offer_does_not_keep_the_others_from_their_refusal(
    monkeypatch, stop, is_complete
):
    """Those behind it were started during the stop, or never got a result."""

    async def scenario(member, server, sender):
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        proxy = member.inbound_proxy
        for stream in range(1, 6):
            proxy.offer(
                sender,
                offer(
                    stream,
                    remaining_ms=6_000,
                    body=b"a",
                    body_bytes=1 if is_complete else 2,
                ),
            )
        await harness.settle()
        refuse, refused = proxy._refuse, []

        def fail_once(job, reason):
            refused.append(job)
            if len(refused) == 1:
                raise ValueError
            refuse(job, reason)

        monkeypatch.setattr(proxy, "_refuse", fail_once)
        stop(proxy)
        expected = range(3, 6) if is_complete else range(1, 6)
        assert sorted(f.stream for f in sender.frames) == list(expected)
        assert {type(f) for f in sender.frames} == {frames.Refusal}
        assert not proxy._incomplete_jobs

    run_with_proxy(scenario, never_answer)


def test_incomplete_offers_are_forgotten_when_they_end():
    """Each would be kept with its body until the end of the process."""

    async def scenario(member, server, sender):
        proxy = member.inbound_proxy
        for stream in (1, 2):
            proxy.offer(sender, offer(stream, body=b"a", body_bytes=2))
        proxy.offer_part(sender, frames.OfferPart(1, b"b"))
        proxy.cancel(sender, 2)
        await harness.settle()
        assert not proxy._incomplete_jobs

    run_with_proxy(scenario)
