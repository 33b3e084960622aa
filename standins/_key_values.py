"""State of the key-value stand-in: keys, leases, events and revisions."""

import base64
import collections
from collections.abc import Callable
import copy
import itertools
import operator
from typing import Any, NamedTuple

MAX_VALUE_BYTES = 1_000_000
MAX_TXN_OPERATIONS = 128
MAX_EVENTS = 50_000
"""Number of events kept for watches; older revisions are compacted."""
MS_PER_S = 1000

Json = dict[str, Any]


class GatewayError(Exception):
    """An error answer of the gateway.

    Parameters
    ----------
    status : int
        HTTP status.
    code : int
        gRPC status code.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class Entry(NamedTuple):
    """A key with its value, revisions and lease; 0 for no lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def to_json(self, keys_only: bool = False) -> Json:
        """Return the gateway's JSON form, which omits default values."""
        fields = {
            "key": encode_base64(self.key),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
        }
        if self.value and not keys_only:
            fields["value"] = encode_base64(self.value)
        if self.lease:
            fields["lease"] = str(self.lease)
        return fields


class Event(NamedTuple):
    """A change of one key, as watches report it."""

    revision: int
    key: bytes
    body: Json


class Lease(NamedTuple):
    """A lease, which deletes its keys when it expires.

    Attributes
    ----------
    expires_ms : float
        Time of expiry on the clock of the event loop.
    """

    lease_id: int
    ttl_s: int
    expires_ms: float


def encode_base64(raw: bytes) -> str:
    """Return the base64 form of a key or a value."""
    return base64.b64encode(raw).decode()


def bytes_field(request: Json, field: str) -> bytes:
    """Return a field of a request, decoded from base64."""
    try:
        return base64.b64decode(request.get(field) or "", validate=True)
    except (TypeError, ValueError) as error:
        raise GatewayError(400, 3, f"{field}: illegal base64") from error


def integer_field(request: Json, field: str) -> int:
    """Return an int64 field of a request, sent as a string or a number."""
    try:
        return int(request.get(field) or 0)
    except (TypeError, ValueError) as error:
        raise GatewayError(400, 3, f"{field}: not an integer") from error


def is_within(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range.

    An empty ``range_end`` selects the key ``start`` only; a zero byte selects
    all keys from ``start`` on.
    """
    if not range_end:
        return key == start
    return key >= start and (range_end == b"\0" or key < range_end)


_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
_TARGETS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
}
WRITE_OPERATIONS = ("request_put", "request_delete_range")


class KeyValues:
    """Keys and leases at the current revision, with an event history."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.events: collections.deque[Event] = collections.deque()
        self._lease_ids = itertools.count(1_000)

    def copy(self) -> "KeyValues":
        """Return an independent copy, as a backup would hold it."""
        return copy.deepcopy(self)

    def header(self) -> Json:
        """Return the header that every answer contains."""
        return {"revision": str(self.revision)}

    def compact(self, revision: int) -> None:
        """Discard the events up to and including a revision."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        while self.events and self.events[0].revision <= self.compacted:
            self.events.popleft()

    # Leases

    def expire(self, now_ms: float) -> bool:
        """Remove expired leases and their keys; return whether any were."""
        expired = [v for v in self.leases.values() if v.expires_ms <= now_ms]
        for lease in expired:
            self._remove_lease(lease.lease_id)
        return bool(expired)

    def expire_all(self) -> None:
        """Remove all leases and their keys."""
        self.expire(float("inf"))

    @property
    def next_expiry_ms(self) -> float:
        """Time at which the next lease expires; infinity without leases."""
        ends = (lease.expires_ms for lease in self.leases.values())
        return min(ends, default=float("inf"))

    def grant(self, request: Json, now_ms: float) -> Json:
        """Answer ``/v3/lease/grant``."""
        ttl_s = integer_field(request, "TTL")
        if ttl_s <= 0:
            raise GatewayError(400, 11, "too large lease TTL")
        lease_id = integer_field(request, "ID") or next(self._lease_ids)
        expires_ms = now_ms + ttl_s * MS_PER_S
        self.leases[lease_id] = Lease(lease_id, ttl_s, expires_ms)
        return self._lease_json(lease_id, ttl_s)

    def keep_alive(self, request: Json, now_ms: float) -> Json:
        """Answer ``/v3/lease/keepalive``; no TTL if the lease is unknown."""
        lease_id = integer_field(request, "ID")
        lease = self.leases.get(lease_id)
        if lease is None:
            return {"header": self.header(), "ID": str(lease_id)}
        expires_ms = now_ms + lease.ttl_s * MS_PER_S
        self.leases[lease_id] = lease._replace(expires_ms=expires_ms)
        return self._lease_json(lease_id, lease.ttl_s)

    def revoke(self, request: Json) -> Json:
        """Answer ``/v3/lease/revoke``."""
        lease_id = integer_field(request, "ID")
        self._require_lease(lease_id)
        self._remove_lease(lease_id)
        return {"header": self.header()}

    def _lease_json(self, lease_id: int, ttl_s: int) -> Json:
        return {
            "header": self.header(),
            "ID": str(lease_id),
            "TTL": str(ttl_s),
        }

    def _require_lease(self, lease_id: int) -> None:
        if lease_id not in self.leases:
            message = "etcdserver: requested lease not found"
            raise GatewayError(404, 5, message)

    def _remove_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        keys = [e.key for e in self.entries.values() if e.lease == lease_id]
        if keys:
            self.revision += 1
        for key in sorted(keys):
            self._remove(key)

    # Keys

    def range(self, request: Json) -> Json:
        """Answer ``/v3/kv/range`` at the current revision."""
        revision = integer_field(request, "revision")
        if revision and revision < self.compacted:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise GatewayError(400, 11, message)
        found = self._find(request)
        if request.get("sort_order") == "DESCEND":
            found.reverse()
        limit = integer_field(request, "limit") or len(found)
        keys_only = bool(request.get("keys_only"))
        answer: Json = {"header": self.header(), "count": str(len(found))}
        if found:
            kvs = [entry.to_json(keys_only) for entry in found[:limit]]
            answer["kvs"] = kvs
        if len(found) > limit:
            answer["more"] = True
        return answer

    def put(self, request: Json) -> Json:
        """Answer ``/v3/kv/put``."""
        self._check_put(request)
        self.revision += 1
        return self._put(request)

    def delete_range(self, request: Json) -> Json:
        """Answer ``/v3/kv/deleterange``."""
        if self._find(request):
            self.revision += 1
        return self._delete(request)

    def txn(self, request: Json) -> Json:
        """Answer ``/v3/kv/txn``.

        All operations of the chosen branch are applied, or none of them.
        """
        compares = request.get("compare") or []
        branches = (request.get("success"), request.get("failure"))
        for branch in (compares, *branches):
            if len(branch or []) > MAX_TXN_OPERATIONS:
                raise GatewayError(400, 3, "too many operations in txn")
        succeeded = all(self._is_met(compare) for compare in compares)
        operations = (branches[0] if succeeded else branches[1]) or []
        self._check_operations(operations)
        if self._changes_keys(operations):
            self.revision += 1
        answer: Json = {
            "responses": [
                self._apply_operation(operation) for operation in operations
            ],
        }
        answer["header"] = self.header()
        if succeeded:
            answer["succeeded"] = True
        return answer

    def events_from(
        self, revision: int, key: bytes, range_end: bytes
    ) -> list[Event]:
        """Return the events of a range of keys from a revision on."""
        return [
            event
            for event in self.events
            if event.revision >= revision
            and is_within(event.key, key, range_end)
        ]

    def _find(self, request: Json) -> list[Entry]:
        key = bytes_field(request, "key")
        range_end = bytes_field(request, "range_end")
        if not range_end:
            entry = self.entries.get(key)
            return [entry] if entry else []
        found = [k for k in self.entries if is_within(k, key, range_end)]
        return [self.entries[k] for k in sorted(found)]

    def _check_put(self, request: Json) -> None:
        if not bytes_field(request, "key"):
            raise GatewayError(400, 3, "etcdserver: key is not provided")
        if len(bytes_field(request, "value")) > MAX_VALUE_BYTES:
            raise GatewayError(400, 3, "etcdserver: request is too large")
        lease = integer_field(request, "lease")
        if lease:
            self._require_lease(lease)

    def _check_operations(self, operations: list[Json]) -> None:
        keys = [
            bytes_field(operation["request_put"], "key")
            for operation in operations
            if WRITE_OPERATIONS[0] in operation
        ]
        if len(keys) != len(set(keys)):
            raise GatewayError(400, 3, "duplicate key given in txn request")
        for operation in operations:
            if "request_put" in operation:
                self._check_put(operation["request_put"])

    def _changes_keys(self, operations: list[Json]) -> bool:
        return any(
            "request_put" in operation
            or (
                "request_delete_range" in operation
                and self._find(operation["request_delete_range"])
            )
            for operation in operations
        )

    def _apply_operation(self, operation: Json) -> Json:
        if "request_range" in operation:
            return {"response_range": self.range(operation["request_range"])}
        if "request_put" in operation:
            return {"response_put": self._put(operation["request_put"])}
        if "request_delete_range" in operation:
            answer = self._delete(operation["request_delete_range"])
            return {"response_delete_range": answer}
        raise GatewayError(400, 3, "unknown operation in txn request")

    def _is_met(self, compare: Json) -> bool:
        key = bytes_field(compare, "key")
        entry = self.entries.get(key)
        comparison = _COMPARISONS[compare.get("result", "EQUAL")]
        target = compare.get("target", "VERSION")
        if target == "VALUE":
            value = bytes_field(compare, "value")
            return entry is not None and comparison(entry.value, value)
        field = _TARGETS[target]
        current = getattr(entry, field) if entry else 0
        return comparison(current, integer_field(compare, field))

    def _put(self, request: Json) -> Json:
        key = bytes_field(request, "key")
        old = self.entries.get(key)
        entry = Entry(
            key,
            bytes_field(request, "value"),
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            integer_field(request, "lease"),
        )
        self.entries[key] = entry
        self._record(key, {"kv": entry.to_json()})
        return {"header": self.header()}

    def _delete(self, request: Json) -> Json:
        found = self._find(request)
        for entry in found:
            self._remove(entry.key)
        answer: Json = {"header": self.header()}
        if found:
            answer["deleted"] = str(len(found))
        return answer

    def _remove(self, key: bytes) -> None:
        del self.entries[key]
        removed = {
            "key": encode_base64(key),
            "mod_revision": str(self.revision),
        }
        self._record(key, {"type": "DELETE", "kv": removed})

    def _record(self, key: bytes, body: Json) -> None:
        self.events.append(Event(self.revision, key, body))
        if len(self.events) > MAX_EVENTS:
            self.compact(self.events[0].revision)
