"""View of a node: records of the members that it knows, with indexes."""

import array
import bisect
from collections.abc import Iterator
import enum
import hashlib
import random as random_module
from typing import NamedTuple

from clementinekeel.membership import _packing
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records
from clementinekeel.membership import relays
from clementinekeel.membership import tombstones
from clementinekeel.runtime import invariants

BUCKET_BITS = 6
BUCKETS = 1 << BUCKET_BITS
"""64 hashes of 8 bytes fit one datagram; 3,000 members give 47 a bucket."""
BUCKET_SHIFT = member_records.KEY_BITS - BUCKET_BITS
HASH_BYTES = 8


class Change(enum.Enum):
    """Effect of a record on the view."""

    NONE = "none"
    JOINED = "joined"
    CHANGED = "changed"
    REMOVED = "removed"


class Applied(NamedTuple):
    """Result of applying a record or a removal.

    Attributes
    ----------
    record : MemberRecord or None
        Record that is now in the view or was removed from it.
    """

    change: Change
    record: member_records.MemberRecord | None


def hash_version(key: int, version: int) -> int:
    """Return a member's contribution to the hash of its bucket."""
    digest = hashlib.blake2b(
        b"%d/%d" % (key, version), digest_size=HASH_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


class _ZoneIndex:
    """Index of a zone: the keys and XOR of version hashes of each bucket."""

    __slots__ = ("buckets", "count", "hashes", "ranking")

    def __init__(self) -> None:
        self.buckets: list[list[int]] = [[] for _ in range(BUCKETS)]
        self.hashes = array.array("Q", bytes(HASH_BYTES * BUCKETS))
        self.count = 0
        self.ranking: relays.Ranking | None = None

    @property
    def hash(self) -> int:
        result = 0
        for bucket_hash in self.hashes:
            result ^= bucket_hash
        return result

    def all_keys(self) -> Iterator[int]:
        for bucket in self.buckets:
            yield from bucket

    def add(self, key: int) -> None:
        bisect.insort(self.buckets[key >> BUCKET_SHIFT], key)
        self.count += 1

    def remove(self, key: int) -> None:
        bucket = self.buckets[key >> BUCKET_SHIFT]
        del bucket[bisect.bisect_left(bucket, key)]
        self.count -= 1

    def toggle_version_hash(self, key: int, version: int) -> None:
        self.hashes[key >> BUCKET_SHIFT] ^= hash_version(key, version)


class View:
    """Members known to a node, and tombstones of removed members."""

    def __init__(self) -> None:
        self._packed_records: dict[int, bytes] = {}
        self._zones: dict[str, _ZoneIndex] = {}
        self._service_keys: dict[str, list[int]] = {}
        self.tombstones = tombstones.Tombstones()

    def __len__(self) -> int:
        return len(self._packed_records)

    def __contains__(self, key: int) -> bool:
        return key in self._packed_records

    @property
    def zones(self) -> list[str]:
        """Zones that have members."""
        return list(self._zones)

    def get(self, key: int) -> member_records.MemberRecord | None:
        """Return a member's record."""
        packed = self._packed_records.get(key)
        return None if packed is None else _packing.unpack(packed)

    def records(self) -> Iterator[member_records.MemberRecord]:
        """Yield all records."""
        return map(_packing.unpack, self._packed_records.values())

    def count(self, zone: str) -> int:
        """Return the number of members of a zone."""
        zone_index = self._zones.get(zone)
        return 0 if zone_index is None else zone_index.count

    def keys(self, zone: str) -> list[int]:
        """Return the keys of a zone's members, sorted."""
        zone_index = self._zones.get(zone)
        return [] if zone_index is None else list(zone_index.all_keys())

    def service_members(
        self, service: str
    ) -> list[tuple[int, member_records.MemberRecord]]:
        """Return the members that serve a service."""
        return [
            (key, _packing.unpack(self._packed_records[key]))
            for key in self._service_keys.get(service, ())
        ]

    def relays(self, zone: str) -> list[int]:
        """Return the keys of a zone's relays, best first."""
        zone_index = self._zones.get(zone)
        if zone_index is None:
            return []
        if zone_index.ranking is None:
            zone_index.ranking = relays.rank(
                (key, _packing.unpack(self._packed_records[key]))
                for key in zone_index.all_keys()
            )
        return [key for _, _, key in zone_index.ranking]

    def zone_hash(self, zone: str) -> int:
        """Return the hash of a zone's keys and versions."""
        zone_index = self._zones.get(zone)
        return 0 if zone_index is None else zone_index.hash

    def bucket_hashes(self, zone: str) -> list[int]:
        """Return the hashes of a zone's buckets."""
        zone_index = self._zones.get(zone)
        return [0] * BUCKETS if zone_index is None else list(zone_index.hashes)

    def range_keys(self, zone: str, low: int, high: int) -> list[int]:
        """Return the keys of a zone with ``low <= key < high``, sorted."""
        zone_index = self._zones.get(zone)
        if zone_index is None or high <= low:
            return []
        first = max(0, low >> BUCKET_SHIFT)
        last = min(BUCKETS - 1, (high - 1) >> BUCKET_SHIFT)
        result: list[int] = []
        for bucket in zone_index.buckets[first : last + 1]:
            start = bisect.bisect_left(bucket, low)
            end = bisect.bisect_left(bucket, high)
            result += bucket[start:end]
        return result

    def pick(
        self, zone: str, count: int, random: random_module.Random
    ) -> list[int]:
        """Return up to ``count`` different random members of a zone."""
        zone_index = self._zones.get(zone)
        if zone_index is None:
            return []
        if count * 4 >= zone_index.count:
            keys = list(zone_index.all_keys())
            return random.sample(keys, min(count, len(keys)))
        chosen: set[int] = set()
        while len(chosen) < count:
            bucket = random.choice(zone_index.buckets)
            if bucket:
                chosen.add(random.choice(bucket))
        return sorted(chosen)

    def apply(
        self, key: int, record: member_records.MemberRecord, now_ms: int
    ) -> Applied:
        """Apply a record unless it is old or a tombstone forbids it."""
        known = self.get(key)
        if known is not None and known.version >= record.version:
            return Applied(Change.NONE, known)
        removed = self.tombstones.find(key, record.version)
        if removed is not None:
            return Applied(Change.NONE, None)
        if record.state is member_records.MemberState.LEFT:
            notice = member_messages.Notice(
                key, record.version, member_messages.Status.LEFT, ()
            )
            return self.remove(notice, now_ms)
        self.tombstones.remove(key)
        if known is None:
            self._insert(key, record)
            return Applied(Change.JOINED, record)
        self._replace(key, known, record)
        return Applied(Change.CHANGED, record)

    def remove(self, notice: member_messages.Notice, now_ms: int) -> Applied:
        """Add a tombstone and remove the member unless its record is newer."""
        known = self.get(notice.key)
        if known is not None and known.version > notice.version:
            return Applied(Change.NONE, known)
        self.tombstones.add(
            tombstones.Tombstone(
                notice,
                now_ms,
                "" if known is None else known.zone,
                "" if known is None else known.address,
            )
        )
        if known is None:
            return Applied(Change.NONE, None)
        self._delete(notice.key, known)
        return Applied(Change.REMOVED, known)

    def _insert(self, key: int, record: member_records.MemberRecord) -> None:
        invariants.check(
            self.tombstones.find(key, record.version) is None,
            "removed_member_stays_removed",
            node_id=record.node_id,
        )
        self._packed_records[key] = _packing.pack(record)
        zone_index = self._zones.get(record.zone)
        if zone_index is None:
            zone_index = self._zones[record.zone] = _ZoneIndex()
        zone_index.add(key)
        zone_index.toggle_version_hash(key, record.version)
        if record.service:
            self._service_keys.setdefault(record.service, []).append(key)
        if zone_index.ranking is not None:
            zone_index.ranking = relays.insert(zone_index.ranking, key, record)

    def _replace(
        self,
        key: int,
        known: member_records.MemberRecord,
        record: member_records.MemberRecord,
    ) -> None:
        invariants.check(
            record.version > known.version,
            "record_version_grows",
            node_id=record.node_id,
        )
        if (
            known.zone == record.zone
            and known.service == record.service
            and relays.is_preferred(known) == relays.is_preferred(record)
        ):
            zone_index = self._zones[record.zone]
            zone_index.toggle_version_hash(key, known.version)
            zone_index.toggle_version_hash(key, record.version)
            self._packed_records[key] = _packing.pack(record)
            return
        self._delete(key, known)
        self._insert(key, record)

    def _delete(self, key: int, known: member_records.MemberRecord) -> None:
        del self._packed_records[key]
        zone_index = self._zones[known.zone]
        zone_index.remove(key)
        zone_index.toggle_version_hash(key, known.version)
        if zone_index.ranking is not None and any(
            key == relay for _, _, relay in zone_index.ranking
        ):
            zone_index.ranking = None
        if zone_index.count == 0:
            del self._zones[known.zone]
        if known.service:
            keys = self._service_keys[known.service]
            keys.remove(key)
            if not keys:
                del self._service_keys[known.service]
