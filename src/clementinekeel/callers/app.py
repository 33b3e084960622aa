"""ASGI application for callers.

``/services/{service}/{path}``
    Any method: call a service.
``POST /v1/keys/{service}``
    Issue an idempotency key.
``GET /v1/requests/{key}``
    Ask for the outcome of a key.
"""

from collections.abc import Awaitable, Callable
import secrets
from typing import Any, NamedTuple, Protocol

import anyio
import msgspec

from clementinekeel.callers import headers as caller_headers
from clementinekeel.callers import messages
from clementinekeel.callers import problems
from clementinekeel.nodes import streams
from clementinekeel.runtime import errors
from clementinekeel.runtime import log

SERVICES_PREFIX = "/services/"
KEYS_PREFIX = "/v1/keys/"
REQUESTS_PREFIX = "/v1/requests/"
REQUEST_ID_BYTES = 12
MAX_REQUEST_ID_CHARS = 64
MAX_TIMEOUT_MS = 24 * 3_600_000
MAX_KEY_CHARS = 512

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class EntryPoint(Protocol):
    """What the application does with requests."""

    async def call(
        self, request: messages.CallerRequest
    ) -> messages.CallerAnswer | messages.CallerProblem:
        """Run a request."""

    async def issue_key(
        self, service: str
    ) -> messages.KeyGrant | messages.CallerProblem:
        """Issue an idempotency key."""

    async def inquire(
        self, key: str
    ) -> messages.KeyState | messages.CallerProblem:
        """Return the outcome of a key."""


class Limits(NamedTuple):
    """Limits on callers.

    Attributes
    ----------
    max_body_bytes : int
        Longest body.
    max_requests : int
        Requests in flight at a time.
    """

    max_body_bytes: int
    max_requests: int


class RequestError(errors.StepError):
    """A request is malformed or exceeds a limit."""

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__("accept", "caller", detail)
        self.status = status
        self.name = reason


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class CallerApp:
    """ASGI application.

    Parameters
    ----------
    entry : EntryPoint
        Runs the requests.
    limits : Limits
        Limits on callers.
    is_onward : bool
        Whether the callers are the backend server beside this node.
    """

    def __init__(
        self, entry: EntryPoint, limits: Limits, is_onward: bool
    ) -> None:
        self._entry = entry
        self._limits = limits
        self._is_onward = is_onward
        self._in_flight = 0
        self._became_idle = anyio.Event()

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._in_flight

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] != "http":
            return
        exchange = _Exchange(scope, receive, send)
        if self._in_flight >= self._limits.max_requests:
            await exchange.send_problem(
                problems.refusal(
                    503,
                    "too_many_requests",
                    "the node has too many requests in flight",
                    retry_after_ms=1_000,
                )
            )
            return
        self._in_flight += 1
        try:
            await self._route(exchange)
        except RequestError as error:
            await exchange.send_problem(
                problems.refusal(error.status, error.name, error.reason)
            )
        except CallerGoneError:
            log.event("caller_gone", level="DEBUG", step="accept")
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._became_idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._in_flight:
            self._became_idle = anyio.Event()
            await self._became_idle.wait()

    async def _route(self, exchange: "_Exchange") -> None:
        path: str = exchange.scope["path"]
        method: str = exchange.scope["method"]
        if path.startswith(SERVICES_PREFIX):
            await self._call(exchange)
        elif path.startswith(KEYS_PREFIX) and method == "POST":
            await self._issue_key(exchange, path.removeprefix(KEYS_PREFIX))
        elif path.startswith(REQUESTS_PREFIX) and method == "GET":
            await self._inquire(exchange, path.removeprefix(REQUESTS_PREFIX))
        else:
            raise RequestError(404, "unknown_path", "no such resource")

    async def _call(self, exchange: "_Exchange") -> None:
        request = await exchange.read_request(self._limits, self._is_onward)
        async with anyio.create_task_group() as tasks:
            if request.body.is_complete:
                tasks.start_soon(exchange.watch_disconnect, tasks.cancel_scope)
            answer = await self._entry.call(request)
            if isinstance(answer, messages.CallerProblem):
                await exchange.send_problem(answer)
            else:
                await exchange.send_answer(answer)
            tasks.cancel_scope.cancel()

    async def _issue_key(self, exchange: "_Exchange", service: str) -> None:
        grant = await self._entry.issue_key(service)
        if isinstance(grant, messages.CallerProblem):
            await exchange.send_problem(grant)
            return
        await exchange.send_json(
            201,
            {
                "idempotency_key": grant.key,
                "lifetime_ms": grant.lifetime_ms,
            },
            ((caller_headers.IDEMPOTENCY_KEY, grant.key),),
        )

    async def _inquire(self, exchange: "_Exchange", key: str) -> None:
        state = await self._entry.inquire(key)
        if isinstance(state, messages.CallerProblem):
            await exchange.send_problem(state)
            return
        await exchange.send_json(
            200, {"outcome": state.state, "reason": state.reason}, ()
        )


class _Exchange:
    """One HTTP request and its response."""

    def __init__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        self.scope = scope
        self._receive = receive
        self._send = send
        self._headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        )
        self._received = 0
        self._max_body_bytes = 0
        self._request_id = ""

    async def read_request(
        self, limits: Limits, is_onward: bool
    ) -> messages.CallerRequest:
        """Read the head and the first part of the body."""
        self._max_body_bytes = limits.max_body_bytes
        service, path = self._target()
        length = self._content_length(limits)
        self._request_id = self._read_request_id()
        find = caller_headers.find
        key = find(self._headers, caller_headers.IDEMPOTENCY_KEY) or ""
        if len(key) > MAX_KEY_CHARS:
            raise RequestError(400, "bad_key", "idempotency key is too long")
        return messages.CallerRequest(
            request_id=self._request_id,
            service=service,
            method=self.scope["method"],
            path=path,
            headers=caller_headers.passed_on(self._headers),
            key=key.strip('"'),
            timeout_ms=self._timeout_ms(),
            request_class=find(self._headers, caller_headers.REQUEST_CLASS)
            or "",
            context=find(self._headers, caller_headers.CONTEXT) or "",
            is_onward=is_onward,
            body=await self._read_first(length),
        )

    async def watch_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel a scope when the caller closes its connection."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                scope.cancel()
                return

    async def send_answer(self, answer: messages.CallerAnswer) -> None:
        """Send the answer of the backend server."""
        headers = [
            *caller_headers.passed_on(answer.headers),
            (caller_headers.OUTCOME, str(answer.outcome)),
            (caller_headers.REQUEST_ID, self._request_id),
        ]
        if answer.key:
            headers.append((caller_headers.IDEMPOTENCY_KEY, answer.key))
        if answer.length >= 0:
            headers.append(("content-length", str(answer.length)))
        await self._start(answer.status, tuple(headers))
        if answer.rest is None:
            await self._send_body(answer.body, False)
            return
        try:
            async for data in answer.rest:
                await self._send_body(data, True)
        except errors.StepError as error:
            # Returning without the last part makes the server close the
            # connection, so that the caller sees a cut answer as cut.
            log.event(
                "answer_cut",
                level="WARNING",
                request_id=self._request_id,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
            return
        await self._send_body(b"", False)

    async def send_problem(self, problem: messages.CallerProblem) -> None:
        """Send a problem answer."""
        status, headers, body = problems.render(problem, self._request_id)
        await self._send_whole(status, headers, body)

    async def send_json(
        self, status: int, content: object, headers: messages.Headers
    ) -> None:
        """Send a JSON answer."""
        body = msgspec.json.encode(content)
        all_headers = (("content-type", "application/json"), *headers)
        await self._send_whole(status, all_headers, body)

    def _target(self) -> tuple[str, str]:
        raw: bytes = self.scope.get("raw_path") or b""
        path = raw.decode("latin-1") or self.scope["path"]
        path = path.split("?")[0]
        service, slash, rest = path.removeprefix(SERVICES_PREFIX).partition(
            "/"
        )
        if not service:
            raise RequestError(404, "unknown_service", "no service named")
        target = slash + rest or "/"
        query: bytes = self.scope["query_string"]
        if query:
            target += "?" + query.decode("latin-1")
        return service, target

    def _content_length(self, limits: Limits) -> int:
        text = caller_headers.find(self._headers, "content-length")
        if text is None:
            return -1
        length = int(text)
        if length > limits.max_body_bytes:
            raise self._body_too_long()
        return length

    def _read_request_id(self) -> str:
        text = caller_headers.find(self._headers, caller_headers.REQUEST_ID)
        if text is None:
            return secrets.token_hex(REQUEST_ID_BYTES)
        if len(text) > MAX_REQUEST_ID_CHARS or not text.isprintable():
            raise RequestError(400, "bad_request_id", "request id is faulty")
        return text

    def _timeout_ms(self) -> int:
        text = caller_headers.find(self._headers, caller_headers.TIMEOUT)
        if text is None:
            return 0
        if not (text.isascii() and text.isdigit()):
            raise RequestError(
                400, "bad_timeout", "timeout is not a number of milliseconds"
            )
        timeout_ms = int(text[:12])
        if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
            raise RequestError(
                400,
                "bad_timeout",
                f"timeout is not within 1 and {MAX_TIMEOUT_MS} ms",
            )
        return timeout_ms

    async def _read_first(self, length: int) -> messages.Body:
        parts = bytearray()
        is_complete = False
        while not is_complete and len(parts) < streams.CHUNK_BYTES:
            data = await self._read_part()
            if data is None:
                is_complete = True
            else:
                parts += data
        first = bytes(parts[: streams.CHUNK_BYTES])
        rest = bytes(parts[streams.CHUNK_BYTES :])
        if rest:
            return messages.Body(
                first, False, length, self._reader(rest, is_complete)
            )
        return messages.Body(first, is_complete, length, self._read_part)

    def _reader(
        self, pending: bytes, is_complete: bool
    ) -> Callable[[], Awaitable[bytes | None]]:
        held = [pending]

        async def read() -> bytes | None:
            if held:
                return held.pop()
            if is_complete:
                return None
            return await self._read_part()

        return read

    async def _read_part(self) -> bytes | None:
        """Return the next part of the body, None after the last."""
        if self._received < 0:
            return None
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        data: bytes = message.get("body", b"")
        self._received += len(data)
        if self._received > self._max_body_bytes:
            raise self._body_too_long()
        if not message.get("more_body", False):
            self._received = -1
            return data or None
        return data

    def _body_too_long(self) -> RequestError:
        return RequestError(
            413,
            "body_too_long",
            f"body is longer than {self._max_body_bytes} bytes",
        )

    async def _send_whole(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        length = ("content-length", str(len(body)))
        await self._start(status, (*headers, length))
        await self._send_body(body, False)

    async def _start(self, status: int, headers: messages.Headers) -> None:
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
            }
        )

    async def _send_body(self, data: bytes, has_more: bool) -> None:
        await self._send(
            {
                "type": "http.response.body",
                "body": data,
                "more_body": has_more,
            }
        )
