"""Nodes that act after a pause on what was allowed before it."""

import asyncio

import pytest

from clementinekeel.runtime import pauses
from tests import memory_loop
from tests.sidecar import harness


class FixedPauses:
    def __init__(self, lateness_s):
        self.lateness_s = lateness_s


async def connect(first, second):
    first.add_peer(second)
    await harness.settle()
    second.inbound_proxy.on_heartbeat(harness.heartbeat("n2", slots=1))
    await harness.settle()


def run_members(function):
    async def main():
        members = harness.Member("n1"), harness.Member("n2")
        server = harness.BackendServer("n2")
        await connect(*members)
        await function(*members, server)

    memory_loop.run(main)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
def test_offer_read_after_a_pause_does_not_run_late(path):
    """A frozen node started what its caller had given up seconds before."""

    async def scenario(first, second, server):
        second.inbound_proxy._pauses = FixedPauses(1.5)
        connection, _ = harness.send(first, path)
        await harness.settle()
        assert server.requests == []
        assert [status for status, _, _ in connection.answers] == [503]

    run_members(scenario)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
def test_request_read_after_a_pause_has_less_time_left(path):
    """The endpoint got more time than the caller had left."""

    async def scenario(first, second, server):
        first.outbound_proxy._pauses = FixedPauses(0.6)
        harness.send(first, path)
        await harness.settle()
        ((_, headers, _),) = server.requests
        assert int(headers[b"deadline"]) <= 400

    run_members(scenario)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
def test_pause_is_taken_off_the_time_that_is_left_only_once(path):
    """The node's own endpoint gave up a request with time left."""

    async def main():
        member = harness.Member("n1")
        server = harness.BackendServer("n1")
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", slots=1))
        member.outbound_proxy._pauses = FixedPauses(0.4)
        member.inbound_proxy._pauses = FixedPauses(0.4)
        await harness.settle()
        harness.send(member, path)
        await harness.settle()
        ((_, headers, _),) = server.requests
        assert 500 < int(headers[b"deadline"]) <= 600

    memory_loop.run(main)


def test_deadlines_do_not_wait_for_a_suspended_vm():
    """The steady clock stood still, and the callers' clocks did not."""

    async def scenario(first, second, server):
        waiting = []
        server.behave = lambda c, h, i: waiting.append(i)
        running, _ = harness.send(first)
        await harness.settle()
        queued, _ = harness.send(first, b"/b/x")
        await harness.settle()
        assert len(waiting) == 1
        second.inbound_proxy.on_suspended(1.5)
        await harness.settle()
        assert [status for status, _, _ in queued.answers] == [503]
        assert running.answers == []
        first.outbound_proxy.on_suspended(1.5)
        await harness.settle()
        assert [status for status, _, _ in running.answers] == [504]

    run_members(scenario)


def test_pause_is_made_up_for(tmp_path, monkeypatch):
    """Links and calls of the store took their own pause for silence."""
    from tests.sidecar import test_node

    async def scenario(environment):
        node = environment.node
        connections = node._store_connections
        aborted = []
        monkeypatch.setattr(
            connections, "abort_all", lambda: aborted.append(True)
        )
        node._on_pause(pauses.Pause(0.3, 0.0))
        assert not aborted
        node._on_pause(pauses.Pause(2.0, 3.0))
        assert aborted

    async def main():
        environment = test_node.NodeEnvironment()
        await environment.start()
        await scenario(environment)
        environment.node._stop_requested.set()
        await asyncio.wait_for(environment.task, 10)

    with open(tmp_path / "log", "wb") as sink:
        monkeypatch.setattr("sys.stdout", sink)
        memory_loop.run(main)
    assert b'"event":"process_paused"' in (tmp_path / "log").read_bytes()
