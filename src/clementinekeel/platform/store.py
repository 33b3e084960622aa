"""Client of the users' store: encodes calls and decodes answers."""

import base64
from collections.abc import Sequence
from typing import Any, TypeVar
import urllib.parse

import msgspec

from clementinekeel.backends import http1
from clementinekeel.runtime import decoding
from clementinekeel.store import calls
from clementinekeel.store import metadata

CALL_TIMEOUT_S = 1.5
"""The store answers in 4 ms, or in 64 ms over the link between regions; slow
answers take 60 times as long."""
WATCH_WAIT_MS = 25_000
"""Each watch counts as one call, however long it waits. A watch that ends
without events does not advance its revision, so that a longer one is more
often answered that the history after it is gone, at two calls more."""
WATCH_TIMEOUT_S = 28.0
"""Time for the wait and for the answer to arrive."""
MS_PER_S = 1000

T = TypeVar("T")
_FailureKind = metadata.FailureKind


class _Item(msgspec.Struct):
    key: str
    # Revision of the last change of the key, not of the store.
    revision: int
    value: str = ""
    lease_id: int = 0
    # Only in events: whether the key was removed.
    removed: bool = False

    def as_item(self) -> metadata.Item:
        try:
            content = base64.b64decode(self.value, validate=True)
        except ValueError as error:
            raise metadata.MetadataError(
                "read value", str(error), _FailureKind.MALFORMED
            ) from error
        return metadata.Item(self.key, content, self.revision, self.lease_id)


class _OneItem(_Item):
    # Revision of the whole store.
    at_rev: int = 0


class _Range(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    at_rev: int


class _Events(msgspec.Struct):
    events: list[_Item]
    # Revision after which the next watch begins.
    at_rev: int


class _Lease(msgspec.Struct):
    lease_id: int


class _Written(msgspec.Struct):
    revision: int


class _Missing(msgspec.Struct):
    at_rev: int = 0


class PlatformStore:
    """The users' store, as a ``metadata.MetadataStore``."""

    def __init__(self, connections: calls.StoreConnections) -> None:
        self._connections = connections

    @property
    def epoch(self) -> int:
        """Number of the store's present history; 0 while it is unknown."""
        return self._connections.epoch

    async def read(self, key: str) -> metadata.Snapshot:
        """Return a snapshot with the item of a key, if there is one."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._call("read", "GET", f"kv-key?{query}")
        if answer.status == 404:
            missing = _decode("read", answer.body or b"{}", _Missing)
            return metadata.Snapshot([], missing.at_rev, self.epoch)
        _require_success("read", answer)
        item = _decode("read", answer.body, _OneItem)
        return metadata.Snapshot([item.as_item()], item.at_rev, self.epoch)

    async def read_all(self, prefix: str) -> metadata.Snapshot:
        """Return all items below a prefix, read in pages."""
        items: list[metadata.Item] = []
        query = {"prefix": prefix}
        revision = epoch = 0
        while True:
            target = "kv-range?" + urllib.parse.urlencode(query)
            answer = await self._call("read all", "GET", target)
            _require_success("read all", answer)
            page = _decode("read all", answer.body, _Range)
            if revision and self.epoch != epoch:
                raise metadata.MetadataError(
                    "read all", "two histories", _FailureKind.COMPACTED
                )
            epoch = self.epoch
            items.extend(item.as_item() for item in page.items)
            # The pages are of different revisions: a watch from the revision
            # of the first one repeats the changes between them.
            revision = revision or page.at_rev
            if not page.has_more or not page.items:
                return metadata.Snapshot(items, revision, epoch)
            query["after"] = page.items[-1].key

    async def watch(
        self, prefix: str, after: int, epoch: int
    ) -> metadata.Changes:
        """Wait for changes below a prefix after a revision."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "wait_ms": WATCH_WAIT_MS}
        )
        answer = await self._call(
            "watch",
            "GET",
            f"kv-watch?{query}",
            epoch=epoch,
            timeout_s=WATCH_TIMEOUT_S,
        )
        if answer.status == 410:
            raise metadata.MetadataError(
                "watch", "410", _FailureKind.COMPACTED
            )
        _require_success("watch", answer)
        changes = _decode("watch", answer.body, _Events)
        events: Sequence[metadata.Item | metadata.Removed] = [
            metadata.Removed(event.key, event.revision)
            if event.removed
            else event.as_item()
            for event in changes.events
        ]
        return metadata.Changes(events, changes.at_rev, epoch)

    async def grant(self, ttl_ms: int, epoch: int) -> int:
        """Create a lease and return its identifier."""
        body = {"ttl_s_time": ttl_ms / MS_PER_S}
        answer = await self._call("grant", "POST", "kv-lease", body, epoch)
        _require_success("grant", answer)
        return _decode("grant", answer.body, _Lease).lease_id

    async def renew(self, lease: int, epoch: int) -> None:
        """Renew a lease."""
        answer = await self._call(
            "renew", "POST", f"kv-keep/{lease}", {}, epoch
        )
        if answer.status == 404:
            raise metadata.MetadataError("renew", "404", _FailureKind.NO_LEASE)
        _require_success("renew", answer)

    async def write(
        self,
        key: str,
        value: bytes,
        lease: int,
        expected_revision: int,
        epoch: int,
    ) -> int:
        """Write a key under a lease if its revision is the expected one."""
        body = {
            "if_rev": [{"key": key, "revision": expected_revision}],
            "writes": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease_id": lease,
                }
            ],
            "deletes": [],
        }
        answer = await self._call("write", "POST", "kv-txn", body, epoch)
        if answer.status == 412:
            raise metadata.MetadataError("write", "412", _FailureKind.CONFLICT)
        if answer.status == 404:
            raise metadata.MetadataError("write", "404", _FailureKind.NO_LEASE)
        _require_success("write", answer)
        return _decode("write", answer.body, _Written).revision

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: Any = None,
        epoch: int | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> http1.Answer:
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._connections.call(
            step, method, f"/clementinekeel/{path}", content, timeout_s, epoch
        )


def _require_success(step: str, answer: http1.Answer) -> None:
    if answer.status == 200:
        return
    # With 429 and 503 the store guarantees that the call had no effect.
    kind = (
        _FailureKind.REFUSED
        if answer.status in (429, 503)
        else _FailureKind.MALFORMED
    )
    raise metadata.MetadataError(step, f"status {answer.status}", kind)


def _decode(step: str, content: bytes, answer_type: type[T]) -> T:
    try:
        return decoding.decode_json(content, answer_type)
    except decoding.DecodingError as error:
        raise metadata.MetadataError(
            step, str(error), _FailureKind.MALFORMED
        ) from error
