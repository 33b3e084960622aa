"""ASGI application for callers.

``/services/{service}/{path}``
    Call a service, with any method.
``POST /v1/keys/{service}``
    Issue an idempotency key.
``GET /v1/requests/{key}``
    Return the outcome of the request under an idempotency key.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
import contextlib
import secrets
from typing import Any, NamedTuple, Protocol

import anyio
import msgspec

from clementinekeel.callers import headers as caller_headers
from clementinekeel.callers import messages
from clementinekeel.callers import problems
from clementinekeel.nodes import streams
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.runtime import clock
from clementinekeel.runtime import errors
from clementinekeel.runtime import exception_groups
from clementinekeel.runtime import log

SERVICES_PREFIX = "/services/"
KEYS_PREFIX = "/v1/keys/"
REQUESTS_PREFIX = "/v1/requests/"
REQUEST_ID_BYTES = 12
MAX_REQUEST_ID_CHARS = 64
MAX_TIMEOUT_MS = 24 * 3_600_000
MAX_KEY_CHARS = 512
MAX_LENGTH_DIGITS = 18
BODY_READ_TIMEOUT_MS = 30_000
"""Longest wait for the next part of a body; slower requests are ended."""
MAX_DISCARDED_BYTES = 1024 * 1024
MAX_DISCARD_MS = 1_000
"""Limits on reading and discarding the rest of a body after a refusal.
Closing a connection with unread data resets it, and the caller may then not
receive the refusal."""

_BODILESS_STATUSES = frozenset({204, 304})

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class RequestHandler(Protocol):
    """Handles the requests of the application."""

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
        """Return the outcome of the request under a key."""


class Limits(NamedTuple):
    """Limits on callers.

    Attributes
    ----------
    max_body_bytes : int
        Longest body of a request.
    max_requests : int
        Maximum number of requests in flight.
    """

    max_body_bytes: int
    max_requests: int


class RequestError(errors.StepError):
    """A request is malformed or exceeds a limit.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Machine-readable reason.
    detail : str
        Human-readable explanation.
    outcome : Outcome
        Unknown if a part of the request has been forwarded.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        outcome: outcomes.Outcome = outcomes.Outcome.REFUSED,
    ) -> None:
        super().__init__("accept", "caller", detail)
        self.status = status
        self.code = reason
        self.outcome = outcome

    @property
    def problem(self) -> messages.CallerProblem:
        """Problem that is sent to the caller."""
        return problems.refusal(
            self.status, self.code, self.reason, outcome=self.outcome
        )


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class CallerApp:
    """ASGI application.

    Parameters
    ----------
    handler : RequestHandler
        Handles the requests.
    limits : Limits
        Limits on callers.
    is_from_backend : bool
        Whether the requests come from the local backend server.
    """

    def __init__(
        self, handler: RequestHandler, limits: Limits, is_from_backend: bool
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_from_backend = is_from_backend
        self._in_flight = 0
        self._became_idle = anyio.Event()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
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
            await self._handle(exchange)
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

    async def _handle(self, exchange: "_Exchange") -> None:
        try:
            await self._route(exchange)
        except RequestError as error:
            await exchange.send_problem(error.problem)
        except CallerGoneError:
            raise
        except Exception:
            # The HTTP server logs the error; the caller gets the outcome.
            await exchange.send_problem(
                problems.refusal(
                    500,
                    "internal_error",
                    "the node has failed to handle the request",
                    outcome=outcomes.Outcome.UNKNOWN,
                )
            )
            raise

    async def _route(self, exchange: "_Exchange") -> None:
        exchange.check_head()
        path = exchange.path
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
        request = await exchange.read_request(
            self._limits, self._is_from_backend
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(exchange.watch_disconnect, tasks.cancel_scope)
                answer = await self._handler.call(request)
                if isinstance(answer, messages.CallerProblem):
                    await exchange.send_problem(answer)
                else:
                    await exchange.send_answer(answer)
                tasks.cancel_scope.cancel()
        except ExceptionGroup as group:
            raise exception_groups.first_error(group) from None

    async def _issue_key(self, exchange: "_Exchange", service: str) -> None:
        grant = await self._handler.issue_key(service)
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
        state = await self._handler.inquire(key)
        if isinstance(state, messages.CallerProblem):
            await exchange.send_problem(state)
            return
        await exchange.send_json(
            200, {"outcome": state.state, "reason": state.reason}, ()
        )


class _Exchange:
    """One HTTP request and its answer."""

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
        self._body_ended = anyio.Event()
        # Whether a part of the request has been forwarded. If so, the
        # request may have run even if the rest turns out to be faulty.
        self._is_forwarded = False
        self._is_started = False

    @property
    def path(self) -> str:
        """Path as the caller sent it, without the query."""
        raw: bytes = self.scope.get("raw_path") or b""
        path: str = raw.decode("latin-1") or self.scope["path"]
        return path.partition("?")[0]

    def check_head(self) -> None:
        """Validate the parts of the head that all requests share."""
        self._request_id = self._read_request_id()
        if self.scope.get("http_version", "1.1") != "1.1":
            # With HTTP/1.0, a cut answer without a length looks complete.
            raise RequestError(
                505, "bad_http_version", "callers have to use HTTP/1.1"
            )
        for name, value in self._headers:
            if caller_headers.has_line_break(name, value):
                raise RequestError(
                    400, "bad_header", "a header has a line break"
                )

    async def read_request(
        self, limits: Limits, is_from_backend: bool
    ) -> messages.CallerRequest:
        """Read the head and the first part of the body."""
        self._max_body_bytes = limits.max_body_bytes
        service, path = self._read_target()
        length = self._read_content_length(limits)
        find = caller_headers.find
        request = messages.CallerRequest(
            request_id=self._request_id,
            service=service,
            method=self.scope["method"],
            path=path,
            headers=caller_headers.end_to_end(self._headers),
            key=self._read_key(),
            timeout_ms=self._read_timeout_ms(),
            request_class=find(self._headers, caller_headers.REQUEST_CLASS)
            or "",
            context=find(self._headers, caller_headers.CONTEXT) or "",
            is_from_backend=is_from_backend,
            body=await self._read_first_part(length),
        )
        self._is_forwarded = True
        return request

    async def watch_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel a scope when the caller closes its connection."""
        # Until the body has ended, its reader receives the messages and
        # handles a disconnect.
        await self._body_ended.wait()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                scope.cancel()
                return

    async def send_answer(self, answer: messages.CallerAnswer) -> None:
        """Send the answer of a backend server."""
        headers = [
            *caller_headers.end_to_end(answer.headers),
            (caller_headers.OUTCOME, str(answer.outcome)),
            (caller_headers.REQUEST_ID, self._request_id),
        ]
        if answer.key:
            headers.append((caller_headers.IDEMPOTENCY_KEY, answer.key))
        length = self._answer_length(answer)
        if length:
            headers.append(("content-length", length))
        if answer.rest is None:
            await self._start(answer.status, tuple(headers))
            await self._end_body(answer.body)
            return
        try:
            async with _ensure_closed(answer.rest):
                await self._start(answer.status, tuple(headers))
                await self._send_body(answer.body, True)
                async for data in answer.rest:
                    await self._send_body(data, True)
        except errors.StepError as error:
            # Without the last part, the HTTP server closes the connection,
            # so that the caller can tell that the answer was cut.
            log.event(
                "answer_cut",
                level="WARNING",
                request_id=self._request_id,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
            await self._discard_body(
                self._max_body_bytes, BODY_READ_TIMEOUT_MS
            )
            return
        await self._end_body(b"")

    async def send_problem(self, problem: messages.CallerProblem) -> None:
        """Send a problem as the answer, unless another answer was started."""
        if self._is_started:
            return
        status, headers, body = problems.render(problem, self._request_id)
        await self._send_complete(status, headers, body)

    async def send_json(
        self, status: int, content: object, headers: messages.Headers
    ) -> None:
        """Send a JSON answer."""
        body = msgspec.json.encode(content)
        all_headers = (("content-type", "application/json"), *headers)
        await self._send_complete(status, all_headers, body)

    def _read_target(self) -> tuple[str, str]:
        named = self.path.removeprefix(SERVICES_PREFIX)
        service, slash, rest = named.partition("/")
        if not service:
            raise RequestError(404, "unknown_service", "no service named")
        target = slash + rest or "/"
        query: bytes = self.scope["query_string"]
        if query:
            target += "?" + query.decode("latin-1")
        return service, target

    def _read_content_length(self, limits: Limits) -> int:
        values = caller_headers.find_all(self._headers, "content-length")
        if not values:
            return -1
        # With two ways of framing one body, hops may disagree on its end.
        coding = caller_headers.find(self._headers, "transfer-encoding")
        text = values[0]
        is_number = text.isascii() and text.isdigit()
        if len(values) > 1 or coding is not None or not is_number:
            raise RequestError(
                400, "bad_length", "the length of the body is not clear"
            )
        digits = text.lstrip("0") or "0"
        if len(digits) > MAX_LENGTH_DIGITS:
            raise self._body_too_long()
        if int(digits) > limits.max_body_bytes:
            raise self._body_too_long()
        return int(digits)

    def _read_key(self) -> str:
        values = caller_headers.find_all(
            self._headers, caller_headers.IDEMPOTENCY_KEY
        )
        if not values:
            return ""
        key = values[0].strip('"')
        is_printable = key.isascii() and key.isprintable()
        if len(values) > 1 or len(key) > MAX_KEY_CHARS or not is_printable:
            raise RequestError(400, "bad_key", "idempotency key is faulty")
        return key

    def _answer_length(self, answer: messages.CallerAnswer) -> str | None:
        is_head = self.scope["method"] == "HEAD"
        if is_head or answer.status in _BODILESS_STATUSES:
            # The backend server states the length of the body that is not
            # sent. 204 must not have a length (RFC 9110 section 8.6).
            if answer.status == 204:
                return None
            return caller_headers.find(answer.headers, "content-length")
        return str(answer.length) if answer.length >= 0 else None

    def _read_request_id(self) -> str:
        text = caller_headers.find(self._headers, caller_headers.REQUEST_ID)
        if text is None:
            return secrets.token_hex(REQUEST_ID_BYTES)
        if len(text) > MAX_REQUEST_ID_CHARS or not text.isprintable():
            raise RequestError(400, "bad_request_id", "request id is faulty")
        return text

    def _read_timeout_ms(self) -> int:
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

    async def _read_first_part(self, length: int) -> messages.Body:
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
                first, False, length, self._make_reader(rest, is_complete)
            )
        return messages.Body(first, is_complete, length, self._read_part)

    def _make_reader(
        self, pending: bytes, is_complete: bool
    ) -> Callable[[], Awaitable[bytes | None]]:
        unread = [pending]

        async def read() -> bytes | None:
            if unread:
                return unread.pop()
            if is_complete:
                return None
            return await self._read_part()

        return read

    async def _read_part(self) -> bytes | None:
        """Return the next part of the body, None after the last."""
        # Set to -1 after the last part.
        if self._received < 0:
            return None
        message = await self._receive_part()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        data: bytes = message.get("body", b"")
        is_last = not message.get("more_body", False)
        if is_last:
            self._body_ended.set()
        self._received += len(data)
        if self._received > self._max_body_bytes:
            raise self._body_too_long()
        if is_last:
            self._received = -1
            return data or None
        return data

    async def _receive_part(self) -> dict[str, Any]:
        limit_s = BODY_READ_TIMEOUT_MS / clock.MS_PER_S
        with anyio.move_on_after(limit_s):
            return await self._receive()
        raise self._body_error(408, "slow_body", "the body arrives too slowly")

    def _body_too_long(self) -> RequestError:
        return self._body_error(
            413,
            "body_too_long",
            f"body is longer than {self._max_body_bytes} bytes",
        )

    def _body_error(
        self, status: int, reason: str, detail: str
    ) -> RequestError:
        outcome = (
            outcomes.Outcome.UNKNOWN
            if self._is_forwarded
            else outcomes.Outcome.REFUSED
        )
        return RequestError(status, reason, detail, outcome)

    async def _send_complete(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        length = ("content-length", str(len(body)))
        await self._start(status, (*headers, length))
        if self._body_ended.is_set():
            await self._send_body(body, False)
            return
        await self._send_body(body, True)
        await self._discard_body(MAX_DISCARDED_BYTES, MAX_DISCARD_MS)
        await self._end_body(b"")

    async def _discard_body(self, max_bytes: int, max_ms: int) -> None:
        """Read and discard the rest of the request body, within limits."""
        discarded = 0
        with anyio.move_on_after(max_ms / clock.MS_PER_S):
            while discarded <= max_bytes and not self._body_ended.is_set():
                message = await self._receive()
                discarded += len(message.get("body", b""))
                if not message.get("more_body", False):
                    self._body_ended.set()

    async def _end_body(self, data: bytes) -> None:
        """Send the last part of the answer."""
        if self._body_ended.is_set():
            await self._send_body(data, False)
            return
        # The HTTP server stops reading while parts of the request body wait
        # to be received, and would then never close the connection.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._discard_all)
            await self._send_body(data, False)
            tasks.cancel_scope.cancel()

    async def _discard_all(self) -> None:
        while not self._body_ended.is_set():
            message = await self._receive()
            if not message.get("more_body", False):
                self._body_ended.set()

    async def _start(self, status: int, headers: messages.Headers) -> None:
        self._is_started = True
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


@contextlib.asynccontextmanager
async def _ensure_closed(parts: AsyncIterator[bytes]) -> AsyncIterator[None]:
    """Close an iterator if the context ends with an error.

    Closing a generator that was never started does not run its clean-up, so
    the generator is started first, in a scope that is already cancelled.
    """
    is_whole = False
    try:
        yield
        is_whole = True
    finally:
        if not is_whole and isinstance(parts, AsyncGenerator):
            with anyio.CancelScope() as scope:
                scope.cancel()
                with contextlib.suppress(StopAsyncIteration, errors.StepError):
                    await anext(parts)
            with anyio.CancelScope(shield=True):
                await parts.aclose()
