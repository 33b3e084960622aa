"""Connection between two forwarding nodes, used in both directions."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from clementinekeel.nodes import frames
from clementinekeel.nodes import liveness
from clementinekeel.nodes import result_memory
from clementinekeel.nodes import transit
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import sockets
from clementinekeel.runtime import supervision

SILENCE_LIMITS = sockets.SilenceLimits(unacknowledged_ms=3_000, probes=0)
"""Pings test idle links, so that the kernel sends no probes."""
ESSENTIAL = (frames.Hello, frames.Resume)
"""Frames without which the other node's view of the link is unknown. Any other
one concerns one request at most, which ends at its deadline."""


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
    number : int
        Number that the node that opened the link gave it; 0 while it is
        unknown.

    Attributes
    ----------
    peer : Hello or None
        First frame of the other node.
    streams : dict
        Requests that were offered over this link, by stream number; filled
        by ``on_frame``.
    results : ResultMemory
        Results that were sent over this link lately.
    last_stream : int
        Highest number of an offer that arrived here or on a link that this
        one has replaced.
    replaced_links : set of int
        Numbers of the links that this one has replaced.
    transit : DelayEstimator
        Delays of the frames received on this link.
    is_waiting : callable
        Tells whether offers of this node are still without a result.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", frames.Frame], None],
        on_open: Callable[["Link"], None],
        on_lost: Callable[["Link"], None],
        decisions: decision_log.DecisionLog,
        number: int = 0,
    ) -> None:
        self._decisions = decisions
        self._on_frame = on_frame
        self._on_open = on_open
        self._on_lost = on_lost
        self._reader = frames.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._liveness = liveness.Liveness(self._loop.time())
        self._is_replaced = False
        self._is_ended = False
        self._is_finished = False
        self._waiting_bytes = 0
        self.number = number
        self.peer: frames.Hello | None = None
        self.status: frames.EndpointStatus | None = None
        self.streams: dict[int, Any] = {}
        self.results = result_memory.ResultMemory()
        self.last_stream = 0
        self.replaced_links: set[int] = set()
        self.transit = transit.DelayEstimator()
        self.is_waiting: Callable[[], bool] = lambda: False

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        if transport is None or self._is_finished:
            return False
        return not transport.is_closing()

    @property
    def is_doubtful(self) -> bool:
        """Whether the peer has been silent for longer than usual."""
        return self._liveness.is_doubtful

    @property
    def needs_close_watch(self) -> bool:
        """Whether offers or a ping wait for a sign of the peer."""
        return self._liveness.is_probing or self.is_waiting()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def _peer_name(self) -> str:
        return self.peer.node if self.peer else ""

    def send(self, frame: frames.Frame) -> None:
        """Send a frame; it is lost if the link has ended."""
        if self.is_open:
            self._write(frames.encode(frame))

    def send_result(self, frame: result_memory.Result) -> None:
        """Send a part of a result, and keep it in case the link is silent."""
        data = frames.encode(frame)
        self.results.record(frame, data, self._loop.time())
        self._write(data)

    def send_again(self, sent: result_memory.SentFrame) -> None:
        """Send a frame of a result again that a silent link has lost."""
        self.results.add(sent._replace(sent_at=self._loop.time()))
        self._write(sent.data)

    def accept_hello(self, hello: frames.Hello) -> bool:
        """Note who the peer is, or abort if it speaks another protocol."""
        self.peer = hello
        self.number = hello.link
        if hello.protocol == frames.PROTOCOL_VERSION:
            return True
        self._decisions.write(
            "protocol_mismatch",
            False,
            peer=hello.node,
            version=hello.protocol,
        )
        self.abort()
        return False

    def expect_reply(self) -> None:
        """Expect a sign of the peer soon."""
        self._liveness.on_offer(self._loop.time())

    def abort(self) -> None:
        """End the link at once; frames that have been read are ignored."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def replace(self) -> None:
        """End the link at once, since another one takes its place.

        What has not been read yet is ignored, and its end is not reported.
        """
        self._is_replaced = True
        self.abort()

    def close(self) -> None:
        """End the link once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    def finish(self) -> None:
        """Send nothing more, and let the peer end the link.

        If this side closed it, the next frame of the peer would reset the
        connection, and the peer would lose what it has not read yet.
        """
        if self._transport is not None and self.is_open:
            self._is_finished = True
            self._transport.write_eof()

    def check_liveness(
        self,
        configuration_version: int,
        idle_s: float = liveness.IDLE_PROBE_S,
    ) -> liveness.Action:
        """Ping the peer of an idle link, or abort a silent link.

        To be called periodically.

        Parameters
        ----------
        configuration_version : int
            Version in force at this node, sent with a ping.
        idle_s : float
            Idle time after which the link is tested.

        Returns
        -------
        Action
            ``DOUBT`` when the peer has begun to be silent for too long.
        """
        now = self._loop.time()
        self.results.forget_older(now)
        self._note_progress(now)
        action = self._liveness.check(now, self.is_waiting(), idle_s)
        if action is liveness.Action.PROBE:
            self.send(frames.Ping(configuration_version))
        elif action is liveness.Action.END:
            self._decisions.write("link_silent", False, peer=self._peer_name)
            self.abort()
        return action

    def postpone_checks(self, pause_s: float) -> None:
        """Leave out a time in seconds in which this process did not run."""
        self._liveness.postpone(pause_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        sockets.limit_silence(transport, SILENCE_LIMITS)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Pass the frames in received bytes to ``on_frame``."""
        if self._is_replaced:
            return
        self._liveness.on_received(self._loop.time())
        try:
            received = self._reader.feed(data)
        except frames.FrameError as error:
            self._decisions.write(
                "frame_dropped",
                False,
                peer=self._peer_name,
                reason=error.reason,
            )
            self.abort()
            return
        for frame in received:
            if self._is_ended:
                return
            try:
                self._on_frame(self, frame)
            except Exception as error:
                self._on_error(frame, error)
        if self._reader.malformed:
            self._drop_malformed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        if not self._is_replaced:
            self._on_lost(self)

    def _on_error(self, frame: frames.Frame, error: Exception) -> None:
        """Keep the link for its other requests, unless its state is unknown.

        An error in a callback of the event loop would end it.
        """
        step = f"frame {type(frame).__name__}"
        supervision.report_error(self._loop, step, error)
        if isinstance(frame, ESSENTIAL):
            self.abort()

    def _drop_malformed(self) -> None:
        """Leave out frames that can't be decoded; the next ones can be."""
        malformed, self._reader.malformed = self._reader.malformed, []
        for frame in malformed:
            self._decisions.write(
                "frame_dropped",
                False,
                peer=self._peer_name,
                reason=frame.reason,
            )
        if self.peer is None or any(f.kind in ESSENTIAL for f in malformed):
            self.abort()

    def _note_progress(self, now: float) -> None:
        """Notice that data which had to wait has been sent."""
        waiting_bytes = self.unsent_bytes
        if waiting_bytes < self._waiting_bytes:
            self._liveness.on_progress(now)
        self._waiting_bytes = waiting_bytes

    def _write(self, data: bytes) -> None:
        if self._transport is not None and self.is_open:
            self._transport.write(data)
