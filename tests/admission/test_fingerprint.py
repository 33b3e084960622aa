"""Fingerprints of requests."""

import pytest

from clementinekeel.admission import fingerprint

PARTS = (b"GET", b"h", b"/a/x?y=1", b"s", b"body")


def test_same_request_has_the_same_fingerprint():
    assert fingerprint.fingerprint(*PARTS) == fingerprint.fingerprint(*PARTS)


@pytest.mark.parametrize("index", range(len(PARTS)))
def test_each_part_tells_requests_apart(index):
    """Otherwise, one request would be refused for another one."""
    changed = list(PARTS)
    changed[index] += b"2"
    assert fingerprint.fingerprint(*changed) != fingerprint.fingerprint(*PARTS)


def test_parts_can_not_be_shifted_into_each_other():
    shifted = (b"GET", b"h/", b"a/x?y=1", b"s", b"body")
    assert fingerprint.fingerprint(*shifted) != fingerprint.fingerprint(*PARTS)
