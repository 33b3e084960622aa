"""A forwarding node: its listeners, its tasks, and its stop."""

import asyncio
from collections.abc import Callable, Iterator
import random
import signal
from typing import Any

import anyio
import anyio.abc

from clementinekeel.callers import http1
from clementinekeel.membership import heartbeats
from clementinekeel.routing import placement
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import errors
from clementinekeel.sidecar import adoption
from clementinekeel.sidecar import chain
from clementinekeel.sidecar import configuration
from clementinekeel.sidecar import control
from clementinekeel.sidecar import gate as gate_module
from clementinekeel.sidecar import metrics
from clementinekeel.sidecar import origin as origin_module
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import registration
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.sidecar import wiring as wiring_module
from clementinekeel.store import calls

TICK_S = 0.25
"""Cycle of the checks of links, queues and idle connections."""
PATIENCE_TICK_S = 0.05
"""Cycle of the check for requests that wait too long for an answer; they have
waited for 250 ms at least."""
BACKLOG = 1024
"""Connections that wait for acceptance; a full list costs seconds."""
SPARE_DESCRIPTORS = 500
"""Descriptors left for links, the backend server, the store and files."""
BODY_SHARE = 0.15
"""Share of the memory limit that bodies of requests may take."""
MIB = 1024 * 1024
STOP_SLACK_S = 0.8
"""Time between the last answer of a planned stop and the kill."""
HANDOVER_S = 1.4
"""Time after the signal to stop for which other nodes may still send requests
to the backend server; the rest of the notice time is enough to answer them."""
METRICS_PATH = b"/metrics"
SETTINGS_POLL_S = 2.0
"""Reading and comparing the file takes half a millisecond."""
STOP_POLL_S = 0.05
"""Time between two looks at what is left to answer."""
NOTICE_S = 2.6
"""Time after the signal to stop in which callers may still send: the platform
asks once a second and takes a node out after two negative answers."""


class Node:
    """All parts of one node."""

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        wiring: wiring_module.Wiring,
    ) -> None:
        self._settings = settings
        self._wiring = wiring
        self._loop = asyncio.get_running_loop()
        self._decisions = decision_log.DecisionLog(settings.node)
        self._metrics = metrics.NodeMetrics()
        incarnation = random.SystemRandom().getrandbits(53)
        self._peers = peers_module.Peers(
            settings,
            incarnation,
            placement.PLACEMENTS.get("expected_time"),
            self._decisions,
        )
        self._gate = gate_module.Gate(
            settings,
            wiring.dialect,
            self._decisions,
            self._on_status,
            self._metrics,
        )
        self._chain = chain.ChainPolicy(
            settings, self._gate.find_job, lambda: len(self._peers.known)
        )
        self._origin = origin_module.Origin(
            settings,
            wiring.dialect,
            self._peers,
            self._decisions,
            self._has_room,
            self._chain,
            self._metrics,
        )
        self._peers.attach(self._gate, self._origin)
        self._connections: set[http1.ServerConnection] = set()
        self._stores = calls.StoreConnections(*settings.store)
        store = wiring.make_store(self._stores)
        self._registration = registration.Registration(
            settings,
            store,
            self._peers,
            self._decisions,
            lambda: self._gate.backend,
            self._origin.health_path,
            self._on_earlier_entry,
        )
        self._configuration = configuration.ConfigurationFollower(
            wiring.configuration_key,
            wiring.decode_configuration,
            store,
            self._peers,
            self._origin,
            self._decisions,
        )
        self._is_stopping = False
        self._stop_requested = asyncio.Event()
        backend = settings.backend
        self._backend_address = f"{backend.host}:{backend.port}"
        self._adoption = adoption.Adoption(
            self._gate,
            wiring.dialect.instance,
            settings.service,
            self._decisions,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return not self._is_stopping and self._origin.version > 0

    async def run(self) -> None:
        """Serve until told to stop, and finish what is in flight."""
        settings = self._settings
        server = control.ControlServer(
            self._wiring,
            self._on_heartbeat,
            self._on_leave,
            lambda: self.is_ready,
            self._decisions,
            self._backend_address,
        )
        servers = [
            await self._listen(settings.peers, self._peers.accept),
            await self._listen(
                settings.announcements, lambda: self._accept(server)
            ),
            await self._listen(settings.health, lambda: self._accept(server)),
            await self._listen(
                settings.metrics,
                lambda: self._accept(
                    control.MetricsServer(METRICS_PATH, self._render_metrics)
                ),
            ),
            await self._listen(
                settings.outbound, lambda: self._accept(self._origin)
            ),
        ]
        self._decisions.write(
            "node_started",
            False,
            zone=settings.zone,
            service=settings.service,
        )
        self._loop.set_exception_handler(self._on_fault)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._decisions.run)
            tasks.start_soon(self._configuration.follow)
            tasks.start_soon(self._registration.keep)
            tasks.start_soon(self._registration.follow)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._tick_requests)
            tasks.start_soon(self._watch_settings)
            tasks.start_soon(self._handle_signals)
            await self._stop_requested.wait()
            await self._finish(servers)
            tasks.cancel_scope.cancel()
        self._decisions.write("node_stopped", False)
        self._decisions.flush()

    def _on_fault(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log a fault of the program; the request that met it times out."""
        self._decisions.write(
            "internal_error",
            False,
            reason=str(context.get("message", "")),
            error=repr(context.get("exception")),
        )

    def _on_status(self) -> None:
        self._peers.own_status_changed()
        self._registration.refresh()

    def _on_earlier_entry(self, entry: registration.Entry) -> None:
        self._adoption.on_earlier_entry(entry, self._backend_address)

    def _on_heartbeat(self, beat: heartbeats.Heartbeat) -> None:
        path = self._origin.health_path(beat.service)
        self._adoption.on_heartbeat(beat, path)

    def _on_leave(self, endpoint: str) -> None:
        self._adoption.forget(endpoint)
        self._gate.leave(endpoint)

    async def _listen(
        self,
        address: settings_module.Address,
        make: Callable[[], asyncio.Protocol],
    ) -> asyncio.Server:
        return await self._loop.create_server(
            make, address.host, address.port, backlog=BACKLOG
        )

    def _accept(self, server: http1.Server) -> http1.ServerConnection:
        return http1.ServerConnection(server, self._on_open, self._on_close)

    def _on_open(self, connection: http1.ServerConnection) -> None:
        self._connections.add(connection)
        limit = self._settings.descriptors - SPARE_DESCRIPTORS
        if len(self._connections) > limit:
            self._decisions.write(
                "connection_refused", False, open=len(self._connections)
            )
            connection.abort()

    def _on_close(self, connection: http1.ServerConnection) -> None:
        self._connections.discard(connection)

    def _has_room(self, size: int) -> bool:
        held = sum(c.buffered_bytes for c in self._connections) + size
        return held < self._settings.memory_mb * MIB * BODY_SHARE

    def _render_metrics(self) -> bytes:
        return self._metrics.render(self._samples())

    def _samples(self) -> Iterator[metrics.Sample]:
        def sample(name: str, value: float, **labels: str) -> metrics.Sample:
            return metrics.Sample(name, labels, value)

        queue = self._gate.queue
        yield sample("slots", queue.slots)
        yield sample("running", queue.running)
        yield sample("queued", queue.queued)
        yield sample("service_ms", queue.service_ms)
        yield sample("configuration_version", self._origin.version)
        yield sample("configuration_age_s", self._configuration.age_s)
        known = list(self._peers.known)
        usable = sum(peer.is_usable for peer in known)
        yield sample("nodes", usable, state="usable")
        yield sample("nodes", len(known) - usable, state="unusable")
        yield sample("inbound_links", self._peers.inbound_links)
        yield sample("caller_connections", len(self._connections))
        for route, share in self._chain.admitted_shares.items():
            yield sample("admitted_share", share, route=route)
        yield sample("listed", float(self._registration.is_listed))
        yield sample("store_calls", self._stores.calls)
        yield sample("store_failures", self._stores.failures)
        for rule, count in self._decisions.left_out.items():
            yield sample("log_lines_left_out", count, rule=rule)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._peers.tick()
            self._gate.tick()
            now = self._loop.time()
            for connection in list(self._connections):
                connection.check_timeouts(now)

    async def _tick_requests(self) -> None:
        while True:
            await asyncio.sleep(PATIENCE_TICK_S)
            self._origin.tick()

    async def _handle_signals(self) -> None:
        """Handle signals until the end of the process.

        A signal without a handler would end a planned stop at once, with
        requests in flight.
        """
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                    continue
                self._decisions.write(
                    "stop_requested", False, signal=int(number)
                )
                self._stop_requested.set()

    async def _watch_settings(self) -> None:
        """Reload settings that change without a signal."""
        known = self._wiring.reload_settings().value_or(None)
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            changed = self._wiring.reload_settings().value_or(None)
            if changed is not None and changed != known:
                known = changed
                self._reload()

    def _reload(self) -> None:
        loaded = self._wiring.reload_settings()
        changed = loaded.value_or(None)
        if changed is None:
            error: errors.StepError = loaded.failure()
            self._decisions.write("reload_failed", False, reason=str(error))
            return
        self._decisions.write("reloaded", False, service=changed.service)
        self._origin.service = changed.service

    async def _finish(self, servers: list[asyncio.Server]) -> None:
        """Answer what was taken; end at the latest shortly before the kill."""
        self._is_stopping = True
        self._origin.is_stopping = True
        started = self._loop.time()
        limit_s = self._settings.stop_timeout_ms / 1000 - STOP_SLACK_S
        self._loop.call_later(HANDOVER_S, self._gate.stop)
        await asyncio.sleep(NOTICE_S)
        # The backend server's last requests may still make calls.
        self._origin.closes_at = started + limit_s
        while self._loop.time() - started < limit_s:
            for connection in list(self._connections):
                connection.close_idle()
            if self._gate.is_idle:
                self._origin.closes_at = 0.0
            if self._is_idle():
                break
            await asyncio.sleep(STOP_POLL_S)
        for server in servers:
            server.close()
        self._peers.close()

    def _is_idle(self) -> bool:
        return self._gate.is_idle and self._origin.is_idle
