"""Answers to callers; no cut answer may look complete."""

import anyio
import msgspec
import pytest

from clementinekeel.backends import app as backend_app
from clementinekeel.callers import app as caller_app
from clementinekeel.callers import messages
from clementinekeel.callers import problems
from clementinekeel.nodes import streams
from clementinekeel.outcomes import messages as outcomes

pytestmark = pytest.mark.anyio

MAX_BODY = 200_000
DISCONNECT = {"type": "http.disconnect"}


def part(body=b"", more=False):
    return {"type": "http.request", "body": body, "more_body": more}


class FakeServer:
    """Fake ASGI server with one request of a caller.

    A number among the parts of the body is a pause in seconds.
    """

    def __init__(self, parts=None, **scope):
        self.scope = {
            "type": "http",
            "http_version": "1.1",
            "method": "POST",
            "path": "/services/s/x",
            "query_string": b"",
            "headers": [],
            **scope,
        }
        self.sent = []
        self.received = 0
        self._parts = [part()] if parts is None else list(parts)

    async def receive(self):
        await anyio.lowlevel.checkpoint()
        if not self._parts:
            await anyio.sleep_forever()
        self.received += 1
        message = self._parts.pop(0)
        if isinstance(message, float):
            await anyio.sleep(message)
            return await self.receive()
        return message

    async def send(self, message):
        await anyio.lowlevel.checkpoint()
        self.sent.append(message)

    @property
    def status(self):
        return self.sent[0]["status"] if self.sent else None

    @property
    def headers(self):
        return [
            (name.decode(), value.decode())
            for name, value in self.sent[0]["headers"]
        ]

    @property
    def body(self):
        return b"".join(message["body"] for message in self.sent[1:])

    @property
    def is_ended(self):
        return bool(self.sent) and not self.sent[-1].get("more_body", True)

    @property
    def problem(self):
        assert self.is_ended
        details = msgspec.json.decode(self.body)
        assert (
            details["outcome"] == dict(self.headers)["clementinekeel-outcome"]
        )
        assert details["reason"] == dict(self.headers)["clementinekeel-reason"]
        return self.status, details["outcome"], details["reason"]


class FakeRequestHandler:
    """Answers each request with ``answer``, after reading its body."""

    def __init__(self, answer=None, before=None):
        self.requests = []
        self.body = b""
        self.cancelled = 0
        self.answer = answer or make_answer()
        self._before = before

    async def call(self, request):
        self.requests.append(request)
        try:
            if self._before is not None:
                await self._before()
            rest = [data async for data in request.body.rest()]
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        self.body = request.body.first + b"".join(rest)
        return self.answer

    async def issue_key(self, service):
        if service != "s":
            return problems.refusal(404, "unknown_service", "")
        return messages.KeyGrant("k1", 60_000)

    async def inquire(self, key):
        return messages.KeyState("running", f"about {key}")


def make_answer(body=b"ok", length=2, rest=None, status=200, headers=()):
    outcome = outcomes.Outcome.COMPLETED
    return messages.CallerAnswer(
        outcome, status, headers, "", body, length, rest
    )


async def run(server, handler=None, max_requests=10):
    limits = caller_app.Limits(MAX_BODY, max_requests)
    app = caller_app.CallerApp(
        handler or FakeRequestHandler(), limits, is_from_backend=False
    )
    await app(server.scope, server.receive, server.send)
    assert app.in_flight == 0
    return app


def header(name, value):
    return [(name.encode(), value.encode("latin-1"))]


@pytest.mark.parametrize(
    ("scope", "status", "reason"),
    [
        pytest.param({"path": "/x"}, 404, "unknown_path", id="path"),
        pytest.param(
            {"path": "/v1/keys/s", "method": "GET"},
            404,
            "unknown_path",
            id="method",
        ),
        pytest.param(
            {"path": "/services/"}, 404, "unknown_service", id="no service"
        ),
        pytest.param(
            {"path": "/v1/keys/t"}, 404, "unknown_service", id="key of none"
        ),
        pytest.param(
            {"http_version": "1.0"}, 505, "bad_http_version", id="HTTP/1.0"
        ),
        *(
            pytest.param(
                {"headers": header("clementinekeel-timeout-ms", text)},
                400,
                "bad_timeout",
                id=f"timeout {text!r}",
            )
            for text in ("0", "-1", "1.5", "x", "", "86400001", "9" * 99, "²")
        ),
        *(
            pytest.param(
                {"headers": header("clementinekeel-request-id", text)},
                400,
                "bad_request_id",
                id=f"request id {text[:9]!r}",
            )
            for text in ("i" * 65, "a\tb", "a\r\nx: y")
        ),
        *(
            pytest.param(
                {"headers": header("idempotency-key", text)},
                400,
                "bad_key",
                id=f"key {text[:9]!r}",
            )
            for text in ("k" * 513, "k\xff", "k\x01")
        ),
        pytest.param(
            {
                "headers": header("idempotency-key", "a")
                + header("idempotency-key", "b")
            },
            400,
            "bad_key",
            id="two keys",
        ),
        *(
            pytest.param(
                {"headers": header("content-length", text)},
                400,
                "bad_length",
                id=f"length {text!r}",
            )
            for text in ("-1", "x", "", "+1", "1_0", "²", "1, 1")
        ),
        pytest.param(
            {"headers": header("content-length", "0") * 2},
            400,
            "bad_length",
            id="length repeated",
        ),
        pytest.param(
            {
                "headers": header("content-length", "0")
                + header("transfer-encoding", "chunked")
            },
            400,
            "bad_length",
            id="length and chunks",
        ),
        *(
            pytest.param(
                {"headers": header("content-length", text)},
                413,
                "body_too_long",
                id=f"length {text[:9]}",
            )
            for text in (str(MAX_BODY + 1), "9" * 5_000)
        ),
        *(
            pytest.param(
                {"headers": header("x-a", text)},
                400,
                "bad_header",
                id=f"header with {text!r}",
            )
            for text in ("a\r\nb: c", "a\nb", "a\rb", "a\0b")
        ),
    ],
)
async def test_invalid_request_is_refused_and_not_run(scope, status, reason):
    """A refused request must not reach the handler."""
    handler = FakeRequestHandler()
    server = FakeServer(**scope)
    await run(server, handler)
    assert server.problem == (status, "refused", reason)
    assert handler.requests == []


async def test_only_requests_over_the_limit_are_refused():
    handler = FakeRequestHandler(before=lambda: anyio.sleep(1))
    limits = caller_app.Limits(MAX_BODY, 2)
    app = caller_app.CallerApp(handler, limits, is_from_backend=False)
    servers = [FakeServer() for _ in range(3)]
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(app, server.scope, server.receive, server.send)
        await anyio.sleep(0.5)
        assert app.in_flight == 2
        await app.wait_idle()
    servers.sort(key=lambda server: server.status)
    assert [server.status for server in servers] == [200, 200, 503]
    assert servers[2].problem == (503, "refused", "too_many_requests")
    assert dict(servers[2].headers)["retry-after"] == "1"
    assert len(handler.requests) == 2


async def test_head_of_a_request_is_forwarded():
    """Paths are forwarded as sent: %2F and / differ for a backend server."""
    handler = FakeRequestHandler()
    headers = [
        *header("host", "n"),
        *header("connection", "close, X-Hop ,te"),
        *header("x-hop", "1"),
        *header("te", "trailers"),
        *header("transfer-encoding", "chunked"),
        *header("expect", "100-continue"),
        *header("idempotency-key", '"k"'),
        *header("clementinekeel-timeout-ms", "250"),
        *header("clementinekeel-class", "c"),
        *header("clementinekeel-context", "t"),
        *header("x-a", "1"),
        *header("x-a", "\xe9"),
    ]
    server = FakeServer(
        path="/services/s/a/b c",
        raw_path=b"/services/s/a%2Fb%20c;d//",
        query_string=b"q=%26&r",
        headers=headers,
    )
    await run(server, handler)
    [request] = handler.requests
    assert request.path == "/a%2Fb%20c;d//?q=%26&r"
    assert request.headers == (("x-a", "1"), ("x-a", "\xe9"))
    assert (request.service, request.key) == ("s", "k")
    assert (request.timeout_ms, request.request_class) == (250, "c")
    assert (request.context, request.method) == ("t", "POST")


async def test_headers_of_an_answer_are_forwarded():
    """The caller would read a header with a line break as two headers."""
    headers = (
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("content-length", "9"),
        ("clementinekeel-outcome", "failed"),
        ("idempotency-key", "of the backend server"),
        ("x-b", "1\r\nx-evil: 1"),
        ("x-c\r\nx-evil", "1"),
        ("x-a", "1"),
    )
    server = FakeServer()
    await run(server, FakeRequestHandler(make_answer(headers=headers)))
    received = dict(server.headers)
    del received["clementinekeel-request-id"]
    assert received == {
        "x-a": "1",
        "clementinekeel-outcome": "completed",
        "content-length": "2",
    }


@pytest.mark.parametrize(
    ("method", "status", "length"),
    [
        pytest.param("HEAD", 200, "77", id="HEAD"),
        pytest.param("GET", 304, "77", id="304"),
        pytest.param("GET", 204, None, id="204"),
        pytest.param("GET", 200, "0", id="empty body"),
    ],
)
async def test_length_of_answers_without_body(method, status, length):
    """HEAD and 304 state the length of the body for GET; 204 states none."""
    headers = (("content-length", "77"),)
    server = FakeServer(method=method)
    answer = make_answer(b"", 0, status=status, headers=headers)
    await run(server, FakeRequestHandler(answer))
    assert dict(server.headers).get("content-length") == length
    assert server.is_ended


@pytest.mark.parametrize(
    "sizes",
    [[], [0, 5], [65_536], [65_536, 1], [40_000, 0, 40_000], [150_000, 9]],
)
async def test_chunked_body_is_read_completely(sizes):
    parts = [
        part(bytes([65 + n]) * size, True) for n, size in enumerate(sizes)
    ]
    handler = FakeRequestHandler()
    await run(FakeServer([*parts, part()]), handler)
    assert handler.body == b"".join(message["body"] for message in parts)
    assert len(handler.requests[0].body.first) <= streams.CHUNK_BYTES


@pytest.mark.parametrize(
    ("sizes", "outcome"),
    [
        pytest.param([MAX_BODY + 1], "refused", id="in the first part"),
        pytest.param([150_000, 60_000], "unknown", id="while passed on"),
    ],
)
async def test_body_without_length_that_is_too_long(sizes, outcome):
    """A request that has partly been forwarded may have run."""
    parts = [part(bytes(size), True) for size in sizes]
    server = FakeServer([*parts, part()])
    await run(server)
    assert server.problem == (413, outcome, "body_too_long")


@pytest.mark.parametrize(
    ("parts", "outcome"),
    [
        pytest.param([part(b"a", True), 31.0], "refused", id="first part"),
        pytest.param(
            [part(bytes(70_000), True), 31.0], "unknown", id="later part"
        ),
    ],
)
async def test_slow_body_is_ended(parts, outcome):
    server = FakeServer([*parts, part(b"b")])
    await run(server)
    assert server.problem == (408, outcome, "slow_body")


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([DISCONNECT], id="before its body"),
        pytest.param([part(b"a", True), DISCONNECT], id="in the first part"),
        pytest.param([part(bytes(70_000), True), DISCONNECT], id="later"),
        pytest.param([part(b"a"), 1.0, DISCONNECT], id="after its body"),
        pytest.param(
            [part(bytes(70_000), True), part(), 1.0, DISCONNECT],
            id="after its long body",
        ),
    ],
)
async def test_disconnect_of_the_caller_ends_its_request(parts):
    """The request must not occupy the node, and no answer is sent."""

    async def read_and_wait():
        request = handler.requests[0]
        async for _ in request.body.rest():
            pass
        await anyio.sleep(100)

    handler = FakeRequestHandler(before=read_and_wait)
    server = FakeServer(parts)
    start = anyio.current_time()
    await run(server, handler)
    assert anyio.current_time() - start < 2
    assert server.sent == []


async def test_error_of_the_handler_is_reported_as_unknown():
    """Every answer has an outcome, and this request may have run."""

    async def fail():
        raise KeyError("bug")

    server = FakeServer()
    with pytest.raises(KeyError):
        await run(server, FakeRequestHandler(before=fail))
    assert server.problem == (500, "unknown", "internal_error")


class AnswerParts:
    """Rest of an answer that records whether it was closed."""

    def __init__(self, *parts):
        self.is_closed = False
        self._parts = parts

    async def read(self):
        try:
            for data in self._parts:
                await anyio.sleep(1)
                if isinstance(data, Exception):
                    raise data
                yield data
        finally:
            self.is_closed = True


@pytest.mark.parametrize("length", [-1, 6])
async def test_cut_answer_is_never_ended(length):
    """A final empty part would make the cut answer look complete."""
    parts = AnswerParts(b"cd", streams.BodyError("receive", "node", "cut"))
    server = FakeServer()
    await run(
        server, FakeRequestHandler(make_answer(b"ab", length, parts.read()))
    )
    assert server.body == b"abcd"
    assert not server.is_ended
    assert parts.is_closed


async def test_complete_long_answer_is_ended():
    parts = AnswerParts(b"cd", b"ef")
    server = FakeServer()
    await run(server, FakeRequestHandler(make_answer(b"ab", -1, parts.read())))
    assert (server.body, server.is_ended) == (b"abcdef", True)
    assert "content-length" not in dict(server.headers)


@pytest.mark.parametrize("stop_after", [0, 1, 2])
async def test_rest_of_an_answer_is_closed_when_sending_fails(stop_after):
    """Otherwise the stream to the endpoint's owner would stay open forever."""
    parts = AnswerParts(b"cd", b"ef")
    server = FakeServer()

    async def send(message):
        if len(server.sent) == stop_after:
            raise OSError("connection lost")
        server.sent.append(message)

    server.send = send
    with pytest.raises(OSError, match="lost"):
        await run(
            server, FakeRequestHandler(make_answer(b"ab", -1, parts.read()))
        )
    assert parts.is_closed


async def test_refusal_discards_a_bounded_part_of_the_body():
    """Closing with unread data would reset the connection.

    The caller would then not receive the refusal.
    """
    parts = [part(bytes(60_000), True) for _ in range(100)]
    server = FakeServer([*parts, part()], path="/none")
    await run(server)
    assert server.problem[2] == "unknown_path"
    assert 1_048_576 <= 60_000 * server.received < 2_000_000


async def test_keys_and_inquiries():
    grant = FakeServer(path="/v1/keys/s")
    await run(grant)
    assert grant.status == 201
    assert msgspec.json.decode(grant.body)["idempotency_key"] == "k1"
    assert ("idempotency-key", "k1") in grant.headers
    inquiry = FakeServer(path="/v1/requests/k%31", method="GET")
    await run(inquiry)
    assert msgspec.json.decode(inquiry.body)["outcome"] == "running"


@pytest.mark.parametrize(
    ("body", "status"),
    [
        pytest.param({"state": "ready"}, 204, id="valid"),
        pytest.param({"state": "gone"}, 400, id="state"),
        pytest.param({"service": None}, 400, id="type"),
        pytest.param({"x": "y" * 9_000}, 400, id="too long"),
        pytest.param(None, 400, id="not an object"),
    ],
)
async def test_announcement(body, status):
    names = backend_app.Announcement._fields
    content = body and {**dict.fromkeys(names, "ready"), **body}
    announcements = []
    app = backend_app.BackendApp(
        None, lambda announcement: announcements.append(announcement) or ""
    )
    server = FakeServer(
        [part(msgspec.json.encode(content))],
        path="/v1/backend",
        method="PUT",
    )
    await app(server.scope, server.receive, server.send)
    assert server.status == status
    assert len(announcements) == (status == 204)
