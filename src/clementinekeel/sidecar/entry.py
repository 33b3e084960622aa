"""Entry of a node in the store."""

from typing import Annotated

import msgspec

from clementinekeel.admission import fingerprint
from clementinekeel.runtime import decoding

MAX_REFUSED = 64
"""Refused requests in an entry; 1 KiB."""


class Entry(msgspec.Struct):
    """Entry of a node in the store."""

    host: decoding.Host
    port: decoding.Port
    zone: decoding.Text
    region: decoding.Text
    # The backend server on the same VM, so that a restarted node need not wait
    # for its next heartbeat; empty until the first heartbeat.
    endpoint: decoding.Text = ""
    service: decoding.Text = ""
    health_path: decoding.Token = ""
    slots: decoding.Count = 0
    incarnation_ms: decoding.Number = 0
    sequence: decoding.Number = 0
    # Whether its leaving was acknowledged; a health check of a backend server
    # that leaves may still succeed.
    is_leaving: bool = False
    # Requests that crash the endpoints of the service, so that a restarted
    # node refuses them even if all nodes of the service were restarted.
    refused: Annotated[
        list[fingerprint.EncodedFingerprint],
        msgspec.Meta(max_length=MAX_REFUSED),
    ] = []


def encode_entry(entry: Entry) -> bytes:
    """Return the value under which an entry is stored."""
    return msgspec.json.encode(entry)


def decode_entry(content: bytes) -> Entry:
    """Decode the value of an entry; other writers may have written it.

    Raises
    ------
    decoding.DecodingError
        If the value names no node that can be reached.
    """
    return decoding.decode_json(content, Entry)
