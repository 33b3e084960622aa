"""When a node begins to use a backend server that it does not know yet.

A node that has just started knows nothing of an earlier acknowledgement. A
delayed heartbeat, or its own entry in the store, may name a backend server
that is leaving. It is used once it answers a health check as itself, or sends
a second, newer heartbeat; the health check alone may be false.
"""

import asyncio

from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import gate as gate_module
from clementinekeel.sidecar import registration


class Adoption:
    """Passes heartbeats on to the gate once their sender is confirmed.

    Parameters
    ----------
    instance_header : bytes
        Header by which the answer to a health check names its sender.
    """

    def __init__(
        self,
        gate: gate_module.Gate,
        instance_header: bytes,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._gate = gate
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
        self._ask(beat, entry.health_path)

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
        answer = await self._gate.probe(health_path)
        named = dict(answer.headers) if answer is not None else {}
        is_confirmed = (
            answer is not None
            and answer.status == 200
            and named.get(self._instance_header) == beat.endpoint.encode()
        )
        self._decisions.write(
            "backend_probed",
            False,
            endpoint=beat.endpoint,
            is_confirmed=is_confirmed,
        )
        if is_confirmed and self._candidate is beat:
            self._candidate = None
            self._gate.heartbeat(beat)


def _is_successor(
    beat: heartbeats.Heartbeat, held: heartbeats.Heartbeat
) -> bool:
    return (
        beat.endpoint == held.endpoint
        and beat.incarnation_ms == held.incarnation_ms
        and beat.sequence > held.sequence
    )
