"""Sessions between two nodes under faults: which calls end, how and when."""

import anyio
import hypothesis
from hypothesis import strategies
import pytest
import trio.testing
import zmq

from clementinekeel.nodes import codec
from clementinekeel.nodes import messages
from clementinekeel.nodes import server
from clementinekeel.nodes import session
from clementinekeel.nodes import streams
from clementinekeel.runtime import clock
from tests.nodes import loopback

State = session.State
CALL = loopback.CALL


def raw_server(network, key=loopback.KEY, is_answering=True):
    """Return a server that accepts sessions and answers nothing else."""

    def on_message(message):
        payload = message.payload
        is_first = len(peer.received) == 1
        if is_answering and is_first and isinstance(payload, messages.Hello):
            welcome = messages.Welcome(payload.nonce, 5)
            peer.send(welcome, clock=clock.now_ms())

    incarnation = loopback.INCARNATION
    node_codec = loopback.make_codec("server", incarnation)
    peer = network.raw(zmq.ROUTER, node_codec, on_message)
    peer.signer = loopback.make_codec("server", incarnation, key)
    peer.socket.bind("127.0.0.1:0")
    return peer


async def raw_client(network, node, number=1):
    """Open a session with raw messages; return the peer and its number."""
    peer = network.raw(zmq.DEALER, loopback.make_codec("client", number))
    peer.socket.connect(node.endpoint)
    hello = peer.frames(messages.Hello(77))
    await network.wait_until(lambda: peer.socket.send(hello))
    await network.wait_until(lambda: peer.received)
    return peer, peer.received[0].payload.session


async def ping(network, peer, number):
    """Wait until the server has handled all messages of the peer so far."""
    count = len(peer.received)
    peer.send(messages.Ping(), session=number)
    await network.wait_until(lambda: len(peer.received) > count)


def test_call_and_answer_arrive_without_the_clock_moving(run_network):
    """The first call to a node waits for the session to open.

    Opening a session must therefore not wait for a timer.
    """

    async def run(network):
        _, handler, client = await network.pair()
        stream, served = await network.call(client, handler, request_id="q")
        assert served.request.request_id == "q"
        served.reply(loopback.make_answer(served.number, b"hi"), b"hi")
        served.close()
        reply = await stream.reply()
        assert (reply.message.status, reply.body) == (200, b"hi")
        assert [part async for part in stream.incoming_body.chunks()] == [
            b"hi"
        ]
        stream.close()
        assert client.in_flight == 0

    run_network(run)


@pytest.mark.parametrize(
    "options",
    [
        pytest.param({"is_answering": False}, id="never answers"),
        pytest.param({"key": b"x" * 32}, id="wrong key"),
    ],
)
def test_session_that_is_never_opened_ends_after_2_s(run_network, options):
    async def run(network):
        peer = raw_server(network, **options)
        client = network.open(peer.socket.endpoint)
        await network.wait_until(lambda: peer.received)
        await network.advance(2)
        assert client.state is State.CONNECTING
        await network.advance(0.25)
        assert client.close_reason == "timeout"
        assert not await client.wait_open()

    run_network(run)


def test_other_incarnation_at_the_address_closes_the_session(run_network):
    """Keys and clock values of the old process are invalid for the new one."""

    async def run(network):
        node, _ = await network.serve(incarnation=10)
        client = network.open(node.endpoint, incarnation=9)
        await network.wait_until(lambda: client.state is State.CLOSED)
        assert client.close_reason == "other incarnation"

    run_network(run)


def test_refused_connection_is_noticed_at_once(run_network):
    async def run(network):
        node, _ = await network.serve()
        address = node.endpoint
        node.stop()
        await network.wait_until(lambda: node._socket._is_closed)
        client = network.open(address)
        await network.wait_until(lambda: client.state is State.CLOSED)
        stream = client.open_stream()
        reply = await stream.reply()
        assert reply.message == session.SessionLost("connection lost", False)
        assert client.in_flight == 0

    run_network(run)


@pytest.mark.parametrize("address", ["no port", "127.0.0.1:x", "a:b:c"])
def test_faulty_address_ends_only_its_own_session(run_network, address):
    """Addresses come from other nodes and may be malformed.

    The task that runs all sessions must not end with one of them.
    """

    async def run(network):
        node, _ = await network.serve()
        pool = network.pool()
        await network.wait_until(lambda: pool._tasks is not None)
        client = pool.get(address, "bad", 1)
        assert not await client.wait_open()
        assert client.close_reason.startswith("cannot connect")
        good = pool.get(node.endpoint, "server", loopback.INCARNATION)
        assert await good.wait_open()
        assert pool.count == 1

    run_network(run)


def test_replaced_process_ends_calls_at_once(run_network):
    """Calls in flight must not wait for the timeout of 2 s."""

    async def run(network):
        node, handler, client = await network.pair()
        stream, _ = await network.call(client, handler)
        address = node.endpoint
        node.stop()
        reply = await stream.reply()
        assert reply.message == session.SessionLost("connection lost", True)
        await network.serve(address=address, incarnation=10)
        late = client.open_stream()
        assert not client.send(CALL._replace(stream=late.number))
        assert (await late.reply()).message.was_sent is False

    run_network(run)


def test_messages_queued_at_a_broken_connection_never_arrive(run_network):
    """A call queued for a lost connection must not run after a reconnect."""

    async def run(network):
        node, handler, client = await network.pair()
        await network.call(client, handler)
        address = node.endpoint
        node._socket.close()
        # The client has not noticed the loss yet; its state is still open.
        for _ in range(3):
            stream = client.open_stream()
            client.send(CALL._replace(stream=stream.number))
        again, other = await network.serve(address=address)
        fresh = network.open(again.endpoint)
        await network.wait_until(lambda: fresh.state is State.OPEN)
        await network.call(fresh, other)
        await network.wait_until(lambda: client.state is State.CLOSED)
        assert [served.number for served in other.streams] == [1]
        assert again.session_count == 1

    run_network(run)


def test_silence_with_a_call_in_flight_ends_it_after_2_s(run_network):
    async def run(network):
        peer = raw_server(network)
        client = await network.connect(peer.socket.endpoint)
        stream = client.open_stream()
        client.send(CALL._replace(stream=stream.number))
        await network.advance(2)
        assert not stream.has_reply
        await network.wait_until(lambda: "ping" in peer.kinds())
        await network.advance(0.25)
        assert (await stream.reply()).message == session.SessionLost(
            "timeout", True
        )

    run_network(run)


def test_short_calls_do_not_hide_a_silent_server(run_network):
    """A new call must not restart the measurement of silence."""

    async def run(network):
        peer = raw_server(network)
        client = await network.connect(peer.socket.endpoint)
        for _ in range(3):
            stream = client.open_stream()
            client.send(CALL._replace(stream=stream.number))
            await network.advance(1)
            stream.cancel("deadline")
        assert client.state is State.CLOSED

    run_network(run)


def test_idle_session_outlives_silence_until_its_limit(run_network):
    async def run(network):
        peer = raw_server(network)
        client = await network.connect(peer.socket.endpoint)
        await network.advance(session.IDLE_TIMEOUT_MS / 1000)
        assert client.state is State.OPEN
        await network.wait_until(lambda: peer.kinds().count("ping") == 2)
        await network.advance(session.IDLE_CHECK_INTERVAL_MS / 1000 + 0.25)
        assert client.close_reason == "timeout"

    run_network(run)


def test_call_on_a_long_idle_session_gets_its_full_time(run_network):
    """The silence of an idle session must not end a call just sent."""

    async def run(network):
        peer = raw_server(network)
        client = await network.connect(peer.socket.endpoint)
        await network.advance(session.IDLE_TIMEOUT_MS / 1000 - 1)
        stream = client.open_stream()
        client.send(CALL._replace(stream=stream.number))
        await network.advance(1.25)
        assert client.state is State.OPEN
        peer.send(loopback.make_answer(stream.number), session=5)
        await network.wait_until(lambda: stream.has_reply)

    run_network(run)


def test_pings_keep_a_session_with_a_slow_call(run_network):
    async def run(network):
        _, handler, client = await network.pair()
        stream, _ = await network.call(client, handler)

        await network.advance(6, lambda: loopback.is_ping_answered(client))
        assert not stream.has_reply
        assert client.state is State.OPEN

    run_network(run)


def test_server_ends_calls_of_a_silent_client(run_network):
    async def run(network):
        node, handler = await network.serve()
        peer, number = await raw_client(network, node)
        peer.send(CALL._replace(stream=1), session=number)
        await network.wait_until(lambda: handler.streams)
        await network.advance(3)
        assert handler.cancelled == []
        await network.advance(1)
        assert handler.cancelled == [(1, "client node is silent", True)]
        assert node.session_count == 0

    run_network(run)


def test_crossed_and_late_answers_reach_only_their_own_call(run_network):
    """An answer must never reach another call of the session."""

    async def run(network):
        _, handler, client = await network.pair()
        first, served_first = await network.call(client, handler)
        second, served_second = await network.call(client, handler)
        closed, served_closed = await network.call(client, handler)
        closed.close()
        for served in (served_closed, served_second, served_first):
            body = b"%d" % served.number
            served.reply(loopback.make_answer(served.number, body), body)
        assert (await first.reply()).body == b"1"
        assert (await second.reply()).body == b"2"
        assert not closed.has_reply
        third, served_third = await network.call(client, handler)
        served_closed.reply(loopback.make_answer(3, b"late"), b"late")
        served_third.reply(loopback.make_answer(4, b"4"), b"4")
        assert (await third.reply()).body == b"4"
        assert not closed.has_reply

    run_network(run)


def test_failure_after_the_answer_has_started_cuts_it(run_network):
    """Otherwise the caller would wait forever for the rest of the answer."""

    async def run(network):
        _, handler, client = await network.pair()
        stream, served = await network.call(client, handler)
        answer = loopback.make_answer(served.number, b"begin", last=False)
        served.reply(answer, b"begin")
        served.reply(
            messages.Failed(
                served.number,
                "unknown",
                "backend_lost",
                "",
                "",
                0,
                answer.load,
            )
        )
        with pytest.raises(streams.BodyError, match="backend_lost"):
            [part async for part in stream.incoming_body.chunks()]

    run_network(run)


def test_cancel_reaches_the_server_and_frees_the_stream(run_network):
    async def run(network):
        node, handler, client = await network.pair()
        stream, served = await network.call(client, handler, last=False)
        stream.cancel("caller gone")
        await network.wait_until(lambda: handler.cancelled)
        assert handler.cancelled == [(1, "caller gone", False)]
        assert client.in_flight == 0
        [peer_session] = node._sessions.values()
        assert peer_session.in_flight == 0
        with pytest.raises(streams.BodyError, match="caller gone"):
            [part async for part in served.incoming_body.chunks()]
        with pytest.raises(streams.BodyError, match="caller gone"):
            await served.outgoing_body.write(b"x")

    run_network(run)


def test_closed_call_does_not_end_the_session_at_the_server(run_network):
    """The server considers a client with calls lost after 3 s of silence."""

    async def run(network):
        node, handler, client = await network.pair()
        stream, _ = await network.call(client, handler)
        stream.close()
        await network.wait_until(lambda: handler.cancelled)
        await network.advance(8, lambda: loopback.is_ping_answered(client))
        assert node.session_count == 1
        assert client.state is State.OPEN

    run_network(run)


def test_long_bodies_pass_both_ways(run_network):
    body = bytes(range(256)) * 1024 * 9
    first, rest = body[:1000], body[1000:]

    async def run(network):
        _, handler, client = await network.pair()
        stream, served = await network.call(client, handler, last=False)
        received = bytearray()

        async def send(outgoing_body):
            await outgoing_body.write(rest)
            await outgoing_body.finish()

        async def echo():
            served.invite_body()
            async for part in served.incoming_body.chunks():
                received.extend(part)
            answer = loopback.make_answer(served.number, first, last=False)
            served.outgoing_body.open(first)
            served.reply(answer, first)
            await send(served.outgoing_body)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, stream.outgoing_body)
            tasks.start_soon(echo)
            await stream.reply()
            parts = [part async for part in stream.incoming_body.chunks()]
        assert received == rest
        assert b"".join(parts) == body
        assert max(map(len, parts)) <= streams.CHUNK_BYTES

    run_network(run)


def replay(frames):
    return lambda peer, number: peer.socket.send(frames(peer, number))


def older_session(peer, number):
    return peer.frames(CALL._replace(stream=9), number - 1)


def stale(peer, number):
    return peer.frames(CALL._replace(stream=9), number, sequence=2)


def repeated(peer, number):
    return peer.frames(CALL._replace(stream=1), number)


def other_nonce(peer, number):
    return peer.frames(messages.Hello(78))


def wrong_key(peer, number):
    other = loopback.make_codec("client", 1, b"x" * 32)
    return other.encode(CALL._replace(stream=9), b"", number, 99, 0)


def other_incarnation(peer, number):
    other = loopback.make_codec("client", 2)
    return other.encode(CALL._replace(stream=9), b"", number, 99, 0)


def oversized(peer, number):
    body = bytes(codec.MAX_BODY_BYTES + 1)
    return peer.frames(CALL._replace(stream=9), number, body=body)


def unexpected(peer, number):
    return peer.frames(loopback.make_answer(9), number)


@pytest.mark.parametrize(
    ("make_frames", "reason"),
    [
        pytest.param(older_session, "stale message", id="older session"),
        pytest.param(stale, "stale message", id="stale sequence"),
        pytest.param(repeated, "repeated stream number", id="repeated stream"),
        pytest.param(other_nonce, "second session", id="replayed hello"),
        pytest.param(wrong_key, "wrong MAC", id="wrong key"),
        pytest.param(
            other_incarnation, "stale message", id="other incarnation"
        ),
        pytest.param(
            oversized, "oversized body frame", id="oversized body frame"
        ),
        pytest.param(unexpected, "unexpected message", id="unexpected kind"),
    ],
)
def test_server_drops_message_and_keeps_the_session(
    run_network, make_frames, reason
):
    """No such message may start a call or end a call in flight."""

    async def run(network):
        node, handler = await network.serve()
        peer, number = await raw_client(network, node)
        peer.send(CALL._replace(stream=1), session=number)
        await network.wait_until(lambda: handler.streams)
        peer.socket.send(make_frames(peer, number))
        await ping(network, peer, number)
        assert [served.number for served in handler.streams] == [1]
        assert handler.cancelled == []
        assert network.drops.counts == {reason: 1}
        assert node.session_count == 1

    run_network(run)


def test_server_closes_a_connection_with_a_huge_frame(run_network):
    """A peer without the key must not exhaust the memory of a node."""

    async def run(network):
        node, handler = await network.serve()
        peer, number = await raw_client(network, node)
        peer.socket.monitor(zmq.EVENT_DISCONNECTED)
        events = []
        network.tasks.start_soon(peer.socket.watch, events.append)
        peer.send(CALL._replace(stream=1), session=number, body=bytes(2**24))
        await network.wait_until(lambda: events)
        assert handler.streams == []

    run_network(run)


@pytest.mark.parametrize(
    ("payload", "options", "reason"),
    [
        pytest.param(
            loopback.make_answer(1), {"session": 4}, "stale", id="session"
        ),
        pytest.param(
            loopback.make_answer(1),
            {"session": 5, "sequence": 1},
            "stale",
            id="stale sequence",
        ),
        pytest.param(
            messages.Welcome(1, 6), {}, "stale", id="welcome of another hello"
        ),
        pytest.param(
            CALL._replace(stream=1), {"session": 5}, "unexpected", id="call"
        ),
    ],
)
def test_client_drops_message(run_network, payload, options, reason):
    """None of these messages may be taken for the answer of the call."""

    async def run(network):
        peer = raw_server(network)
        client = await network.connect(peer.socket.endpoint)
        stream = client.open_stream()
        client.send(CALL._replace(stream=stream.number))
        await network.wait_until(lambda: "call" in peer.kinds())
        peer.send(payload, **options)
        peer.send(loopback.make_answer(2), session=5, sequence=50)
        await network.wait_until(lambda: client._peer_sequence == 50)
        assert not stream.has_reply
        assert network.drops.counts == {f"{reason} message": 1}

    run_network(run)


def test_burst_that_arrives_during_a_send_is_handled(run_network):
    """The descriptor is edge-triggered and signals the messages only once."""
    count = 300

    async def run(network):
        node, handler = await network.serve()
        peer, number = await raw_client(network, node)
        # The server's own task does not run while the burst arrives.
        for stream in range(1, count + 1):
            peer.send(CALL._replace(stream=stream), session=number)
        poller = zmq.Poller()
        poller.register(node._socket._socket, zmq.POLLIN)
        assert poller.poll(loopback.TIMEOUT_S * 1000)
        [peer_session] = node._sessions.values()
        peer_session.send(messages.Pong())
        await network.wait_until(lambda: len(handler.streams) == count)

    run_network(run)


def test_pool_shares_and_replaces_sessions_and_closes_idle_ones(run_network):
    async def run(network):
        node, handler = await network.serve()
        pool = network.pool(idle_ms=8_000)
        await network.wait_until(lambda: pool._tasks is not None)

        def get():
            return pool.get(node.endpoint, "server", loopback.INCARNATION)

        client = get()
        assert get() is client
        assert await client.wait_open()
        stream, _ = await network.call(client, handler)
        await network.advance(10, lambda: loopback.is_ping_answered(client))
        assert client.state is State.OPEN
        stream.close()
        await network.wait_until(lambda: handler.cancelled)
        await network.advance(5, lambda: loopback.is_ping_answered(client))
        assert get() is client
        await network.advance(6, lambda: loopback.is_ping_answered(client))
        assert client.state is State.OPEN
        await network.advance(10, lambda: loopback.is_ping_answered(client))
        assert client.close_reason == "idle"
        await network.wait_until(lambda: pool.count == 0)
        assert await get().wait_open()

    run_network(run)


def test_closed_sessions_close_their_sockets(run_network):
    """Each session has two zmq sockets, and zmq limits their number."""

    async def run(network):
        node, _ = await network.serve()
        network.context.set(zmq.MAX_SOCKETS, 1_023)
        for _ in range(30):
            client = await network.connect(node.endpoint)
            client.close("test")
            assert client._socket._monitor.closed
            assert client._socket._socket.closed
        await network.wait_until(
            lambda: len(network.tasks._nursery.child_tasks) <= 2
        )

    run_network(run)


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    strategies.floats(1.0, 1e7),
    strategies.floats(1.0, 1e7),
    strategies.floats(-0.0009, 0.0009),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 5_000), strategies.floats(0, 2_000)
        ),
        min_size=1,
        max_size=12,
    ),
)
@hypothesis.example(10.999, 5.0, -0.0009, [(0.0, 0.0)])
def test_peer_clock_is_never_ahead_of_the_other_nodes_clock(
    own_start, peer_start, drift, steps
):
    """A bound that is ahead would let requests run after their deadline."""
    own_clock = trio.testing.MockClock(rate=0)

    def peer_clock(own_ms):
        return int(peer_start + (own_ms - own_start) * (1 + drift))

    async def run():
        own_clock.jump(own_start / 1000)
        with zmq.Context() as context:
            client = session.Session(
                context, loopback.make_codec(), "", "server", 1, None
            )
            for wait_ms, delay_ms in steps:
                own_clock.jump(wait_ms / 1000)
                sent = peer_clock(anyio.current_time() * 1000)
                own_clock.jump(delay_ms / 1000)
                client._update_clock_offset(sent)
                for later_ms in (0, 0.999, 137.5, 0.503):
                    own_clock.jump(later_ms / 1000)
                    actual = peer_clock(anyio.current_time() * 1000)
                    assert client.peer_clock_ms <= actual
                    assert client.peer_clock_ms >= sent - 1
            client.close("test")

    anyio.run(run, backend="trio", backend_options={"clock": own_clock})


def test_server_limits_sessions(run_network, monkeypatch):
    monkeypatch.setattr(server, "MAX_SESSIONS", 1)

    async def run(network):
        node, _, _ = await network.pair()
        late = network.open(node.endpoint)
        await network.wait_until(
            lambda: network.drops.counts["too many sessions"]
        )
        assert late.state is State.CONNECTING

    run_network(run)
