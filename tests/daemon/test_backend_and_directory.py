"""State of the backend server, the directory and the session's streams."""

import types

import anyio
import pytest

from clementinekeel.backends import app
from clementinekeel.daemon import attempt
from clementinekeel.daemon import backend
from clementinekeel.daemon import directory
from clementinekeel.membership import records
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing
from clementinekeel.runtime import clock
from tests.daemon import simulated_fleet

pytestmark = pytest.mark.anyio
State = records.MemberState


def announcement(instance="i1", state="ready"):
    return app.Announcement("s", "e", "127.0.0.1:9", instance, state)


@pytest.fixture
def changes():
    return []


@pytest.fixture
def server(changes):
    return backend.BackendServer(3, lambda *change: changes.append(change))


async def test_silent_backend_server_is_absent(server):
    server.on_announcement(announcement())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.watch)
        await clock.sleep_ms(4_500)
        assert server.state is backend.BackendState.READY
        await clock.sleep_ms(2_500)
        assert server.state is backend.BackendState.ABSENT
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("is_current", "open_count", "state"),
    [
        pytest.param(True, 0, "absent", id="refused"),
        pytest.param(True, 3, "ready", id="connection-limit"),
        pytest.param(False, 0, "ready", id="earlier-instance"),
    ],
)
async def test_failed_connection_makes_only_its_instance_absent(
    server, is_current, open_count, state
):
    server.on_announcement(announcement("i0"))
    before = server.connections
    server.on_announcement(announcement("i1"))
    failed = server.connections if is_current else before
    failed._open = open_count
    server.on_unreachable(failed)
    assert server.state == state


async def test_connections_of_an_earlier_instance_are_closed(server):
    server.on_announcement(announcement("i0"))
    discarded = []
    connection = types.SimpleNamespace()
    server.connections._open = 1
    server.connections._idle.append(connection)
    server.connections.discard = record_discarded(discarded)
    server.on_announcement(announcement("i1"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.watch)
        await clock.sleep_ms(1_500)
        tasks.cancel_scope.cancel()
    assert discarded == [connection]


def record_discarded(discarded):
    async def discard(connection):
        discarded.append(connection)

    return discard


def record(state, version, incarnation=8):
    return records.MemberRecord(
        node_id="node-b1",
        incarnation=incarnation,
        version=version,
        zone="z",
        region="r",
        address="a",
        state=state,
        service=simulated_fleet.SERVICE,
        endpoint="b1",
        configuration_version=1,
    )


class FakeMembership:
    """Fake of the part of the membership that the directory reads."""

    def __init__(self, *members):
        self.members = list(members)

    def find(self, member_id):
        found = [
            item
            for item in self.members
            if (item.node_id, item.incarnation) == tuple(member_id)
        ]
        return found[0] if found else None

    def endpoints(self, service):
        ready = [item for item in self.members if item.state is State.READY]
        return [directory._candidate(item) for item in ready]


@pytest.mark.parametrize(
    ("state", "version", "is_used"),
    [
        pytest.param(State.READY, 1, False, id="still-leaving"),
        pytest.param(State.LEAVING, 2, False, id="gossip-arrives"),
        pytest.param(State.READY, 3, True, id="undrained-unseen"),
    ],
)
async def test_endpoint_is_used_again_after_a_short_drain(
    state, version, is_used
):
    """The record with the leaving state may never arrive after a short drain.

    The router does not choose an endpoint that refused a call as leaving until
    it is listed anew.
    """
    async with simulated_fleet.start() as fleet:
        members = FakeMembership(record(State.READY, 1))
        found = directory.Directory(members, fleet.router)

        def choose():
            found.on_change()
            found.refresh(simulated_fleet.SERVICE)
            now_ms = clock.now_ms()
            return fleet.router.choose(
                simulated_fleet.SERVICE, 0, now_ms, frozenset()
            )

        candidate = choose()
        found.on_leaving(candidate)
        leaving = routing.Observation(routing.Signal.LEAVING, 0, 0.0, 0, 0)
        fleet.router.observe(candidate, leaving, clock.now_ms())
        members.members = [record(state, version)]
        assert isinstance(choose(), routing.Candidate) == is_used


@pytest.mark.parametrize(
    ("age_ms", "is_replaced", "is_lost"),
    [
        pytest.param(1_000, False, False, id="perhaps-paused"),
        pytest.param(1_000, True, True, id="replaced"),
        pytest.param(61_000, False, True, id="long-gone"),
        pytest.param(None, False, True, id="never-seen"),
    ],
)
async def test_owner_is_lost(age_ms, is_replaced, is_lost):
    members = FakeMembership(*[record(State.READY, 1, 9)] * is_replaced)
    found = directory.Directory(members, None)
    if age_ms is not None:
        found.on_removed(record(State.READY, 1))
        await clock.sleep_ms(age_ms)
    key = outcomes.IssuedKey(
        simulated_fleet.SERVICE, "b1", "node-b1", 8, 0, b""
    )
    assert found.owner(key) is None
    assert found.is_lost(key) == is_lost


async def test_owner_has_the_endpoint_of_its_key():
    members = FakeMembership(
        record(State.JOINING, 1)._replace(service="", endpoint="")
    )
    found = directory.Directory(members, None)
    key = outcomes.IssuedKey(
        simulated_fleet.SERVICE, "b1", "node-b1", 8, 0, b""
    )
    assert found.owner(key)[:2] == ("b1", simulated_fleet.SERVICE)


async def test_caller_gone_while_connecting_is_observed(monkeypatch):
    """Otherwise each such caller would make the endpoint look busier."""
    async with simulated_fleet.start("b1") as fleet:
        monkeypatch.setattr(
            attempt, "connect", lambda *arguments: anyio.sleep(9)
        )
        for path in ("/lookups", "/seats"):
            with anyio.move_on_after(1):
                await fleet.call("", path)
        assert fleet.leaks() == []
