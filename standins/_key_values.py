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
"""Events kept for watches; older revisions are compacted."""
MS_PER_S = 1000

Json = dict[str, Any]


class GatewayError(Exception):
    """An answer with an error status, as the gateway gives it.

    Parameters
    ----------
    status : int
        HTTP status.
    code : int
        Status code of gRPC.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class Entry(NamedTuple):
    """A key's value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def to_json(self, keys_only: bool = False) -> Json:
        """Return the entry as the gateway writes it, without defaults."""
        fields = {
            "key": encode(self.key),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
        }
        if self.value and not keys_only:
            fields["value"] = encode(self.value)
        if self.lease:
            fields["lease"] = str(self.lease)
        return fields


class Event(NamedTuple):
    """A change of one key, for watches."""

    revision: int
    key: bytes
    body: Json


class Lease(NamedTuple):
    """A lease.

    Attributes
    ----------
    expires_ms : float
        On the clock of the event loop.
    """

    lease_id: int
    ttl_s: int
    expires_ms: float


def encode(raw: bytes) -> str:
    """Return the base64 form of keys and values."""
    return base64.b64encode(raw).decode()


def decode(request: Json, field: str) -> bytes:
    """Return a base64 field of a request."""
    try:
        return base64.b64decode(request.get(field) or "", validate=True)
    except (TypeError, ValueError) as error:
        raise GatewayError(400, 3, f"{field}: illegal base64") from error


def number(request: Json, field: str) -> int:
    """Return an int64 field of a request, a string or a number."""
    try:
        return int(request.get(field) or 0)
    except (TypeError, ValueError) as error:
        raise GatewayError(400, 3, f"{field}: not an integer") from error


def is_within(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range; a zero byte as end means none."""
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
WRITES = ("request_put", "request_delete_range")


class KeyValues:
    """Keys in order of revision, with leases and an event history."""

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
        """Return the header of every answer."""
        return {"revision": str(self.revision)}

    def compact(self, revision: int) -> None:
        """Forget events up to and including a revision."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        while self.events and self.events[0].revision <= self.compacted:
            self.events.popleft()

    # Leases

    def expire(self, now_ms: float) -> bool:
        """Remove leases that have run out, with their keys."""
        gone = [v for v in self.leases.values() if v.expires_ms <= now_ms]
        for lease in gone:
            self._drop_lease(lease.lease_id)
        return bool(gone)

    def expire_all(self) -> None:
        """Remove all leases now."""
        self.expire(float("inf"))

    @property
    def next_expiry_ms(self) -> float:
        """Time at which the next lease runs out."""
        ends = (lease.expires_ms for lease in self.leases.values())
        return min(ends, default=float("inf"))

    def grant(self, request: Json, now_ms: float) -> Json:
        """Answer ``/v3/lease/grant``."""
        ttl_s = number(request, "TTL")
        if ttl_s <= 0:
            raise GatewayError(400, 11, "too large lease TTL")
        lease_id = number(request, "ID") or next(self._lease_ids)
        ends_ms = now_ms + ttl_s * MS_PER_S
        self.leases[lease_id] = Lease(lease_id, ttl_s, ends_ms)
        return self._lease_json(lease_id, ttl_s)

    def keep_alive(self, request: Json, now_ms: float) -> Json:
        """Answer ``/v3/lease/keepalive``; no TTL if the lease is gone."""
        lease_id = number(request, "ID")
        lease = self.leases.get(lease_id)
        if lease is None:
            return {"header": self.header(), "ID": str(lease_id)}
        ends_ms = now_ms + lease.ttl_s * MS_PER_S
        self.leases[lease_id] = lease._replace(expires_ms=ends_ms)
        return self._lease_json(lease_id, lease.ttl_s)

    def revoke(self, request: Json) -> Json:
        """Answer ``/v3/lease/revoke``."""
        lease_id = number(request, "ID")
        self._require_lease(lease_id)
        self._drop_lease(lease_id)
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

    def _drop_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        held = [e.key for e in self.entries.values() if e.lease == lease_id]
        if held:
            self.revision += 1
        for key in sorted(held):
            self._remove(key)

    # Keys

    def range(self, request: Json) -> Json:
        """Answer ``/v3/kv/range`` at the current revision."""
        asked = number(request, "revision")
        if asked and asked < self.compacted:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise GatewayError(400, 11, message)
        found = self._find(request)
        if request.get("sort_order") == "DESCEND":
            found.reverse()
        limit = number(request, "limit") or len(found)
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
        self._check(request)
        self.revision += 1
        return self._put(request)

    def delete_range(self, request: Json) -> Json:
        """Answer ``/v3/kv/deleterange``."""
        if self._find(request):
            self.revision += 1
        return self._delete(request)

    def txn(self, request: Json) -> Json:
        """Answer ``/v3/kv/txn``: all operations of one branch, or none."""
        compares = request.get("compare") or []
        branches = (request.get("success"), request.get("failure"))
        for branch in (compares, *branches):
            if len(branch or []) > MAX_TXN_OPERATIONS:
                raise GatewayError(400, 3, "too many operations in txn")
        succeeded = all(self._holds(compare) for compare in compares)
        steps = (branches[0] if succeeded else branches[1]) or []
        self._check_steps(steps)
        if self._changes_keys(steps):
            self.revision += 1
        answer: Json = {
            "responses": [self._step(step) for step in steps],
        }
        answer["header"] = self.header()
        if succeeded:
            answer["succeeded"] = True
        return answer

    def events_from(
        self, revision: int, key: bytes, range_end: bytes
    ) -> list[Event]:
        """Return the events of a range from a revision on."""
        return [
            event
            for event in self.events
            if event.revision >= revision
            and is_within(event.key, key, range_end)
        ]

    def _find(self, request: Json) -> list[Entry]:
        key = decode(request, "key")
        range_end = decode(request, "range_end")
        if not range_end:
            entry = self.entries.get(key)
            return [entry] if entry else []
        found = [k for k in self.entries if is_within(k, key, range_end)]
        return [self.entries[k] for k in sorted(found)]

    def _check(self, request: Json) -> None:
        if not decode(request, "key"):
            raise GatewayError(400, 3, "etcdserver: key is not provided")
        if len(decode(request, "value")) > MAX_VALUE_BYTES:
            raise GatewayError(400, 3, "etcdserver: request is too large")
        lease = number(request, "lease")
        if lease:
            self._require_lease(lease)

    def _check_steps(self, steps: list[Json]) -> None:
        keys = [
            decode(s["request_put"], "key") for s in steps if WRITES[0] in s
        ]
        if len(keys) != len(set(keys)):
            raise GatewayError(400, 3, "duplicate key given in txn request")
        for step in steps:
            if "request_put" in step:
                self._check(step["request_put"])

    def _changes_keys(self, steps: list[Json]) -> bool:
        return any(
            "request_put" in step
            or (
                "request_delete_range" in step
                and self._find(step["request_delete_range"])
            )
            for step in steps
        )

    def _step(self, step: Json) -> Json:
        if "request_range" in step:
            return {"response_range": self.range(step["request_range"])}
        if "request_put" in step:
            return {"response_put": self._put(step["request_put"])}
        if "request_delete_range" in step:
            answer = self._delete(step["request_delete_range"])
            return {"response_delete_range": answer}
        raise GatewayError(400, 3, "unknown operation in txn request")

    def _holds(self, compare: Json) -> bool:
        key = decode(compare, "key")
        entry = self.entries.get(key)
        holds = _COMPARISONS[compare.get("result", "EQUAL")]
        target = compare.get("target", "VERSION")
        if target == "VALUE":
            value = decode(compare, "value")
            return entry is not None and holds(entry.value, value)
        field = _TARGETS[target]
        present = getattr(entry, field) if entry else 0
        return holds(present, number(compare, field))

    def _put(self, request: Json) -> Json:
        key = decode(request, "key")
        old = self.entries.get(key)
        entry = Entry(
            key,
            decode(request, "value"),
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            number(request, "lease"),
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
        removed = {"key": encode(key), "mod_revision": str(self.revision)}
        self._record(key, {"type": "DELETE", "kv": removed})

    def _record(self, key: bytes, body: Json) -> None:
        self.events.append(Event(self.revision, key, body))
        if len(self.events) > MAX_EVENTS:
            self.compact(self.events[0].revision)
