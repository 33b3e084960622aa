"""Heartbeats of backend servers and the record of the newest one.

Heartbeats can be delayed by seconds, so each carries the start time of its
sender and a sequence number. The record accepts only newer ones.
"""

import enum
from typing import NamedTuple

LATE_HEARTBEAT_S = 10.0
"""How long the heartbeats of a backend server that left unknown are refused;
they arrive up to a few seconds late."""


class EndpointState(enum.StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat(NamedTuple):
    """One heartbeat.

    Attributes
    ----------
    endpoint : str
        Identity of the backend server.
    incarnation_ms : int
        Start of the backend server, in Unix milliseconds. A restart under the
        same identity has a higher one.
    sequence : int
        Increases with each heartbeat of an incarnation.
    slots : int
        Requests that the backend server processes concurrently.
    cold_ms : int
        How much longer it stays slow after its start, in milliseconds.
    is_probed : bool
        Whether it stands for a health check that the backend server answered
        before its first heartbeat; its incarnation is then a lower bound.
    """

    endpoint: str
    incarnation_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: EndpointState
    cold_ms: int
    is_from_health_check: bool = False

    def is_same_incarnation(self, other: "Heartbeat") -> bool:
        """Tell whether two heartbeats are of one start of an endpoint."""
        if self.endpoint != other.endpoint:
            return False
        if self.is_from_health_check or other.is_from_health_check:
            return True
        return self.incarnation_ms == other.incarnation_ms


class HeartbeatRecord:
    """Newest state of the backend server at one address."""

    def __init__(self) -> None:
        self._latest: Heartbeat | None = None
        self._removed_incarnations_ms: dict[str, int] = {}
        self._refused_until: dict[str, float] = {}

    @property
    def latest(self) -> Heartbeat | None:
        """Newest heartbeat, or None if no backend server is known."""
        return self._latest

    def accept(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat over if it is newer; tell whether it was.

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
        self._latest = heartbeat
        return True

    def remove(self, endpoint: str, now: float) -> bool:
        """Note that a backend server leaves; tell whether it was in use.

        Its later heartbeats are ignored: one that was delayed would bring
        back a backend server that has gone.
        """
        current = self._latest
        if current is None or current.endpoint != endpoint:
            # A process that has just started knows no incarnation to refuse.
            self._refused_until[endpoint] = now + LATE_HEARTBEAT_S
            return False
        self._latest = None
        if current.is_from_health_check:
            self._refused_until[endpoint] = now + LATE_HEARTBEAT_S
        else:
            self._removed_incarnations_ms[endpoint] = current.incarnation_ms
        return True


def _is_newer(heartbeat: Heartbeat, current: Heartbeat) -> bool:
    if heartbeat.endpoint != current.endpoint:
        return heartbeat.incarnation_ms >= current.incarnation_ms
    if heartbeat.incarnation_ms != current.incarnation_ms:
        return heartbeat.incarnation_ms > current.incarnation_ms
    return heartbeat.sequence > current.sequence
