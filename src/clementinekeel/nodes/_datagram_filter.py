"""Filter for received gossip datagrams.

Datagrams that are malformed, forged, replayed or too frequent are dropped
before they reach membership.
"""

import collections
from typing import Any

import msgspec

from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records
from clementinekeel.membership import token_bucket
from clementinekeel.nodes import codec as codec_module
from clementinekeel.nodes import gossip_messages
from clementinekeel.runtime import errors
from clementinekeel.runtime import log

GOSSIP_SESSION = 0
"""Session number in the envelope of datagrams, which have no session."""
MESSAGES_PER_S = 200
"""Rate limit for one address. A node sends about 5 messages a second, and 48
deltas more while it catches up with another node."""
BURST_MESSAGES = 400
MAX_ADDRESSES = 4_096
"""Addresses whose rate limiter and last log time are kept."""
MAX_SENDERS = 8_192
"""Senders whose last sequence number is kept: three times the members of a
zone at full size, about 1 MB."""
LOG_INTERVAL_MS = 60_000
"""Drops are logged once per address in this time."""

_frames_decoder = msgspec.msgpack.Decoder(tuple[bytes, bytes, bytes, bytes])
_gossip_types = frozenset(gossip_messages.TYPES.values())


class DropError(errors.StepError):
    """A datagram was dropped."""


class TrafficCounters:
    """Gossip messages and bytes of one node, and drops by step."""

    def __init__(self) -> None:
        self.messages_in = 0
        self.bytes_in = 0
        self.messages_out = 0
        self.bytes_out = 0
        self.dropped: collections.Counter[str] = collections.Counter()


class DatagramFilter:
    """Decodes received datagrams and drops invalid ones.

    Parameters
    ----------
    codec : Codec
        Verifies and decodes the messages.
    own_id : MemberId
        Messages that claim to come from it are dropped.
    counters : TrafficCounters
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
        self._rate_limiters: collections.OrderedDict[
            str, token_bucket.TokenBucket
        ] = collections.OrderedDict()
        self._sequences: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._logged_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def accept(self, datagram: bytes, address: str, now_ms: int) -> Any:
        """Return the payload of a datagram, None if it is dropped."""
        self._counters.messages_in += 1
        self._counters.bytes_in += len(datagram)
        try:
            return self._decode(datagram, address, now_ms)
        except errors.StepError as error:
            self._drop(error, address, now_ms)
            return None

    def _decode(self, datagram: bytes, address: str, now_ms: int) -> Any:
        if not self._get_rate_limiter(address, now_ms).try_consume(now_ms):
            raise DropError("rate", address, "too many messages")
        if len(datagram) > gossip_messages.MAX_DATAGRAM_BYTES:
            raise DropError("size", address, f"{len(datagram)} bytes")
        try:
            frames = _frames_decoder.decode(datagram)
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
        # The subject of an acknowledgement differs from the sender when
        # another node relays it.
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
        last_sequence = self._sequences.get(key, 0)
        if sequence <= last_sequence:
            raise DropError(
                "replay", address, f"{sequence} after {last_sequence}"
            )
        self._sequences[key] = sequence
        self._sequences.move_to_end(key)
        if len(self._sequences) > MAX_SENDERS:
            self._sequences.popitem(last=False)

    def _get_rate_limiter(
        self, address: str, now_ms: int
    ) -> token_bucket.TokenBucket:
        rate_limiter = self._rate_limiters.get(address)
        if rate_limiter is None:
            rate_limiter = token_bucket.TokenBucket(
                MESSAGES_PER_S, BURST_MESSAGES, now_ms
            )
            self._rate_limiters[address] = rate_limiter
            if len(self._rate_limiters) > MAX_ADDRESSES:
                self._rate_limiters.popitem(last=False)
        else:
            self._rate_limiters.move_to_end(address)
        return rate_limiter

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
