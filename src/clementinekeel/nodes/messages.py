"""Messages between nodes.

Each type is registered under the kind that is written into the envelope.
Bodies of requests and answers are sent in a separate frame of the message.
"""

from typing import Any, NamedTuple

from clementinekeel.outcomes import messages as outcomes
from clementinekeel.runtime import registry

Headers = tuple[tuple[str, str], ...]

KINDS: registry.Registry[type[Any]] = registry.Registry("message kind")


class Envelope(NamedTuple):
    """Envelope of every message.

    Attributes
    ----------
    protocol : int
        Version of the protocol.
    kind : str
        Name of the message type in ``KINDS``.
    sender : str
        Node id of the sender.
    incarnation : int
        Incarnation of the sender's process.
    session : int
        Session that the message belongs to.
    sequence : int
        Increases with each message of a session.
    clock_ms : int
        Sender's monotonic clock when the message was sent.
    """

    protocol: int
    kind: str
    sender: str
    incarnation: int
    session: int
    sequence: int
    clock_ms: int


@KINDS.register("hello")
class Hello(NamedTuple):
    """Open a session.

    Attributes
    ----------
    nonce : int
        Random number that the welcome message repeats.
    """

    nonce: int


@KINDS.register("welcome")
class Welcome(NamedTuple):
    """Accept a session.

    Attributes
    ----------
    nonce : int
        Nonce of the hello message.
    session : int
        Number of the session, chosen by the server.
    """

    nonce: int
    session: int


@KINDS.register("ping")
class Ping(NamedTuple):
    """Check that the other end of a session is alive."""


@KINDS.register("pong")
class Pong(NamedTuple):
    """Answer a ping."""


@KINDS.register("call")
class Call(NamedTuple):
    """Ask the owner of an endpoint to run a request.

    Attributes
    ----------
    stream : int
        Number of the call in its session.
    key, successor : str
        Issued idempotency key, and the key that replaces it if the request
        is refused; empty for idempotent requests.
    expires_ms : int
        Deadline on the receiver's clock.
    allowance : int
        Additional attempts that the rest of the call chain may make.
    request_id : str
        Identifies the caller's request in the logs of the call chain.
    length : int
        Length of the body in bytes, or -1 if it is not known yet.
    last : bool
        Whether the body frame of this message is the whole body.
    """

    stream: int
    key: str
    successor: str
    service: str
    endpoint: str
    method: str
    path: str
    headers: Headers
    request_class: str
    rank: int
    idempotent: bool
    expires_ms: int
    allowance: int
    request_id: str
    length: int
    last: bool


@KINDS.register("chunk")
class Chunk(NamedTuple):
    """Next part of a body.

    Attributes
    ----------
    sequence : int
        Number of the chunk in its body, from 0.
    last : bool
        Whether the body ends here; the last chunk has no data.
    length : int
        Length of the whole body in the last chunk, otherwise -1.
    digest : bytes
        Digest of the whole body in the last chunk, otherwise empty.
    """

    stream: int
    sequence: int
    last: bool
    length: int
    digest: bytes


@KINDS.register("credit")
class Credit(NamedTuple):
    """Allow the sender of a body to send ``chunks`` more chunks."""

    stream: int
    chunks: int


class Load(NamedTuple):
    """What the sender's endpoint admits; see ``admission.messages``."""

    rank: int
    load: float
    retry_after_ms: int


@KINDS.register("answer")
class Answer(NamedTuple):
    """Answer of the backend server.

    Attributes
    ----------
    outcome : Outcome
        Completed, or failed if the backend server reported a failure.
    allowance_used : int
        Additional attempts made by the rest of the call chain.
    length : int
        Length of the body in bytes, or -1 if it is not known yet.
    last : bool
        Whether the body frame of this message is the whole body.
    """

    stream: int
    outcome: outcomes.Outcome
    status: int
    headers: Headers
    allowance_used: int
    load: Load
    length: int
    last: bool


@KINDS.register("refused")
class Refused(NamedTuple):
    """The request did not run.

    Attributes
    ----------
    moved : str
        Successor key that may run the request instead, or empty.
    """

    stream: int
    reason: str
    step: str
    retry_after_ms: int
    moved: str
    load: Load


@KINDS.register("failed")
class Failed(NamedTuple):
    """The request ran or may have run, but there is no complete answer.

    Attributes
    ----------
    step, peer : str
        Step that failed, and the party at its other end.
    allowance_used : int
        Additional attempts made by the rest of the call chain.
    """

    stream: int
    outcome: outcomes.Outcome
    reason: str
    step: str
    peer: str
    allowance_used: int
    load: Load


@KINDS.register("cancel")
class Cancel(NamedTuple):
    """The sender no longer waits for an answer on the stream."""

    stream: int
    reason: str


@KINDS.register("inquire")
class Inquire(NamedTuple):
    """Ask the owner for the outcome of a key."""

    stream: int
    key: str


@KINDS.register("record")
class Record(NamedTuple):
    """Answer an inquiry.

    Attributes
    ----------
    state : str
        An outcome, ``running`` or ``moved``.
    moved : str
        Successor key if the state is ``moved``, otherwise empty.
    """

    stream: int
    state: str
    reason: str
    moved: str


@KINDS.register("configuration_request")
class ConfigurationRequest(NamedTuple):
    """Ask a node for its configuration if it is newer than ``version``."""

    stream: int
    version: int


@KINDS.register("configuration_reply")
class ConfigurationReply(NamedTuple):
    """Answer a configuration request.

    Attributes
    ----------
    version : int
        Version in force. The configuration follows in chunks; it is empty
        if the version is not newer than that of the request.
    """

    stream: int
    version: int
