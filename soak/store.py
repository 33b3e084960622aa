"""Stand-in for the platform's metadata store, with injected faults.

It serves the published calls over HTTP/1.1 with JSON bodies and keeps its data
in memory. Each node reaches it through a relay of its own, so that single
nodes can be cut off.
"""

import asyncio
import base64
from collections.abc import Callable
import functools
import json
import random
from typing import Any, NamedTuple
import urllib.parse

from soak import _http

CONFIGURATION_KEY = "op/config"
MAX_COPY_AGE_S = 12.0
"""Age up to which copies are kept, to which the store can return."""


class Event(NamedTuple):
    """A change of a key; ``item`` is None if the key was removed."""

    revision: int
    key: str
    item: dict[str, Any] | None


class Copy(NamedTuple):
    """State of the store at one time."""

    at: float
    items: dict[str, dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    events: list[Event]
    revision: int
    compacted_revision: int


class Faults:
    """Faults in force.

    Attributes
    ----------
    outage : str
        ``silent``, ``reset`` or ``busy`` while the store serves no call, else
        empty.
    delay_s : float
        Delay of each call.
    lost_share : float
        Share of the writes that are not answered, although they take effect.
    delays_lost_writes : bool
        Whether these writes take effect only seconds later.
    """

    def __init__(self) -> None:
        self.outage = ""
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.delays_lost_writes = False


class Store:
    """Keys, leases and their history, with injected faults.

    Parameters
    ----------
    translate_entry : callable
        Returns the value of a key for a node that reads it: the address of
        another node is replaced by that of its relay.
    """

    def __init__(
        self,
        random_source: random.Random,
        translate_entry: Callable[[str, str, bytes], bytes],
    ) -> None:
        self._random = random_source
        self._translate_entry = translate_entry
        self._items: dict[str, dict[str, Any]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._events: list[Event] = []
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.revision = 100
        self.compacted_revision = 0
        self._era = 1
        self._copies: list[Copy] = []
        self.faults = Faults()

    def create_connection(self, node: str) -> _http.ServerConnection:
        """Return the protocol for a new connection of a node."""
        return _http.ServerConnection(
            functools.partial(self._on_request, node)
        )

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its new revision."""
        self.revision += 1
        previous = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": previous["create_rev"]
            if previous
            else self.revision,
            "lease_id": lease,
        }
        self._record_event(key, self._items[key])
        return self.revision

    def compact(self) -> None:
        """Discard the history; watches of older revisions get status 410."""
        self.compacted_revision = self.revision
        self._events.clear()
        self._wake_watches()

    def keep_copy(self) -> None:
        """Keep a copy of the present state, and drop those that are old."""
        now = asyncio.get_running_loop().time()
        self._copies.append(
            Copy(
                now,
                dict(self._items),
                dict(self._leases),
                list(self._events),
                self.revision,
                self.compacted_revision,
            )
        )
        while self._copies[0].at < now - MAX_COPY_AGE_S:
            del self._copies[0]

    def restore(self, age_s: float) -> None:
        """Return to the copy of some seconds ago; all later writes are lost.

        Revisions and leases are given out again from there on.
        """
        latest = asyncio.get_running_loop().time() - age_s
        copies = [c for c in self._copies if c.at <= latest]
        copy = copies[-1] if copies else self._copies[0]
        self._copies = copies
        self._items, self._leases = dict(copy.items), dict(copy.leases)
        self._events = list(copy.events)
        self.revision = copy.revision
        self.compacted_revision = copy.compacted_revision
        self._era += 1
        self._wake_watches()

    def expire_all_leases(self) -> None:
        """Expire all leases now."""
        self._leases = {
            lease: (0.0, ttl) for lease, (_, ttl) in self._leases.items()
        }
        self.expire_leases()

    def expire_leases(self) -> None:
        """Remove the leases that have expired and their keys."""
        now = asyncio.get_running_loop().time()
        expired = {n for n, (end, _) in self._leases.items() if end <= now}
        for lease in expired:
            del self._leases[lease]
        for key, item in list(self._items.items()):
            if item["lease_id"] in expired:
                self.revision += 1
                del self._items[key]
                self._record_event(key, None)

    def _record_event(self, key: str, item: dict[str, Any] | None) -> None:
        self._events.append(Event(self.revision, key, item))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_request(
        self,
        node: str,
        connection: _http.ServerConnection,
        request: _http.Request,
    ) -> None:
        task = asyncio.ensure_future(self._serve(node, connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        node: str,
        connection: _http.ServerConnection,
        request: _http.Request,
    ) -> None:
        faults = self.faults
        if faults.outage == "silent":
            return
        if faults.outage == "reset":
            connection.abort()
            return
        if faults.outage == "busy":
            connection.respond(503, self._headers(), b"{}")
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        call = request.path.rpartition("/kv-")[2].partition("/")[0]
        is_write = call in ("txn", "lease")
        is_lost = is_write and self._random.random() < faults.lost_share
        if is_lost and faults.delays_lost_writes:
            await asyncio.sleep(self._random.uniform(1, 6))
        status, body = await self._call(call, request)
        if not is_lost:
            translated = self._translate_values(node, body)
            content = json.dumps(translated).encode()
            connection.respond(status, self._headers(), content)

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self._era)}

    def _translate_values(
        self, node: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        if "key" in body and "value" in body:
            value = base64.b64decode(body["value"])
            translated_value = self._translate_entry(node, body["key"], value)
            return {
                **body,
                "value": base64.b64encode(translated_value).decode(),
            }
        lists: dict[str, Any] = {
            name: [self._translate_values(node, item) for item in body[name]]
            for name in ("items", "events")
            if name in body
        }
        return {**body, **lists}

    async def _call(
        self, call: str, request: _http.Request
    ) -> tuple[int, dict[str, Any]]:
        query = dict(urllib.parse.parse_qsl(request.query))
        last_segment = request.path.rpartition("/")[2]
        handlers: dict[str, Callable[[], tuple[int, dict[str, Any]]]] = {
            "key": lambda: self._read(query["key"]),
            "range": lambda: self._range(query["prefix"]),
            "txn": lambda: self._txn(json.loads(request.body)),
            "lease": lambda: self._grant_lease(json.loads(request.body)),
            "keep": lambda: self._renew_lease(int(last_segment)),
        }
        if call == "watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"])
            )
        return handlers[call]()

    def _read(self, key: str) -> tuple[int, dict[str, Any]]:
        item = self._items.get(key)
        if item is None:
            return 404, {"at_rev": self.revision}
        return 200, {**item, "at_rev": self.revision}

    def _range(self, prefix: str) -> tuple[int, dict[str, Any]]:
        found = [i for k, i in self._items.items() if k.startswith(prefix)]
        return 200, {
            "items": found,
            "has_more": False,
            "at_rev": self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        era = self._era
        while self.compacted_revision <= after <= self.revision:
            if self._era != era:
                break
            found = [
                event.item
                or {"key": event.key, "revision": event.revision}
                | {"removed": True}
                for event in self._events
                if event.revision > after and event.key.startswith(prefix)
            ]
            if found or loop.time() >= end:
                return 200, {"events": found, "at_rev": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout_at(end):
                    await changed.wait()
            except TimeoutError:
                continue
        return 410, {}

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        current = {
            row["key"]: self._items.get(row["key"]) for row in body["if_rev"]
        }
        for row in body["if_rev"]:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [i for i in current.values() if i]}
        for write in body["writes"]:
            if write["lease_id"] and write["lease_id"] not in self._leases:
                return 404, {}
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease_id"])
        return 200, {"revision": self.revision}

    def _grant_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.revision += 1
        ttl_s = float(body["ttl_s_time"])
        end = asyncio.get_running_loop().time() + ttl_s
        self._leases[self.revision] = end, ttl_s
        return 200, {"lease_id": self.revision, "ttl_s_time": ttl_s}

    def _renew_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        _, ttl_s = self._leases[lease]
        end = asyncio.get_running_loop().time() + ttl_s
        self._leases[lease] = end, ttl_s
        return 200, {"lease_id": lease, "ttl_s_time": ttl_s}
