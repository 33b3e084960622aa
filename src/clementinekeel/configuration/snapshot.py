"""An accepted version of the configuration as nodes pass it on."""

from typing import NamedTuple

import msgspec
from returns import result

PART_BYTES = 64 * 1024


class Snapshot(NamedTuple):
    """All objects of an accepted version.

    Attributes
    ----------
    version : int
        Grows by one with each accepted change.
    objects : dict of str to bytes
        Object name, such as ``service/bookings``, to its JSON.
    """

    version: int
    change_id: str
    objects: dict[str, bytes]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


def to_parts(snapshot: Snapshot) -> list[bytes]:
    """Return the snapshot as parts of a message body."""
    data = _encoder.encode(snapshot)
    return [
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    ]


def from_bytes(data: bytes) -> result.Result[Snapshot, str]:
    """Return the snapshot in a message body, or why it is malformed."""
    try:
        return result.Success(_decoder.decode(data))
    except msgspec.MsgspecError as error:
        return result.Failure(str(error))
