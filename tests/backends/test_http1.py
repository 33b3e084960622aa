"""Valid and faulty answers; none may reach the caller of another request."""

import asyncio
import tracemalloc
import weakref

import pytest

from clementinekeel.backends import _answer_memory
from clementinekeel.backends import http1
from tests import memory_loop
from tests import memory_tracing
from tests.sidecar import harness

OK = b"HTTP/1.1 200 OK\r\nid: r1\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nid: r0\r\nContent-Length: 3\r\n\r\nold"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = OK + b"Content-Length: 4\r\n\r\nfine"


class FakeServer(asyncio.Protocol):
    """Sends prepared bytes for each request."""

    def __init__(self, script):
        self.script = script
        self.received = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received.append(data)
        for step in self.script:
            if step == "close":
                self.transport.close()
            elif step == "reset":
                self.transport.abort()
            else:
                self.transport.write(step)

    def eof_received(self):
        return False


def send_request(script, is_head=False):
    """Send a request; return its outcomes and whether reuse is possible."""

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: FakeServer(script), "b", 1)
        _, connection = await loop.create_connection(
            lambda: http1.HttpConnection(b"id"), "b", 1
        )
        outcomes = []
        connection.send(b"GET /\r\n\r\n", b"", b"r1", is_head, outcomes.append)
        await harness.settle(1)
        return outcomes, connection.is_reusable

    return memory_loop.run(main)


@pytest.mark.parametrize(
    ("script", "body", "is_reusable"),
    [
        pytest.param([WHOLE], b"fine", True, id="whole"),
        pytest.param([WHOLE[:20], WHOLE[20:]], b"fine", True, id="in parts"),
        pytest.param([OTHER + WHOLE], b"fine", True, id="older answer first"),
        pytest.param([OTHER, WHOLE], b"fine", True, id="older one apart"),
        pytest.param([WHOLE + OTHER], b"fine", False, id="second answer"),
        pytest.param([WHOLE + b"junk"], b"fine", False, id="bytes behind"),
        pytest.param([WHOLE, b"junk"], b"fine", False, id="bytes later"),
        pytest.param(
            [b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE],
            b"fine",
            True,
            id="interim answer",
        ),
        pytest.param(
            [OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n"],
            b"",
            False,
            id="leaving",
        ),
        pytest.param(
            [OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"],
            b"fine",
            True,
            id="chunked",
        ),
        pytest.param(
            [OK + b"\r\nfi", b"ne", "close"], b"fine", False, id="no length"
        ),
    ],
)
def test_complete_answers(script, body, is_reusable):
    (outcome,), reusable = send_request(script)
    assert isinstance(outcome, http1.Answer)
    assert (outcome.status, outcome.body) == (200, body)
    assert reusable is is_reusable


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(["close"], id="closed"),
        pytest.param(["reset"], id="reset"),
        pytest.param([WHOLE[:-1], "close"], id="cut body"),
        pytest.param([WHOLE[:15], "close"], id="cut head"),
        pytest.param([b"junk\r\n\r\n"], id="no HTTP"),
        pytest.param([OK + b"\r\nfi", "reset"], id="no length and reset"),
        pytest.param(
            [OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfi", "close"],
            id="cut chunk",
        ),
        pytest.param([OTHER, "close"], id="only an older answer"),
    ],
)
def test_incomplete_answers_are_failures(script):
    """An answer that ends early must not look complete."""
    (outcome,), reusable = send_request(script)
    assert isinstance(outcome, http1.Failure)
    assert not reusable


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(
    "head",
    [
        OK + b"Content-Length: 4\r\n\r\n",
        OK + b"Content-Length: 0\r\n\r\n",
        OK + b"\r\n",
        CHUNKED,
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"\r\n",
    ],
    ids=["length", "empty", "until_close", "chunked", "interim"],
)
def test_answer_that_ends_within_its_head_is_a_failure(head, end):
    """Callers would get an empty answer that looks whole."""
    for size in range(len(head)):
        (outcome,), is_reusable = send_request([head[:size], end])
        assert isinstance(outcome, http1.Failure), head[:size]
        assert not is_reusable


def test_answer_to_head_has_no_body():
    (outcome,), reusable = send_request(
        [OK + b"Content-Length: 4\r\n\r\n"], is_head=True
    )
    assert (outcome.status, outcome.body) == (200, b"")
    assert not reusable


def test_silent_connection_stays_open():
    assert send_request([]) == ([], False)


def test_headers_of_the_connection_are_dropped():
    extra = b"Connection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\n"
    (outcome,), _ = send_request(
        [OK + extra + b"Seal: s\r\nContent-Length: 0\r\n\r\n"]
    )
    assert outcome.headers == [(b"id", b"r1"), (b"seal", b"s")]


def test_trailer_fields_are_not_taken_for_headers():
    trailer = b"0\r\nseal: other\r\n\r\n"
    script = [
        OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n" + trailer
    ]
    (answer,), _ = send_request(script)
    assert answer.body == b"fine"
    assert b"seal" not in dict(answer.headers)


def test_small_chunks_take_no_more_memory_than_their_bytes():
    """The bounds on answers count received bytes."""
    chunks = b"2\r\nxy\r\n" * 200_000
    tracemalloc.start()
    send_request([CHUNKED + chunks])
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < 4 * len(chunks)


@pytest.mark.parametrize("digits", [16, 400, 5_000])
def test_keep_alive_time_without_bounds_is_ignored(digits):
    """The answer was read, and the node failed to use the connection."""
    script = [
        OK
        + b"Keep-Alive: timeout=%s\r\n" % (b"9" * digits)
        + b"Content-Length: 4\r\n\r\nfine"
    ]
    (outcome,), is_reusable = send_request(script)
    assert (outcome.body, is_reusable) == (b"fine", True)


def test_idle_connection_is_left_before_the_server_closes_it():
    """A request sent while the server closes may or may not have run."""

    async def main():
        script = [OK + b"Keep-Alive: timeout=6\r\nContent-Length: 0\r\n\r\n"]
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: FakeServer(script), "b", 1)
        _, connection = await loop.create_connection(
            lambda: http1.HttpConnection(b"id"), "b", 1
        )
        connection.send(b"GET /\r\n\r\n", b"", b"r1", False, print)
        await harness.settle(2.5)
        assert connection.is_reusable
        await harness.settle(1)
        assert not connection.is_reusable

    memory_loop.run(main)


class EndlessServer(asyncio.Protocol):
    """Sends the start of an answer and then a part of it until closed."""

    sent_bytes = 0

    def __init__(self, start, part):
        self._start = start
        self._part = part
        self._writing = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, _data):
        self._writing = asyncio.get_running_loop().create_task(self._write())

    async def _write(self):
        self.transport.write(self._start)
        while not self.transport.is_closing():
            self.transport.write(self._part)
            EndlessServer.sent_bytes += len(self._part)
            await asyncio.sleep(0.001)

    def eof_received(self):
        return False

    def connection_lost(self, _error):
        self._writing.cancel()


HEAD_PART = b"x" * 4_000
BODY_PART = b"x" * 400_000


def read_endless_answer(start, part, settle_s=0.5):
    """Return the outcomes and the bytes that were sent until the close."""

    async def main():
        EndlessServer.sent_bytes = 0
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: EndlessServer(start, part), "b", 1)
        _, connection = await loop.create_connection(
            lambda: http1.HttpConnection(b"id"), "b", 1
        )
        outcomes = []
        connection.send(b"GET /\r\n\r\n", b"", b"r1", False, outcomes.append)
        await harness.settle(settle_s)
        connection.cancel()
        return outcomes, EndlessServer.sent_bytes

    return memory_loop.run(main)


@pytest.mark.parametrize(
    ("start", "part", "max_bytes"),
    [
        pytest.param(b"HTTP/1.1 200 ", HEAD_PART, 128_000, id="reason"),
        pytest.param(b"HTTP/1.1 200 OK\r\n", HEAD_PART, 128_000, id="name"),
        pytest.param(OK + b"a: ", HEAD_PART, 128_000, id="value"),
        pytest.param(OK, b"a: b\r\n" * 700, 128_000, id="headers"),
        pytest.param(
            b"",
            b"HTTP/1.1 100 Continue\r\n\r\n" * 16_000,
            http1.MAX_ANSWER_BYTES + 1_000_000,
            id="interim answers",
        ),
        pytest.param(
            b"", OTHER * 10_000, http1.MAX_ANSWER_BYTES + 1_000_000, id="older"
        ),
        pytest.param(
            OK + b"\r\n",
            BODY_PART,
            http1.MAX_ANSWER_BYTES + 1_000_000,
            id="body without length",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nid: r0\r\n\r\n",
            BODY_PART,
            http1.MAX_ANSWER_BYTES + 1_000_000,
            id="body of another request",
        ),
        pytest.param(
            CHUNKED,
            b"1\r\nx\r\n" * 60_000,
            http1.MAX_ANSWER_BYTES + 1_000_000,
            id="chunks",
        ),
        pytest.param(
            CHUNKED + b"1;",
            BODY_PART,
            http1.MAX_ANSWER_BYTES + 1_000_000,
            id="chunk extension",
        ),
        pytest.param(
            CHUNKED + b"0\r\na: ",
            BODY_PART,
            http1.MAX_ANSWER_BYTES + 1_000_000,
            id="trailer",
        ),
    ],
)
def test_answer_without_end_fails_within_a_bound(start, part, max_bytes):
    """A faulty backend server sends bytes until the connection is closed;
    they once stayed in memory until the request's deadline.
    """
    outcomes, sent_bytes = read_endless_answer(start, part)
    assert [type(outcome) for outcome in outcomes] == [http1.Failure]
    assert sent_bytes <= max_bytes


@pytest.mark.parametrize(
    ("start", "part"),
    [
        pytest.param(CHUNKED, b"1\r\nx\r\n" * 5_000, id="chunks"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000, id="interim answers"
        ),
        pytest.param(CHUNKED + b"1;", HEAD_PART, id="chunk extension"),
        pytest.param(CHUNKED + b"0\r\na: ", HEAD_PART, id="trailer"),
    ],
)
def test_framing_without_end_fails_before_the_body_limit(start, part):
    """16 MiB in chunks of one byte took seconds of processor time, and
    ordinary requests on the node were answered too late or not at all.
    """
    outcomes, sent_bytes = read_endless_answer(start, part)
    assert [type(outcome) for outcome in outcomes] == [http1.Failure]
    assert sent_bytes <= http1.MAX_FRAMING_BYTES + 100_000


@pytest.mark.parametrize(("size", "count"), [(1, 36_000), (64, 60_000)])
def test_whole_answer_in_small_chunks_is_delivered(size, count):
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    script = [CHUNKED, *[chunk * (count // 20)] * 20, b"0\r\n\r\n"]
    outcomes, _ = send_request(script)
    assert [len(outcome.body) for outcome in outcomes] == [size * count]


@pytest.mark.parametrize("how", ["too long", "cancelled", "reset"])
def test_answer_that_failed_is_freed_at_once(how):
    """A failed answer stayed with its connection until the garbage collector
    ran; endless answers took a node over its memory limit meanwhile.
    """

    class Server(EndlessServer):
        async def _write(self):
            self.transport.write(self._start)
            for _ in range(10):
                self.transport.write(self._part)
                await asyncio.sleep(0.001)
            if how == "reset":
                self.transport.abort()

    async def main():
        loop = asyncio.get_running_loop()
        await loop.create_server(
            lambda: Server(OK + b"\r\n", b"x" * 9_000), "b", 1
        )
        memory = _answer_memory.AnswerMemory(80_000)
        for _ in range(20):
            _, connection = await loop.create_connection(
                lambda: http1.HttpConnection(
                    b"id", memory if how == "too long" else None
                ),
                "b",
                1,
            )
            connection.send(b"GET /\r\n\r\n", b"", b"r1", False, ignore)
            await harness.settle(0.1)
            if how == "cancelled":
                connection.cancel()
        assert memory_tracing.held_bytes(http1) < 90_000

    def ignore(_outcome):
        pass

    with memory_tracing.no_collection():
        memory_loop.run(main)


def test_connection_that_ended_is_freed_at_once():
    """The parser holds its connection, so that both waited for the garbage
    collector, with all that the connection holds.
    """

    async def main():
        connection = http1.HttpConnection(b"id")
        connection.connection_made(asyncio.Transport())
        connection.connection_lost(None)
        ended = weakref.ref(connection)
        del connection
        assert ended() is None

    with memory_tracing.no_collection():
        memory_loop.run(main)
