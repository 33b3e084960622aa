"""ASGI application for the backend server beside the node.

``PUT /v1/backend``
    The backend server announces itself, and repeats it as a heartbeat.
``/services/...`` and ``/v1/keys/...``
    Its onward calls, as for callers.
"""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import msgspec

from clementinekeel.callers import app as caller_app

BACKEND_PATH = "/v1/backend"
MAX_ANNOUNCEMENT_BYTES = 8 * 1024


class Announcement(NamedTuple):
    """What a backend server says about itself.

    Attributes
    ----------
    service, endpoint : str
        Its place in the inventory.
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
    """ASGI application for the backend server.

    Parameters
    ----------
    onward : caller_app.CallerApp
        Takes its onward calls.
    on_announcement : Callable
        Called with each announcement; returns why it is refused, or "".
    """

    def __init__(
        self,
        onward: caller_app.CallerApp,
        on_announcement: Callable[[Announcement], str],
    ) -> None:
        self._onward = onward
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
            await self._onward(scope, receive, send)
            return
        body = await _read_body(receive)
        reason = "announcement is too long"
        if len(body) <= MAX_ANNOUNCEMENT_BYTES:
            reason = self._take(body)
        status = 400 if reason else 204
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"text/plain")],
            }
        )
        await send({"type": "http.response.body", "body": reason.encode()})

    def _take(self, body: bytes) -> str:
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
    """Return the body, or a part that is longer than allowed."""
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        is_last = not message.get("more_body", False)
        if is_last or len(body) > MAX_ANNOUNCEMENT_BYTES:
            return bytes(body)
