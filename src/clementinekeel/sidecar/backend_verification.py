"""Verifies a backend server before a node that has just started uses it.

A node that has just started does not know whether an earlier process has
acknowledged the departure of a backend server. A delayed heartbeat, or the
node's own entry in the store, may name a backend server that is leaving. The
node uses it once it answers a health check under its own identity, or sends a
second, newer heartbeat, since a health check may fail without cause.

After a loss of power the backend server has started too, under another
identity, and its first heartbeat comes up to 1.5 s later. Until then the node
uses what it knows: the identity from the answer to the health check, the
service from the VM's settings, and the slots of the previous backend server.
"""

import asyncio
from typing import NamedTuple

from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import inbound
from clementinekeel.sidecar import registration

PROBE_INTERVAL_S = 0.1
"""Time between two health checks while the backend server does not answer."""
MAX_PROBES = 15
"""Health checks after a start; by then the first heartbeat has arrived."""
ASSUMED_COLD_MS = 2_000
"""How long a backend server that has just started is assumed to be slow, until
its first heartbeat tells."""


class _HealthCheck(NamedTuple):
    """Result of a health check; the endpoint is empty without an answer."""

    endpoint: str
    is_healthy: bool


class BackendVerifier:
    """Passes heartbeats on to the inbound proxy once their sender is verified.

    Parameters
    ----------
    instance_header : bytes
        Header by which the answer to a health check names its sender.
    service : str
        Service of the VM's backend server, as the settings say at the start.
    """

    def __init__(
        self,
        inbound_proxy: inbound.InboundProxy,
        instance_header: bytes,
        service: str,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._inbound_proxy = inbound_proxy
        self._service = service
        self._instance_header = instance_header
        self._decisions = decisions
        self._candidate: heartbeats.Heartbeat | None = None
        self._probe_task: asyncio.Task[None] | None = None

    def on_previous_entry(
        self, entry: registration.Entry, address: str
    ) -> None:
        """Verify the backend server that an earlier process used."""
        if (
            not entry.endpoint
            or self._inbound_proxy.latest_heartbeat is not None
        ):
            return
        heartbeat = heartbeats.Heartbeat(
            endpoint=entry.endpoint,
            incarnation_ms=entry.incarnation_ms,
            sequence=entry.sequence,
            service=entry.service,
            address=address,
            slots=entry.slots,
            state=heartbeats.EndpointState.READY,
            cold_ms=0,
        )
        self._candidate = heartbeat
        if entry.health_path:
            loop = asyncio.get_running_loop()
            self._probe_task = loop.create_task(
                self._probe_until_answered(heartbeat, entry.health_path)
            )

    def on_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        """Pass a heartbeat on, or verify its sender first."""
        is_known = self._inbound_proxy.latest_heartbeat is not None
        if is_known or heartbeat.state is not heartbeats.EndpointState.READY:
            self._candidate = None
            self._inbound_proxy.on_heartbeat(heartbeat)
            return
        previous, self._candidate = self._candidate, heartbeat
        if previous is not None and _is_successor(heartbeat, previous):
            self._candidate = None
            self._inbound_proxy.on_heartbeat(heartbeat)
        else:
            self._start_health_check(heartbeat, health_path)

    def on_leave(self, endpoint: str) -> None:
        """Discard a backend server that leaves before it was used."""
        candidate = self._candidate
        if candidate is not None and candidate.endpoint == endpoint:
            self._candidate = None

    def _start_health_check(
        self, heartbeat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        self._candidate = heartbeat
        if health_path:
            loop = asyncio.get_running_loop()
            self._probe_task = loop.create_task(
                self._confirm(heartbeat, health_path)
            )

    async def _confirm(
        self, heartbeat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        health = await self._check_health(health_path)
        if health.is_healthy and health.endpoint == heartbeat.endpoint:
            self._accept_candidate(heartbeat, heartbeat)

    async def _probe_until_answered(
        self, previous: heartbeats.Heartbeat, health_path: str
    ) -> None:
        """Use the backend server of an entry, or the one that replaced it."""
        for _ in range(MAX_PROBES):
            health = await self._check_health(health_path)
            if self._candidate is not previous:
                return
            if health.endpoint:
                self._apply_health_check(previous, health)
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _apply_health_check(
        self, previous: heartbeats.Heartbeat, health: _HealthCheck
    ) -> None:
        if not health.is_healthy:
            # The backend server fails or leaves; its heartbeats will tell.
            return
        if health.endpoint == previous.endpoint:
            self._accept_candidate(previous, previous)
        elif previous.service == self._service:
            self._accept_candidate(
                previous, _replacement(previous, health.endpoint)
            )

    async def _check_health(self, health_path: str) -> _HealthCheck:
        answer = await self._inbound_proxy.probe(health_path)
        named = dict(answer.headers) if answer is not None else {}
        health = _HealthCheck(
            named.get(self._instance_header, b"").decode("latin-1"),
            answer is not None and answer.status == 200,
        )
        self._decisions.write(
            "backend_probed",
            False,
            endpoint=health.endpoint,
            is_healthy=health.is_healthy,
        )
        return health

    def _accept_candidate(
        self, candidate: heartbeats.Heartbeat, heartbeat: heartbeats.Heartbeat
    ) -> None:
        """Use a backend server unless another candidate has replaced it."""
        if self._candidate is candidate:
            self._candidate = None
            self._inbound_proxy.on_heartbeat(heartbeat)


def _replacement(
    previous: heartbeats.Heartbeat, endpoint: str
) -> heartbeats.Heartbeat:
    """Return a heartbeat for the backend server that replaced another one.

    Its assumed incarnation is higher than that of the previous backend server,
    whose heartbeats may still be on their way, and lower than the actual
    incarnation, which its own heartbeats carry.
    """
    return previous._replace(
        endpoint=endpoint,
        incarnation_ms=previous.incarnation_ms + 1,
        sequence=0,
        cold_ms=ASSUMED_COLD_MS,
        is_probed=True,
    )


def _is_successor(
    heartbeat: heartbeats.Heartbeat, previous: heartbeats.Heartbeat
) -> bool:
    return (
        heartbeat.endpoint == previous.endpoint
        and heartbeat.incarnation_ms == previous.incarnation_ms
        and heartbeat.sequence > previous.sequence
    )
