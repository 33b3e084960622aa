"""The node: its parts and their connections."""

from collections.abc import Callable, Coroutine
import random as random_module
import secrets
import socket
from typing import Any

import anyio
import anyio.abc
import zmq

from clementinekeel.admission import controller
from clementinekeel.backends import app as backend_app
from clementinekeel.callers import app as caller_app
from clementinekeel.configuration import model
from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.daemon import active_configuration
from clementinekeel.daemon import backend
from clementinekeel.daemon import contexts
from clementinekeel.daemon import directory
from clementinekeel.daemon import entry
from clementinekeel.daemon import owner
from clementinekeel.daemon import relay_role
from clementinekeel.daemon import status
from clementinekeel.membership import membership as membership_module
from clementinekeel.membership import messages as membership_messages
from clementinekeel.membership import records as member_records
from clementinekeel.nodes import codec
from clementinekeel.nodes import drops
from clementinekeel.nodes import gossip as gossip_module
from clementinekeel.nodes import pool
from clementinekeel.nodes import server
from clementinekeel.operators import admin
from clementinekeel.operators import metrics as node_metrics
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import records
from clementinekeel.retries import budget
from clementinekeel.routing import router as routers
from clementinekeel.runtime import clock
from clementinekeel.runtime import http_server
from clementinekeel.runtime import log
from clementinekeel.runtime import settings as settings_module
from clementinekeel.runtime import trail

INCARNATION_BITS = 63
MAX_SOCKETS = 16_384
"""A session uses two sockets, and the default limit of zmq is 1,023."""
BIND_ATTEMPTS = 10
LEAVING_SPREAD_MS = 3_000
"""Time for gossip to spread the leaving state before the node stops. Calls
that arrive in this time, also under keys issued just before, are refused as
not run. After it, their callers are told ``unknown``."""

State = member_records.MemberState


class Node:
    """One node process.

    ``create`` opens the sockets. ``run`` serves until ``stop`` is called and
    the requests in flight have ended.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        listeners: dict[str, socket.socket],
        gossip_socket: anyio.abc.UDPSocket,
    ) -> None:
        self.settings = settings
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self.status_reporter = status.StatusReporter(self)
        self.decision_trail = trail.DecisionTrail()
        self.drop_log = drops.DropLog()
        self.is_draining = False
        self._listeners = listeners
        self._random = random_module.Random(secrets.randbits(64))
        self._stop_requested = anyio.Event()
        self._shutdown = anyio.Event()
        self._http_servers_ended = anyio.Event()
        self._running_http_servers = 0
        self._context: zmq.Context[Any] = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self._admission_endpoint = ""
        self._budget_share = -1.0
        self._build_owner()
        self._build_membership(gossip_socket)
        self._build_entry()
        self._build_apps()

    @classmethod
    async def create(cls, settings: settings_module.Settings) -> "Node":
        """Open the listening sockets and return the node.

        Raises
        ------
        OSError
            If an address cannot be used.
        """
        listeners = {
            "callers": http_server.bind(settings.callers.listen),
            "backend": http_server.bind(settings.backend.listen),
            "operators": http_server.bind(settings.operators.listen),
        }
        gossip_socket = await _bind_gossip(settings.nodes.listen)
        return cls(settings, listeners, gossip_socket)

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the listening sockets, by section of the settings."""
        addresses = {
            name: http_server.address_of(listener)
            for name, listener in self._listeners.items()
        }
        return {**addresses, "nodes": self.server.endpoint}

    @property
    def configuration(self) -> model.Configuration | None:
        """Configuration in force, None before the first."""
        return self.active_configuration.current

    @property
    def endpoint_spec(self) -> model.EndpointSpec | None:
        """Inventory entry of the local backend server's endpoint."""
        if self.configuration is None:
            return None
        for service in self.configuration.inventory.services:
            if service.name == self.backend.service:
                for spec in service.endpoints:
                    if spec.name == self.backend.endpoint:
                        return spec
        return None

    @property
    def is_leaving(self) -> bool:
        """Whether the node or its backend server drains or stops."""
        is_backend_draining = (
            self.backend.state is backend.BackendState.DRAINING
        )
        return (
            self.is_draining
            or is_backend_draining
            or self._stop_requested.is_set()
        )

    async def run(self) -> None:
        """Serve until stopped."""
        log.event("node_started", incarnation=self.incarnation)
        async with anyio.create_task_group() as tasks:
            for task in self._tasks():
                tasks.start_soon(task)
            self._start_http_servers(tasks)
            await self._stop_requested.wait()
            await self._wait_idle()
            await clock.sleep_ms(LEAVING_SPREAD_MS)
            self._shutdown.set()
            await self._http_servers_ended.wait()
            tasks.cancel_scope.cancel()
        log.event("node_stopped")

    def stop(self) -> None:
        """Have ``run`` leave, finish the requests in flight, and return."""
        self._stop_requested.set()
        self._publish_state()

    def set_draining(self, is_draining: bool) -> None:
        """Refuse new requests and calls, or accept them again."""
        self.is_draining = is_draining
        self._publish_state()

    def _tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self.server.run,
            self.sessions.run,
            self.gossip.run,
            self.owner.run,
            self.backend.watch,
            self.relay_role.run,
            self._pull_configuration,
        ]

    def _start_http_servers(self, tasks: anyio.abc.TaskGroup) -> None:
        limit = self.settings.callers.max_header_bytes
        for name, app in self._apps.items():
            tasks.start_soon(
                self._serve_app, app, self._listeners[name], limit
            )

    async def _serve_app(
        self, app: Any, listener: socket.socket, max_header_bytes: int
    ) -> None:
        self._running_http_servers += 1
        await http_server.serve(
            app, listener, self._shutdown, max_header_bytes
        )
        self._running_http_servers -= 1
        if not self._running_http_servers:
            self._http_servers_ended.set()

    async def _pull_configuration(self) -> None:
        await self.active_configuration.pull(self.sessions, self.directory)

    async def _wait_idle(self) -> None:
        """Wait for the requests in flight as owner and as entry node."""
        timeout_s = self.settings.limits.stop_timeout_s
        with anyio.move_on_after(timeout_s) as scope:
            await self.owner.wait_idle()
            for app in (self.caller_app, self.outbound_app):
                await app.wait_idle()
        if scope.cancelled_caught:
            log.event(
                "stop_timeout",
                level="WARNING",
                running=self.owner.running,
                queued=self.owner.queued,
            )
            self.owner.abort_calls()

    def _build_owner(self) -> None:
        settings = self.settings
        self.keyring = codec.Keyring(settings.nodes.keys)
        self.codec = codec.Codec(
            self.keyring, settings.node.id, self.incarnation
        )
        self.issuer = keys.KeyIssuer(self.keyring)
        self.contexts = contexts.Contexts()
        self.records = records.OutcomeRecords(
            self.incarnation,
            records.Limits(
                records=settings.outcomes.records,
                answer_bytes=settings.outcomes.answer_bytes,
                answers_bytes=settings.outcomes.answers_bytes,
                retention_ms=int(
                    settings.outcomes.retention_s * clock.MS_PER_S
                ),
            ),
        )
        self.active_configuration = active_configuration.ActiveConfiguration(
            self._on_configuration
        )
        self.backend = backend.BackendServer(
            settings.backend.max_connections, self._on_backend_change
        )
        self.owner = owner.Owner(
            settings.node.id,
            self.backend,
            self.issuer,
            self.records,
            self.contexts,
            self.decision_trail,
            self.active_configuration.delta_since,
        )
        self.server = server.Server(
            self._context, self.codec, self.owner, self.drop_log
        )

    def _build_membership(self, gossip_socket: anyio.abc.UDPSocket) -> None:
        settings = self.settings
        address = gossip_module.address_of(gossip_socket)
        try:
            self.server.bind(address)
        except zmq.ZMQError as error:
            raise OSError(error.errno, f"{address}: {error}") from error
        own = member_records.MemberRecord(
            node_id=settings.node.id,
            incarnation=self.incarnation,
            version=1,
            zone=settings.node.zone,
            region=settings.node.region,
            address=settings.nodes.advertise or address,
            state=State.JOINING,
            service="",
            endpoint="",
            configuration_version=0,
        )
        self.membership = membership_module.Membership(
            own, settings.nodes.seeds, self._random, clock.now_ms()
        )
        self.gossip = gossip_module.Gossip(
            gossip_socket, self.membership, self.codec, self._on_view_change
        )
        self.relay_role = relay_role.RelayRole(
            settings.platform.urls,
            self.membership,
            self.gossip,
            self._on_store_snapshot,
            self._random,
        )

    def _build_entry(self) -> None:
        settings = self.settings
        self.router = routers.Router(
            settings.node.zone,
            settings.node.region,
            self._random,
            settings.policies.balancer,
        )
        self.directory = directory.Directory(self.membership, self.router)
        self.sessions = pool.SessionPool(
            self._context,
            self.codec,
            self.drop_log,
            int(settings.limits.session_idle_s * clock.MS_PER_S),
        )
        lifetime_ms = int(settings.outcomes.key_lifetime_s * clock.MS_PER_S)
        self.entry = entry.Entry(
            lambda: self.active_configuration.current,
            lambda: self.is_leaving,
            self.directory,
            self.router,
            self.sessions,
            self.issuer,
            budget.RetryBudget(),
            self.contexts,
            entry.Policies(settings.policies.retry, lifetime_ms),
            self.decision_trail,
            self._random,
        )

    def _build_apps(self) -> None:
        limits = caller_app.Limits(
            self.settings.callers.max_body_bytes,
            self.settings.callers.max_requests,
        )
        self.caller_app = caller_app.CallerApp(
            self.entry, limits, is_from_backend=False
        )
        self.outbound_app = caller_app.CallerApp(
            self.entry, limits, is_from_backend=True
        )
        self._apps = {
            "callers": self.caller_app,
            "backend": backend_app.BackendApp(
                self.outbound_app, self.backend.on_announcement
            ),
            "operators": admin.AdminApplication(
                self.status_reporter, node_metrics.NodeMetrics()
            ),
        }

    def _on_store_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        if self.active_configuration.activate(snapshot):
            self.gossip.confirm()

    def _on_view_change(self, effects: membership_messages.Effects) -> None:
        self.directory.on_change()
        for record in effects.removed:
            self.directory.on_removed(record)
            log.event("member_removed", peer=record.node_id, zone=record.zone)
        for record in effects.joined:
            log.event("member_joined", peer=record.node_id, zone=record.zone)

    def _on_configuration(self, configuration: model.Configuration) -> None:
        budget_share = configuration.rules.retry_budget_share
        if budget_share != self._budget_share:
            # A new budget starts with empty buckets, so it is created only
            # when the share changes.
            self._budget_share = budget_share
            self.entry.set_budget(budget.RetryBudget(budget_share))
        self.gossip.update_own(configuration_version=configuration.version)
        self.relay_role.on_peer_snapshot(self.active_configuration.snapshot)
        self._apply_endpoint_spec()
        self._publish_state()

    def _on_backend_change(
        self, before: backend.BackendState, is_new_instance: bool
    ) -> None:
        if is_new_instance:
            self._apply_endpoint_spec()
            self.owner.on_new_instance()
        if self.backend.state is backend.BackendState.READY and (
            is_new_instance or before is backend.BackendState.STARTING
        ):
            self.owner.start_ramp()
        self._publish_state()

    def _apply_endpoint_spec(self) -> None:
        """Apply the inventory entry of the local backend server's endpoint."""
        spec = self.endpoint_spec
        if spec is None or self.configuration is None:
            return
        self.backend.set_limit(spec.connections)
        if self._admission_endpoint == spec.name:
            self.owner.set_slots(
                spec.slots, self.configuration.rules.objective
            )
            return
        self._admission_endpoint = spec.name
        self.owner.set_admission(
            controller.AdmissionController(
                spec.slots,
                self.configuration.rules.objective,
                self.settings.policies.limiter,
                clock.now_ms(),
            )
        )
        self.owner.start_ramp()

    def _publish_state(self) -> None:
        """Announce whether the endpoint accepts new calls."""
        is_unlisted = self._admission_endpoint and self.endpoint_spec is None
        is_leaving = self.is_leaving or bool(is_unlisted)
        self.owner.set_leaving(is_leaving)
        state = State.JOINING
        if is_leaving:
            state = State.LEAVING
        elif self._is_ready():
            state = State.READY
        self.gossip.update_own(
            state=state,
            service=self.backend.service,
            endpoint=self.backend.endpoint,
        )

    def _is_ready(self) -> bool:
        is_backend_ready = self.backend.state is backend.BackendState.READY
        return is_backend_ready and self.endpoint_spec is not None


async def _bind_gossip(address: str) -> anyio.abc.UDPSocket:
    """Bind gossip to a UDP port whose number is also a free TCP port.

    The sessions of zmq use the TCP port.

    Raises
    ------
    OSError
        If the address is in use, or with port 0 every port that was tried.
    """
    _, _, port = address.rpartition(":")
    attempts = BIND_ATTEMPTS if port == "0" else 1
    for attempt in range(attempts):
        gossip_socket = await gossip_module.bind(address)
        try:
            http_server.bind(gossip_module.address_of(gossip_socket)).close()
        except OSError:
            await gossip_socket.aclose()
            if attempt + 1 == attempts:
                raise
        else:
            break
    return gossip_socket
