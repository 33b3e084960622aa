"""Encoding, authentication and validation of messages between nodes.

A message has four frames: envelope, payload, body and MAC. Envelope and
payload are MessagePack; the MAC is keyed BLAKE2b over the other three frames,
with the key that all nodes of a fleet share.
"""

from collections.abc import Sequence
import functools
import hashlib
import hmac
from typing import Any, NamedTuple

import msgspec

from clementinekeel.nodes import messages
from clementinekeel.runtime import errors

PROTOCOL_VERSION = 1
MAC_BYTES = 16
MIN_KEY_BYTES = 16
MAX_HEAD_BYTES = 128 * 1024
"""Largest envelope or payload frame; the headers of a request fit in it."""
MAX_BODY_BYTES = 64 * 1024
"""Largest body frame; longer bodies are sent in chunks."""
FRAME_COUNT = 4
"""Frames of a message."""


class CodecError(errors.StepError):
    """A message was dropped: malformed, oversized or not authentic."""


class Message(NamedTuple):
    """A decoded message.

    Attributes
    ----------
    payload : NamedTuple
        Instance of the type registered under the envelope's kind.
    body : bytes
        Part of a request or an answer; often empty.
    """

    envelope: messages.Envelope
    payload: Any
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(messages.Envelope)


@functools.cache
def _payload_decoder(kind: str) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(messages.KINDS.get(kind))


class Keyring:
    """Keys of the fleet: the first one signs, all of them verify MACs.

    Parameters
    ----------
    keys : sequence of bytes
        At least one key, each of at least ``MIN_KEY_BYTES`` bytes. During a
        key rotation, both the old and the new key are listed.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("no key")
        if min(map(len, keys)) < MIN_KEY_BYTES:
            raise ValueError(f"a key is shorter than {MIN_KEY_BYTES} bytes")
        self._keyed_hashes = [
            hashlib.blake2b(key=key, digest_size=MAC_BYTES) for key in keys
        ]

    def sign(self, *parts: bytes) -> bytes:
        """Return the MAC of byte strings under the first key."""
        return self._compute_mac(self._keyed_hashes[0], parts)

    def verify(self, mac: bytes, *parts: bytes) -> bool:
        """Tell whether a MAC of byte strings is valid under any key."""
        return any(
            hmac.compare_digest(mac, self._compute_mac(keyed_hash, parts))
            for keyed_hash in self._keyed_hashes
        )

    def _compute_mac(self, keyed_hash: Any, parts: Sequence[bytes]) -> bytes:
        digest = keyed_hash.copy()
        for part in parts:
            # The lengths keep a different split of the same bytes from
            # having the same MAC.
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return bytes(digest.digest())


class Codec:
    """Encoder and decoder of messages for one node.

    Parameters
    ----------
    keyring : Keyring
        Keys of the fleet.
    node_id : str
        Sender in each envelope.
    incarnation : int
        Incarnation of this process.
    """

    def __init__(
        self, keyring: Keyring, node_id: str, incarnation: int
    ) -> None:
        self._keyring = keyring
        self._node_id = node_id
        self._incarnation = incarnation

    def encode(
        self,
        payload: Any,
        body: bytes,
        session: int,
        sequence: int,
        clock_ms: int,
    ) -> list[bytes]:
        """Return the frames of a message."""
        envelope = messages.Envelope(
            PROTOCOL_VERSION,
            messages.KINDS.name_of(type(payload)),
            self._node_id,
            self._incarnation,
            session,
            sequence,
            clock_ms,
        )
        head = _encoder.encode(envelope)
        content = _encoder.encode(payload)
        mac = self._keyring.sign(head, content, body)
        return [head, content, body, mac]

    def decode(self, frames: Sequence[bytes], peer: str) -> Message:
        """Verify and decode the frames of a message.

        Parameters
        ----------
        frames : sequence of bytes
            Frames as received, without zmq's routing frame.
        peer : str
            Sender, named in errors.

        Raises
        ------
        CodecError
            If the message is malformed, oversized, not authentic, or of an
            unknown kind or protocol version.
        """
        self._check_frames(frames, peer)
        head, content, body, mac = frames
        if not self._keyring.verify(mac, head, content, body):
            raise CodecError("authenticate", peer, "wrong MAC")
        try:
            envelope = _envelope_decoder.decode(head)
            if envelope.protocol != PROTOCOL_VERSION:
                raise CodecError(
                    "decode",
                    peer,
                    f"protocol version {envelope.protocol} is not supported",
                )
            payload = _payload_decoder(envelope.kind).decode(content)
        except (msgspec.MsgspecError, LookupError) as error:
            raise CodecError("decode", peer, str(error)) from error
        return Message(envelope, payload, body)

    def _check_frames(self, frames: Sequence[bytes], peer: str) -> None:
        if len(frames) != FRAME_COUNT:
            raise CodecError("decode", peer, f"{len(frames)} frames")
        if max(len(frames[0]), len(frames[1])) > MAX_HEAD_BYTES:
            raise CodecError("decode", peer, "oversized head")
        if len(frames[2]) > MAX_BODY_BYTES:
            raise CodecError("decode", peer, "oversized body frame")
