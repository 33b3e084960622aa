"""Stand-in of the platform's metadata store, with its faults.

It speaks the published calls over HTTP/1.1 with JSON bodies and keeps all in
memory. Nodes reach it through a relay each, so that it can turn away some.
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


class Event(NamedTuple):
    """A change of a key; no value when it is gone."""

    revision: int
    key: str
    item: dict[str, Any] | None


class Faults:
    """Faults in force, changed by the plan."""

    def __init__(self) -> None:
        self.down = ""
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.is_late = False


class Store:
    """Keys, leases, history and the faults of their service.

    Parameters
    ----------
    view : callable
        Returns the value of a key as a node sees it; addresses are
        translated where a relay stands between two nodes.
    """

    def __init__(
        self, draw: random.Random, view: Callable[[str, str, bytes], bytes]
    ) -> None:
        self._draw = draw
        self._view = view
        self._items: dict[str, dict[str, Any]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._events: list[Event] = []
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.revision = 100
        self.compacted = 0
        self.faults = Faults()

    def connection(self, reader: str) -> _http.Connection:
        """Return the protocol of a new connection of a node."""
        return _http.Connection(functools.partial(self._on_request, reader))

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        self.revision += 1
        held = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": held["create_rev"] if held else self.revision,
            "lease_id": lease,
        }
        self._note(key, self._items[key])
        return self.revision

    def compact(self) -> None:
        """Discard the history; waiting watches are cut."""
        self.compacted = self.revision
        self._events.clear()
        self._wake()

    def lapse(self) -> None:
        """Let all leases end now."""
        self._leases = {
            lease: (0.0, ttl) for lease, (_, ttl) in self._leases.items()
        }
        self.expire()

    def expire(self) -> None:
        """Remove the keys of leases that have ended."""
        now = asyncio.get_running_loop().time()
        ended = {n for n, (end, _) in self._leases.items() if end <= now}
        for lease in ended:
            del self._leases[lease]
        for key, item in list(self._items.items()):
            if item["lease_id"] in ended:
                self.revision += 1
                del self._items[key]
                self._note(key, None)

    def _note(self, key: str, item: dict[str, Any] | None) -> None:
        self._events.append(Event(self.revision, key, item))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_request(
        self,
        reader: str,
        connection: _http.Connection,
        request: _http.Request,
    ) -> None:
        task = asyncio.ensure_future(self._serve(reader, connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        reader: str,
        connection: _http.Connection,
        request: _http.Request,
    ) -> None:
        faults = self.faults
        if faults.down == "silent":
            return
        if faults.down == "reset":
            connection.abort()
            return
        if faults.down == "busy":
            connection.respond(503, {}, b"{}")
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        name = request.path.rpartition("/kv-")[2].partition("/")[0]
        is_write = name in ("txn", "lease")
        is_lost = is_write and self._draw.random() < faults.lost_share
        if is_lost and faults.is_late:
            await asyncio.sleep(self._draw.uniform(1, 6))
        status, body = await self._call(name, request)
        if not is_lost:
            seen = self._as_seen(reader, body)
            connection.respond(status, {}, json.dumps(seen).encode())

    def _as_seen(self, reader: str, body: dict[str, Any]) -> dict[str, Any]:
        if "key" in body and "value" in body:
            value = base64.b64decode(body["value"])
            shown = self._view(reader, body["key"], value)
            return {**body, "value": base64.b64encode(shown).decode()}
        lists: dict[str, Any] = {
            name: [self._as_seen(reader, item) for item in body[name]]
            for name in ("items", "events")
            if name in body
        }
        return {**body, **lists}

    async def _call(
        self, name: str, request: _http.Request
    ) -> tuple[int, dict[str, Any]]:
        query = dict(urllib.parse.parse_qsl(request.query))
        last = request.path.rpartition("/")[2]
        handlers: dict[str, Callable[[], tuple[int, dict[str, Any]]]] = {
            "key": lambda: self._read(query["key"]),
            "range": lambda: self._range(query["prefix"]),
            "txn": lambda: self._txn(json.loads(request.body)),
            "lease": lambda: self._grant(json.loads(request.body)),
            "keep": lambda: self._keep(int(last)),
        }
        if name == "watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"])
            )
        return handlers[name]()

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
        while after >= self.compacted:
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
        held = {
            row["key"]: self._items.get(row["key"]) for row in body["if_rev"]
        }
        for row in body["if_rev"]:
            item = held[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [i for i in held.values() if i]}
        for write in body["writes"]:
            if write["lease_id"] and write["lease_id"] not in self._leases:
                return 404, {}
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease_id"])
        return 200, {"revision": self.revision}

    def _grant(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.revision += 1
        ttl_s = float(body["ttl_s_time"])
        end = asyncio.get_running_loop().time() + ttl_s
        self._leases[self.revision] = end, ttl_s
        return 200, {"lease_id": self.revision, "ttl_s_time": ttl_s}

    def _keep(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        _, ttl_s = self._leases[lease]
        end = asyncio.get_running_loop().time() + ttl_s
        self._leases[lease] = end, ttl_s
        return 200, {"lease_id": lease, "ttl_s_time": ttl_s}
