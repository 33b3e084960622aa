"""ASGI application for the local backend server, on the VM of the node.

``PUT /v1/backend``
    Announcement of the backend server, repeated as a heartbeat.
``/services/...`` and ``/v1/keys/...``
    Outbound calls of the backend server, with the same interface as for
    callers.
"""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import msgspec

from clementinekeel.callers import app as caller_app

BACKEND_PATH = "/v1/backend"
MAX_ANNOUNCEMENT_BYTES = 8 * 1024


class Announcement(NamedTuple):
    """Announcement of a backend server.

    Attributes
    ----------
    service, endpoint : str
        Names of its service and endpoint in the inventory.
    address : str
        ``ip:port`` of its HTTP interface.
    instance : str
        Changes with each start of the backend server's process.
    state : str
        ``starting``, ``ready`` or ``draining``.
    """

    service: str
    endpoint: str
    address: str
    instance: str
    state: Literal["starting", "ready", "draining"]


_decoder = msgspec.json.Decoder(dict[str, str])


class BackendApp:
    """ASGI application for the local backend server.

    Parameters
    ----------
    outbound_app : caller_app.CallerApp
        Handles the outbound calls of the backend server.
    on_announcement : Callable
        Called with each announcement. Returns the reason why the
        announcement is refused, or "".
    """

    def __init__(
        self,
        outbound_app: caller_app.CallerApp,
        on_announcement: Callable[[Announcement], str],
    ) -> None:
        self._outbound_app = outbound_app
        self._on_announcement = on_announcement

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Handle one ASGI connection scope."""
        is_announcement = (
            scope["type"] == "http"
            and scope["path"] == BACKEND_PATH
            and scope["method"] == "PUT"
        )
        if not is_announcement:
            await self._outbound_app(scope, receive, send)
            return
        body = await _read_body(receive)
        reason = "announcement is too long"
        if len(body) <= MAX_ANNOUNCEMENT_BYTES:
            reason = self._accept_announcement(body)
        status = 400 if reason else 204
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"text/plain")],
            }
        )
        await send({"type": "http.response.body", "body": reason.encode()})

    def _accept_announcement(self, body: bytes) -> str:
        try:
            fields = _decoder.decode(body)
            announcement = msgspec.convert(
                [fields.get(name) for name in Announcement._fields],
                Announcement,
            )
        except msgspec.MsgspecError as error:
            return f"announcement is faulty: {error}"
        return self._on_announcement(announcement)


async def _read_body(receive: caller_app.Receive) -> bytes:
    """Return the body, or the part of it that exceeds the limit."""
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        is_last = not message.get("more_body", False)
        if is_last or len(body) > MAX_ANNOUNCEMENT_BYTES:
            return bytes(body)
