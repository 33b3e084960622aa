"""Entries of nodes that other programs may have written."""

import json

import pytest

from clementinekeel.runtime import decoding
from clementinekeel.sidecar import entry as entry_module
from tests.sidecar import odd_content

ENTRY = {
    "host": "10.0.0.1",
    "port": 7620,
    "zone": "z1",
    "region": "r1",
    "endpoint": "e-1",
    "service": "s",
    "health_path": "/health",
    "slots": 20,
    "incarnation_ms": 1_786_984_408_614,
    "sequence": 7,
}


def test_entry_is_decoded():
    entry = entry_module.decode_entry(json.dumps(ENTRY).encode())
    assert entry == entry_module.Entry(**ENTRY)
    assert entry_module.decode_entry(entry_module.encode_entry(entry)) == entry


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("unknown", odd_content.NESTED),
        ("zone", odd_content.NESTED),
        ("host", ""),
        ("host", "a b"),
        ("host", "\u0000"),
        ("host", "h" * 300),
        ("port", 0),
        ("port", -1),
        ("port", 70_000),
        ("port", odd_content.HUGE.encode()),
        ("port", "7620"),
        ("slots", -1),
        ("slots", odd_content.HUGE.encode()),
        ("sequence", odd_content.HUGE.encode()),
        ("incarnation_ms", odd_content.HUGE.encode()),
        ("incarnation_ms", 1.5),
        ("health_path", "/x\r\nGET /y"),
        ("zone", "z" * 5_000),
        ("region", None),
        ("refused", ["0" * 16] * 65),
        ("refused", ["x"]),
        ("refused", [7]),
    ],
)
def test_odd_entry_is_an_error(name, value):
    """An odd entry ended each node that read the list of nodes."""
    content = odd_content.with_field(ENTRY, name, value)
    with pytest.raises(decoding.DecodingError):
        entry_module.decode_entry(content)


@pytest.mark.parametrize("content", [b"", b"\xff{", b"[]", b"null", b"{}"])
def test_content_that_is_no_entry_is_an_error(content):
    with pytest.raises(decoding.DecodingError):
        entry_module.decode_entry(content)
