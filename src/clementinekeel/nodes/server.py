"""Server side of the sessions that other nodes open."""

from collections.abc import Callable
import random
from typing import Any, Protocol

import anyio
import zmq

from clementinekeel.nodes import _socket
from clementinekeel.nodes import codec
from clementinekeel.nodes import drops
from clementinekeel.nodes import messages
from clementinekeel.nodes import streams
from clementinekeel.runtime import clock

CHECK_INTERVAL_MS = 500
TIMEOUT_MS = 3_000
"""Silence, with calls in flight, after which the client counts as lost."""
IDLE_TIMEOUT_MS = 75_000
"""Silence without calls in flight after which the client counts as lost;
clients ping idle sessions every 20 s."""
MAX_SESSIONS = 10_000
SESSION_NUMBER_BITS = 62
"""Bits of the random numbers of sessions."""


class Handler(Protocol):
    """Handles the requests of other nodes.

    Its methods must not block; they start tasks for longer work.
    """

    def on_call(self, stream: "ServerStream") -> None:
        """Handle a call."""

    def on_inquire(self, stream: "ServerStream") -> None:
        """Answer an inquiry about a key."""

    def on_configuration_request(self, stream: "ServerStream") -> None:
        """Answer with the configuration in force."""


class CancelHandler(Protocol):
    """Called when the client no longer waits for a stream."""

    def __call__(self, reason: str, is_lost: bool) -> None:
        """Handle a cancellation.

        Parameters
        ----------
        reason : str
            Why the call is cancelled.
        is_lost : bool
            True if the session was lost: the client did not cancel the call
            and may ask for its outcome later.
        """


class ServerStream:
    """A request of another node and the replies to it.

    Attributes
    ----------
    request : NamedTuple
        The message that opened the stream.
    incoming_body : streams.IncomingBody
        Body of the request.
    outgoing_body : streams.OutgoingBody
        Body of the answer.
    on_cancel : CancelHandler or None
        Set by the handler of the call.
    """

    def __init__(
        self, session: "PeerSession", request: Any, body: bytes
    ) -> None:
        self.request = request
        self.number: int = request.stream
        # The rest of a body is sent only after ``invite_body``.
        self.incoming_body = streams.IncomingBody(
            session.node_id, self._grant, credit=0
        )
        self.incoming_body.open(body, getattr(request, "last", True))
        self.outgoing_body = streams.OutgoingBody(
            self.number,
            session.node_id,
            session.send,
            credit=streams.WINDOW_CHUNKS,
        )
        self.on_cancel: CancelHandler | None = None
        self._session = session

    @property
    def peer(self) -> str:
        """Id of the other node."""
        return self._session.node_id

    def invite_body(self) -> None:
        """Grant the client credit for the rest of the body."""
        self.incoming_body.grant(streams.WINDOW_CHUNKS)

    def reply(self, message: Any, body: bytes = b"") -> bool:
        """Send a message about the request; False if it was not sent."""
        return self._session.send(message, body)

    def close(self) -> None:
        """Remove the stream from its session."""
        self._session.remove_stream(self.number)

    def end(self, reason: str, is_lost: bool) -> None:
        """End the stream after a cancellation or the loss of the session."""
        self.incoming_body.fail(reason)
        self.outgoing_body.fail(reason)
        if self.on_cancel is not None:
            self.on_cancel(reason, is_lost)

    def _grant(self, chunks: int) -> None:
        self._session.send(messages.Credit(self.number, chunks))


class PeerSession:
    """A session opened by another node."""

    def __init__(
        self, server: "Server", routing_id: bytes, hello: codec.Message
    ) -> None:
        self.node_id = hello.envelope.sender
        self.incarnation = hello.envelope.incarnation
        self.nonce: int = hello.payload.nonce
        self.number = random.getrandbits(SESSION_NUMBER_BITS) + 1
        self.last_heard_ms = clock.now_ms()
        self._server = server
        self._routing_id = routing_id
        self._sequence = 0
        self._peer_sequence = hello.envelope.sequence
        self._streams: dict[int, ServerStream] = {}
        self._last_stream = 0

    @property
    def in_flight(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def is_silent(self, now_ms: int) -> bool:
        """Tell whether the client was silent for longer than its timeout."""
        limit = TIMEOUT_MS if self._streams else IDLE_TIMEOUT_MS
        return now_ms - self.last_heard_ms > limit

    def accepts(self, envelope: messages.Envelope) -> bool:
        """Tell whether a message is new and belongs to this session."""
        if envelope.session != self.number:
            return False
        if envelope.incarnation != self.incarnation:
            return False
        if envelope.sequence <= self._peer_sequence:
            return False
        self._peer_sequence = envelope.sequence
        self.last_heard_ms = clock.now_ms()
        return True

    def open_stream(self, request: Any, body: bytes) -> ServerStream | None:
        """Open a stream for a request; None if its number was used before."""
        if request.stream <= self._last_stream:
            return None
        self._last_stream = request.stream
        stream = ServerStream(self, request, body)
        self._streams[stream.number] = stream
        return stream

    def stream(self, number: int) -> ServerStream | None:
        """Return an open stream, or None."""
        return self._streams.get(number)

    def remove_stream(self, number: int) -> None:
        """Remove a stream."""
        self._streams.pop(number, None)

    def send(self, payload: Any, body: bytes = b"") -> bool:
        """Send a message; False if it was not sent."""
        self._sequence += 1
        return self._server.send(
            self._routing_id, payload, body, self.number, self._sequence
        )

    def end(self, reason: str) -> None:
        """End all streams after the loss of the client."""
        for stream in list(self._streams.values()):
            stream.end(reason, is_lost=True)
        self._streams.clear()


class Server:
    """Accepts sessions of other nodes.

    The task in ``run`` owns the socket.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    message_codec : codec.Codec
        Encodes and decodes messages.
    handler : Handler
        Handles the requests.
    drop_log : drops.DropLog
        Counts dropped messages.
    """

    def __init__(
        self,
        context: zmq.Context[Any],
        message_codec: codec.Codec,
        handler: Handler,
        drop_log: drops.DropLog,
    ) -> None:
        self._codec = message_codec
        self._drops = drop_log
        self._socket = _socket.MessageSocket(
            context, zmq.ROUTER, self._on_frames
        )
        self._sessions: dict[bytes, PeerSession] = {}
        self._handlers: dict[type[Any], Callable[[ServerStream], None]] = {
            messages.Call: handler.on_call,
            messages.Inquire: handler.on_inquire,
            messages.ConfigurationRequest: handler.on_configuration_request,
        }

    @property
    def endpoint(self) -> str:
        """Address that the server listens on, as ``ip:port``."""
        return self._socket.endpoint

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    def bind(self, address: str) -> None:
        """Listen on ``ip:port``."""
        self._socket.bind(address)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_sessions)
                await self._socket.run()
        finally:
            self._socket.close()

    def send(
        self,
        routing_id: bytes,
        payload: Any,
        body: bytes,
        session: int,
        sequence: int,
    ) -> bool:
        """Send a message on a session; False if it was not sent."""
        frames = self._codec.encode(
            payload, body, session, sequence, clock.now_ms()
        )
        return self._socket.send([routing_id, *frames])

    async def _check_sessions(self) -> None:
        while True:
            await clock.sleep_ms(CHECK_INTERVAL_MS)
            now = clock.now_ms()
            for routing_id, session in list(self._sessions.items()):
                if session.is_silent(now):
                    del self._sessions[routing_id]
                    session.end("client node is silent")

    def _on_frames(self, frames: list[bytes]) -> None:
        routing_id = frames[0]
        session = self._sessions.get(routing_id)
        peer = session.node_id if session else "unknown node"
        try:
            message = self._codec.decode(frames[1:], peer)
        except codec.CodecError as error:
            self._drops.record(peer, error.reason)
            return
        if isinstance(message.payload, messages.Hello):
            self._on_hello(routing_id, message)
        elif session is None or not session.accepts(message.envelope):
            self._drops.record(peer, "stale message")
        else:
            self._dispatch(session, message)

    def _on_hello(self, routing_id: bytes, message: codec.Message) -> None:
        session = self._sessions.get(routing_id)
        if session is None:
            if len(self._sessions) >= MAX_SESSIONS:
                self._drops.record(
                    message.envelope.sender, "too many sessions"
                )
                return
            session = PeerSession(self, routing_id, message)
            self._sessions[routing_id] = session
        elif session.nonce != message.payload.nonce:
            # A connection has only one session; a replayed hello must not
            # end the calls in flight on it.
            self._drops.record(session.node_id, "second session")
            return
        session.last_heard_ms = clock.now_ms()
        session.send(messages.Welcome(session.nonce, session.number))

    def _dispatch(self, session: PeerSession, message: codec.Message) -> None:
        payload = message.payload
        if isinstance(payload, messages.Ping):
            session.send(messages.Pong())
        elif isinstance(payload, messages.Chunk):
            self._on_chunk(session, payload, message.body)
        elif isinstance(payload, messages.Credit):
            self._on_credit(session, payload)
        elif isinstance(payload, messages.Cancel):
            self._on_cancel(session, payload)
        else:
            self._on_request(session, payload, message.body)

    def _on_chunk(
        self, session: PeerSession, chunk: messages.Chunk, body: bytes
    ) -> None:
        stream = session.stream(chunk.stream)
        if stream is not None:
            stream.incoming_body.on_chunk(chunk, body)

    def _on_credit(
        self, session: PeerSession, credit: messages.Credit
    ) -> None:
        stream = session.stream(credit.stream)
        if stream is not None:
            stream.outgoing_body.on_credit(credit)

    def _on_cancel(
        self, session: PeerSession, cancel: messages.Cancel
    ) -> None:
        stream = session.stream(cancel.stream)
        if stream is not None:
            session.remove_stream(cancel.stream)
            stream.end(cancel.reason, is_lost=False)

    def _on_request(
        self, session: PeerSession, request: Any, body: bytes
    ) -> None:
        handler = self._handlers.get(type(request))
        if handler is None:
            self._drops.record(session.node_id, "unexpected message")
            return
        stream = session.open_stream(request, body)
        if stream is None:
            self._drops.record(session.node_id, "repeated stream number")
            return
        handler(stream)
