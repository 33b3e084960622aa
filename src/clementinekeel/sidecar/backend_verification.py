"""Verifies a backend server before a node that has just started uses it.

A node that has just started does not know which departures an earlier process
acknowledged. A delayed heartbeat, or the node's entry in the store, may name a
backend server that is leaving. The node uses the backend server once it
answers a health check under this identity, or sends a second, newer heartbeat,
since a health check may find no answer although the backend server is healthy.

A backend server that answers a health check with a failure may be leaving. Its
heartbeats may have been sent before it left, so that they count only once
delayed ones have arrived, unless the node has not run on this VM before.

After a loss of power the backend server has started too, under another
identity, and its first heartbeat comes up to 1.5 s later. Until then the node
uses the identity in the answer to the health check, the service of the VM's
settings, and the slots of the earlier backend server.
"""

import asyncio
from collections.abc import Coroutine
from typing import NamedTuple

from clementinekeel.backends import self_report
from clementinekeel.callers import dialect as dialect_module
from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import entry as entry_module
from clementinekeel.sidecar import inbound

HEALTH_CHECK_INTERVAL_S = 0.1
"""Time between two health checks while the backend server does not answer."""
MAX_HEALTH_CHECKS = 15
"""Number of health checks after a start; by the last one, the first heartbeat
has arrived."""
ASSUMED_WARM_UP_MS = 2_000
"""Warm-up time assumed for a backend server that has just started, until its
first heartbeat states the actual one."""


class _Health(NamedTuple):
    """Result of a health check.

    Attributes
    ----------
    endpoint : str
        Identity of the backend server; empty without an answer, and if it had
        no slot for the health check.
    """

    endpoint: str
    is_healthy: bool


class BackendVerifier:
    """Passes heartbeats on to the inbound proxy once their sender is verified.

    Parameters
    ----------
    dialect : Dialect
        Names of the headers in the answer to a health check.
    service : str
        Service of the VM's backend server, as the settings say at the start.
    """

    def __init__(
        self,
        inbound_proxy: inbound.InboundProxy,
        dialect: dialect_module.Dialect,
        service: str,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._inbound_proxy = inbound_proxy
        self._service = service
        self._dialect = dialect
        self._decisions = decisions
        self._candidate: heartbeats.Heartbeat | None = None
        self._health_check: asyncio.Task[None] | None = None
        # Backend server that an earlier process used, from its entry.
        self._earlier: heartbeats.Heartbeat | None = None
        # Backend server whose last health check reported a failure.
        self._unhealthy_endpoint = ""
        loop = asyncio.get_running_loop()
        self._delayed_until = loop.time() + heartbeats.LATE_HEARTBEAT_S

    def on_no_earlier_entry(self) -> None:
        """Record that no earlier process has acknowledged a departure."""
        self._delayed_until = 0.0

    def on_earlier_entry(
        self, entry: entry_module.Entry, address: str
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
            warm_up_left_ms=0,
        )
        if entry.is_leaving:
            heartbeat = heartbeat._replace(
                state=heartbeats.EndpointState.DRAINING
            )
            self._inbound_proxy.on_earlier_departure(
                entry.endpoint, entry.incarnation_ms
            )
        self._candidate = self._earlier = heartbeat
        if entry.health_path:
            self._start(
                self._check_until_answered(heartbeat, entry.health_path)
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
        earlier, self._candidate = self._candidate, heartbeat
        if earlier is not None and self._is_confirmed(heartbeat, earlier):
            self._candidate = None
            self._inbound_proxy.on_heartbeat(heartbeat)
        else:
            self._verify(heartbeat, health_path)

    def on_leave(self, endpoint: str) -> None:
        """Discard a backend server that leaves before it was used.

        The inbound proxy learns its incarnation first, so that the departure
        is recorded in the store and at the other nodes.
        """
        candidate = self._candidate
        if candidate is not None and candidate.endpoint == endpoint:
            self._candidate = None
            self._inbound_proxy.on_heartbeat(
                candidate._replace(state=heartbeats.EndpointState.DRAINING)
            )

    def _verify(
        self, heartbeat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        self._candidate = heartbeat
        if health_path:
            self._start(self._confirm(heartbeat, health_path))

    def _start(self, check: Coroutine[None, None, None]) -> None:
        loop = asyncio.get_running_loop()
        self._health_check = loop.create_task(self._run(check))

    async def _run(self, check: Coroutine[None, None, None]) -> None:
        """Run health checks; after an error, later heartbeats decide."""
        try:
            await check
        except Exception as error:
            loop = asyncio.get_running_loop()
            supervision.report_error(loop, "health check", error)

    def _is_confirmed(
        self, heartbeat: heartbeats.Heartbeat, earlier: heartbeats.Heartbeat
    ) -> bool:
        """Tell whether a heartbeat confirms an earlier one."""
        if earlier is self._earlier or not _is_successor(heartbeat, earlier):
            return False
        if heartbeat.endpoint != self._unhealthy_endpoint:
            return True
        return asyncio.get_running_loop().time() >= self._delayed_until

    async def _confirm(
        self, heartbeat: heartbeats.Heartbeat, health_path: str
    ) -> None:
        health = await self._check_health(health_path)
        if health.is_healthy and health.endpoint == heartbeat.endpoint:
            self._accept(heartbeat, heartbeat)

    async def _check_until_answered(
        self, earlier: heartbeats.Heartbeat, health_path: str
    ) -> None:
        """Use the backend server of an entry, or the one that replaced it."""
        for _ in range(MAX_HEALTH_CHECKS):
            health = await self._check_health(health_path)
            if self._candidate is not earlier:
                return
            if health.endpoint:
                self._accept_found(earlier, health)
                return
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    def _accept_found(
        self, earlier: heartbeats.Heartbeat, health: _Health
    ) -> None:
        if not health.is_healthy:
            # The backend server fails or leaves; its heartbeats decide.
            return
        if health.endpoint == earlier.endpoint:
            if earlier.state is heartbeats.EndpointState.READY:
                self._accept(earlier, earlier)
        elif earlier.service == self._service:
            self._accept(earlier, _replacement(earlier, health.endpoint))

    async def _check_health(self, health_path: str) -> _Health:
        answer = await self._inbound_proxy.check_health(health_path)
        headers = answer.headers if answer is not None else []
        report = self_report.decode(
            headers, self._dialect.rate_limit, self._dialect.leaving
        )
        values = dict(headers)
        is_rejected = self._dialect.not_run in values
        endpoint = values.get(self._dialect.instance, b"").decode("latin-1")
        health = _Health(
            "" if is_rejected else endpoint,
            answer is not None
            and answer.status == 200
            and not report.is_leaving,
        )
        has_failed = (
            answer is not None and not is_rejected and not health.is_healthy
        )
        if health.is_healthy:
            self._unhealthy_endpoint = ""
        elif has_failed and self._candidate is not None:
            # A failure need not name the backend server.
            self._unhealthy_endpoint = endpoint or self._candidate.endpoint
        self._decisions.write(
            "backend_probed",
            False,
            endpoint=health.endpoint,
            is_healthy=health.is_healthy,
        )
        return health

    def _accept(
        self, candidate: heartbeats.Heartbeat, heartbeat: heartbeats.Heartbeat
    ) -> None:
        """Use a backend server unless another candidate has replaced it."""
        if self._candidate is candidate:
            self._candidate = None
            self._inbound_proxy.on_heartbeat(heartbeat)


def _replacement(
    earlier: heartbeats.Heartbeat, endpoint: str
) -> heartbeats.Heartbeat:
    """Return a heartbeat for the backend server that replaced another one.

    Its assumed incarnation is higher than that of the earlier backend server,
    whose heartbeats may still be on their way, and lower than the actual
    incarnation, which its own heartbeats carry.
    """
    return earlier._replace(
        endpoint=endpoint,
        state=heartbeats.EndpointState.READY,
        incarnation_ms=earlier.incarnation_ms + 1,
        sequence=0,
        warm_up_left_ms=ASSUMED_WARM_UP_MS,
        is_from_health_check=True,
    )


def _is_successor(
    heartbeat: heartbeats.Heartbeat, earlier: heartbeats.Heartbeat
) -> bool:
    return (
        heartbeat.endpoint == earlier.endpoint
        and heartbeat.incarnation_ms == earlier.incarnation_ms
        and heartbeat.sequence > earlier.sequence
    )
