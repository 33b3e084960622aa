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


def test_key_that_begins_like_the_configuration_s_is_not_applied():
    """A draft beside the configuration was not accepted by the store."""

    async def scenario(store, follower, member):
        store.put("conf", b"5")
        store.put("conf-draft", b"9")
        store.put("conf/9", b"9")
        await harness.settle(1)
        assert member.outbound_proxy.version == 5
        store.put("conf", b"6")
        await harness.settle(1)
        assert member.outbound_proxy.version == 6

    run_following(scenario)


def test_late_older_version_from_another_node_is_ignored():
    async def scenario(store, follower, member):
        store.put("conf", b"5")
        await harness.settle(1)
        follower.apply(b"4", "n2")
        assert member.outbound_proxy.version == 5

    run_following(scenario)


def test_change_is_not_missed_when_its_revision_was_given_out_before():
    """The watch goes on from a revision that the new history has by then."""

    async def scenario(store, follower, member):
        store.put("conf", b"5")
        copied = store.copy()
        store.put("conf", b"6")
        store.put("conf", b"7")
        await harness.settle(1)
        assert member.outbound_proxy.version == 7
        await test_registration.return_from_copy(
            store, copied, ("conf", b"7"), ("conf", b"8")
        )
        await harness.settle(2)
        assert member.outbound_proxy.version == 8

    run_following(scenario)


def test_older_version_of_the_copy_does_not_come_into_force():
    async def scenario(store, follower, member):
        store.put("conf", b"5")
        copied = store.copy()
        store.put("conf", b"6")
        await harness.settle(1)
        await test_registration.return_from_copy(store, copied)
        await harness.settle(2)
        assert member.outbound_proxy.version == 6

    run_following(scenario)


def test_lost_version_that_was_written_with_other_content_is_taken():
    """Nodes kept what the store had lost until the next version."""

    async def scenario(store, follower, member):
        store.put("conf", b"5")
        copied = store.copy()
        store.put("conf", b"7")
        await harness.settle(1)
        lost = member.outbound_proxy._table
        await test_registration.return_from_copy(
            store, copied, ("conf", b"07")
        )
        await harness.settle(2)
        assert member.outbound_proxy.version == 7
        assert member.outbound_proxy._table is not lost
        assert member.peers.versions.configuration == (7, b"07")
        # A node that did not reach the store has what was lost.
        follower.apply(b"7", "n2")
        assert member.peers.versions.configuration == (7, b"07")

    run_following(scenario)


def test_version_that_is_read_again_is_not_applied_again():
    async def scenario(store, follower, member):
        store.put("conf", b"5")
        await harness.settle(1)
        in_force = member.outbound_proxy._table
        store.fail(metadata.FailureKind.COMPACTED)
        await harness.settle(1)
        store.failure = None
        await harness.settle(2)
        assert member.outbound_proxy._table is in_force

    run_following(scenario)


def test_changes_are_followed_after_two_returns_from_copies():
    async def scenario(store, follower, member):
        for version in (5, 8, 11):
            copied = store.copy()
            store.put("conf", b"%d" % version)
            store.put("conf", b"%d" % (version + 1))
            await harness.settle(1)
            await test_registration.return_from_copy(
                store,
                copied,
                ("conf", b"%d" % (version + 1)),
                ("conf", b"%d" % (version + 2)),
            )
            await harness.settle(2)
            assert member.outbound_proxy.version == version + 2

    run_following(scenario)


def test_storm_of_versions_costs_few_calls_and_ends_with_the_newest():
    """With a call of each node for each version, the calls of a large fleet
    grew with the versions times the nodes.
    """

    async def scenario(store, follower, member):
        watches = []
        watch = store.watch

        async def counted(*arguments):
            watches.append(arguments)
            return await watch(*arguments)

        store.watch = counted
        for version in range(5, 35):
            store.put("conf", b"%d" % version)
            await harness.settle(0.33)
        await harness.settle(configuration.WATCH_PAUSE_S)
        assert member.outbound_proxy.version == 34
        assert len(watches) <= 20

    run_following(scenario)


def test_first_change_after_a_rest_is_not_delayed():
    async def scenario(store, follower, member):
        for version in (5, 6):
            await harness.settle(3)
            store.put("conf", b"%d" % version)
            await harness.settle(0.01)
            assert member.outbound_proxy.version == version

    run_following(scenario)
