"""Messages on a link between two forwarding nodes and their encoding.

A frame is a length of four bytes, a kind of one byte and a MessagePack array.
Both directions of a link carry all kinds.
"""

from typing import Any, NamedTuple

import msgspec

from clementinekeel.runtime import errors

PROTOCOL_VERSION = 1
HEADER_BYTES = 5
MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Larger frames are a fault of the sender; a configuration has 1 MiB."""
PART_BYTES = 64 * 1024
"""Bodies are sent in parts of this size, so that a long one does not hold up
the frames of other requests on the same link."""


class FrameError(errors.StepError):
    """A frame is malformed, oversized or of an unknown kind."""


class Hello(NamedTuple):
    """First frame in each direction."""

    protocol: int
    node: str
    incarnation: int
    zone: str
    region: str
    host: str
    port: int
    configuration: int


class EndpointStatus(NamedTuple):
    """State of the backend server beside the sender.

    Attributes
    ----------
    endpoint : str
        Its identity, empty while none is known.
    is_accepting : bool
        Whether it takes new requests.
    slots : int
        Requests that it may process concurrently.
    running : int
        Requests that it processes now.
    queued : int
        Requests that wait for a slot.
    warm_up_left_ms : int
        How much longer it is slow after its start.
    """

    endpoint: str
    service: str
    is_accepting: bool
    slots: int
    running: int
    queued: int
    warm_up_left_ms: int


class Offer(NamedTuple):
    """A request for the backend server beside the receiver.

    Attributes
    ----------
    stream : int
        Identifies the request on this link.
    endpoint : str
        Backend server that is meant; another one must not run the request.
    sent_ms : int
        The sender's monotonic clock.
    budget_ms : int
        Time that is left until its caller stops waiting.
    rank : int
        Importance of the request with which the chain of calls began; 0 is
        shed last.
    age_ms : int
        Time since the chain of calls began.
    depth : int
        Calls above this request.
    is_idempotent : bool
        Whether the request is idempotent.
    is_head : bool
        Whether the answer has no body.
    head : bytes
        Request line and headers, without the empty line at the end.
    body : bytes
        First part of the body.
    body_bytes : int
        Length of the whole body.
    """

    stream: int
    endpoint: str
    request_id: str
    sent_ms: int
    budget_ms: int
    rank: int
    age_ms: int
    depth: int
    is_idempotent: bool
    is_head: bool
    head: bytes
    body: bytes
    body_bytes: int


class OfferPart(NamedTuple):
    """Next part of the body of an offer."""

    stream: int
    data: bytes


class Answer(NamedTuple):
    """The backend server's answer, or its first part.

    Attributes
    ----------
    is_dependency_overloaded : bool
        Whether a call that the request needed found no room.
    elapsed_ms : int
        Time between the offer's arrival and this answer.
    service_ms : int
        Average time for which a request holds a slot there.
    """

    stream: int
    status: int
    head: bytes
    body: bytes
    body_bytes: int
    running: int
    queued: int
    is_dependency_overloaded: bool
    elapsed_ms: int
    service_ms: int


class AnswerPart(NamedTuple):
    """Next part of the body of an answer."""

    stream: int
    data: bytes


class Refusal(NamedTuple):
    """The request has not run here and will not."""

    stream: int
    reason: str
    retry_after_ms: int
    running: int
    queued: int


class Failure(NamedTuple):
    """The request may have run, and no whole answer came."""

    stream: int
    reason: str


class Cancel(NamedTuple):
    """Nobody waits for the request any more."""

    stream: int


class Ping(NamedTuple):
    """Asks for a pong."""

    configuration: int


class Pong(NamedTuple):
    """Answers a ping."""

    configuration: int


class ConfigurationRequest(NamedTuple):
    """Asks for the configuration in force at the receiver."""

    configuration: int


class Configuration(NamedTuple):
    """A configuration for a node that has an older one."""

    version: int
    content: bytes


Frame = (
    Hello
    | EndpointStatus
    | Offer
    | OfferPart
    | Answer
    | AnswerPart
    | Refusal
    | Failure
    | Cancel
    | Ping
    | Pong
    | Configuration
    | ConfigurationRequest
)

_KINDS: tuple[type[Any], ...] = (
    Hello,
    EndpointStatus,
    Offer,
    OfferPart,
    Answer,
    AnswerPart,
    Refusal,
    Failure,
    Cancel,
    Ping,
    Pong,
    Configuration,
    ConfigurationRequest,
)
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    """Return the bytes of one frame."""
    content = _encoder.encode(frame)
    length = len(content).to_bytes(4, "big")
    return length + _NUMBERS[type(frame)].to_bytes(1, "big") + content


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes and return the frames that are complete.

        Raises
        ------
        FrameError
            If the stream holds something else; it can't be read on.
        """
        buffer = self._buffer
        buffer += data
        found: list[Frame] = []
        start, size = 0, len(buffer)
        while size - start >= HEADER_BYTES:
            length = int.from_bytes(buffer[start : start + 4], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError("read frame", "node", f"{length} bytes")
            end = start + HEADER_BYTES + length
            if end > size:
                break
            kind = buffer[start + 4]
            content = bytes(buffer[start + HEADER_BYTES : end])
            found.append(_decode(kind, content))
            start = end
        if start:
            del buffer[:start]
        return found


def _decode(kind: int, content: bytes) -> Frame:
    if kind >= len(_DECODERS):
        raise FrameError("read frame", "node", f"unknown kind {kind}")
    try:
        frame: Frame = _DECODERS[kind].decode(content)
    except msgspec.DecodeError as error:
        raise FrameError("read frame", "node", str(error)) from error
    return frame
