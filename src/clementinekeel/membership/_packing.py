"""Compact form of records in memory.

A record as a tuple of strings takes about 450 bytes, packed about 150.
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
    """Return about how many bytes an item takes in a message."""
    return len(_encoder.encode(item))
