"""Anti-entropy: two nodes find and exchange the differences of their views.

A digest has one hash for each zone. If a hash differs, the receiver answers
with the hashes of the zone's buckets. The first node then sends its versions
in some of the differing ranges, and the receiver sends its newer records and
the keys whose records it lacks. Each step is bounded, so after a partition the
views of two large halves converge over several exchanges and not in one burst.
"""

from collections.abc import Iterable, Iterator
import random as random_module
import struct
from typing import TypeVar

from clementinekeel.membership import _packing
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as records_module
from clementinekeel.membership import token_bucket
from clementinekeel.membership import view as view_module

MAX_DIGEST_ZONES = 16
ZONES_PER_EXCHANGE = 3
RANGES_PER_EXCHANGE = 16
MAX_VERSIONS = 60
"""Number of pairs of key and version, 16 bytes each, that fit one message."""
MAX_WANTED = 64
DELTAS_PER_S = 48
"""About 56 KB/s while views differ; no deltas are sent while they agree."""
HEADER_BYTES = 100
_VERSION = struct.Struct(">QQ")
_HASHES = struct.Struct(f">{view_module.BUCKETS}Q")
_ALL_KEYS = 1 << records_module.KEY_BITS

T = TypeVar("T")


class AntiEntropy:
    """Builds digests and answers digests and deltas for one view."""

    def __init__(
        self,
        view: view_module.View,
        random: random_module.Random,
        now_ms: int,
    ) -> None:
        self._view = view
        self._random = random
        self._limit = token_bucket.TokenBucket(
            DELTAS_PER_S, DELTAS_PER_S, now_ms
        )

    def digest(
        self, sender: records_module.MemberRecord, unreachable: tuple[str, ...]
    ) -> member_messages.Digest:
        """Return the first step of an exchange."""
        zones = self._view.zones
        if len(zones) > MAX_DIGEST_ZONES:
            zones = self._random.sample(zones, MAX_DIGEST_ZONES)
        hashes = tuple((zone, self._view.zone_hash(zone)) for zone in zones)
        return member_messages.Digest(sender, hashes, unreachable, "", b"")

    def on_zones(
        self,
        address: str,
        digest: member_messages.Digest,
        sender: records_module.MemberRecord,
    ) -> Iterator[member_messages.Outgoing]:
        """Answer the hashes of zones with those of buckets."""
        theirs = dict(digest.zones)
        names = set(theirs)
        if len(theirs) < MAX_DIGEST_ZONES:
            names.update(self._view.zones)
        differing = sorted(
            name
            for name in names
            if theirs.get(name, 0) != self._view.zone_hash(name)
        )
        if len(differing) > ZONES_PER_EXCHANGE:
            differing = self._random.sample(differing, ZONES_PER_EXCHANGE)
        for zone in differing:
            buckets = _HASHES.pack(*self._view.bucket_hashes(zone))
            yield member_messages.Outgoing(
                address, member_messages.Digest(sender, (), (), zone, buckets)
            )

    def on_buckets(
        self, address: str, digest: member_messages.Digest, now_ms: int
    ) -> Iterator[member_messages.Outgoing]:
        """Answer the hashes of buckets with versions in differing ranges."""
        if len(digest.buckets) != _HASHES.size:
            return
        theirs = _HASHES.unpack(digest.buckets)
        ours = self._view.bucket_hashes(digest.zone)
        differing = [
            index
            for index in range(view_module.BUCKETS)
            if theirs[index] != ours[index]
        ]
        if len(differing) > RANGES_PER_EXCHANGE:
            differing = self._random.sample(differing, RANGES_PER_EXCHANGE)
        for index in differing:
            if not self._limit.try_consume(now_ms):
                return
            yield member_messages.Outgoing(
                address, self._versions(digest.zone, index)
            )

    def on_delta(
        self, address: str, delta: member_messages.Delta, now_ms: int
    ) -> Iterator[member_messages.Outgoing]:
        """Answer the versions and the wanted keys of a delta."""
        records = [
            record
            for key in delta.wanted[:MAX_WANTED]
            if (record := self._view.get(key)) is not None
        ]
        notices: list[member_messages.Notice] = []
        wanted: list[int] = []
        if delta.high > delta.low:
            self._compare(delta, records, notices, wanted)
        for answer in _split(records, notices, wanted):
            if not self._limit.try_consume(now_ms):
                return
            yield member_messages.Outgoing(address, answer)

    def _versions(self, zone: str, bucket: int) -> member_messages.Delta:
        low = bucket << view_module.BUCKET_SHIFT
        high = (bucket + 1) << view_module.BUCKET_SHIFT
        keys = self._view.range_keys(zone, low, high)
        if len(keys) > MAX_VERSIONS:
            # Random, so that every part is compared in some exchange.
            start = self._random.randrange(0, len(keys), MAX_VERSIONS)
            low = keys[start] if start else low
            if start + MAX_VERSIONS < len(keys):
                high = keys[start + MAX_VERSIONS]
            keys = keys[start : start + MAX_VERSIONS]
        versions = b"".join(
            _VERSION.pack(key, record.version)
            for key in keys
            if (record := self._view.get(key)) is not None
        )
        return member_messages.Delta(zone, low, high, versions, (), (), ())

    def _compare(
        self,
        delta: member_messages.Delta,
        records: list[records_module.MemberRecord],
        notices: list[member_messages.Notice],
        wanted: list[int],
    ) -> None:
        if len(delta.versions) % _VERSION.size:
            return
        low, high = max(0, delta.low), min(_ALL_KEYS, delta.high)
        theirs = dict(_VERSION.iter_unpack(delta.versions))
        for key in self._view.range_keys(delta.zone, low, high):
            record = self._view.get(key)
            if record is None:
                continue
            their_version = theirs.pop(key, -1)
            if record.version > their_version:
                records.append(record)
            elif record.version < their_version:
                wanted.append(key)
        for key, version in theirs.items():
            removed = self._view.tombstones.find(key, version)
            if removed is not None:
                notices.append(removed)
            elif key not in self._view:
                wanted.append(key)


def _split(
    records: list[records_module.MemberRecord],
    notices: list[member_messages.Notice],
    wanted: list[int],
) -> Iterator[member_messages.Delta]:
    """Yield deltas, each of which fits one datagram."""
    max_bytes = member_messages.MAX_PAYLOAD_BYTES - HEADER_BYTES
    for part in split_by_size(records, max_bytes):
        yield member_messages.Delta("", 0, 0, b"", tuple(part), (), ())
    for some in split_by_size(notices, max_bytes):
        yield member_messages.Delta("", 0, 0, b"", (), tuple(some), ())
    for start in range(0, len(wanted), MAX_WANTED):
        keys = tuple(wanted[start : start + MAX_WANTED])
        yield member_messages.Delta("", 0, 0, b"", (), (), keys)


def split_by_size(items: Iterable[T], max_bytes: int) -> Iterator[list[T]]:
    """Yield the items in lists of at most ``max_bytes`` bytes each."""
    part: list[T] = []
    used = 0
    for item in items:
        size = _packing.size_of(item)
        if part and used + size > max_bytes:
            yield part
            part, used = [], 0
        part.append(item)
        used += size
    if part:
        yield part
