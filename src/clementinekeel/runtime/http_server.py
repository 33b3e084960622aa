"""HTTP listeners, served by hypercorn inside the event loop."""

import logging
import socket
from typing import Any

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config
import hypercorn.trio
import sniffio

BACKLOG = 1_024
KEEP_ALIVE_REQUESTS = 2**31
"""Hypercorn's default closes a connection after 1,000 requests, which would
cost a reconnect in the middle of steady traffic."""
KEEP_ALIVE_TIMEOUT_S = 75
READ_TIMEOUT_S = 30
"""Longest wait for the next part of a request; ends slow senders."""
GRACEFUL_TIMEOUT_S = 1
"""Time for idle connections to close; requests have ended by then."""


def bind(address: str) -> socket.socket:
    """Return a listening socket.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 picks a free one.
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
        What to serve.
    listener : socket.socket
        Listening socket; closed at the end.
    shutdown : anyio.Event
        Ends the server; requests in flight are finished first.
    max_header_bytes : int
        Longest head of a request.
    """
    config = hypercorn.config.Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.read_timeout = READ_TIMEOUT_S
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.h11_max_incomplete_size = max_header_bytes
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = _quiet_logger()
    backend = {
        "asyncio": hypercorn.asyncio.serve,
        "trio": hypercorn.trio.serve,
    }
    serve_app = backend[sniffio.current_async_library()]
    await serve_app(app, config, shutdown_trigger=shutdown.wait, mode="asgi")


def _quiet_logger() -> logging.Logger:
    logger = logging.getLogger("clementinekeel.http")
    logger.setLevel(logging.ERROR)
    return logger
