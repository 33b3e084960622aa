"""Compact form of records in memory.

A record takes about 450 bytes as a tuple of strings and about 150 packed.
"""

import msgspec

from clementinekeel.membership import records as member_records

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(member_records.MemberRecord)


def pack(record: member_records.MemberRecord) -> bytes:
    """Return a record as one byte string."""
    return _encoder.encode(record)


def unpack(packed: bytes) -> member_records.MemberRecord:
    """Return the record in a byte string."""
    return _decoder.decode(packed)


def size_of(item: object) -> int:
    """Return the approximate number of bytes of an item in a message."""
    return len(_encoder.encode(item))
