"""In-memory store and node for the tests of the operators' side."""

import contextlib

import httpx
from returns import result

from clementinekeel.operators import admin
from clementinekeel.operators import metrics
from clementinekeel.operators import node_client
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command


class FakeStore:
    """Store that can lose answers and be down."""

    def __init__(self):
        self.snapshot = store_access.EMPTY
        self.entries = []
        self.is_down = False
        self.loses_answer = False
        self.before_apply = lambda: None
        self.urls = ()

    def check(self):
        if self.is_down:
            raise store_access.StoreUnavailableError("load", "store", "down")

    def accept(self, proposal):
        version = self.snapshot.version + 1
        self.snapshot = store_access.Snapshot(
            version, proposal.change_id, proposal.objects
        )
        entry = store_access.AuditEntry(
            version,
            proposal.change_id,
            "2026-01-01T00:00:00Z",
            proposal.author,
            proposal.origin,
            proposal.reason,
            proposal.base_version,
            proposal.difference,
        )
        self.entries.insert(0, entry)
        return store_access.Accepted(version)

    async def load(self):
        self.check()
        return self.snapshot

    async def apply(self, proposal):
        self.check()
        self.before_apply()
        if proposal.base_version != self.snapshot.version:
            return store_access.Conflict(self.snapshot.version)
        accepted = self.accept(proposal)
        if self.loses_answer:
            self.is_down = True
            return store_access.Undetermined("no answer")
        return accepted

    async def settle(self, change_id):
        if self.is_down:
            return store_access.Undetermined("no answer")
        for entry in self.entries:
            if entry.change_id == change_id:
                return store_access.Accepted(entry.version)
        return store_access.Rejected("unknown change")

    async def history(self, limit):
        self.check()
        return self.entries[:limit]

    @contextlib.asynccontextmanager
    async def open(self, urls):
        self.urls = tuple(urls)
        yield self


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
    """State of a node whose drain can fail."""

    def __init__(self):
        self.state = make_status()
        self.endpoints = [
            make_endpoint("bookings-1", 3),
            make_endpoint("sales-1", 4, "z2"),
        ]
        self.reports = {}
        self.drain_fault = ""
        self.is_down = False

    def status(self):
        return self.state

    def fleet(self):
        return {
            "node": self.state["node"],
            "newest_version": self.state["newest_version"],
            "unreachable_zones": self.state["unreachable_zones"],
            "endpoints": self.endpoints,
        }

    def request(self, request_id):
        return self.reports.get(request_id)

    async def drain(self):
        return self.change("leaving")

    async def undrain(self):
        return self.change("ready")

    def change(self, state):
        if self.drain_fault:
            return result.Failure(self.drain_fault)
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


def make_clients(store, node):
    return _command.Clients(store.open, node.open)
