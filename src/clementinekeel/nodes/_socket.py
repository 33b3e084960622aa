"""A zmq socket under anyio that hands frames to a handler."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel
import zmq

MAX_BATCH = 64
"""Messages handled before other tasks of the event loop get a turn."""
HIGH_WATER_MESSAGES = 2_000

FramesHandler = Callable[[list[bytes]], None]


class MessageSocket:
    """Non-blocking zmq socket.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    kind : int
        ``zmq.ROUTER`` or ``zmq.DEALER``.
    on_frames : Callable
        Called with the frames of each message. Must not block.
    """

    def __init__(
        self, context: zmq.Context[Any], kind: int, on_frames: FramesHandler
    ) -> None:
        self._socket = context.socket(kind)
        # Messages to a lost connection are dropped with the socket, so that
        # they cannot arrive later and run.
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        self._socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        if kind == zmq.ROUTER:
            self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._descriptor = int(self._socket.getsockopt(zmq.FD))
        self._on_frames = on_frames
        self._monitor_descriptor = -1
        self._is_draining = False
        self._is_closed = False

    @property
    def endpoint(self) -> str:
        """Address that the socket is bound to, as ``ip:port``."""
        raw = self._socket.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(raw, bytes)
        return raw.rstrip(b"\0").decode().removeprefix("tcp://")

    def bind(self, address: str) -> None:
        """Listen on ``ip:port``; port 0 picks a free one."""
        self._socket.bind(f"tcp://{address}")

    def connect(self, address: str) -> None:
        """Connect to ``ip:port`` in the background."""
        self._socket.connect(f"tcp://{address}")

    async def watch(self, events: int, on_event: Callable[[], None]) -> None:
        """Call a handler at each connection event until closed.

        Parameters
        ----------
        events : int
            Events of zmq's socket monitor.
        on_event : Callable
            Must not block.
        """
        if self._is_closed:
            return
        monitor = self._socket.get_monitor_socket(events)
        self._monitor_descriptor = int(monitor.getsockopt(zmq.FD))
        try:
            while not self._is_closed:
                while _has_event(monitor):
                    on_event()
                    if self._is_closed:
                        return
                await anyio.wait_readable(self._monitor_descriptor)
        except anyio.ClosedResourceError:
            return

    def send(self, frames: list[bytes]) -> bool:
        """Send a message without blocking.

        Returns
        -------
        bool
            False if there is no connection or its queue is full.
        """
        if self._is_closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK, copy=False)
        except zmq.ZMQError:
            return False
        # The descriptor is edge-triggered: a send can consume the event
        # that announced a received message.
        if not self._is_draining:
            self.drain()
        return True

    def drain(self) -> bool:
        """Handle received messages.

        Returns
        -------
        bool
            True if more messages may be waiting.
        """
        if self._is_draining or self._is_closed:
            return False
        self._is_draining = True
        try:
            return all(self._receive_one() for _ in range(MAX_BATCH))
        finally:
            self._is_draining = False

    async def run(self) -> None:
        """Handle messages until the socket is closed."""
        while not self._is_closed:
            if self.drain():
                await anyio.lowlevel.checkpoint()
            elif not self._is_closed:
                try:
                    await anyio.wait_readable(self._descriptor)
                except anyio.ClosedResourceError:
                    return

    def close(self) -> None:
        """Close the socket and drop its queued messages."""
        if self._is_closed:
            return
        self._is_closed = True
        anyio.notify_closing(self._descriptor)
        if self._monitor_descriptor >= 0:
            anyio.notify_closing(self._monitor_descriptor)
        self._socket.disable_monitor()
        self._socket.close(linger=0)

    def _receive_one(self) -> bool:
        if self._is_closed:
            return False
        try:
            frames = self._socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._on_frames(frames)
        return True


def _has_event(monitor: "zmq.Socket[Any]") -> bool:
    try:
        monitor.recv_multipart(zmq.NOBLOCK)
    except zmq.ZMQError:
        return False
    return True
