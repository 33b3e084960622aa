"""Server connections of callers, with complete and invalid requests."""

import asyncio
import weakref

import pytest

from clementinekeel.callers import http1
from clementinekeel.routing import table
from tests import memory_loop
from tests import memory_tracing
from tests.sidecar import harness

LIMITS = table.CallerLimits(
    header_bytes=200,
    body_bytes=100,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)
GET = b"GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n"


class FakeServer:
    """Answers each request with its target, at once or after a delay."""

    limits = LIMITS
    is_stopping = False

    def __init__(self, delay_s=0.0):
        self.requests = []
        self.cancelled = 0
        self.delay_s = delay_s

    def has_memory_for(self, size):
        return size < 90

    def cancel(self):
        self.cancelled += 1

    def handle(self, connection, request):
        self.requests.append(request)

        def answer():
            connection.respond(b"HTTP/1.1 200 OK\r\n", request.target)

        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, answer)
            return self
        answer()
        return None


class FakeCaller(asyncio.Protocol):
    """Collects the bytes that the node sends."""

    def __init__(self):
        self.received = b""
        self.is_closed = False

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.is_closed = True
        return False

    def connection_lost(self, _error):
        self.is_closed = True


def run_caller(function, server=None):
    fake = server or FakeServer()

    async def main():
        loop = asyncio.get_running_loop()
        connections = set()
        await loop.create_server(
            lambda: http1.ServerConnection(
                fake, connections.add, connections.discard
            ),
            "n",
            1,
        )
        transport, caller = await loop.create_connection(FakeCaller, "n", 1)
        await function(transport, caller, fake, connections)

    memory_loop.run(main)


def test_requests_in_parts_and_pipelined_are_answered_in_order():
    async def scenario(transport, caller, server, _):
        transport.write(GET[:10])
        transport.write(GET[10:] + GET.replace(b"/a/x", b"/a/y"))
        await harness.settle(1)
        assert [r.target for r in server.requests] == [b"/a/x", b"/a/y"]
        assert caller.received.index(b"/a/x") < caller.received.index(b"/a/y")

    run_caller(scenario, FakeServer(delay_s=0.1))


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (b"Content-Length: 3\r\n\r\nabc", b"abc"),
        (b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", b"abc"),
    ],
    ids=["length", "chunks"],
)
def test_bodies_are_read_completely(data, body):
    async def scenario(transport, caller, server, _):
        transport.write(b"POST /a HTTP/1.1\r\nHost: h\r\n" + data)
        await harness.settle()
        assert [r.body for r in server.requests] == [body]

    run_caller(scenario)


SMUGGLED = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"\x16\x03\x01 \r\n\r\n", 400, id="no HTTP"),
        pytest.param(
            b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
            400,
            id="length and chunks",
        ),
        pytest.param(
            b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n"
            b"Content-Length: 30\r\n\r\n" + SMUGGLED,
            400,
            id="two lengths",
        ),
        pytest.param(
            b"GET /a HTTP/1.1\r\nX: " + b"y" * 300 + b"\r\n\r\n",
            431,
            id="long header",
        ),
        pytest.param(
            b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"z" * 101,
            413,
            id="long body",
        ),
        pytest.param(
            b"POST /a HTTP/1.1\r\nContent-Length: 95\r\n\r\n" + b"z" * 95,
            503,
            id="no memory",
        ),
    ],
)
def test_invalid_requests_are_rejected_and_never_handled(data, status):
    """A smuggled request would run although no caller sent it."""

    async def scenario(transport, caller, server, _):
        transport.write(data)
        await harness.settle()
        assert caller.received.startswith(b"HTTP/1.1 %d " % status)
        assert caller.received.count(b"HTTP/1.1") == 1
        assert caller.is_closed
        assert server.requests == []

    run_caller(scenario)


@pytest.mark.parametrize("how", ["close", "abort"])
def test_closed_connection_cancels_its_request(how):
    async def scenario(transport, caller, server, connections):
        transport.write(GET)
        await harness.settle(0.1)
        getattr(transport, how)()
        await harness.settle(0.1)
        assert server.cancelled == 1
        assert connections == set()

    run_caller(scenario, FakeServer(delay_s=1.0))


def test_slow_and_idle_callers_are_closed():
    async def scenario(transport, caller, server, connections):
        loop = asyncio.get_running_loop()
        transport.write(GET[:10])
        for _ in range(40):
            for connection in list(connections):
                connection.check_timeouts(loop.time())
            await harness.settle(0.1)
        assert caller.received.startswith(b"HTTP/1.1 408 ")

    run_caller(scenario)


def test_connection_idle_within_the_limit_is_kept():
    """Callers reuse connections that were idle for 0.8 of the limit."""

    async def scenario(transport, caller, server, connections):
        loop = asyncio.get_running_loop()
        for _ in range(2):
            transport.write(GET)
            await harness.settle(12)
            for connection in list(connections):
                connection.check_timeouts(loop.time())
        assert len(server.requests) == 2
        await harness.settle(16)
        for connection in list(connections):
            connection.check_timeouts(loop.time())
        await harness.settle()
        assert caller.is_closed

    run_caller(scenario)


def test_stopping_node_closes_connections_after_the_answer():
    async def scenario(transport, caller, server, _):
        server.is_stopping = True
        transport.write(GET)
        await harness.settle()
        assert b"Connection: close" in caller.received
        assert caller.is_closed

    run_caller(scenario)


def test_stopping_node_answers_pipelined_requests():
    """Those behind the one in progress had been read, and their connection
    was closed without an answer to them.
    """

    async def scenario(transport, caller, server, _):
        server.is_stopping = True
        transport.write(GET * 2 + GET.replace(b"/a/x", b"/a/y"))
        await harness.settle(1)
        assert len(server.requests) == 3
        assert caller.received.count(b"HTTP/1.1 200") == 3
        assert caller.received.count(b"Connection: close") == 1
        assert caller.received.endswith(b"/a/y")
        assert caller.is_closed

    run_caller(scenario, FakeServer(delay_s=0.1))


class UnreadTransport(asyncio.Transport):
    """A transport to a caller that reads nothing, so that it stays open."""

    def write(self, data):
        pass

    def is_closing(self):
        return False

    def close(self):
        pass


def begin_upload(size, body_bytes):
    """Return a connection that has read a part of a body."""
    server = FakeServer()
    server.limits = LIMITS._replace(body_bytes=body_bytes)
    server.has_memory_for = lambda size: True
    connection = http1.ServerConnection(server, lambda c: None, lambda c: None)
    connection.connection_made(UnreadTransport())
    head = b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n"
    connection.data_received(head)
    for _ in range(size // 50_000):
        connection.data_received(b"x" * 50_000)
    return connection


def test_connection_that_ended_is_freed_at_once():
    """Uploads that break off stayed in memory until the garbage collector
    ran, uncounted, since the parser holds its connection.
    """

    async def main():
        connection = begin_upload(1_000_000, 8_000_000)
        connection.connection_lost(None)
        ended = weakref.ref(connection)
        del connection
        assert ended() is None

    with memory_tracing.no_collection():
        memory_loop.run(main)


def test_body_of_a_rejected_request_is_freed_at_once():
    """Its caller may leave the refusal unread for seconds."""

    async def main():
        connection = begin_upload(1_000_000, 900_000)
        assert memory_tracing.held_bytes(http1) < 100_000
        connection.connection_lost(None)

    with memory_tracing.no_collection():
        memory_loop.run(main)


BOOKING = b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(
            b"GET /b HTTP/1.1\r\nX: " + b"y" * 300 + b"\r\n\r\n",
            431,
            id="long header",
        ),
        pytest.param(
            b"POST /b HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"z" * 101,
            413,
            id="long body",
        ),
        pytest.param(
            b"POST /b HTTP/1.1\r\nContent-Length: 95\r\n\r\n" + b"z" * 95,
            503,
            id="no memory",
        ),
        pytest.param(BOOKING * 9, 400, id="too many requests"),
    ],
)
def test_rejection_does_not_answer_the_requests_before_it(data, status):
    """A request that ran got the status of the one behind it: 503 and 431
    tell its caller that it has not run.
    """

    async def scenario(transport, caller, server, _):
        transport.write(BOOKING)
        await harness.settle(0.01)
        transport.write(data)
        await harness.settle(0.01)
        assert caller.received == b""
        await harness.settle(5)
        statuses = [
            int(answer[:3])
            for answer in caller.received.split(b"HTTP/1.1 ")[1:]
        ]
        assert statuses == [200] * len(server.requests) + [status]
        assert caller.is_closed

    run_caller(scenario, FakeServer(delay_s=0.1))


@pytest.mark.parametrize("is_returned", [False, True])
def test_request_behind_one_that_is_refused_at_once_is_cancelled(is_returned):
    """The refused request took its place, so that it went on at its endpoint
    after the caller had closed the connection.
    """
    server = FakeServer(delay_s=1.0)
    handle, refused = server.handle, FakeServer()

    def refuse_second(connection, request):
        if request.target != b"/refused":
            return handle(connection, request)
        connection.respond(b"HTTP/1.1 503 X\r\n", b"")
        return refused if is_returned else None

    server.handle = refuse_second

    async def scenario(transport, caller, server, _):
        transport.write(GET + GET.replace(b"/a/x", b"/refused") + GET)
        await harness.settle(1.1)
        assert len(server.requests) == 2
        transport.close()
        await harness.settle(0.1)
        assert (server.cancelled, refused.cancelled) == (1, 0)

    run_caller(scenario, server)


def test_fault_of_the_node_is_not_called_a_fault_of_the_caller():
    """A proper request got 400, after which its caller doesn't try again."""
    server = FakeServer()

    def fail(_size):
        raise ValueError

    server.has_memory_for = fail

    async def scenario(transport, caller, server, _):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        transport.write(b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
        await harness.settle()
        assert caller.received.startswith(b"HTTP/1.1 500 ")
        assert caller.is_closed
        assert server.requests == []

    run_caller(scenario, server)
