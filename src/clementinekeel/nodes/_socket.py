"""Non-blocking zmq socket for anyio that passes messages to a handler."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel
import zmq
import zmq.utils.monitor

from clementinekeel.nodes import codec

MAX_BATCH = 64
"""Messages handled before other tasks of the event loop can run."""
HIGH_WATER_MESSAGES = 2_000
"""Messages that zmq queues per connection and direction."""
MAX_FRAME_BYTES = codec.MAX_HEAD_BYTES
"""Largest frame of a valid message. zmq closes a connection that sends a
longer frame, before it reads the frame into memory."""
NO_RECONNECT = -1
"""Value of zmq's reconnect interval that disables reconnecting."""

FramesHandler = Callable[[list[bytes]], None]
EventHandler = Callable[[int], None]


class MessageSocket:
    """Non-blocking zmq socket.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    socket_type : int
        ``zmq.ROUTER`` or ``zmq.DEALER``.
    on_frames : Callable
        Called with the frames of each message. Must not block.
    """

    def __init__(
        self,
        context: zmq.Context[Any],
        socket_type: int,
        on_frames: FramesHandler,
    ) -> None:
        self._socket = context.socket(socket_type)
        # Messages queued for a lost connection are discarded with the
        # socket, so that no request arrives later and runs.
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        self._socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        # A session ends with its connection. After a reconnect, zmq could
        # deliver messages that were queued for the first connection.
        self._socket.setsockopt(zmq.RECONNECT_IVL, NO_RECONNECT)
        if socket_type == zmq.ROUTER:
            self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._descriptor = int(self._socket.getsockopt(zmq.FD))
        self._on_frames = on_frames
        self._monitor: zmq.Socket[Any] | None = None
        self._monitor_descriptor = -1
        self._is_handling = False
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

    def monitor(self, events: int) -> None:
        """Start to record connection events, which ``watch`` reports.

        Parameters
        ----------
        events : int
            Bit mask of events of zmq's socket monitor.
        """
        self._monitor = self._socket.get_monitor_socket(events)
        self._monitor_descriptor = int(self._monitor.getsockopt(zmq.FD))

    async def watch(self, on_event: EventHandler) -> None:
        """Report recorded events until the socket is closed.

        Parameters
        ----------
        on_event : Callable
            Called with the number of each event. Must not block.
        """
        while not self._is_closed:
            event = self._next_event()
            if event is not None:
                on_event(event)
                continue
            try:
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
        is_sent = self._try_send(frames) or self._retry_send(frames)
        # The descriptor is edge-triggered: a send, even a failed one, can
        # consume the event that signals a received message.
        if self.handle_received() and not self._is_closed:
            # More messages are waiting than fit in one batch, and the
            # descriptor does not signal them again: wake the task in ``run``.
            anyio.notify_closing(self._descriptor)
        return is_sent

    def handle_received(self) -> bool:
        """Handle the messages received so far, at most one batch.

        Returns
        -------
        bool
            True if more messages may be waiting.
        """
        if self._is_handling or self._is_closed:
            return False
        self._is_handling = True
        try:
            return all(self._receive_one() for _ in range(MAX_BATCH))
        finally:
            self._is_handling = False

    async def run(self) -> None:
        """Handle messages until the socket is closed."""
        while not self._is_closed:
            if self.handle_received():
                await anyio.lowlevel.checkpoint()
            elif not self._is_closed:
                try:
                    await anyio.wait_readable(self._descriptor)
                except anyio.ClosedResourceError:
                    # The socket was closed, or ``send`` woke this task.
                    continue

    def close(self) -> None:
        """Close the socket and discard its queued messages."""
        if self._is_closed:
            return
        self._is_closed = True
        anyio.notify_closing(self._descriptor)
        if self._monitor_descriptor >= 0:
            anyio.notify_closing(self._monitor_descriptor)
        self._socket.disable_monitor()
        if self._monitor is not None:
            self._monitor.close(linger=0)
        self._socket.close(linger=0)

    def _try_send(self, frames: list[bytes]) -> bool:
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK, copy=False)
        except zmq.ZMQError:
            return False
        return True

    def _retry_send(self, frames: list[bytes]) -> bool:
        # A send does not always process what zmq's I/O thread reports, for
        # example a new connection or free space in the queue; reading EVENTS
        # does.
        if not int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLOUT:
            return False
        return self._try_send(frames)

    def _receive_one(self) -> bool:
        if self._is_closed:
            return False
        try:
            frames = self._socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._on_frames(frames)
        return True

    def _next_event(self) -> int | None:
        assert self._monitor is not None
        try:
            message = zmq.utils.monitor.recv_monitor_message(
                self._monitor, zmq.NOBLOCK
            )
        except zmq.ZMQError:
            return None
        return int(message["event"])
