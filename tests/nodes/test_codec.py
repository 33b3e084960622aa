"""Encoding of messages, and rejection of malformed or forged ones."""

import pytest

from clementinekeel.nodes import codec
from clementinekeel.nodes import messages

OLD_KEY = b"o" * 32
NEW_KEY = b"n" * 32


def make_codec(*keys, node_id="a"):
    return codec.Codec(codec.Keyring(keys), node_id, 7)


def encode_ping(sender):
    return sender.encode(messages.Ping(), b"body", 1, 2, 3)


def test_round_trip():
    sender = make_codec(NEW_KEY)
    message = sender.decode(encode_ping(sender), "a")
    assert message.envelope == messages.Envelope(1, "ping", "a", 7, 1, 2, 3)
    assert message.payload == messages.Ping()
    assert message.body == b"body"


def test_rotation_accepts_old_and_new_key():
    """A key rotation must not cut off nodes that sign with the old key."""
    old = make_codec(OLD_KEY)
    both = make_codec(NEW_KEY, OLD_KEY)
    assert both.decode(encode_ping(old), "a")
    with pytest.raises(codec.CodecError, match="wrong MAC"):
        old.decode(encode_ping(both), "a")


def flip_bit(frames, index):
    changed = list(frames)
    changed[index] = bytes([changed[index][0] ^ 1]) + changed[index][1:]
    return changed


@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda f: f[:3], id="missing frame"),
        pytest.param(lambda f: [*f, b""], id="extra frame"),
        pytest.param(lambda f: flip_bit(f, 0), id="changed envelope"),
        pytest.param(lambda f: flip_bit(f, 1), id="changed payload"),
        pytest.param(lambda f: flip_bit(f, 2), id="changed body"),
        pytest.param(lambda f: flip_bit(f, 3), id="changed MAC"),
        pytest.param(
            lambda f: [f[0], f[1] + f[2], b"", f[3]], id="moved boundary"
        ),
        pytest.param(
            lambda f: [f[0], f[1], b"x" * 70_000, f[3]], id="oversized body"
        ),
        pytest.param(
            lambda f: [f[0], b"x" * 140_000, f[2], f[3]], id="oversized head"
        ),
    ],
)
def test_damaged_message_is_rejected(damage):
    sender = make_codec(NEW_KEY)
    with pytest.raises(codec.CodecError):
        sender.decode(damage(encode_ping(sender)), "a")


def test_signed_message_of_unknown_kind_is_rejected():
    keyring = codec.Keyring([NEW_KEY])
    sender = make_codec(NEW_KEY)
    head, content, body, _ = encode_ping(sender)
    head = head.replace(b"ping", b"gnip")
    forged = [head, content, body, keyring.sign(head, content, body)]
    with pytest.raises(codec.CodecError, match="unknown message kind"):
        sender.decode(forged, "a")
