"""A connection between two forwarding nodes, used in both directions."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any, cast

from clementinekeel.nodes import frames
from clementinekeel.nodes import transit
from clementinekeel.runtime import decision_log

SILENCE_MS = 1_500
"""A link with an open question is given up after this silence.

A round trip between regions takes 60 ms; the rest allows for a peer that is
short of processor time. A partition or a silent connection shows no other
sign.
"""
PING_AFTER_MS = 1_500
"""Idle time after which a ping tests a link. Links between regions are billed
by volume, and with 80 nodes each one has 160 links to test."""
USER_TIMEOUT_MS = 3_000
"""The kernel drops a connection whose data is not acknowledged for so long."""


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Let the kernel give up a connection whose peer has gone silent."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )


class Link(asyncio.Protocol):
    """Sends and receives frames.

    Parameters
    ----------
    on_frame : callable
        Called with this link and each frame.
    on_open, on_lost : callable
        Called with this link when it is connected and when it has ended.
    decisions : DecisionLog
        Where the faults of the link are noted.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", frames.Frame], None],
        on_open: Callable[["Link"], None],
        on_lost: Callable[["Link"], None],
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._decisions = decisions
        self._on_frame = on_frame
        self._on_open = on_open
        self._on_lost = on_lost
        self._reader = frames.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._asked_at: float | None = None
        self.peer: frames.Hello | None = None
        self.status: frames.EndpointStatus | None = None
        self.streams: dict[int, Any] = {}
        self.transit = transit.DelayEstimator()

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def send(self, frame: frames.Frame) -> None:
        """Send a frame; it is lost if the link has ended."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(frames.encode(frame))

    def expect_reply(self) -> None:
        """Note that an answer is expected from now on."""
        if self._asked_at is None:
            self._asked_at = self._loop.time()

    def abort(self) -> None:
        """End the link at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """End the link once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    def check_liveness(self, configuration: int) -> None:
        """Test an idle link and give up a silent one; called in a cycle."""
        now = self._loop.time()
        idle_ms = (now - self._heard_at) * 1000
        if self._asked_at is not None:
            silent_ms = (now - max(self._asked_at, self._heard_at)) * 1000
            if silent_ms > SILENCE_MS:
                name = self.peer.node if self.peer else ""
                self._decisions.write(
                    "link_silent",
                    False,
                    peer=name,
                    silent_ms=round(silent_ms),
                )
                self.abort()
        elif idle_ms > PING_AFTER_MS:
            self.expect_reply()
            self.send(frames.Ping(configuration))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        set_user_timeout(transport)
        self._heard_at = self._loop.time()
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Deliver the frames in some bytes."""
        self._heard_at = self._loop.time()
        self._asked_at = None
        try:
            received = self._reader.feed(data)
        except frames.FrameError as error:
            self._decisions.write(
                "frame_dropped",
                False,
                peer=self.peer.node if self.peer else "",
                reason=error.reason,
            )
            self.abort()
            return
        for frame in received:
            self._on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._on_lost(self)
