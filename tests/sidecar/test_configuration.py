"""Versions of the configuration from the store and from other nodes."""

import asyncio

from returns import result

from clementinekeel.runtime import errors
from clementinekeel.sidecar import configuration
from clementinekeel.store import metadata
from tests import memory_loop
from tests.sidecar import harness
from tests.sidecar import test_registration


def decode(content):
    if not content.isdigit():
        return result.Failure(errors.StepError("decode", "store", "faulty"))
    return result.Success(harness.routing_table(int(content)))


def run_following(function):
    async def main():
        member = harness.Member("n1")
        store = test_registration.MemoryStore()
        follower = configuration.ConfigurationFollower(
            "conf",
            decode,
            store,
            member.peers,
            member.outbound_proxy,
            member.log,
        )
        task = asyncio.ensure_future(follower.follow())
        await harness.settle(1)
        await function(store, follower, member)
        task.cancel()

    memory_loop.run(main)


def test_new_version_is_in_force_at_once():
    async def scenario(store, follower, member):
        store.put("conf", b"5")
        await harness.settle(0.01)
        assert member.outbound_proxy.version == 5

    run_following(scenario)


def test_version_missed_during_an_outage_is_in_force_afterwards():
    async def scenario(store, follower, member):
        store.failure = metadata.FailureKind.REFUSED
        store.changed.set()
        await harness.settle(5)
        store.put("conf", b"6")
        store.failure = None
        await harness.settle(1.1)
        assert member.outbound_proxy.version == 6

    run_following(scenario)


def test_faulty_version_leaves_the_one_in_force():
    async def scenario(store, follower, member):
        store.put("conf", b"5")
        store.put("conf", b"broken")
        await harness.settle(1)
        assert member.outbound_proxy.version == 5
        names = [name for name, _ in member.log.events]
        assert "configuration_unusable" in names

    run_following(scenario)


def test_late_older_version_from_another_node_is_ignored():
    async def scenario(store, follower, member):
        store.put("conf", b"5")
        await harness.settle(1)
        follower.apply(b"4", "n2")
        assert member.outbound_proxy.version == 5

    run_following(scenario)
