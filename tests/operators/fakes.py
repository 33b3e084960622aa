"""In-memory store and node for the tests of the operators' tools."""

import contextlib
import random

import anyio
import httpx
from returns import result
import trio.testing

from clementinekeel.operators import admin
from clementinekeel.operators import metrics
from clementinekeel.operators import node_client
from clementinekeel.operators import status as node_status
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command
from clementinekeel.store import changes
from clementinekeel.store import client
from standins import store as store_standin
from standins import transport


class Store:
    """The stand-in of the store, called by clients in the same process.

    ``interruptions`` maps the number of a request, counted over all clients,
    to a function that is awaited before the store serves that request.
    """

    def __init__(self):
        self.application = store_standin.StoreApplication(1e9, 1e9)
        self.interruptions = {}
        self.request_count = 0
        self.urls = ()

    @property
    def is_empty(self):
        return not self.application.writes

    def set_faults(self, **faults):
        self.application.set_faults(**faults)

    async def serve(self, scope, receive, send):
        self.request_count += 1
        interruption = self.interruptions.pop(self.request_count, None)
        if interruption is not None:
            await interruption()
        await self.application(scope, receive, send)

    @contextlib.asynccontextmanager
    async def open(self, urls):
        self.urls = tuple(urls)
        failure = None
        async with anyio.create_task_group() as tasks:
            connection = transport.StreamingTransport(self.serve, tasks)
            source = random.Random(0)
            store_client = client.StoreClient(urls, source, connection)
            # Raised in the task group, an exception of the caller would be
            # wrapped in an exception group.
            try:
                async with store_client:
                    yield store_client
            except Exception as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def apply(self, change):
        """Apply a change of another operator."""
        async with self.open(["http://store"]) as store_client:
            (await changes.apply(store_client, change)).unwrap()

    async def load(self):
        async with self.open(["http://store"]) as store_client:
            return await store_access.load_snapshot(store_client)


def make_status(**changes):
    status = {
        "node": "n1",
        "zone": "z1",
        "region": "north",
        "incarnation": "00000000000000ff",
        "version": "0.1.0",
        "configuration_version": 3,
        "newest_version": 4,
        "configuration_fault": "",
        "state": "ready",
        "service": "bookings",
        "endpoint": "bookings-1",
        "slots": 20,
        "limit": 18,
        "running": 2,
        "queued": 1,
        "level": 3,
        "relays": ["n1", "n2"],
        "members": [{"zone": "z1", "state": "ready", "members": 4}],
        "unreachable_zones": [],
        "sessions": 5,
        "records": 7,
        "counters": {"requests_total": 9},
    }
    return {**status, **changes}


def make_endpoint(name, version, zone="z1", state="ready"):
    return {
        "service": name.rpartition("-")[0],
        "endpoint": name,
        "zone": zone,
        "region": "north",
        "state": state,
        "node": f"node-{name}",
        "address": "127.0.0.1:7000",
        "configuration_version": version,
    }


class FakeNode:
    """Node whose drain can fail and that can be unreachable."""

    def __init__(self):
        self.state = make_status()
        self.endpoints = [
            make_endpoint("bookings-1", 3),
            make_endpoint("sales-1", 4, "z2"),
        ]
        self.reports = {}
        self.members = {"z1": 4}
        self.drain_failure = ""
        self.is_down = False

    def status(self):
        return self.state

    def samples(self):
        for zone, members in self.members.items():
            labels = {"zone": zone, "state": "ready"}
            yield node_status.Sample("members", members, labels)
        yield node_status.Sample("limit", self.state["limit"])

    def fleet(self):
        return {
            "node": self.state["node"],
            "newest_version": self.state["newest_version"],
            "unreachable_zones": self.state["unreachable_zones"],
            "endpoints": self.endpoints,
        }

    def request_report(self, request_id):
        return self.reports.get(request_id)

    async def drain(self):
        return self.change("leaving")

    async def undrain(self):
        return self.change("ready")

    def change(self, state):
        if self.drain_failure:
            return result.Failure(self.drain_failure)
        self.state["state"] = state
        return result.Success(None)

    @contextlib.asynccontextmanager
    async def open(self, address):
        transport = httpx.ASGITransport(make_admin(self))
        if self.is_down:
            transport = httpx.MockTransport(refuse)
        async with httpx.AsyncClient(
            base_url=f"http://{address}", transport=transport
        ) as client:
            yield node_client.NodeClient(address, client)


def refuse(request):
    raise httpx.ConnectError("connection refused", request=request)


def make_admin(node):
    return admin.AdminApplication(node, metrics.NodeMetrics())


def run(function):
    """Run a coroutine function on trio with a clock that skips waits."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    options = {"clock": clock}
    return anyio.run(function, backend="trio", backend_options=options)


def make_clients(store, node):
    return _command.Clients(store.open, node.open, run)
