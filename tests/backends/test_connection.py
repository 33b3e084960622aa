"""Requests to the backend server get a complete answer or an error."""

import contextlib
import itertools
import socket

import anyio
import h11
import pytest

from clementinekeel.backends import errors
from clementinekeel.backends import pool

pytestmark = pytest.mark.anyio

HEADERS = (("host", "b"), ("content-length", "3"))
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n3\r\n yo\r\n0\r\n\r\n"
)


class FakeServer:
    """HTTP server that answers each request with scripted bytes.

    An answer is a list of steps: bytes are sent, ``"reset"`` and ``"close"``
    end the connection, and a number is a pause in seconds.
    """

    def __init__(self, *answers):
        self.requests = []
        self.connections = 0
        self._answers = itertools.cycle(answers or ([ANSWER],))

    async def run(self, listener):
        await listener.serve(self._handle)

    async def _handle(self, stream):
        self.connections += 1
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async with stream:
                while await self._read_request(http, stream):
                    for step in next(self._answers):
                        if not await self._run_step(step, stream):
                            return
                    # The answers bypass h11, which is therefore replaced.
                    http = h11.Connection(h11.SERVER)

    async def _read_request(self, http, stream):
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    return False
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                self.requests.append((head.method, head.target, body))
                return True

    async def _run_step(self, step, stream):
        if isinstance(step, bytes):
            await stream.send(step)
        elif step == "reset":
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            linger = b"\1\0\0\0\0\0\0\0"
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await anyio.aclose_forcefully(stream)
            return False
        elif step == "close":
            return False
        else:
            await anyio.sleep(step)
        return True


@contextlib.asynccontextmanager
async def serve(*answers, limit=4):
    server = FakeServer(*answers)
    async with anyio.create_task_group() as tasks:
        multi = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=0
        )
        [listener] = multi.listeners
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(server.run, multi)
        connections = pool.ConnectionPool("127.0.0.1", port, limit)
        yield server, connections
        await connections.close()
        tasks.cancel_scope.cancel()


async def request(connections, method="POST", headers=HEADERS, body=b"abc"):
    """Send a request; return status and body of the answer."""
    connection = await connections.acquire()
    is_whole = False
    try:
        await connection.send_head(method, "/x?y", headers, body)
        await connection.send_end()
        head = await connection.receive_head()
        parts = [part async for part in connection.receive_body()]
        is_whole = True
    finally:
        if is_whole:
            await connections.release(connection)
        else:
            await connections.discard(connection)
    return head.status, b"".join(parts)


async def test_connection_is_reused():
    async with serve([ANSWER], [CHUNKED]) as (server, connections):
        assert await request(connections) == (200, b"hi")
        assert await request(connections) == (200, b"hi yo")
        assert server.requests == [(b"POST", b"/x?y", b"abc")] * 2
        assert (server.connections, connections.open_count) == (1, 1)


@pytest.mark.parametrize(
    ("method", "answer", "expected"),
    [
        pytest.param(
            "POST",
            [
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
                ANSWER,
            ],
            (200, b"hi"),
            id="informational answers",
        ),
        pytest.param(
            "HEAD",
            [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"],
            (200, b""),
            id="HEAD",
        ),
        pytest.param(
            "HEAD", [b"HTTP/1.1 200 OK\r\n\r\n"], (200, b""), id="HEAD 2"
        ),
        pytest.param(
            "POST",
            [b"HTTP/1.1 204 No Content\r\n\r\n"],
            (204, b""),
            id="204",
        ),
        pytest.param(
            "POST",
            [b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"],
            (304, b""),
            id="304",
        ),
        pytest.param(
            "POST", [ANSWER[:9], 0.1, ANSWER[9:]], (200, b"hi"), id="slow head"
        ),
    ],
)
async def test_complete_answer_keeps_the_connection(method, answer, expected):
    async with serve(answer) as (server, connections):
        for _ in range(2):
            assert await request(connections, method) == expected
        assert (server.connections, len(server.requests)) == (1, 2)


@pytest.mark.parametrize(
    ("answer", "step"),
    [
        pytest.param(["close"], "receive head", id="no answer"),
        pytest.param(["reset"], "receive head", id="reset before the head"),
        pytest.param([ANSWER[:-6], "close"], "receive head", id="cut head"),
        pytest.param([ANSWER[:-2], 0.1, "reset"], "receive body", id="reset"),
        pytest.param([ANSWER[:-1], "close"], "receive body", id="cut body"),
        pytest.param([CHUNKED[:-5], "close"], "receive body", id="cut chunks"),
        pytest.param([b"nonsense\r\n\r\n"], "receive head", id="malformed"),
        pytest.param(
            [ANSWER.replace(b": 2", b": 2\r\nContent-Length: 3")],
            "receive head",
            id="two lengths",
        ),
        pytest.param(
            [b"HTTP/1.1 200 OK\r\nx: " + b"y" * 300_000, "close"],
            "receive head",
            id="endless head",
        ),
        pytest.param(
            [CHUNKED.replace(b"\n2\r", b"\nz\r")], "receive body", id="chunk"
        ),
        pytest.param(
            [b"HTTP/1.1 200 OK\r\n\r\nhi", "close"],
            "receive head",
            id="body until the connection closes",
        ),
    ],
)
async def test_incomplete_answer_is_an_error(answer, step):
    """No cut answer may look complete, and no request may be retried."""
    async with serve(answer) as (server, connections):
        with pytest.raises(errors.BackendError) as caught:
            await request(connections)
        assert (caught.value.step, caught.value.was_sent) == (step, True)
        assert len(server.requests) == 1
        assert connections.open_count == 0


async def test_refused_connect_was_not_sent():
    """Only a request that was not sent may be reported as not run."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    connections = pool.ConnectionPool("127.0.0.1", port, 4)
    with pytest.raises(errors.BackendError) as caught:
        await connections.acquire()
    assert (caught.value.step, caught.value.was_sent) == ("connect", False)
    assert connections.open_count == 0


@pytest.mark.parametrize(
    "head",
    [
        pytest.param(("POST", "/x", (("x", "a\r\nb: c"),)), id="header value"),
        pytest.param(("POST", "/x", (("x\r\nb", "c"),)), id="header name"),
        pytest.param(("POST", "/x y\r\nb: c", ()), id="target"),
        pytest.param(("PO ST", "/x", ()), id="method"),
        pytest.param(("POST", "/x", (("x", "\u20ac"),)), id="not Latin-1"),
    ],
)
async def test_illegal_head_is_not_sent(head):
    """A value with a line break must not become a second header."""
    method, target, headers = head
    async with serve() as (server, connections):
        connection = await connections.acquire()
        with pytest.raises(errors.BackendError) as caught:
            headers = (("host", "b"), *headers)
            await connection.send_head(method, target, headers, b"")
        assert not caught.value.was_sent
        assert "b: c" not in caught.value.reason
        await connections.discard(connection)
        assert server.requests == []


@pytest.mark.parametrize(
    ("answer", "idle_s"),
    [
        pytest.param([ANSWER, "close"], 1, id="closed while idle"),
        pytest.param([ANSWER + ANSWER], 1, id="second answer at once"),
        pytest.param([ANSWER, 0.5, ANSWER], 1, id="second answer while idle"),
        pytest.param(
            [ANSWER[:17] + b"Connection: close\r\n" + ANSWER[17:]],
            1,
            id="answer with close",
        ),
        pytest.param([ANSWER], 4.5, id="idle for too long"),
    ],
)
async def test_stale_connection_is_never_used(answer, idle_s):
    """A request on it would be lost, or get the answer to another request."""
    last = [ANSWER.replace(b"hi", b"ok")]
    async with serve(answer, last) as (server, connections):
        assert await request(connections) == (200, b"hi")
        await anyio.sleep(idle_s)
        assert await request(connections) == (200, b"ok")
        assert len(server.requests) == server.connections == 2
        assert connections.open_count == 1


async def test_limit_on_connections():
    """Over the limit no connection is opened.

    The error must not say that the backend server is unreachable.
    """
    async with serve(limit=2) as (_, connections):
        first = await connections.acquire()
        second = await connections.acquire()
        with pytest.raises(errors.BackendError) as caught:
            await connections.acquire()
        assert (caught.value.step, caught.value.was_sent) == ("acquire", False)
        await connections.discard(first)
        third = await connections.acquire()
        assert connections.open_count == 2
        connections.limit = 1
        for connection in (second, third):
            await connection.send_head("GET", "/", (("host", "b"),), b"")
            await connection.send_end()
            await connection.receive_head()
            assert [part async for part in connection.receive_body()] == [
                b"hi"
            ]
            await connections.release(connection)
        assert connections.open_count == 1


async def test_surplus_connections_are_closed_when_idle():
    """After a load peak, surplus sockets would stay open at both ends."""
    async with serve() as (_, connections):
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(request, connections)
        assert connections.open_count > 1
        for _ in range(6):
            await anyio.sleep(1)
            await request(connections)
        assert connections.open_count == 1


async def test_closed_pool_keeps_no_connection():
    """The pool of a replaced backend server must not hold sockets."""
    async with serve() as (_, connections):
        await request(connections)
        connection = await connections.acquire()
        await connections.close()
        await connection.send_head("GET", "/", (("host", "b"),), b"")
        await connection.send_end()
        await connection.receive_head()
        assert [part async for part in connection.receive_body()] == [b"hi"]
        await connections.release(connection)
        assert connections.open_count == 0


async def test_cancelled_connect_is_not_counted():
    async with serve(limit=1) as (_, connections):
        with anyio.CancelScope() as scope:
            scope.cancel()
            await connections.acquire()
        assert connections.open_count == 0
