"""In-process httpx transport to an ASGI application, with streaming.

``httpx.ASGITransport`` collects the whole answer before it returns, so that
a watch, whose answer does not end, would never return; it also ignores
timeouts. ``StreamingTransport`` runs each request in a task, passes the chunks
of the answer on as they arrive and applies the read timeout. As behind a real
server, the application finishes a request that the client has given up.
"""

from collections.abc import AsyncIterator, MutableMapping
import math
from typing import Any

import anyio
import anyio.abc
from anyio.streams import memory
import httpx

Message = MutableMapping[str, Any]


class _Body(httpx.AsyncByteStream):
    def __init__(
        self,
        chunks: "memory.MemoryObjectReceiveStream[Message]",
        scope: anyio.CancelScope,
        timeout_s: float,
    ) -> None:
        self._chunks = chunks
        self._scope = scope
        self._timeout_s = timeout_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        more = True
        while more:
            message = await receive(self._chunks, self._timeout_s)
            more = message.get("more_body", False)
            yield message.get("body", b"")

    async def aclose(self) -> None:
        self._chunks.close()
        self._scope.cancel()


async def receive(
    messages: "memory.MemoryObjectReceiveStream[Message]", timeout_s: float
) -> Message:
    """Return the application's next message.

    Raises
    ------
    httpx.ReadTimeout
        If the message does not arrive in time.
    httpx.RemoteProtocolError
        If the application has ended without a further message.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await messages.receive()
    except TimeoutError as error:
        raise httpx.ReadTimeout("no answer in time") from error
    except anyio.EndOfStream as error:
        raise httpx.RemoteProtocolError("connection closed") from error


class StreamingTransport(httpx.ASGITransport):
    """Transport that runs requests in a task group.

    Parameters
    ----------
    app : ASGI application
    tasks : anyio.abc.TaskGroup
        Task group of the requests.

    Attributes
    ----------
    refuse_next : int
        Number of next connections that are refused.
    """

    def __init__(self, app: Any, tasks: anyio.abc.TaskGroup) -> None:
        super().__init__(app)
        self._tasks = tasks
        self.refuse_next = 0

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; return its answer once the headers have arrived."""
        if self.refuse_next > 0:
            self.refuse_next -= 1
            raise httpx.ConnectError("connection refused", request=request)
        content = await request.aread()
        sender, receiver = anyio.create_memory_object_stream[Message](math.inf)
        scope = anyio.CancelScope()
        self._tasks.start_soon(self._run, request, content, sender, scope)
        timeout_s = request.extensions.get("timeout", {}).get("read")
        timeout_s = math.inf if timeout_s is None else timeout_s
        start = await receive(receiver, timeout_s)
        return httpx.Response(
            start["status"],
            headers=start["headers"],
            stream=_Body(receiver, scope, timeout_s),
            request=request,
        )

    async def _run(
        self,
        request: httpx.Request,
        content: bytes,
        messages: "memory.MemoryObjectSendStream[Message]",
        scope: anyio.CancelScope,
    ) -> None:
        asgi = {
            "type": "http",
            "method": request.method,
            "path": request.url.path,
        }

        async def receive_body() -> Message:
            return {"type": "http.request", "body": content}

        async def send(message: Message) -> None:
            await anyio.lowlevel.checkpoint()
            try:
                messages.send_nowait(message)
            except anyio.BrokenResourceError:
                # The client has closed the answer.
                return

        with scope, messages:
            await self.app(asgi, receive_body, send)
