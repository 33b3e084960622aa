"""Differences between versions, so that a change moves only what changed."""

import collections
from typing import NamedTuple

import msgspec
from returns import result

from clementinekeel.configuration import snapshot as snapshots

PART_BYTES = 64 * 1024
HISTORY_VERSIONS = 100
"""Versions a node may be behind and still get a difference; at 0.5 changes
a second this is more than 3 minutes."""
EVERYTHING = 0
"""Base version of a delta that holds all objects."""


class Delta(NamedTuple):
    """What turns one version into a newer one.

    Attributes
    ----------
    base_version : int
        Version it applies to, or ``EVERYTHING``.
    objects : dict of str to bytes
        Objects that are new or have changed.
    removed : tuple of str
        Names of objects that are gone.
    """

    base_version: int
    version: int
    change_id: str
    objects: dict[str, bytes]
    removed: tuple[str, ...]


class _Step(NamedTuple):
    """Names that changed from one version to a later one."""

    base_version: int
    names: frozenset[str]


class History:
    """Which objects the last versions have changed."""

    def __init__(self) -> None:
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=HISTORY_VERSIONS
        )

    def record(
        self, old: snapshots.Snapshot | None, new: snapshots.Snapshot
    ) -> None:
        """Take note of a newer version that replaces ``old``."""
        if old is None:
            self._steps.clear()
            return
        names = old.objects.keys() | new.objects.keys()
        changed = frozenset(
            name
            for name in names
            if old.objects.get(name) != new.objects.get(name)
        )
        # A step may span several versions: its names cover all of them.
        self._steps.append(_Step(old.version, changed))

    def delta(self, snapshot: snapshots.Snapshot, base_version: int) -> Delta:
        """Return what a node at ``base_version`` needs for a snapshot."""
        names = self._changed_since(base_version)
        if names is None:
            return Delta(
                EVERYTHING,
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
        """Return the names changed since a version, None if not known."""
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
    """Return a delta as parts of a message body."""
    data = _encoder.encode(delta)
    return [
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    ]


def apply(
    data: bytes, current: snapshots.Snapshot | None
) -> result.Result[snapshots.Snapshot, str]:
    """Return the snapshot that a delta makes of the current one.

    Parameters
    ----------
    data : bytes
        Body of a message.
    current : Snapshot or None
        Snapshot in force at this node.

    Returns
    -------
    Result
        The snapshot, or why the delta cannot be used.
    """
    try:
        delta = _decoder.decode(data)
    except msgspec.MsgspecError as error:
        return result.Failure(str(error))
    if delta.base_version == EVERYTHING:
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
