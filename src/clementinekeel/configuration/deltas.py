"""Deltas between versions, so that nodes transfer only changed objects."""

import collections
from typing import NamedTuple

import msgspec
from returns import result

from clementinekeel.configuration import snapshot as snapshots

PART_BYTES = 64 * 1024
HISTORY_VERSIONS = 100
"""Versions that a node may be behind and still get a delta of the changes; at
0.5 changes a second, 100 versions span more than 3 minutes."""
NO_BASE_VERSION = 0
"""Base version of a delta that holds all objects."""


class Delta(NamedTuple):
    """Changes that turn one version of the configuration into a newer one.

    Attributes
    ----------
    base_version : int
        Version it applies to, or ``NO_BASE_VERSION``.
    objects : dict of str to bytes
        Objects that are new or have changed.
    removed : tuple of str
        Names of objects that the newer version lacks.
    """

    base_version: int
    version: int
    change_id: str
    objects: dict[str, bytes]
    removed: tuple[str, ...]


class _Step(NamedTuple):
    """Names of the objects that changed from one version to a later one."""

    base_version: int
    names: frozenset[str]


class History:
    """Names of the objects changed by each of the latest versions."""

    def __init__(self) -> None:
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=HISTORY_VERSIONS
        )

    def record(
        self, old: snapshots.Snapshot | None, new: snapshots.Snapshot
    ) -> None:
        """Record a newer version that replaces ``old``."""
        if old is None:
            self._steps.clear()
            return
        names = old.objects.keys() | new.objects.keys()
        changed = frozenset(
            name
            for name in names
            if old.objects.get(name) != new.objects.get(name)
        )
        # A step may span several versions; its names cover all of them.
        self._steps.append(_Step(old.version, changed))

    def delta(self, snapshot: snapshots.Snapshot, base_version: int) -> Delta:
        """Return the delta from ``base_version`` to a snapshot.

        It holds all objects if the base version is older than the history.
        """
        names = self._changed_since(base_version)
        if names is None:
            return Delta(
                NO_BASE_VERSION,
                snapshot.version,
                snapshot.change_id,
                snapshot.objects,
                (),
            )
        present = names & snapshot.objects.keys()
        return Delta(
            base_version,
            snapshot.version,
            snapshot.change_id,
            {name: snapshot.objects[name] for name in present},
            tuple(sorted(names - present)),
        )

    def _changed_since(self, base_version: int) -> frozenset[str] | None:
        """Return the names changed since a version, None if unknown."""
        if base_version not in (step.base_version for step in self._steps):
            return None
        return frozenset().union(
            *(
                step.names
                for step in self._steps
                if step.base_version >= base_version
            )
        )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Delta)


def to_parts(delta: Delta) -> list[bytes]:
    """Encode a delta as the parts of a message body."""
    body = _encoder.encode(delta)
    return [
        body[start : start + PART_BYTES]
        for start in range(0, len(body), PART_BYTES)
    ]


def apply(
    body: bytes, current: snapshots.Snapshot | None
) -> result.Result[snapshots.Snapshot, str]:
    """Apply an encoded delta to the current snapshot.

    Parameters
    ----------
    body : bytes
        Body of a message, all parts joined.
    current : Snapshot or None
        Snapshot in force at this node.

    Returns
    -------
    Result
        The new snapshot, or the reason why the delta cannot be applied.
    """
    try:
        delta = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return result.Failure(str(error))
    if delta.base_version == NO_BASE_VERSION:
        objects = delta.objects
    elif current is None or current.version != delta.base_version:
        return result.Failure(f"delta is for version {delta.base_version}")
    else:
        objects = {**current.objects, **delta.objects}
        for name in delta.removed:
            objects.pop(name, None)
    return result.Success(
        snapshots.Snapshot(delta.version, delta.change_id, objects)
    )
