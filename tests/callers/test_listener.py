"""The application of callers behind the HTTP server, on loopback."""

import contextlib

import anyio
import httpx
import pytest

from clementinekeel.callers import app as caller_app
from clementinekeel.nodes import streams
from clementinekeel.runtime import http_server
from tests.callers import test_app as fakes

pytestmark = pytest.mark.anyio
MAX_HEADER_BYTES = 4_096
TIMEOUT_S = 20


@pytest.fixture
def anyio_backend():
    """The HTTP server runs on asyncio only."""
    return "asyncio"


@contextlib.asynccontextmanager
async def serve(handler):
    limits = caller_app.Limits(fakes.MAX_BODY, 10)
    app = caller_app.CallerApp(handler, limits, is_from_backend=False)
    listener = http_server.bind("127.0.0.1:0")
    address = http_server.address_of(listener)
    shutdown = anyio.Event()
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                http_server.serve, app, listener, shutdown, MAX_HEADER_BYTES
            )
            url = f"http://{address}"
            async with httpx.AsyncClient(base_url=url, timeout=5) as client:
                yield client
            shutdown.set()
    assert listener.fileno() == -1
    assert app.in_flight == 0


async def cut_answer():
    yield b"cd"
    raise streams.BodyError("receive body", "node", "cut")


async def whole_answer():
    yield b"cd"


@pytest.mark.parametrize("length", [-1, 100])
@pytest.mark.parametrize("body", [b"", bytes(150_000)], ids=["short", "long"])
async def test_cut_answer_is_an_error_for_the_client(length, body):
    """A cut answer must not look complete, with or without Content-Length."""
    answer = fakes.make_answer(b"ab", length, cut_answer())
    async with serve(fakes.FakeRequestHandler(answer)) as client:
        with pytest.raises(httpx.RemoteProtocolError):
            await client.post("/services/s/x", content=body)


async def test_whole_answers_share_a_connection():
    handler = fakes.FakeRequestHandler()
    async with serve(handler) as client:
        for _ in range(3):
            handler.answer = fakes.make_answer(b"ab", -1, whole_answer())
            answer = await client.post("/services/s/x", content=b"q")
            assert answer.content == b"abcd"
        connections = client._transport._pool.connections
        assert len(connections) == 1


async def test_head_over_the_limit_is_refused_with_431():
    async with serve(fakes.FakeRequestHandler()) as client:
        headers = {"x-a": "a" * (2 * MAX_HEADER_BYTES)}
        answer = await client.get("/services/s/x", headers=headers)
        assert answer.status_code == 431


@pytest.mark.parametrize(
    "size", [fakes.MAX_BODY + 1, 4 * 1024 * 1024, 32 * 1024 * 1024]
)
@pytest.mark.parametrize("is_chunked", [True, False])
async def test_long_upload_is_refused_and_its_connection_ends(
    size, is_chunked
):
    """The HTTP server must not wait for an application that has answered."""

    async def parts():
        for _ in range(size // 65_536):
            yield bytes(65_536)
        yield bytes(size % 65_536)

    async with serve(fakes.FakeRequestHandler()) as client:
        content = parts() if is_chunked else bytes(size)
        try:
            answer = await client.post("/services/s/x", content=content)
            assert answer.status_code == 413
        except httpx.TransportError:
            # The node discards only a part of a longer body. The connection
            # may then be reset before the client has read the refusal.
            assert size > caller_app.MAX_DISCARDED_BYTES


async def test_expect_100_continue_is_answered():
    handler = fakes.FakeRequestHandler()
    async with serve(handler) as client:
        host, _, port = client.base_url.netloc.decode().partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(
                b"POST /services/s/x HTTP/1.1\r\nhost: n\r\n"
                b"content-length: 4\r\nexpect: 100-continue\r\n\r\n"
            )
            assert b" 100 " in await stream.receive()
            await stream.send(b"body")
            assert b" 200 " in await stream.receive()
    assert handler.body == b"body"
