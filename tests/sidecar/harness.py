"""Forwarding nodes, backend servers and callers in memory."""

import asyncio
import itertools

from clementinekeel.backends import http1
from clementinekeel.callers import dialect
from clementinekeel.membership import heartbeats
from clementinekeel.routing import placement
from clementinekeel.routing import table
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import chain
from clementinekeel.sidecar import inbound
from clementinekeel.sidecar import metrics
from clementinekeel.sidecar import outbound
from clementinekeel.sidecar import peers
from clementinekeel.sidecar import settings

DIALECT = dialect.Dialect(
    request_id=b"id",
    deadline_ms=b"deadline",
    seal=b"seal",
    target=b"target",
    instance=b"instance",
    not_run=b"not-run",
    retry_after=b"retry-after",
    rate_limit=b"rate-limit",
    leaving=b"leaving",
    calling_service=b"caller",
    store_epoch=b"epoch",
    ready_path=b"/ready",
    endpoint_path=b"/endpoints/",
)
SETTINGS = settings.SidecarSettings(
    node="n1",
    zone="z1",
    region="r1",
    service="s",
    backend=settings.Address("vm1", 1),
    outbound=settings.Address("vm1", 2),
    readiness=settings.Address("vm1", 3),
    heartbeats=settings.Address("vm1", 4),
    peers=settings.Address("vm1", 5),
    metrics=settings.Address("vm1", 6),
    store=settings.Address("store", 1),
    lease_min_ms=1_000,
    memory_mb=300,
    max_descriptors=4_100,
    stop_timeout_ms=6_000,
    retry_ratio=0.2,
    extra_retries=48,
    retry_window_ms=10_000,
)
ROUTE = table.Route(
    name="lookup",
    host="h",
    prefix="/a/",
    route_type=table.RouteType.IDEMPOTENT,
    shares=(table.Share("s", 1),),
    timeout_ms=1_000,
    objective_ms=1_000,
    max_attempts=2,
    rank=2,
)
NON_IDEMPOTENT_ROUTE = ROUTE._replace(
    name="booking",
    prefix="/b/",
    route_type=table.RouteType.NON_IDEMPOTENT,
    rank=0,
)


def routing_table(version=1, routes=(ROUTE, NON_IDEMPOTENT_ROUTE)):
    return table.RoutingTable(
        version, routes, {"s": "/health"}, table.CallerLimits()
    )


def heartbeat(node, sequence=1, **changes):
    fields = {
        "endpoint": f"e-{node}",
        "incarnation_ms": 1,
        "sequence": sequence,
        "service": "s",
        "address": f"{node}:1",
        "slots": 2,
        "state": heartbeats.EndpointState.READY,
        "warm_up_left_ms": 0,
    }
    return heartbeats.Heartbeat(**{**fields, **changes})


class RecordingLog(decision_log.DecisionLog):
    """Keeps the events instead of writing them."""

    def __init__(self):
        super().__init__("test", 1)
        self.events = []

    def write(self, event, is_routine, **fields):
        self.events.append((event, fields))

    def flush(self):
        self._lines.clear()


class BackendConnection(asyncio.Protocol):
    """Connection to a backend server; the server decides on the answers."""

    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.append(self)

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            headers = dict(
                line.lower().split(b": ", 1)
                for line in head.split(b"\r\n")[1:]
            )
            size = int(headers.get(b"content-length", b"0"))
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.server.on_request(self, head, headers, rest[:size])

    def connection_lost(self, _error):
        self.server.closed.append(self)

    def eof_received(self):
        return False

    def answer(self, request_id, status=200, extra=b"", body=b"fine"):
        self.transport.write(
            b"HTTP/1.1 %d X\r\nid: %s\r\nseal: s\r\n%s"
            b"Content-Length: %d\r\n\r\n%s"
            % (status, request_id, extra, len(body), body)
        )


class BackendServer:
    """A backend server; ``behave`` is called with each request."""

    def __init__(self, host, behave=None):
        self.requests = []
        self.connections = []
        self.closed = []
        self.behave = behave or (lambda c, h, i: c.answer(i))
        self.address = (host, 1)
        self.loop = asyncio.get_running_loop()
        self.start()

    def start(self):
        self.loop.listeners[self.address] = lambda: BackendConnection(self)

    def end(self):
        """End like a process: connections are reset, new ones are refused."""
        self.loop.listeners.pop(self.address, None)
        for connection in self.connections:
            connection.transport.abort()
        self.connections.clear()

    def on_request(self, connection, head, headers, body):
        self.requests.append((head, headers, body))
        self.behave(connection, headers, headers[b"id"])


class NoPauses:
    """Takes the place of a detector in a process that is never paused."""

    lateness_s = 0.0


class Member:
    """A member of the fleet: a node without its store and HTTP listeners."""

    def __init__(self, name, zone="z1", region="r1", **changes):
        self.settings = SETTINGS._replace(
            node=name,
            zone=zone,
            region=region,
            backend=settings.Address(name, 1),
            outbound=settings.Address(name, 2),
            peers=settings.Address(name, 5),
            **changes,
        )
        self.log = RecordingLog()
        self.pauses = NoPauses()
        self.metrics = metrics.NodeMetrics()
        self.peers = peers.Peers(
            self.settings,
            1,
            placement.PLACEMENTS.get("expected_time"),
            self.log,
        )
        self.inbound_proxy = inbound.InboundProxy(
            self.settings,
            DIALECT,
            self.log,
            self.peers.publish_own_status,
            self.metrics,
            lambda: self.peers.node_count,
            self.peers.crash_reports,
            self.pauses,
        )
        self.chain = chain.ChainPolicy(
            self.settings,
            self.inbound_proxy.find_job,
            lambda: self.peers.node_count,
            self.metrics,
        )
        self.outbound_proxy = outbound.OutboundProxy(
            self.settings,
            DIALECT,
            self.peers,
            self.log,
            lambda size: True,
            self.chain,
            self.metrics,
            self.pauses,
        )
        self.peers.attach(self.inbound_proxy, self.outbound_proxy)
        self.outbound_proxy.activate(routing_table())
        loop = asyncio.get_running_loop()
        loop.listeners[self.settings.peers] = self.peers.accept

    def add_peer(self, other, is_listed=True):
        self.peers.add_or_update(
            other.settings.node,
            *other.settings.peers,
            other.settings.zone,
            other.settings.region,
            is_listed,
        )

    def tick(self):
        self.peers.check_waiting_links()
        self.peers.tick()
        self.inbound_proxy.tick()


class CallerConnection:
    """Takes the place of a caller's connection and keeps the answers."""

    def __init__(self):
        self.remote_host = "caller"
        self.answers = []

    def respond(self, head, body, keep=True):
        self.answers.append((int(head.split(b" ")[1]), head, body))


_request_ids = itertools.count()


def send(
    member,
    path=b"/a/x",
    method=b"GET",
    body=b"",
    connection=None,
    request_id=None,
    **headers,
):
    """Send a request as a caller; return its connection and exchange."""
    connection = connection or CallerConnection()
    request_id = request_id or b"r%d" % next(_request_ids)
    named_headers = [(b"host", b"h"), (b"id", request_id)]
    named_headers += [(k.encode(), v) for k, v in headers.items()]
    request = http1_request(method, path, named_headers, body)
    return connection, member.outbound_proxy.handle(connection, request)


def http1_request(method, path, headers, body):
    from clementinekeel.callers import http1 as callers_http1

    now = asyncio.get_running_loop().time()
    return callers_http1.Request(method, path, headers, body, now)


async def settle(seconds=0.05):
    """Run everything that is due within some seconds."""
    await asyncio.sleep(seconds)


Answer = http1.Answer
