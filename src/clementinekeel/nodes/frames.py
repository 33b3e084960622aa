"""Messages on a link between two forwarding nodes, and their encoding.

A frame consists of a length of four bytes, a kind of one byte and a
MessagePack array. Both directions of a link carry all kinds.

A node offers a request to another node, which answers it, refuses it or
reports its failure. The backend server of a node is the one on the same VM.
"""

from typing import Any, NamedTuple

import msgspec

from clementinekeel.membership import statements
from clementinekeel.runtime import errors

PROTOCOL_VERSION = 5
HEADER_BYTES = 5
MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Larger frames are a fault of the sender; a configuration has 1 MiB."""
PART_BYTES = 64 * 1024
"""Bodies are sent in parts of this size, so that a long body does not delay
the frames of other requests on the same link."""


QUARANTINED = "quarantined"
"""Reason of a refusal that holds at all endpoints: the request has crashed
several of them."""
NOT_RECEIVED = "not_received"
"""Reason of a refusal of an offer that was lost with its link."""
STOPPING = "stopping"
"""Reason of a refusal of an offer that may outlast a planned stop of the node,
and of a failure of one that did."""


class FrameError(errors.StepError):
    """A frame is malformed, oversized or of an unknown kind."""


class Hello(NamedTuple):
    """First frame in each direction; describes the sender.

    Attributes
    ----------
    host, port : str, int
        Address on which the sender accepts links.
    configuration_version : int
        Configuration version in force at the sender; 0 if there is none.
    link : int
        Number of this link among those that its opener has made. The
        accepting node sends it back.
    """

    protocol: int
    node: str
    incarnation: int
    zone: str
    region: str
    host: str
    port: int
    configuration_version: int
    link: int


class EndpointStatus(NamedTuple):
    """State of the sender's backend server.

    Attributes
    ----------
    endpoint : str
        Identity of the backend server, or of the one that left last; empty
        while none is known.
    is_accepting : bool
        Whether it accepts new requests.
    slots : int
        Requests that it may process concurrently.
    running : int
        Requests that it is processing.
    queued : int
        Requests that wait for a slot.
    warm_up_left_ms : int
        Remaining warm-up time after its start, during which it is slower.
    rate_limit_per_s : float or None
        Requests a second that it takes from all nodes together, by its own
        statement; None for no limit.
    started_ms : int
        Start of the backend server, in Unix milliseconds.
    has_answered : bool
        Whether the sender has had an answer of the backend server; until
        then, it doesn't know what the backend server states.
    is_leaving : bool
        Whether the backend server is about to stop or has left.
    """

    endpoint: str
    service: str
    is_accepting: bool
    slots: int
    running: int
    queued: int
    warm_up_left_ms: int
    rate_limit_per_s: float | None
    started_ms: int
    has_answered: bool
    is_leaving: bool


def no_endpoint(
    service: str, departed: statements.Incarnation | None = None
) -> EndpointStatus:
    """Return the status of a node that has no backend server.

    Parameters
    ----------
    departed : Incarnation or None
        Backend server that left last. Other nodes remember it, so that the
        node does not use it again after a restart.
    """
    endpoint, started_ms = departed or ("", 0)
    return EndpointStatus(
        endpoint=endpoint,
        service=service,
        is_accepting=False,
        slots=0,
        running=0,
        queued=0,
        warm_up_left_ms=0,
        rate_limit_per_s=None,
        started_ms=started_ms,
        has_answered=False,
        is_leaving=departed is not None,
    )


class EarlierStatement(NamedTuple):
    """What the receiver's backend server stated before the receiver started.

    Attributes
    ----------
    endpoint, started_ms : str, int
        Incarnation of the backend server, as in ``EndpointStatus``.
    rate_limit_per_s, is_leaving : float or None, bool
        As in ``EndpointStatus``.
    """

    endpoint: str
    started_ms: int
    rate_limit_per_s: float | None
    is_leaving: bool


class CrashReport(NamedTuple):
    """A backend server has ended while requests ran there.

    Attributes
    ----------
    endpoint, started_ms : str, int
        Incarnation of the backend server, as in ``EndpointStatus``.
    fingerprints : tuple of int
        Requests that ran, as in ``Offer``.
    """

    endpoint: str
    started_ms: int
    fingerprints: tuple[int, ...]


class SuspectAnswered(NamedTuple):
    """A request that ran when a backend server ended has been answered."""

    fingerprint: int


class Offer(NamedTuple):
    """A request for the receiver's backend server.

    Attributes
    ----------
    stream : int
        Identifies the request on this link.
    endpoint : str
        Backend server that the request is meant for; no other one may run
        it.
    sent_ms : int
        Time of sending on the sender's monotonic clock.
    remaining_ms : int
        Time left until the caller's deadline.
    rank : int
        Rank of the request that started the call chain; rank 0 is shed last.
    chain_age_ms : int
        Time since the call chain started.
    depth : int
        Number of calls above this request in the call chain.
    is_retry : bool
        Whether this request, or one above it in its call chain, may have
        arrived at a backend server before.
    is_idempotent : bool
        Whether the request is idempotent.
    is_head : bool
        Whether the answer has no body.
    fingerprint : int
        Equal for requests that only differ in their identifier.
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
    remaining_ms: int
    rank: int
    chain_age_ms: int
    depth: int
    is_retry: bool
    is_idempotent: bool
    is_head: bool
    fingerprint: int
    head: bytes
    body: bytes
    body_bytes: int


class OfferPart(NamedTuple):
    """Next part of the body of an offer."""

    stream: int
    data: bytes


class Answer(NamedTuple):
    """The backend server's answer, or the first part of it.

    Attributes
    ----------
    head : bytes
        Status line and headers.
    body : bytes
        First part of the body.
    body_bytes : int
        Length of the whole body.
    running, queued : int
        Load of the backend server, as in ``EndpointStatus``.
    is_dependency_overloaded : bool
        Whether the request failed after a call that it depends on ended for
        lack of capacity.
    elapsed_ms : int
        Time between the arrival of the offer and this answer.
    service_ms : int
        Average time for which a request occupies a slot of the backend
        server.
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
    """The node that got the offer has not run the request and will not."""

    stream: int
    reason: str
    retry_after_ms: int
    running: int
    queued: int


class Failure(NamedTuple):
    """The request may have run, but there is no complete answer."""

    stream: int
    reason: str


class Cancel(NamedTuple):
    """The caller no longer waits for the request."""

    stream: int


class Resume(NamedTuple):
    """The link takes the place of earlier ones that have gone silent.

    Attributes
    ----------
    links : tuple of int
        Numbers of those links, as in ``Hello``.
    streams : tuple of int
        Offers of the sender that are without a result.
    """

    links: tuple[int, ...]
    streams: tuple[int, ...]


class Resumed(NamedTuple):
    """The receiver's ``Resume`` has been carried out."""


class Ping(NamedTuple):
    """Checks that the peer is alive, and states the sender's configuration.

    Attributes
    ----------
    configuration_version : int
        Configuration version in force at the sender; 0 if there is none.
    """

    configuration_version: int


class Pong(NamedTuple):
    """Answers a ping; ``configuration_version`` as in ``Ping``."""

    configuration_version: int


class ConfigurationRequest(NamedTuple):
    """Asks for the configuration in force at the receiver, if it is newer.

    Attributes
    ----------
    configuration_version : int
        Version in force at the sender.
    """

    configuration_version: int


class Configuration(NamedTuple):
    """A configuration for a node that has an older one."""

    version: int
    content: bytes


Frame = (
    Hello
    | EndpointStatus
    | EarlierStatement
    | CrashReport
    | SuspectAnswered
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
    | Resume
    | Resumed
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
    EarlierStatement,
    CrashReport,
    SuspectAnswered,
    Resume,
    Resumed,
)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    """Return the bytes of one frame."""
    content = _encoder.encode(frame)
    length = len(content).to_bytes(4, "big")
    return length + _KIND_NUMBERS[type(frame)].to_bytes(1, "big") + content


class MalformedFrame(NamedTuple):
    """A frame whose length is valid and whose content is not.

    Attributes
    ----------
    kind : type or None
        Kind of the frame; None if it is unknown.
    """

    kind: type[Any] | None
    reason: str


class FrameReader:
    """Splits a byte stream into frames.

    Attributes
    ----------
    malformed : list of MalformedFrame
        Frames that were left out; emptied by the user of the reader.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.malformed: list[MalformedFrame] = []

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are complete.

        Raises
        ------
        FrameError
            If a length is out of its bounds; the stream cannot be read any
            further.
        """
        buffer = self._buffer
        buffer += data
        complete: list[Frame] = []
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
            start = end
            try:
                complete.append(_decode(kind, content))
            except FrameError as error:
                known = _KINDS[kind] if kind < len(_KINDS) else None
                self.malformed.append(MalformedFrame(known, error.reason))
        if start:
            del buffer[:start]
        return complete


def _decode(kind: int, content: bytes) -> Frame:
    if kind >= len(_DECODERS):
        raise FrameError("read frame", "node", f"unknown kind {kind}")
    try:
        frame: Frame = _DECODERS[kind].decode(content)
    except msgspec.DecodeError as error:
        raise FrameError("read frame", "node", str(error)) from error
    return frame
