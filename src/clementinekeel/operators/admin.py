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

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
REQUESTS_PATH = "/v1/requests/"
MAX_REQUEST_ID_LENGTH = 1_024
FLEET_FILTERS = ("service", "endpoint", "zone", "state")


class _Reply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class _Call(NamedTuple):
    path: str
    query: dict[str, str]
    client: str


_Handler = Callable[[_Call], Awaitable[_Reply]]


class AdminApplication:
    """ASGI application of the operators' port.

    Parameters
    ----------
    node : NodeStatus
        State of the node and its drain.
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
            REQUESTS_PATH: {"GET": self._on_request},
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
            await _send(send, await self._reply(scope))
        else:
            await send({"type": "websocket.close"})

    async def _reply(self, scope: Scope) -> _Reply:
        path = scope["path"]
        is_request = path.startswith(REQUESTS_PATH)
        methods = self._routes.get(REQUESTS_PATH if is_request else path)
        if methods is None:
            return _problem(404, f"no resource {path!r}")
        handler = methods.get(scope["method"])
        if handler is None:
            allowed = ", ".join(methods)
            reply = _problem(405, f"allowed: {allowed}")
            return reply._replace(headers={**reply.headers, "allow": allowed})
        query = urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
        client = (scope.get("client") or ("unknown",))[0]
        return await handler(_Call(path, dict(query), client))

    async def _on_status(self, call: _Call) -> _Reply:
        return _json(self._node.status())

    async def _on_fleet(self, call: _Call) -> _Reply:
        unknown = sorted(call.query.keys() - set(FLEET_FILTERS))
        if unknown:
            known = ", ".join(FLEET_FILTERS)
            return _problem(400, f"unknown filter {unknown[0]!r} ({known})")
        fleet = self._node.fleet()
        endpoints = [
            item
            for item in fleet["endpoints"]
            if all(dict(item)[k] == v for k, v in call.query.items())
        ]
        return _json({**fleet, "endpoints": endpoints})

    async def _on_request(self, call: _Call) -> _Reply:
        request_id = call.path.removeprefix(REQUESTS_PATH)
        if not 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH:
            return _problem(400, "no request id or too long")
        report = self._node.request_report(request_id)
        if report is None:
            return _problem(404, "this node does not know the request")
        return _json(report)

    async def _on_drain(self, call: _Call) -> _Reply:
        return await self._change(call, "drain", self._node.drain)

    async def _on_undrain(self, call: _Call) -> _Reply:
        return await self._change(call, "undrain", self._node.undrain)

    async def _change(
        self,
        call: _Call,
        step: str,
        change: Callable[[], Awaitable[result.Result[None, str]]],
    ) -> _Reply:
        status = self._node.status()
        endpoint = call.query.get("endpoint", status["endpoint"])
        if endpoint != status["endpoint"]:
            # Only the node beside an endpoint can refuse its work.
            detail = (
                f"this node serves {status['endpoint'] or 'no endpoint'!r}"
            )
            return _problem(409, f"{detail}, not {endpoint!r}")
        outcome = await change()
        ok = isinstance(outcome, result.Success)
        log.event(
            "drain_changed",
            step=step,
            endpoint=endpoint,
            peer=call.client,
            ok=ok,
        )
        if isinstance(outcome, result.Failure):
            return _problem(409, outcome.failure())
        return _json(self._node.status())

    async def _on_metrics(self, call: _Call) -> _Reply:
        self._metrics.update(self._node.samples())
        body, headers = self._metrics.render()
        return _Reply(200, headers, body)


def _json(value: object) -> _Reply:
    body = msgspec.json.encode(value)
    return _Reply(200, {"content-type": JSON_TYPE}, body)


def _problem(status: int, detail: str) -> _Reply:
    """Return problem details as RFC 9457 defines them."""
    problem = {
        "type": "about:blank",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
    }
    body = msgspec.json.encode(problem)
    return _Reply(status, {"content-type": PROBLEM_TYPE}, body)


async def _send(send: Send, reply: _Reply) -> None:
    headers = [
        (name.lower().encode(), value.encode())
        for name, value in reply.headers.items()
    ]
    headers.append((b"content-length", str(len(reply.body)).encode()))
    headers.append((b"cache-control", b"no-store"))
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": reply.body})


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
