"""HTTP that no caller and no backend server of the platform sends.

None of it may raise an error in the node, or leave a later request without
an answer.
"""

import asyncio

import hypothesis
from hypothesis import strategies

from clementinekeel.callers import http1
from clementinekeel.membership import heartbeats
from clementinekeel.platform import heartbeats as platform_heartbeats
from clementinekeel.sidecar import adapter as adapter_module
from clementinekeel.sidecar import backend_verification
from clementinekeel.sidecar import control
from tests import memory_loop
from tests.platform import test_heartbeats
from tests.sidecar import harness
from tests.sidecar import test_node

NUMBERS = [
    b"0",
    b"-1",
    b"5",
    b"1.5",
    b"1e400",
    b"nan",
    b"inf",
    b"-inf",
    b"9" * 15,
    b"9" * 400,
    b"9" * 5_000,
    b"0x10",
    b"1_0",
    b"\xb2",
    b"",
]
HEADERS = [
    *(
        (name, value)
        for name in (
            b"Rate-Limit",
            b"Retry-After",
            b"Deadline",
            b"Content-Length",
            b"Age",
        )
        for value in NUMBERS
    ),
    *((b"Keep-Alive", b"timeout=" + value) for value in NUMBERS),
    (b"Keep-Alive", b"=,,timeout"),
    (b"Leaving", b"1"),
    (b"Not-Run", b""),
    (b"Id", b"\xff\xfe"),
    (b"Id", b""),
    (b"Id", b"a.b..c."),
    (b"Host", b""),
    (b"Host", b"h:99999"),
    (b"Host", b"\xff:\xff"),
    (b"Target", b"x"),
    (b"Instance", b"\xff"),
    (b"Caller", b"x"),
    (b"Connection", b"close, id, host, \xff"),
    (b"Connection", b"upgrade"),
    (b"Upgrade", b"websocket"),
    (b"Expect", b"100-continue"),
    (b"Transfer-Encoding", b"chunked"),
    (b"Transfer-Encoding", b"gzip"),
    (b"Trailer", b"id"),
]
BODIES = [
    b"",
    b"x",
    b"0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nid: 9\r\n\r\n",
    b"\0" * 9,
]
STATUS_LINES = [
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 204 No",
    b"HTTP/1.1 304 \xff",
    b"HTTP/1.1 503 ",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 0 X",
    b"HTTP/1.0 200",
    b"HTTP/9.9 200 OK",
    b"\x16\x03\x01",
]
REQUEST_LINES = [
    b"GET /a/x HTTP/1.1",
    b"POST /b/x HTTP/1.1",
    b"HEAD /a/x HTTP/1.1",
    b"GET /a/%ff\xff?\xff HTTP/1.1",
    b"GET http://h/a/x HTTP/1.1",
    b"OPTIONS * HTTP/1.1",
    b"CONNECT h:1 HTTP/1.1",
    b"GET /a/x HTTP/1.0",
    b"PUT /endpoints/e-n1 HTTP/1.1",
    b"DELETE /endpoints/ HTTP/1.1",
    b"DELETE /endpoints/\xff HTTP/1.1",
    b"GET /ready HTTP/1.1",
]


def messages(first_lines):
    """Return a strategy for messages; some name a length, some don't."""
    return strategies.tuples(
        strategies.sampled_from(first_lines),
        strategies.lists(strategies.sampled_from(HEADERS), max_size=4),
        strategies.booleans(),
        strategies.sampled_from(BODIES),
    ).map(_encode)


def _encode(parts):
    first_line, headers, has_length, body = parts
    lines = [first_line, *(b"%s: %s" % header for header in headers)]
    if has_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n%s\r\n\r\n" + body


class Caller(asyncio.Protocol):
    """Keeps what the node sends."""

    def __init__(self):
        self.received = b""
        self.is_closed = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.is_closed = True


def add_control_server(member, verifier):
    """Serve heartbeats, decoded as on the platform."""
    adapter = adapter_module.PlatformAdapter(
        harness.DIALECT,
        "conf",
        None,
        platform_heartbeats.decode_heartbeat,
        None,
        None,
    )
    return control.ControlServer(
        adapter,
        lambda beat: verifier.on_heartbeat(beat, "/health"),
        verifier.on_leave,
        lambda: True,
        member.log,
        test_heartbeats.BODY["address"],
        lambda service: True,
    )


def run_node(scenario):
    """Run a scenario with a node; no error may reach the event loop."""
    errors = []

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        member = harness.Member("n1")
        server = harness.BackendServer("n1")
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1"))
        verifier = backend_verification.BackendVerifier(
            member.inbound_proxy, harness.DIALECT, "s", member.log
        )
        listeners = {
            member.settings.outbound: member.outbound_proxy,
            member.settings.heartbeats: add_control_server(member, verifier),
        }
        for address, handler in listeners.items():
            loop.listeners[address] = lambda handler=handler: (
                http1.ServerConnection(
                    handler, lambda connection: None, lambda connection: None
                )
            )
        await harness.settle()
        await scenario(member, server)

    memory_loop.run(main)
    assert errors == []


async def settle(member):
    for _ in range(6):
        await harness.settle(0.25)
        member.tick()
        member.outbound_proxy.tick()


async def check_last(member, server):
    """A request that an ordinary backend server answers is not lost."""
    server.__dict__.pop("on_request", None)
    await settle(member)
    answer = await test_node.call(
        member.settings.outbound,
        b"GET /a/last HTTP/1.1\r\nHost: h\r\nId: last\r\n\r\n",
    )
    # What the backend server has stated about itself is kept to.
    assert answer.status in (200, 503)
    await settle(member)
    assert member.outbound_proxy.is_idle
    assert member.inbound_proxy.is_idle
    assert member.inbound_proxy.queue.running == 0


def answer_with(server, answers):
    def on_request(connection, head, headers, body):
        named = b"Id: " + headers.get(b"id", b"")
        connection.transport.write(answers.pop(0).replace(b"%s", named))
        if not answers:
            answers.append(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n")
            connection.transport.close()

    server.on_request = on_request


ANSWERS = strategies.lists(messages(STATUS_LINES), min_size=1, max_size=4)
REQUESTS = strategies.lists(messages(REQUEST_LINES), min_size=1, max_size=3)


@hypothesis.given(answers=ANSWERS)
def test_odd_answers_of_a_backend_server(answers):
    async def scenario(member, server):
        answer_with(server, answers)
        sent = [harness.send(member)[0] for _ in range(3)]
        sent.append(harness.send(member, b"/b/x", b"POST", b"body")[0])
        await settle(member)
        assert [len(connection.answers) for connection in sent] == [1] * 4
        await check_last(member, server)

    run_node(scenario)


@hypothesis.given(answers=ANSWERS)
def test_odd_answers_to_a_health_check(answers):
    async def scenario(member, server):
        answer_with(server, answers)
        verifier = backend_verification.BackendVerifier(
            member.inbound_proxy, harness.DIALECT, "s", member.log
        )
        health_check = verifier._check_health("/health")
        async with asyncio.timeout(2):
            await health_check
        await check_last(member, server)

    run_node(scenario)


@hypothesis.given(requests=REQUESTS, is_control=strategies.booleans())
def test_odd_requests_of_a_caller(requests, is_control):
    async def scenario(member, server):
        settings = member.settings
        address = settings.heartbeats if is_control else settings.outbound
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(Caller, *address)
        for number, request in enumerate(requests):
            named = b"Id: r%d\r\nHost: h" % number
            if not caller.is_closed:
                caller.transport.write(request.replace(b"%s", named))
        await settle(member)
        await check_last(member, server)

    run_node(scenario)


@hypothesis.given(
    fields=strategies.dictionaries(
        strategies.sampled_from(["seq", "cold_left_s", "state"]),
        strategies.one_of(
            strategies.integers(),
            strategies.floats(),
            strategies.sampled_from([*heartbeats.EndpointState, "x" * 2_000]),
        ),
        max_size=2,
    ),
    concurrency=strategies.one_of(strategies.integers(), strategies.floats()),
    born=strategies.integers(),
)
def test_odd_heartbeats(fields, concurrency, born):
    body = {**test_heartbeats.BODY, "born": born}
    body["status"] = {**body["status"], **fields}
    body["info"] = {**body["info"], "concurrency": concurrency}

    async def scenario(member, server):
        content = repr(body).replace("'", '"').encode()
        for _ in range(2):
            answer = await test_node.call(
                member.settings.heartbeats,
                b"PUT /endpoints/e-n1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s"
                % (len(content), content),
            )
            assert answer.status in (200, 400)
        await settle(member)
        assert member.inbound_proxy.status.slots >= 0

    run_node(scenario)
