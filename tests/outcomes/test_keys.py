"""Only texts that a node of the fleet has issued are accepted as keys."""

import base64

import msgspec
import pytest
from returns import result

from clementinekeel.nodes import codec
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import messages

OLD_KEY = b"o" * 32
NEW_KEY = b"n" * 32
OWNER = ("bookings", "bookings-1", "node-1", 2**64 - 1, 60_000)


def make_issuer(*secrets):
    return keys.KeyIssuer(codec.Keyring(secrets or (NEW_KEY,)))


def signed(content, purpose=keys.PURPOSE):
    mac = codec.Keyring([NEW_KEY]).sign(purpose, content)
    return base64.urlsafe_b64encode(content + mac).decode().rstrip("=")


def packed(serial=b"s" * 12, expires_ms=1):
    key = messages.IssuedKey("s", "e", "n", 1, expires_ms, serial)
    return msgspec.msgpack.encode(key)


def test_round_trip():
    issuer = make_issuer()
    text = issuer.issue(*OWNER)
    key = issuer.parse(text).unwrap()
    assert key[:5] == OWNER
    assert set(text) <= set(
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
    )


def test_keys_of_one_owner_differ():
    """Two requests with the same serial would share one record."""
    issuer = make_issuer()
    serials = {
        issuer.parse(issuer.issue(*OWNER)).unwrap().serial for _ in range(99)
    }
    assert len(serials) == 99


def test_rotation_accepts_old_and_new_key():
    old, both = make_issuer(OLD_KEY), make_issuer(NEW_KEY, OLD_KEY)
    assert both.parse(old.issue(*OWNER)).unwrap().service == "bookings"
    assert old.parse(both.issue(*OWNER)).failure().step == "authenticate"


def test_names_too_long_for_a_key_are_rejected_at_issue():
    with pytest.raises(ValueError, match="too long"):
        make_issuer().issue("s" * 800, *OWNER[1:])


INVALID_KEYS = {
    "empty": ("", "decode", "truncated key"),
    "shorter than the MAC": ("AAAA", "decode", "truncated key"),
    "oversized": ("A" * 1_025, "decode", "oversized key"),
    "impossible length": ("A" * 5, "decode", "base64url"),
    "plain base64": ("a+/b", "decode", "base64url"),
    "space": ("ab cd", "decode", "base64url"),
    "not ASCII": ("k\u00e9y1", "decode", "base64url"),
    "padding": ("YWI=", "decode", "base64url"),
    "unused bits set": ("YWJ", "decode", "base64url"),
    "for another purpose": (signed(packed(), b"x"), "authenticate", "MAC"),
    "signed, not a key": (signed(b"\x01"), "decode", "Expected"),
    "short serial": (signed(packed(serial=b"s")), "decode", "serial"),
}


@pytest.mark.parametrize(
    ("text", "step", "reason"), INVALID_KEYS.values(), ids=INVALID_KEYS
)
def test_text_that_is_not_a_key_is_rejected(text, step, reason):
    error = make_issuer().parse(text, "10.0.0.9").failure()
    assert (error.step, error.peer) == (step, "10.0.0.9")
    assert reason in error.reason


def test_every_changed_or_missing_character_is_rejected():
    """With a forged owner, a second endpoint would run the key."""
    issuer = make_issuer()
    text = issuer.issue(*OWNER)
    for index, old in enumerate(text):
        for other in "AQ" if old not in "AQ" else "z":
            changed = text[:index] + other + text[index + 1 :]
            assert isinstance(issuer.parse(changed), result.Failure)
        assert isinstance(issuer.parse(text[:index]), result.Failure)
