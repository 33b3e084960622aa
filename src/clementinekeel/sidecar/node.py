"""A forwarding node: its parts, listeners, tasks and planned stop."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
import functools
import itertools
import math
import random
import signal
from typing import Any

import anyio
import anyio.abc
from returns import result

from clementinekeel.callers import http1
from clementinekeel.membership import heartbeats
from clementinekeel.routing import placement
from clementinekeel.runtime import decision_log
from clementinekeel.runtime import descriptors
from clementinekeel.runtime import errors
from clementinekeel.runtime import pauses
from clementinekeel.runtime import supervision
from clementinekeel.sidecar import adapter as adapter_module
from clementinekeel.sidecar import backend_verification
from clementinekeel.sidecar import chain
from clementinekeel.sidecar import configuration
from clementinekeel.sidecar import control
from clementinekeel.sidecar import entry as entry_module
from clementinekeel.sidecar import inbound
from clementinekeel.sidecar import listening
from clementinekeel.sidecar import metrics
from clementinekeel.sidecar import outbound
from clementinekeel.sidecar import peers as peers_module
from clementinekeel.sidecar import registration
from clementinekeel.sidecar import settings as settings_module
from clementinekeel.sidecar import stop_plan
from clementinekeel.store import calls

CHECK_INTERVAL_S = 0.05
"""Interval of the checks for attempts that have timed out, which wait for
250 ms at least, and for links that have gone silent."""
CHECKS_PER_ROUND = 5
"""Checks after which idle links, queues and idle connections are checked."""
STALE_PAUSE_S = 1.0
"""Pause after which connections to the store are opened anew: they may have
ended meanwhile, and a change may have been missed."""
RESERVED_DESCRIPTORS = 500
"""Descriptors reserved for links, the backend server, the store and files; at
most half of all, so that callers are served under a low limit too. Half of the
reserve may go to readiness checks, heartbeats and questions for metrics, which
are answered however many callers are connected."""
BODY_MEMORY_SHARE = 0.15
"""Share of the memory limit that request bodies may take."""
ADDRESS_WAIT_MARGIN_S = 3.0
"""Time for which a start waits for an address beyond the grace time of an
earlier process on the VM; its kill may be late."""
METRICS_PATH = b"/metrics"
SETTINGS_POLL_INTERVAL_S = 2.0
"""Reading and comparing the file takes half a millisecond."""
STOP_POLL_INTERVAL_S = 0.05
"""Interval of the check whether all requests are answered."""
FLUSH_POLL_INTERVAL_S = 0.02
"""Interval of the check whether the last answers are sent."""

_LoadedSettings = result.Result[
    settings_module.SidecarSettings, errors.StepError
]


class Node:
    """One forwarding node."""

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        adapter: adapter_module.PlatformAdapter,
    ) -> None:
        self._settings = settings
        # Settings or refusal seen last, so that a restart of the watch misses
        # no change.
        self._latest_content: settings_module.SidecarSettings | str = settings
        self._refused_reloads = 0
        self._adapter = adapter
        self._loop = asyncio.get_running_loop()
        self._decisions = decision_log.DecisionLog(settings.node)
        self._metrics = metrics.NodeMetrics()
        self._supervisor = supervision.Supervisor(self._on_task_failed)
        incarnation = random.SystemRandom().getrandbits(53)
        self._pauses = pauses.PauseDetector(
            self._loop.time, pauses.seconds_since_boot, CHECK_INTERVAL_S
        )
        self._peers = peers_module.Peers(
            settings,
            incarnation,
            placement.PLACEMENTS.get("expected_time"),
            self._decisions,
        )
        self._inbound_proxy = inbound.InboundProxy(
            settings,
            adapter.dialect,
            self._decisions,
            self._on_status_change,
            self._metrics,
            lambda: self._peers.node_count,
            self._peers.crash_reports,
            self._pauses,
        )
        self._chain = chain.ChainPolicy(
            settings,
            self._inbound_proxy.find_job,
            lambda: self._peers.node_count,
            self._metrics,
        )
        self._outbound_proxy = outbound.OutboundProxy(
            settings,
            adapter.dialect,
            self._peers,
            self._decisions,
            self._has_memory_for,
            self._chain,
            self._metrics,
            self._pauses,
        )
        self._peers.attach(self._inbound_proxy, self._outbound_proxy)
        self._connections: set[http1.ServerConnection] = set()
        usable = descriptors.limit(settings.max_descriptors)
        reserved = min(RESERVED_DESCRIPTORS, usable // 2)
        self._max_callers = usable - reserved
        self._max_connections = usable - reserved // 2
        self._store_connections = calls.StoreConnections(
            *settings.store, adapter.dialect.store_epoch, self._on_store_epoch
        )
        store = adapter.make_store(self._store_connections)
        self._registration = registration.Registration(
            settings,
            store,
            self._peers,
            self._decisions,
            lambda: self._inbound_proxy.latest_heartbeat,
            self._inbound_proxy.has_left,
            self._outbound_proxy.health_path,
            self._on_earlier_entry,
        )
        self._peers.crash_reports.on_change = self._registration.refresh
        self._configuration = configuration.ConfigurationFollower(
            adapter.configuration_key,
            adapter.decode_configuration,
            store,
            self._peers,
            self._outbound_proxy,
            self._decisions,
        )
        self._is_stopping = False
        # Planned at the start, where a fault of the settings is harmless.
        self._stop_plan = stop_plan.plan_stop(settings.stop_timeout_ms / 1000)
        self._stop_requested = asyncio.Event()
        self._listeners = listening.Listeners(
            self._decisions, self._stop_requested
        )
        backend = settings.backend
        self._backend_address = f"{backend.host}:{backend.port}"
        self._backend_verifier = backend_verification.BackendVerifier(
            self._inbound_proxy,
            adapter.dialect,
            settings.service,
            self._decisions,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this node."""
        return not self._is_stopping and self._outbound_proxy.version > 0

    async def run(self) -> None:
        """Serve until a signal to stop, then answer the requests in flight.

        Raises
        ------
        ListenError
            If an address cannot be listened on.
        """
        failure: BaseException | None = None
        try:
            await self._serve()
        except* listening.StopRequestedError:
            self._decisions.write("node_stopped", False)
        except* listening.ListenError as group:
            failure = group.exceptions[0]
            self._decisions.write("start_failed", False, reason=str(failure))
        self._decisions.flush()
        if failure is not None:
            raise failure

    async def _serve(self) -> None:
        settings = self._settings
        server = control.ControlServer(
            self._adapter,
            self._on_heartbeat,
            self._on_leave,
            lambda: self.is_ready,
            self._decisions,
            self._backend_address,
            self._outbound_proxy.may_serve,
        )
        self._loop.set_exception_handler(self._on_unhandled_exception)
        async with anyio.create_task_group() as tasks:
            # Without its handler, a signal would end the process with requests
            # that it has already accepted.
            await tasks.start(self._handle_signals)

            def keep_running(
                task: str, function: Callable[[], Awaitable[object]]
            ) -> None:
                tasks.start_soon(self._supervisor.keep_running, task, function)

            keep_running("log", self._decisions.run)
            keep_running("metrics", self._serve_metrics)
            # Without checks, the wait for an address counts as a pause, which
            # shortens the deadlines of the first requests.
            keep_running("checks", self._run_checks)
            servers = [
                await self._listen(settings.peers, self._peers.accept),
                await self._listen(
                    settings.heartbeats, lambda: self._accept(server)
                ),
                await self._listen(
                    settings.readiness, lambda: self._accept(server)
                ),
                await self._listen(settings.outbound, self._accept_caller),
            ]
            self._decisions.write(
                "node_started",
                False,
                zone=settings.zone,
                service=settings.service,
                max_callers=self._max_callers,
            )
            keep_running("configuration", self._configuration.follow)
            keep_running("registration", self._registration.maintain)
            keep_running("node_list", self._registration.follow)
            keep_running("settings", self._watch_settings)
            await self._stop_requested.wait()
            await self._stop(servers)
            tasks.cancel_scope.cancel()
        self._decisions.write("node_stopped", False)

    def _on_unhandled_exception(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log and count an error that no task or request has handled."""
        error = context.get("exception")
        failure = supervision.Failure("event_loop", "", "")
        if error is not None:
            failure = supervision.describe("event_loop", error)
        self._metrics.on_task_failed(failure.task, failure.error)
        self._decisions.write(
            "internal_error",
            False,
            reason=str(context.get("message", "")),
            error=failure.error,
            trace=failure.trace,
        )

    def _on_task_failed(self, failure: supervision.Failure) -> None:
        # Counted first: the error may be one of the log.
        self._metrics.on_task_failed(failure.task, failure.error)
        self._decisions.write(
            "task_failed",
            False,
            task=failure.task,
            error=failure.error,
            trace=failure.trace,
        )

    def _on_store_epoch(self, before: int, epoch: int) -> None:
        self._decisions.write(
            "store_epoch_changed", False, before=before, epoch=epoch
        )

    def _on_status_change(self) -> None:
        self._peers.publish_own_status()
        self._registration.refresh()

    def _on_earlier_entry(self, entry: entry_module.Entry | None) -> None:
        if entry is None:
            self._backend_verifier.on_no_earlier_entry()
            return
        self._backend_verifier.on_earlier_entry(entry, self._backend_address)

    def _on_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        path = self._outbound_proxy.health_path(heartbeat.service)
        self._backend_verifier.on_heartbeat(heartbeat, path)

    def _on_leave(self, endpoint: str) -> None:
        self._backend_verifier.on_leave(endpoint)
        self._inbound_proxy.on_leave(endpoint)

    async def _listen(
        self,
        address: settings_module.Address,
        make_protocol: Callable[[], asyncio.Protocol],
        wait_s: float | None = None,
    ) -> asyncio.Server:
        """Listen on an address; wait while an earlier process may have it."""
        if wait_s is None:
            grace_s = self._settings.stop_timeout_ms / 1000
            wait_s = grace_s + ADDRESS_WAIT_MARGIN_S
        return await self._listeners.open(address, make_protocol, wait_s)

    async def _serve_metrics(self) -> None:
        """Serve the metrics; a node serves its callers without them too."""

        def accept() -> http1.ServerConnection:
            return self._accept(
                control.MetricsServer(METRICS_PATH, self._render_metrics)
            )

        try:
            listener = await self._listen(
                self._settings.metrics, accept, math.inf
            )
        except listening.StopRequestedError:
            return
        except listening.ListenError as error:
            self._decisions.write("metrics_failed", False, reason=str(error))
            return
        try:
            await anyio.sleep_forever()
        finally:
            listener.close()

    def _accept(self, server: http1.Server) -> http1.ServerConnection:
        on_open = functools.partial(self._on_open, self._max_connections)
        return http1.ServerConnection(server, on_open, self._on_close)

    def _accept_caller(self) -> http1.ServerConnection:
        on_open = functools.partial(self._on_open, self._max_callers)
        return http1.ServerConnection(
            self._outbound_proxy, on_open, self._on_close
        )

    def _on_open(self, limit: int, connection: http1.ServerConnection) -> None:
        self._connections.add(connection)
        if len(self._connections) > limit:
            self._decisions.write(
                "connection_refused", False, open=len(self._connections)
            )
            connection.abort()

    def _on_close(self, connection: http1.ServerConnection) -> None:
        self._connections.discard(connection)

    def _has_memory_for(self, size: int) -> bool:
        held_bytes = sum(c.buffered_bytes for c in self._connections) + size
        return (
            held_bytes
            < self._settings.memory_mb
            * settings_module.MIB
            * BODY_MEMORY_SHARE
        )

    def _render_metrics(self) -> bytes:
        return self._metrics.render(self._samples())

    def _samples(self) -> Iterator[metrics.Sample]:
        def sample(name: str, value: float, **labels: str) -> metrics.Sample:
            return metrics.Sample(name, labels, value)

        queue = self._inbound_proxy.queue
        yield sample("slots", queue.slots)
        yield sample("running", queue.running)
        yield sample("queued", queue.queued)
        yield sample("service_ms", queue.service_ms)
        limit = self._inbound_proxy.rate_limit_per_s
        yield sample("rate_limit_per_s", -1.0 if limit is None else limit)
        yield sample("configuration_version", self._outbound_proxy.version)
        yield sample("configuration_age_s", self._configuration.age_s)
        known = list(self._peers.known)
        usable = sum(peer.is_usable for peer in known)
        yield sample("nodes", usable, state="usable")
        yield sample("nodes", len(known) - usable, state="unusable")
        yield sample("inbound_links", self._peers.inbound_links)
        yield sample("caller_connections", len(self._connections))
        for route, share in self._chain.admitted_shares.items():
            yield sample("admitted_share", share, route=route)
        yield from self._chain.retry_samples
        reports = self._peers.crash_reports
        yield sample("backend_crashes", reports.crashes)
        yield sample("suspected_requests", reports.suspects)
        yield sample("quarantined_requests", reports.quarantined)
        yield sample("listed", float(self._registration.is_listed))
        yield sample("store_epoch", self._store_connections.epoch)
        yield sample("store_calls", self._store_connections.calls)
        yield sample("store_failures", self._store_connections.failures)
        yield sample("refused_reloads", self._refused_reloads)
        yield sample("task_failures_unreported", self._supervisor.unreported)
        for rule, count in self._decisions.lines_left_out.items():
            yield sample("log_lines_left_out", count, rule=rule)

    async def _run_checks(self) -> None:
        attempt = self._supervisor.attempt
        for number in itertools.count():
            await asyncio.sleep(CHECK_INTERVAL_S)
            # One by one: a check that fails must not stop the others.
            attempt("checks", self._check_pause)
            attempt("checks", self._peers.check_waiting_links)
            attempt("checks", self._outbound_proxy.tick)
            if number % CHECKS_PER_ROUND:
                continue
            attempt("checks", self._peers.tick)
            attempt("checks", self._inbound_proxy.tick)
            attempt("checks", self._check_connections)

    def _check_pause(self) -> None:
        pause = self._pauses.check()
        if pause is not None:
            self._on_pause(pause)

    def _check_connections(self) -> None:
        now = self._loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def _on_pause(self, pause: pauses.Pause) -> None:
        """Make up for a time in which the process did not run."""
        self._peers.postpone_checks(pause.stalled_s)
        if pause.suspended_s:
            self._outbound_proxy.on_suspended(pause.suspended_s)
            self._inbound_proxy.on_suspended(pause.suspended_s)
        if pause.total_s > STALE_PAUSE_S:
            self._store_connections.abort_all()
            self._decisions.write(
                "process_paused",
                False,
                stalled_ms=round(pause.stalled_s * 1000),
                suspended_ms=round(pause.suspended_s * 1000),
            )

    async def _handle_signals(
        self, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        """Handle signals until the end of the process.

        Without a handler, a second signal would end the process during a
        planned stop, with requests in flight.
        """
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            task_status.started()
            # The receiver stays open over restarts: while it is closed, a
            # signal ends the process.
            await self._supervisor.keep_running(
                "signals", lambda: self._follow_signals(signals)
            )

    async def _follow_signals(
        self, signals: AsyncIterator[signal.Signals]
    ) -> None:
        async for number in signals:
            self._supervisor.attempt(
                "signals", functools.partial(self._on_signal, number)
            )

    def _on_signal(self, number: signal.Signals) -> None:
        if number == signal.SIGHUP:
            self._reload()
            return
        self._stop_requested.set()
        self._decisions.write("stop_requested", False, signal=int(number))

    async def _watch_settings(self) -> None:
        """Reload the settings when their file changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            loaded = self._adapter.reload_settings()
            if self._comparable(loaded) != self._latest_content:
                self._apply_reload(loaded)

    def _reload(self) -> None:
        self._apply_reload(self._adapter.reload_settings())

    def _apply_reload(self, loaded: _LoadedSettings) -> None:
        """Use the service and the grace time of changed settings.

        If they were refused, all stays as it is. The other settings take
        effect at the next start.
        """
        self._latest_content = self._comparable(loaded)
        changed = loaded.value_or(None)
        if changed is None:
            self._refused_reloads += 1
            self._decisions.write(
                "reload_failed", False, reason=str(loaded.failure())
            )
            return
        self._stop_plan = stop_plan.plan_stop(changed.stop_timeout_ms / 1000)
        self._outbound_proxy.service = changed.service
        self._decisions.write("reloaded", False, service=changed.service)

    @staticmethod
    def _comparable(
        loaded: _LoadedSettings,
    ) -> settings_module.SidecarSettings | str:
        """Return the settings, or the text of the error."""
        changed = loaded.value_or(None)
        return str(loaded.failure()) if changed is None else changed

    async def _stop(self, servers: list[asyncio.Server]) -> None:
        """Answer accepted requests, and end shortly before the kill.

        Each step is carried out by itself, so that one that fails cuts no
        request in flight.
        """
        plan = self._stop_plan
        attempt = functools.partial(self._supervisor.attempt, "stop")
        started_at = self._loop.time()
        self._is_stopping = True
        attempt(functools.partial(self._outbound_proxy.begin_stop, plan))
        attempt(functools.partial(self._inbound_proxy.begin_stop, plan))
        self._loop.call_later(plan.backend_drain_s, self._inbound_proxy.stop)
        await asyncio.sleep(plan.caller_drain_s)
        while self._loop.time() - started_at < plan.end_s:
            for connection in list(self._connections):
                attempt(connection.close_idle)
            attempt(self._refuse_calls_if_none_can_come)
            if attempt(self._is_idle):
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        for server in servers:
            attempt(server.close)
        attempt(self._outbound_proxy.end_all)
        attempt(self._inbound_proxy.end_all)
        attempt(self._peers.close)
        flushed_by = self._loop.time() + plan.flush_s
        while self._loop.time() < flushed_by:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
            if not attempt(self._is_flushing):
                break

    def _refuse_calls_if_none_can_come(self) -> None:
        """Refuse all requests once none at the backend server makes calls."""
        if self._inbound_proxy.is_idle:
            self._outbound_proxy.refuse_new_requests()

    def _is_idle(self) -> bool:
        """Whether all requests are answered, and the answers are sent."""
        return (
            self._inbound_proxy.is_idle
            and self._outbound_proxy.is_idle
            and not self._has_unsent_bytes()
        )

    def _is_flushing(self) -> bool:
        """Whether callers or other nodes have not got all answers yet."""
        return self._peers.has_links or self._has_unsent_bytes()

    def _has_unsent_bytes(self) -> bool:
        return self._peers.has_unsent_bytes or any(
            connection.unsent_bytes for connection in self._connections
        )
