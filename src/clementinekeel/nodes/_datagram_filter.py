"""Checks that a datagram passes before membership sees it."""

import collections
from typing import Any

import msgspec

from clementinekeel.membership import limits
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records
from clementinekeel.nodes import codec as codec_module
from clementinekeel.nodes import gossip_messages
from clementinekeel.runtime import errors
from clementinekeel.runtime import log

GOSSIP_SESSION = 0
MESSAGES_PER_S = 200
"""One node sends about 5 a second, and 48 deltas more while it catches up
with another."""
BURST_MESSAGES = 400
MAX_ADDRESSES = 4_096
MAX_SENDERS = 8_192
"""Senders whose last sequence number is kept, about 1 MB; three times the
members of a zone at full size."""
LOG_INTERVAL_MS = 60_000

_frames_decoder = msgspec.msgpack.Decoder(tuple[bytes, bytes, bytes, bytes])
_gossip_types = frozenset(gossip_messages.TYPES.values())


class DropError(errors.StepError):
    """A datagram is not handed to membership."""


class TrafficCounters:
    """Traffic of one node's gossip."""

    def __init__(self) -> None:
        self.messages_in = 0
        self.bytes_in = 0
        self.messages_out = 0
        self.bytes_out = 0
        self.dropped: collections.Counter[str] = collections.Counter()


class DatagramFilter:
    """Decodes and filters datagrams.

    Parameters
    ----------
    codec : Codec
        Verifies and decodes.
    own_id : MemberId
        Messages that claim to come from it are dropped.
    counters : Counters
        Updated with each datagram.
    """

    def __init__(
        self,
        codec: codec_module.Codec,
        own_id: member_records.MemberId,
        counters: TrafficCounters,
    ) -> None:
        self._codec = codec
        self._own_id = own_id
        self._counters = counters
        self._limits: collections.OrderedDict[str, limits.TokenBucket] = (
            collections.OrderedDict()
        )
        self._sequences: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._logged_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def accept(self, data: bytes, address: str, now_ms: int) -> Any:
        """Return the payload of a datagram, None if it is dropped."""
        self._counters.messages_in += 1
        self._counters.bytes_in += len(data)
        try:
            return self._decode(data, address, now_ms)
        except errors.StepError as error:
            self._drop(error, address, now_ms)
            return None

    def _decode(self, data: bytes, address: str, now_ms: int) -> Any:
        if not self._limit(address, now_ms).take(now_ms):
            raise DropError("rate", address, "too many messages")
        if len(data) > gossip_messages.MAX_DATAGRAM_BYTES:
            raise DropError("size", address, f"{len(data)} bytes")
        try:
            frames = _frames_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise DropError("decode", address, str(error)) from error
        message = self._codec.decode(frames, address)
        envelope = message.envelope
        sender = member_records.MemberId(envelope.sender, envelope.incarnation)
        if sender == self._own_id:
            raise DropError("own", address, "own message")
        if type(message.payload) not in _gossip_types:
            raise DropError("kind", address, f"kind {envelope.kind!r}")
        if envelope.session != GOSSIP_SESSION or message.body:
            raise DropError("decode", address, "session or body")
        self._check_sender(message.payload, sender, address)
        self._check_sequence(sender, envelope.sequence, address)
        return message.payload

    def _check_sender(
        self, payload: Any, sender: member_records.MemberId, address: str
    ) -> None:
        # The subject of an ack differs from the sender when a helper
        # passes it on.
        if isinstance(payload, member_messages.ProbeAck) or not hasattr(
            payload, "sender"
        ):
            return
        if payload.sender.member_id != sender:
            raise DropError("sender", address, "record of another member")

    def _check_sequence(
        self, sender: member_records.MemberId, sequence: int, address: str
    ) -> None:
        key = sender.key
        last = self._sequences.get(key, 0)
        if sequence <= last:
            raise DropError("replay", address, f"{sequence} after {last}")
        self._sequences[key] = sequence
        self._sequences.move_to_end(key)
        if len(self._sequences) > MAX_SENDERS:
            self._sequences.popitem(last=False)

    def _limit(self, address: str, now_ms: int) -> limits.TokenBucket:
        limit = self._limits.get(address)
        if limit is None:
            limit = limits.TokenBucket(MESSAGES_PER_S, BURST_MESSAGES, now_ms)
            self._limits[address] = limit
            if len(self._limits) > MAX_ADDRESSES:
                self._limits.popitem(last=False)
        else:
            self._limits.move_to_end(address)
        return limit

    def _drop(
        self, error: errors.StepError, address: str, now_ms: int
    ) -> None:
        self._counters.dropped[error.step] += 1
        logged_ms = self._logged_ms.get(address)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms[address] = now_ms
        self._logged_ms.move_to_end(address)
        if len(self._logged_ms) > MAX_ADDRESSES:
            self._logged_ms.popitem(last=False)
        log.event(
            "gossip_dropped",
            level="WARNING",
            peer=address,
            step=error.step,
            reason=error.reason,
        )
