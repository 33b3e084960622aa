"""Connection between two forwarding nodes, used in both directions."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any, cast

from clementinekeel.nodes import frames
from clementinekeel.nodes import transit
from clementinekeel.runtime import decision_log

SILENCE_TIMEOUT_MS = 1_500
"""A link on which a reply is expected is closed after this silence.

A round trip between regions takes 60 ms; the rest allows for a peer that is
short of processor time. A partition or a half-open connection can only be
detected by silence.
"""
PING_IDLE_MS = 1_500
"""Idle time after which a link is tested by a ping. Traffic between regions
is billed by volume, and in a fleet of 80 nodes each node has 160 links to
test."""
USER_TIMEOUT_MS = 3_000
"""The kernel closes a connection whose data stays unacknowledged for this
time."""


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection whose peer acknowledges no data."""
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
        Called with this link and each received frame.
    on_open, on_lost : callable
        Called with this link when it is connected and when it has ended.
    decisions : DecisionLog
        Log for faults of the link.

    Attributes
    ----------
    peer : Hello or None
        First frame of the other node; set by ``on_frame``.
    streams : dict
        Requests that were offered over this link, by stream number; filled
        by ``on_frame``.
    transit : DelayEstimator
        Delays of the frames received on this link.
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
        self._last_received_at = self._loop.time()
        self._reply_expected_since: float | None = None
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
        """Expect a reply; the peer's silence is timed from now on."""
        if self._reply_expected_since is None:
            self._reply_expected_since = self._loop.time()

    def abort(self) -> None:
        """End the link at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """End the link once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    def check_liveness(self, configuration_version: int) -> None:
        """Ping the peer of an idle link, or abort a silent link.

        To be called periodically.

        Parameters
        ----------
        configuration_version : int
            Version in force at this node, sent with a ping.
        """
        now = self._loop.time()
        idle_ms = (now - self._last_received_at) * 1000
        if self._reply_expected_since is not None:
            silent_ms = (
                now - max(self._reply_expected_since, self._last_received_at)
            ) * 1000
            if silent_ms > SILENCE_TIMEOUT_MS:
                name = self.peer.node if self.peer else ""
                self._decisions.write(
                    "link_silent",
                    False,
                    peer=name,
                    silent_ms=round(silent_ms),
                )
                self.abort()
        elif idle_ms > PING_IDLE_MS:
            self.expect_reply()
            self.send(frames.Ping(configuration_version))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        set_user_timeout(transport)
        self._last_received_at = self._loop.time()
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Pass the frames in received bytes to ``on_frame``."""
        self._last_received_at = self._loop.time()
        self._reply_expected_since = None
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
