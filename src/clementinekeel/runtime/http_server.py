"""HTTP servers, run by hypercorn inside asyncio's event loop."""

import logging
import socket
from typing import Any

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

BACKLOG = 1_024
KEEP_ALIVE_MAX_REQUESTS = 2**31
"""Hypercorn by default closes a connection after 1,000 requests, which would
force clients to reconnect during steady traffic."""
KEEP_ALIVE_TIMEOUT_S = 75
HEADERS_TOO_LARGE_STATUS = 431
HEADER_OVERHEAD_BYTES = 4
"""Colon, space and line end of one header."""
GRACEFUL_TIMEOUT_S = 1
"""Time for idle connections to close, after all requests have ended."""


def bind(address: str) -> socket.socket:
    """Return a listening socket.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 selects a free port.
    """
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)


def address_of(listener: socket.socket) -> str:
    """Return the address of a listening socket as ``ip:port``."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def serve(
    app: Any,
    listener: socket.socket,
    shutdown: anyio.Event,
    max_header_bytes: int,
) -> None:
    """Serve an ASGI application until ``shutdown`` is set.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    listener : socket.socket
        Listening socket; closed when the server ends.
    shutdown : anyio.Event
        Ends the server once set; requests in flight are finished first.
    max_header_bytes : int
        Largest size of a request head.
    """
    config = hypercorn.config.Config()
    # Hypercorn closes the descriptor that it is given, hence the duplicate.
    config.bind = [f"fd://{listener.dup().detach()}"]
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    # Hypercorn's read timeout also ends requests that wait for their answer,
    # and starts a task for each read. The keep-alive timeout ends slow heads,
    # and the application ends slow bodies.
    config.read_timeout = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.h11_max_incomplete_size = max_header_bytes
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = _error_logger()
    limited = _limit_head(app, max_header_bytes)
    try:
        await hypercorn.asyncio.serve(
            limited, config, shutdown_trigger=shutdown.wait, mode="asgi"
        )
    finally:
        listener.close()


def _limit_head(app: Any, max_bytes: int) -> Any:
    """Wrap an application so that request heads above a size are refused.

    h11 applies its limit only to an incomplete head, so a head that arrives
    in one read may be larger. It is refused as h11 refuses the others.
    """

    async def limited(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http" or _head_bytes(scope) <= max_bytes:
            await app(scope, receive, send)
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        await send(
            {
                "type": "http.response.start",
                "status": HEADERS_TOO_LARGE_STATUS,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": b""})

    return limited


def _head_bytes(scope: dict[str, Any]) -> int:
    size = len(scope["raw_path"]) + len(scope["query_string"])
    for name, value in scope["headers"]:
        size += len(name) + len(value) + HEADER_OVERHEAD_BYTES
    return size


def _error_logger() -> logging.Logger:
    logger = logging.getLogger("clementinekeel.http")
    logger.setLevel(logging.ERROR)
    return logger
