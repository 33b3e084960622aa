"""Heartbeats of backend servers and the record of the newest one.

Heartbeats can be delayed by seconds, so each has the start time of its sender
and a sequence number. The record accepts only heartbeats that are newer.
"""

import enum
from typing import NamedTuple

from clementinekeel.membership import statements

LATE_HEARTBEAT_S = 10.0
"""Time for which heartbeats of a backend server are refused after it left, if
its incarnation is not known. They arrive up to a few seconds late."""


class EndpointState(enum.StrEnum):
    """State that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat(NamedTuple):
    """Heartbeat of a backend server.

    Attributes
    ----------
    endpoint : str
        Identity of the backend server.
    incarnation_ms : int
        Start of the backend server, in Unix milliseconds; higher after each
        restart under the same identity.
    sequence : int
        Increases with each heartbeat of an incarnation.
    slots : int
        Requests that the backend server processes concurrently.
    warm_up_left_ms : int
        Remaining warm-up time after the start, during which the backend
        server is slower.
    is_from_health_check : bool
        Whether the heartbeat was built from a health check that the backend
        server answered before its first heartbeat; ``incarnation_ms`` is then
        a lower bound.
    """

    endpoint: str
    incarnation_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: EndpointState
    warm_up_left_ms: int
    is_from_health_check: bool = False

    def is_same_incarnation(self, other: "Heartbeat") -> bool:
        """Tell whether two heartbeats are of the same incarnation."""
        if self.endpoint != other.endpoint:
            return False
        if self.is_from_health_check or other.is_from_health_check:
            return True
        return self.incarnation_ms == other.incarnation_ms


class HeartbeatRecord:
    """Newest heartbeat of the backend server at one address."""

    def __init__(self) -> None:
        self._latest: Heartbeat | None = None
        self._has_stated_leaving = False
        self._removed_incarnations_ms: dict[str, int] = {}
        self._departed: statements.Incarnation | None = None
        self._refused_until: dict[str, float] = {}

    @property
    def latest(self) -> Heartbeat | None:
        """Newest heartbeat, or None if no backend server is known."""
        return self._latest

    @property
    def departed(self) -> statements.Incarnation | None:
        """Backend server that left last, or None."""
        return self._departed

    def accept(self, heartbeat: Heartbeat, now: float) -> bool:
        """Store a heartbeat if it is newer; return whether it was.

        Parameters
        ----------
        now : float
            The runtime's clock, in seconds.
        """
        if now < self._refused_until.get(heartbeat.endpoint, now):
            return False
        removed_ms = self._removed_incarnations_ms.get(heartbeat.endpoint)
        if removed_ms is not None and heartbeat.incarnation_ms <= removed_ms:
            return False
        current = self._latest
        if current is not None and not _is_newer(heartbeat, current):
            return False
        if current is None or not heartbeat.is_same_incarnation(current):
            self._has_stated_leaving = False
        if self._has_stated_leaving:
            heartbeat = heartbeat._replace(state=EndpointState.DRAINING)
        self._latest = heartbeat
        return True

    def on_stated_leaving(self) -> None:
        """Record that the backend server has stated that it leaves.

        Later heartbeats of the same incarnation don't undo it: they may have
        been sent before the statement.
        """
        if self._latest is not None:
            self._has_stated_leaving = True
            self._latest = self._latest._replace(state=EndpointState.DRAINING)

    def has_left(self, endpoint: str) -> bool:
        """Tell whether the last backend server of an identity has left."""
        return endpoint in self._removed_incarnations_ms

    def refuse(self, endpoint: str, incarnation_ms: int) -> None:
        """Refuse heartbeats of an incarnation that has left."""
        known_ms = self._removed_incarnations_ms.get(endpoint)
        if known_ms is not None and known_ms >= incarnation_ms:
            return
        self._removed_incarnations_ms[endpoint] = incarnation_ms
        self._departed = statements.Incarnation(endpoint, incarnation_ms)

    def remove(self, endpoint: str, now: float) -> bool:
        """Remove a backend server that leaves; return whether it was known.

        Its later heartbeats are refused, since a delayed one would bring
        back a backend server that has left.
        """
        current = self._latest
        if current is None or current.endpoint != endpoint:
            # A node that has just started does not know the incarnation.
            self._refused_until[endpoint] = now + LATE_HEARTBEAT_S
            return False
        self._latest = None
        if current.is_from_health_check:
            self._refused_until[endpoint] = now + LATE_HEARTBEAT_S
            self._departed = statements.Incarnation(
                endpoint, current.incarnation_ms
            )
        else:
            self.refuse(endpoint, current.incarnation_ms)
        return True


def _is_newer(heartbeat: Heartbeat, current: Heartbeat) -> bool:
    if heartbeat.endpoint != current.endpoint:
        return heartbeat.incarnation_ms >= current.incarnation_ms
    if heartbeat.incarnation_ms != current.incarnation_ms:
        return heartbeat.incarnation_ms > current.incarnation_ms
    return heartbeat.sequence > current.sequence
