"""Fingerprints that recognise a request when it comes again.

Each attempt of a caller has an identifier of its own. The same request comes
with the same method, host, path, body and calling service.
"""

import hashlib
from typing import Annotated

import msgspec

FINGERPRINT_BYTES = 8
"""Few requests are compared at a time, and other callers' fingerprints can't
be matched on purpose with less than 2**64 attempts."""

EncodedFingerprint = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{16}$")]
"""Fingerprint in text, since JSON has no integers of that size."""


def encode_fingerprint(fingerprint: int) -> str:
    """Return the text of a fingerprint, for logs and stored values."""
    return f"{fingerprint:016x}"


def decode_fingerprint(text: str) -> int:
    """Return the fingerprint of a text."""
    return int(text, 16)


def fingerprint(
    method: bytes,
    host: bytes,
    target: bytes,
    calling_service: bytes,
    body: bytes,
) -> int:
    """Return the fingerprint of a request.

    Parameters
    ----------
    target : bytes
        Path and query.
    calling_service : bytes
        Service of the VM from which the request is sent. A caller can't cause
        the requests of others to be refused.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host, target, calling_service):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")
