"""Client side of a session with another node.

A session belongs to one incarnation of the other node. When the session is
lost, its socket is closed and the messages queued in it are discarded. The
next session has a new socket, so that no old message is delivered after a
reconnect.
"""

import enum
import math
import random
from typing import Any, NamedTuple

import anyio
import zmq

from clementinekeel.nodes import _socket
from clementinekeel.nodes import codec
from clementinekeel.nodes import drops
from clementinekeel.nodes import messages
from clementinekeel.nodes import streams
from clementinekeel.runtime import clock

HELLO_INTERVAL_MS = 250
"""Interval of hello messages until the session is open, and of the timer of a
session with calls."""
PING_INTERVAL_MS = 500
"""Silence, with calls in flight, after which the peer is pinged."""
IDLE_PING_INTERVAL_MS = 20_000
"""Silence without calls in flight after which the peer is pinged. A node in a
fleet at full size has a hundred idle sessions, whose pings may take only a
part of 12 KB/s."""
TIMEOUT_MS = 2_000
"""Silence, with calls in flight, after which a session is lost."""
IDLE_TIMEOUT_MS = 50_000
"""Silence without calls in flight after which a session is lost."""
IDLE_AFTER_MS = 2_000
"""Time without calls after which the timer runs at the interval below."""
IDLE_CHECK_INTERVAL_MS = 5_000
"""Interval of the timer of an idle session. At the interval of busy sessions,
the timers of a hundred idle sessions take more than 1% of a core."""
MAX_CLOCK_DRIFT = 0.001
"""Largest difference in rate between two monotonic clocks."""
NONCE_BITS = 63

_CONNECTED_EVENT = zmq.EVENT_HANDSHAKE_SUCCEEDED
_DISCONNECT_EVENTS = (
    zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CLOSED
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)

_REPLIES = (
    messages.Answer,
    messages.Refused,
    messages.Failed,
    messages.Record,
    messages.ConfigurationReply,
)
_Reply = (
    messages.Answer
    | messages.Refused
    | messages.Failed
    | messages.Record
    | messages.ConfigurationReply
)


class State(enum.Enum):
    """State of a session."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"


class SessionLost(NamedTuple):
    """The session ended before the call was answered.

    Attributes
    ----------
    was_sent : bool
        False if the call certainly did not reach the other node.
    """

    reason: str
    was_sent: bool


class Reply(NamedTuple):
    """First message of the other node about a call.

    Attributes
    ----------
    message : NamedTuple
        A message type of ``nodes.messages``, or ``SessionLost``.
    body : bytes
        First part of the body.
    """

    message: Any
    body: bytes


class ClientStream:
    """A call in flight on a session."""

    def __init__(self, session: "Session", number: int, sent_ms: int) -> None:
        self.number = number
        self.sent_ms = sent_ms
        self.incoming_body = streams.IncomingBody(
            session.node_id, self._grant, credit=streams.WINDOW_CHUNKS
        )
        self.outgoing_body = streams.OutgoingBody(
            number, session.node_id, session.send, credit=0
        )
        self._session = session
        self._replied = anyio.Event()
        self._reply = Reply(SessionLost("no reply", True), b"")

    @property
    def has_reply(self) -> bool:
        """Whether the first message about the call has arrived."""
        return self._replied.is_set()

    async def reply(self) -> Reply:
        """Wait for the first message about the call."""
        await self._replied.wait()
        return self._reply

    def cancel(self, reason: str) -> None:
        """Cancel the call at the other node and remove the stream."""
        self._session.send(messages.Cancel(self.number, reason))
        self._session.remove_stream(self.number)

    def close(self) -> None:
        """Remove the stream; later messages about the call are dropped."""
        if not self.has_reply:
            # Otherwise the call would stay in flight at the other node,
            # which expects frequent pings on a session with such calls.
            self.cancel("no longer waited for")
        self._session.remove_stream(self.number)

    def on_reply(self, message: Any, body: bytes) -> None:
        """Handle a message about the call; the first one is the reply."""
        if self._replied.is_set():
            # The other node could not complete the answer that it started.
            self.incoming_body.fail(getattr(message, "reason", "second reply"))
            return
        self._reply = Reply(message, body)
        if isinstance(message, messages.Answer):
            self.incoming_body.open(body, message.last)
        elif isinstance(message, messages.ConfigurationReply):
            self.incoming_body.open(b"", is_last=False)
        else:
            self.outgoing_body.fail("call ended")
        self._replied.set()

    def on_lost(self, reason: str, was_sent: bool) -> None:
        """End the call after the loss of the session."""
        self.incoming_body.fail(reason)
        self.outgoing_body.fail(reason)
        self.on_reply(SessionLost(reason, was_sent), b"")

    def _grant(self, chunks: int) -> None:
        self._session.send(messages.Credit(self.number, chunks))


class Session:
    """Session with one incarnation of another node.

    The task in ``run`` owns the socket.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    message_codec : codec.Codec
        Encodes and decodes messages.
    address : str
        ``ip:port`` of the other node.
    node_id : str
        Expected id of the other node.
    incarnation : int
        Expected incarnation of the other node.
    drop_log : drops.DropLog
        Counts dropped messages.
    """

    def __init__(
        self,
        context: zmq.Context[Any],
        message_codec: codec.Codec,
        address: str,
        node_id: str,
        incarnation: int,
        drop_log: drops.DropLog,
    ) -> None:
        self.address = address
        self.node_id = node_id
        self.incarnation = incarnation
        self.last_used_ms = clock.now_ms()
        self._peer = (node_id, incarnation)
        self._codec = message_codec
        self._drops = drop_log
        self._socket = _socket.MessageSocket(
            context, zmq.DEALER, self._on_frames
        )
        self._state = State.CONNECTING
        self._state_changed = anyio.Event()
        self._close_reason = ""
        self._nonce = random.getrandbits(NONCE_BITS)
        self._number = 0
        self._sequence = 0
        self._peer_sequence = -1
        self._streams: dict[int, ClientStream] = {}
        self._next_stream = 1
        self._last_heard_ms = clock.now_ms()
        # Silence is measured from here if nothing was received since then.
        self._silent_since_ms = self._last_heard_ms
        self._last_ping_ms = 0
        self._call_started: anyio.Event | None = None
        self._clock_offset_ms = -math.inf
        self._clock_sample_ms = 0

    @property
    def state(self) -> State:
        """State of the session."""
        return self._state

    @property
    def close_reason(self) -> str:
        """Why the session was closed, or empty."""
        return self._close_reason

    @property
    def in_flight(self) -> int:
        """Number of calls in flight."""
        return len(self._streams)

    @property
    def peer_clock_ms(self) -> int:
        """Lower bound of the other node's current monotonic clock.

        Valid once the session is open.
        """
        now = clock.now_ms()
        return math.floor(now + self._decayed_offset_ms(now))

    async def run(self) -> None:
        """Open the session and keep it until it is lost or closed."""
        try:
            # Monitored before the connection starts, to miss no event.
            self._socket.monitor(_CONNECTED_EVENT | _DISCONNECT_EVENTS)
            self._socket.connect(self.address)
        except zmq.ZMQError as error:
            # The address comes from another node and may be malformed, and
            # the number of sockets is limited. Neither error may end the
            # other sessions.
            self.close(f"cannot connect: {error}")
            return
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._socket.watch, self._on_connection)
                tasks.start_soon(self._keep_alive)
                await self._socket.run()
                tasks.cancel_scope.cancel()
        finally:
            self.close("closed")

    async def wait_open(self) -> bool:
        """Wait until the session is open or closed; True if it is open."""
        while self._state is State.CONNECTING:
            await self._state_changed.wait()
        return self._state is State.OPEN

    def open_stream(self) -> ClientStream:
        """Open a stream for a call, which the caller sends next."""
        now = clock.now_ms()
        stream = ClientStream(self, self._next_stream, now)
        self._next_stream += 1
        self.last_used_ms = now
        if self._state is State.CLOSED:
            stream.on_lost(self._close_reason, was_sent=False)
            return stream
        if not self._expects_reply:
            # An idle session is rarely pinged, so its silence until now is
            # no sign of a loss.
            self._silent_since_ms = max(
                self._last_heard_ms, now - PING_INTERVAL_MS
            )
        self._streams[stream.number] = stream
        if self._call_started is not None:
            self._call_started.set()
        return stream

    def remove_stream(self, number: int) -> None:
        """Remove a stream."""
        self._streams.pop(number, None)
        self.last_used_ms = clock.now_ms()

    def send(self, payload: Any, body: bytes = b"") -> bool:
        """Send a message.

        Returns
        -------
        bool
            False if it was certainly not sent.
        """
        if self._state is State.CLOSED:
            return False
        self._sequence += 1
        frames = self._codec.encode(
            payload, body, self._number, self._sequence, clock.now_ms()
        )
        return self._socket.send(frames)

    def close(self, reason: str) -> None:
        """Close the socket, discard queued messages and end all calls."""
        if self._state is State.CLOSED:
            return
        self._state = State.CLOSED
        self._close_reason = reason
        self._socket.close()
        for stream in list(self._streams.values()):
            stream.on_lost(reason, was_sent=True)
        self._streams.clear()
        self._state_changed.set()

    @property
    def _expects_reply(self) -> bool:
        # A reply is also expected after the last call was cancelled, until
        # a message arrives. Otherwise a series of short calls, each
        # cancelled at its deadline, would hide the loss of the other node.
        return bool(self._streams) or (
            self._silent_since_ms > self._last_heard_ms
        )

    async def _keep_alive(self) -> None:
        while self._state is not State.CLOSED:
            self._tick(clock.now_ms())
            if self._is_idle:
                await self._wait_for_call()
            else:
                await clock.sleep_ms(HELLO_INTERVAL_MS)

    @property
    def _is_idle(self) -> bool:
        if self._state is not State.OPEN or self._expects_reply:
            return False
        return clock.now_ms() - self.last_used_ms >= IDLE_AFTER_MS

    async def _wait_for_call(self) -> None:
        """Wait for the next call, at most ``IDLE_CHECK_INTERVAL_MS``."""
        self._call_started = anyio.Event()
        with anyio.move_on_after(IDLE_CHECK_INTERVAL_MS / clock.MS_PER_S):
            await self._call_started.wait()
        self._call_started = None

    def _tick(self, now: int) -> None:
        silence = now - max(self._last_heard_ms, self._silent_since_ms)
        limit = TIMEOUT_MS
        if self._state is State.OPEN and not self._expects_reply:
            limit = IDLE_TIMEOUT_MS
        if silence > limit:
            self.close("timeout")
        elif self._state is State.CONNECTING:
            self.send(messages.Hello(self._nonce))
        elif self._needs_ping(now, silence):
            self._last_ping_ms = now
            self.send(messages.Ping())

    def _needs_ping(self, now: int, silence: int) -> bool:
        interval = IDLE_PING_INTERVAL_MS
        if self._expects_reply:
            interval = PING_INTERVAL_MS
        return min(silence, now - self._last_ping_ms) >= interval

    def _on_connection(self, event: int) -> None:
        if event != _CONNECTED_EVENT:
            self.close("connection lost")
        elif self._state is State.CONNECTING:
            # Waiting for the next tick would add up to HELLO_INTERVAL_MS to
            # the first call.
            self.send(messages.Hello(self._nonce))

    def _on_frames(self, frames: list[bytes]) -> None:
        try:
            message = self._codec.decode(frames, self.node_id)
        except codec.CodecError as error:
            self._drops.record(self.node_id, error.reason)
            return
        envelope = message.envelope
        if (envelope.sender, envelope.incarnation) != self._peer:
            self.close("other incarnation")
            return
        if not self._is_current(envelope, message.payload):
            self._drops.record(self.node_id, "stale message")
            return
        self._peer_sequence = envelope.sequence
        self._last_heard_ms = clock.now_ms()
        self._update_clock_offset(envelope.clock_ms)
        self._dispatch(message)

    def _is_current(self, envelope: messages.Envelope, payload: Any) -> bool:
        if envelope.sequence <= self._peer_sequence:
            return False
        if isinstance(payload, messages.Welcome):
            return payload.nonce == self._nonce
        return envelope.session == self._number and self._number != 0

    def _update_clock_offset(self, peer_clock_ms: int) -> None:
        # The largest offset is that of the least delayed message. It decays,
        # so that clocks with different rates cannot accumulate an error. One
        # millisecond is subtracted because both clocks are rounded down:
        # this one may advance by a millisecond more than the time that has
        # passed.
        now = clock.now_ms()
        offset = float(peer_clock_ms - now - 1)
        self._clock_offset_ms = max(offset, self._decayed_offset_ms(now))
        self._clock_sample_ms = now

    def _decayed_offset_ms(self, now: int) -> float:
        elapsed_ms = now - self._clock_sample_ms
        return self._clock_offset_ms - elapsed_ms * MAX_CLOCK_DRIFT

    def _dispatch(self, message: codec.Message) -> None:
        payload = message.payload
        if isinstance(payload, messages.Welcome):
            self._on_welcome(payload)
        elif isinstance(payload, messages.Pong):
            pass
        elif isinstance(payload, messages.Chunk):
            self._on_chunk(payload, message.body)
        elif isinstance(payload, messages.Credit):
            self._on_credit(payload)
        elif isinstance(payload, _REPLIES):
            self._on_reply(payload, message.body)
        else:
            self._drops.record(self.node_id, "unexpected message")

    def _on_welcome(self, welcome: messages.Welcome) -> None:
        if self._state is State.CONNECTING:
            self._number = welcome.session
            self._state = State.OPEN
            self._state_changed.set()

    def _on_reply(self, reply: _Reply, body: bytes) -> None:
        stream = self._streams.get(reply.stream)
        if stream is not None:
            stream.on_reply(reply, body)

    def _on_chunk(self, chunk: messages.Chunk, body: bytes) -> None:
        stream = self._streams.get(chunk.stream)
        if stream is not None:
            stream.incoming_body.on_chunk(chunk, body)

    def _on_credit(self, credit: messages.Credit) -> None:
        stream = self._streams.get(credit.stream)
        if stream is not None:
            stream.outgoing_body.on_credit(credit)
