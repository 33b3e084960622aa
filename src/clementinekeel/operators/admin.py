"""Admin HTTP API of a node, as an ASGI application.

It has no access control: the operators' port must not be reachable for
callers.
"""

from collections.abc import Awaitable, Callable, MutableMapping
import http
from typing import Any, NamedTuple
import urllib.parse

import msgspec
from returns import result

from clementinekeel.operators import metrics as node_metrics
from clementinekeel.operators import status as node_status
from clementinekeel.runtime import log

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

JSON_CONTENT_TYPE = "application/json"
PROBLEM_CONTENT_TYPE = "application/problem+json"
REQUESTS_PATH = "/v1/requests/"
MAX_REQUEST_ID_LENGTH = 1_024
FLEET_FILTERS = ("service", "endpoint", "zone", "state")


class _Response(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class _Request(NamedTuple):
    path: str
    query: dict[str, str]
    client_host: str


_Handler = Callable[[_Request], Awaitable[_Response]]


class AdminApplication:
    """ASGI application that serves the operators' port.

    Parameters
    ----------
    node : NodeStatus
        Source of the reports, and switch of the drain.
    metrics : NodeMetrics
        Metrics of the process.
    """

    def __init__(
        self, node: node_status.NodeStatus, metrics: node_metrics.NodeMetrics
    ) -> None:
        self._node = node
        self._metrics = metrics
        self._routes: dict[str, dict[str, _Handler]] = {
            "/v1/status": {"GET": self._on_status},
            "/v1/fleet": {"GET": self._on_fleet},
            REQUESTS_PATH: {"GET": self._on_request_report},
            "/v1/drain": {"PUT": self._on_drain, "DELETE": self._on_undrain},
            "/metrics": {"GET": self._on_metrics},
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one connection scope of the ASGI server."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await _send_response(send, await self._dispatch(scope))
        else:
            await send({"type": "websocket.close"})

    async def _dispatch(self, scope: Scope) -> _Response:
        path = scope["path"]
        is_report_path = path.startswith(REQUESTS_PATH)
        methods = self._routes.get(REQUESTS_PATH if is_report_path else path)
        if methods is None:
            return _problem_response(404, f"no resource {path!r}")
        handler = methods.get(scope["method"])
        if handler is None:
            allowed = ", ".join(methods)
            response = _problem_response(405, f"allowed: {allowed}")
            return response._replace(
                headers={**response.headers, "allow": allowed}
            )
        query = urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
        client_host = (scope.get("client") or ("unknown",))[0]
        return await handler(_Request(path, dict(query), client_host))

    async def _on_status(self, request: _Request) -> _Response:
        return _json_response(self._node.status())

    async def _on_fleet(self, request: _Request) -> _Response:
        unknown = sorted(request.query.keys() - set(FLEET_FILTERS))
        if unknown:
            known = ", ".join(FLEET_FILTERS)
            return _problem_response(
                400, f"unknown filter {unknown[0]!r} ({known})"
            )
        fleet = self._node.fleet()
        endpoints = [
            endpoint
            for endpoint in fleet["endpoints"]
            if all(dict(endpoint)[k] == v for k, v in request.query.items())
        ]
        return _json_response({**fleet, "endpoints": endpoints})

    async def _on_request_report(self, request: _Request) -> _Response:
        request_id = request.path.removeprefix(REQUESTS_PATH)
        if not 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH:
            return _problem_response(400, "no request id or too long")
        report = self._node.request_report(request_id)
        if report is None:
            return _problem_response(
                404, "this node does not know the request"
            )
        return _json_response(report)

    async def _on_drain(self, request: _Request) -> _Response:
        return await self._change_drain(request, "drain", self._node.drain)

    async def _on_undrain(self, request: _Request) -> _Response:
        return await self._change_drain(request, "undrain", self._node.undrain)

    async def _change_drain(
        self,
        request: _Request,
        step: str,
        change: Callable[[], Awaitable[result.Result[None, str]]],
    ) -> _Response:
        status = self._node.status()
        endpoint = request.query.get("endpoint", status["endpoint"])
        if endpoint != status["endpoint"]:
            # Only the node beside an endpoint can refuse work for it.
            detail = (
                f"this node serves {status['endpoint'] or 'no endpoint'!r}"
            )
            return _problem_response(409, f"{detail}, not {endpoint!r}")
        outcome = await change()
        ok = isinstance(outcome, result.Success)
        log.event(
            "drain_changed",
            step=step,
            endpoint=endpoint,
            peer=request.client_host,
            ok=ok,
        )
        if isinstance(outcome, result.Failure):
            return _problem_response(409, outcome.failure())
        return _json_response(self._node.status())

    async def _on_metrics(self, request: _Request) -> _Response:
        self._metrics.update(self._node.samples())
        body, headers = self._metrics.render()
        return _Response(200, headers, body)


def _json_response(value: object) -> _Response:
    body = msgspec.json.encode(value)
    return _Response(200, {"content-type": JSON_CONTENT_TYPE}, body)


def _problem_response(status: int, detail: str) -> _Response:
    """Return a response with problem details (RFC 9457)."""
    problem = {
        "type": "about:blank",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
    }
    body = msgspec.json.encode(problem)
    return _Response(status, {"content-type": PROBLEM_CONTENT_TYPE}, body)


async def _send_response(send: Send, response: _Response) -> None:
    headers = [
        (name.lower().encode(), value.encode())
        for name, value in response.headers.items()
    ]
    headers.append((b"content-length", str(len(response.body)).encode()))
    headers.append((b"cache-control", b"no-store"))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
