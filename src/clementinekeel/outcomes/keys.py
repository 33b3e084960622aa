"""Text form of issued idempotency keys.

The text is base64url without padding over a MessagePack array and its MAC. It
needs no quoting in a URL path or a header. Any node can issue and check a
key with the fleet's keys alone.
"""

import base64
import binascii
import secrets
from typing import Protocol

import msgspec
from returns import result

from clementinekeel.outcomes import messages
from clementinekeel.runtime import errors

SERIAL_BYTES = 12
MAC_BYTES = 16
MAX_TEXT_CHARS = 1024
"""Three names of 200 bytes fit; longer texts are rejected before decoding."""
PURPOSE = b"clementinekeel issued key 1"
"""Domain separator of the MAC: bytes that the fleet signs for another purpose
are not accepted as a key."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.IssuedKey)


class InvalidKeyError(errors.StepError):
    """A text is not a key that a node of this fleet issued."""


class Authenticator(Protocol):
    """Interface of a key ring, for example ``nodes.codec.Keyring``."""

    def sign(self, *parts: bytes) -> bytes:
        """Return the MAC of the parts, ``MAC_BYTES`` long."""

    def verify(self, mac: bytes, *parts: bytes) -> bool:
        """Tell whether the MAC of the parts is valid for any accepted key."""


class KeyIssuer:
    """Issues and verifies idempotency keys.

    Parameters
    ----------
    keyring : Authenticator
        Signing keys of the fleet; the first one signs, all of them verify.
    """

    def __init__(self, keyring: Authenticator) -> None:
        self._keyring = keyring

    def issue(
        self,
        service: str,
        endpoint: str,
        node_id: str,
        incarnation: int,
        expires_ms: int,
    ) -> str:
        """Return the text of a new key.

        Parameters
        ----------
        service, endpoint, node_id : str
            Endpoint that owns the key, and the node beside it.
        incarnation : int
            Incarnation of that node.
        expires_ms : int
            Expiry on the owner's clock.

        Raises
        ------
        ValueError
            If the names are so long that ``parse`` would reject the text.
        """
        key = messages.IssuedKey(
            service,
            endpoint,
            node_id,
            incarnation,
            expires_ms,
            secrets.token_bytes(SERIAL_BYTES),
        )
        content = _encoder.encode(key)
        text = _to_text(content + self._keyring.sign(PURPOSE, content))
        if len(text) > MAX_TEXT_CHARS:
            raise ValueError("the names of the owner are too long for a key")
        return text

    def parse(
        self, text: str, peer: str = "caller"
    ) -> result.Result[messages.IssuedKey, InvalidKeyError]:
        """Return the contents of a key, or why the text is not a valid key.

        Parameters
        ----------
        text : str
            Text form, as received.
        peer : str
            Sender of the text, named in the error.
        """
        if len(text) > MAX_TEXT_CHARS:
            return _failure("decode", peer, "oversized key")
        try:
            raw = _from_text(text)
        except ValueError:
            return _failure("decode", peer, "not a base64url text")
        content, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        if not content:
            return _failure("decode", peer, "truncated key")
        if not self._keyring.verify(mac, PURPOSE, content):
            return _failure("authenticate", peer, "wrong MAC")
        try:
            key = _decoder.decode(content)
        except msgspec.MsgspecError as error:
            return _failure("decode", peer, str(error))
        if len(key.serial) != SERIAL_BYTES:
            return _failure("decode", peer, "wrong length of the serial")
        return result.Success(key)


def _failure(
    step: str, peer: str, reason: str
) -> result.Result[messages.IssuedKey, InvalidKeyError]:
    return result.Failure(InvalidKeyError(step, peer, reason))


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode("ascii").rstrip("=")


def _from_text(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    try:
        raw = base64.b64decode(text + padding, altchars=b"-_", validate=True)
    except binascii.Error as error:
        raise ValueError("not base64url") from error
    # Unused bits of the last character would give one key several texts.
    if _to_text(raw) != text:
        raise ValueError("not the canonical form")
    return raw
