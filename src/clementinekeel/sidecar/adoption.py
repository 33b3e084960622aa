"""When a node begins to use a backend server that it does not know yet.

A node that has just started knows nothing of an earlier acknowledgement. A
delayed heartbeat, or its own entry in the store, may name a backend server
that is leaving. It is used once it answers a health check as itself, or sends
a second, newer heartbeat; the health check alone may be false.

After a loss of power the backend server has started too, under another
identity, and its first heartbeat comes up to 1.5 s later. It is then known by
the answer to its health check: its service is that of the VM's settings, and
its slots are those of the one before it.
"""

import asyncio
from typing import NamedTuple

from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import gate as gate_module
from clementinekeel.sidecar import registration

PROBE_AGAIN_S = 0.1
"""Time between two health checks while nothing listens yet."""
PROBES = 15
"""Health checks after a start; then the first heartbeat has come."""
NEW_COLD_MS = 2_000
"""How long a backend server that has just started is taken to be slow; its
first heartbeat tells."""


class _Health(NamedTuple):
    """Answer to a health check; no endpoint if nothing answered."""

    endpoint: str
    is_good: bool


class Adoption:
    """Passes heartbeats on to the gate once their sender is confirmed.

    Parameters
    ----------
    instance_header : bytes
        Header by which the answer to a health check names its sender.
    service : str
        Service of the VM's backend server, as the settings say at the start.
    """

    def __init__(
        self,
        gate: gate_module.Gate,
        instance_header: bytes,
        service: str,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._gate = gate
        self._service = service
        self._instance_header = instance_header
        self._decisions = decisions
        self._candidate: heartbeats.Heartbeat | None = None
        self._probe: asyncio.Task[None] | None = None

    def on_earlier_entry(
        self, entry: registration.Entry, address: str
    ) -> None:
        """Ask for the backend server that an earlier process used."""
        if not entry.endpoint or self._gate.backend is not None:
            return
        beat = heartbeats.Heartbeat(
            endpoint=entry.endpoint,
            incarnation_ms=entry.incarnation_ms,
            sequence=entry.sequence,
            service=entry.service,
            address=address,
            slots=entry.slots,
            state=heartbeats.EndpointState.READY,
            cold_ms=0,
        )
        self._candidate = beat
        if entry.health_path:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._find(beat, entry.health_path))

    def on_heartbeat(
        self, beat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        """Take a heartbeat."""
        is_known = self._gate.backend is not None
        if is_known or beat.state is not heartbeats.EndpointState.READY:
            self._candidate = None
            self._gate.heartbeat(beat)
            return
        held, self._candidate = self._candidate, beat
        if held is not None and _is_successor(beat, held):
            self._candidate = None
            self._gate.heartbeat(beat)
        else:
            self._ask(beat, health_path)

    def forget(self, endpoint: str) -> None:
        """Drop a backend server that leaves before it was used."""
        candidate = self._candidate
        if candidate is not None and candidate.endpoint == endpoint:
            self._candidate = None

    def _ask(self, beat: heartbeats.Heartbeat, health_path: str) -> None:
        self._candidate = beat
        if health_path:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._confirm(beat, health_path))

    async def _confirm(
        self, beat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        health = await self._ask_health(health_path)
        if health.is_good and health.endpoint == beat.endpoint:
            self._take(beat, beat)

    async def _find(
        self, earlier: heartbeats.Heartbeat, health_path: str
    ) -> None:
        """Use the backend server of an entry, or the one in its place."""
        for _ in range(PROBES):
            health = await self._ask_health(health_path)
            if self._candidate is not earlier:
                return
            if health.endpoint:
                self._take_found(earlier, health)
                return
            await asyncio.sleep(PROBE_AGAIN_S)

    def _take_found(
        self, earlier: heartbeats.Heartbeat, health: _Health
    ) -> None:
        if not health.is_good:
            # It fails or leaves; its heartbeats will tell.
            return
        if health.endpoint == earlier.endpoint:
            self._take(earlier, earlier)
        elif earlier.service == self._service:
            self._take(earlier, _replacement(earlier, health.endpoint))

    async def _ask_health(self, health_path: str) -> _Health:
        answer = await self._gate.probe(health_path)
        named = dict(answer.headers) if answer is not None else {}
        health = _Health(
            named.get(self._instance_header, b"").decode("latin-1"),
            answer is not None and answer.status == 200,
        )
        self._decisions.write(
            "backend_probed",
            False,
            endpoint=health.endpoint,
            is_healthy=health.is_good,
        )
        return health

    def _take(
        self, candidate: heartbeats.Heartbeat, beat: heartbeats.Heartbeat
    ) -> None:
        """Use a backend server unless a heartbeat has told more meanwhile."""
        if self._candidate is candidate:
            self._candidate = None
            self._gate.heartbeat(beat)


def _replacement(
    earlier: heartbeats.Heartbeat, endpoint: str
) -> heartbeats.Heartbeat:
    """Return what is known of the one that started in the place of another.

    Its incarnation is higher than that of the earlier one, whose heartbeats
    may still be on their way, and lower than its own, which its heartbeats
    will tell.
    """
    return earlier._replace(
        endpoint=endpoint,
        incarnation_ms=earlier.incarnation_ms + 1,
        sequence=0,
        cold_ms=NEW_COLD_MS,
        is_from_health_check=True,
    )


def _is_successor(
    beat: heartbeats.Heartbeat, held: heartbeats.Heartbeat
) -> bool:
    return (
        beat.endpoint == held.endpoint
        and beat.incarnation_ms == held.incarnation_ms
        and beat.sequence > held.sequence
    )
