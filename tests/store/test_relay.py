"""A relay follows the configuration despite faults of the store."""

import random

import anyio
import anyio.lowlevel
import pytest

from clementinekeel.store import changes
from clementinekeel.store import client
from clementinekeel.store import errors
from clementinekeel.store import messages
from clementinekeel.store import relay
from tests.store import harness

pytestmark = pytest.mark.anyio

RELAYS = messages.prefix_range(relay.RELAY_PREFIX)
OUTAGE_S = 120


class Relay:
    """A relay and the snapshots that it has delivered."""

    def __init__(self, platform, seed=0, name="n1"):
        self.store = platform.client(seed)
        self.snapshots = []
        self.task = relay.RelayTask(
            self.store,
            self.snapshots.append,
            "10.0.0.1:7000",
            "zone",
            name,
            random.Random(seed),
        )

    @property
    def versions(self):
        return [s.version for s in self.snapshots]

    async def run(self):
        async with self.store:
            await self.task.run()


def make_change(version, name="c"):
    return changes.Change(
        f"{name}{version}",
        "ana",
        "host",
        "why",
        version - 1,
        {"service/a": b"%d" % version},
        (),
    )


async def accept(store, version, name="c"):
    change = make_change(version, name)
    (await changes.apply(store, change)).unwrap()


FAULTS = {
    "none": {},
    "watch broken": {"watches_broken": True},
    "store down": {"down": "503"},
    "store cut off": {"down": "closed"},
    "store slow": {"delay_ms": 3_000},
    "answers lost": {"lose_share": 1.0},
    "gap in revisions": {"watches_broken": True, "compact": True},
    "lease expired": {"expire_leases": True},
}


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
async def test_relay_catches_up(fault, times):
    """Versions accepted around a fault are delivered in ascending order."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        node.task.set_active(True)
        await accept(operator, 1)
        await anyio.sleep(20)
        for attempt in range(times):
            # Accepted while the watch is broken, so that the watch misses it.
            platform.store.set_faults(watches_broken=True)
            await accept(operator, 2 + 2 * attempt)
            platform.store.handle_faults_request("PUT", dict(fault))
            await anyio.sleep(60)
            platform.store.set_faults()
            await accept(operator, 3 + 2 * attempt)
            await anyio.sleep(25)
            assert node.versions[-1] == 3 + 2 * attempt
            assert node.task.last_error is None
        assert node.versions == sorted(set(node.versions))
        records = (await operator.range(RELAYS)).unwrap().pairs
        assert [r.key for r in records] == ["relays/zone/n1"]


async def test_change_arrives_at_once():
    """A change must be in force within 4 s, so the watch must be prompt."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        node.task.set_active(True)
        await anyio.sleep(300)
        for version in (1, 2, 3):
            await accept(operator, version)
            await anyio.sleep(0.1)
            assert node.versions == list(range(1, version + 1))
            await anyio.sleep(1)


async def test_broken_watch_is_resumed_at_once():
    """A change right after a broken connection must not wait for 10 s."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        node.task.set_active(True)
        for version in range(1, 6):
            await anyio.sleep(10)
            platform.store.set_faults(watches_broken=True)
            await anyio.lowlevel.checkpoint()
            platform.store.set_faults()
            await accept(operator, version)
            await anyio.sleep(1.1)
            assert node.versions[-1] == version


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
async def test_lease_expired_during_a_pause(times):
    """A record that was removed with its lease must be written again."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        node.task.set_active(True)
        for _ in range(times):
            await anyio.sleep(20)
            platform.store.expire_leases()
            assert not (await operator.range(RELAYS)).unwrap().pairs
            await anyio.sleep(6)
            assert (await operator.range(RELAYS)).unwrap().pairs
            await anyio.sleep(60)
            assert (await operator.range(RELAYS)).unwrap().pairs


async def test_delayed_record_stays_with_the_renewed_lease():
    """A delayed put must not attach the record to an expired lease."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        platform.store.set_faults(spare_writes=1, hold_writes=1)
        node.task.set_active(True)
        await anyio.sleep(12)
        platform.store.release()
        await anyio.sleep(60)
        assert (await operator.range(RELAYS)).unwrap().pairs


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
async def test_relay_replaced_during_a_change(times):
    """A relay is replaced between the write of objects and of the head."""
    async with harness.open_client() as (platform, operator):
        nodes = [Relay(platform, s, f"n{s}") for s in range(times + 1)]
        for node in nodes:
            platform.tasks.start_soon(node.run)
        nodes[0].task.set_active(True)
        await accept(operator, 1)
        # 12 s is between two lease renewals, which would be held instead.
        await anyio.sleep(12)
        for step in range(times):
            version = 2 + step
            platform.store.set_faults(spare_writes=1, hold_writes=1)
            change = make_change(version)
            answer = await changes.apply(operator, change)
            assert isinstance(answer.failure(), errors.Undetermined)
            nodes[step].task.set_active(False)
            nodes[step + 1].task.set_active(True)
            await anyio.sleep(1)
            platform.store.release()
            await anyio.sleep(12)
            assert nodes[step + 1].versions[-1] == version
            assert version not in nodes[step].versions
            records = (await operator.range(RELAYS)).unwrap().pairs
            assert [r.key for r in records] == [f"relays/zone/n{step + 1}"]


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize("writes", [0, 50], ids=["behind", "caught up"])
async def test_store_restored_from_an_old_copy(times, writes):
    """A relay reports a restored store and keeps the version in force.

    The store's revision may have passed the one that the relay waits for.
    """
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        node.task.set_active(True)
        await accept(operator, 1)
        platform.store.save()
        for version in (2, 3):
            await accept(operator, version)
        await anyio.sleep(1)
        for attempt in range(times):
            platform.store.restore()
            await accept(operator, 2, f"other{attempt}-")
            for _ in range(writes):
                await operator.put(messages.Put("other", b""))
            await anyio.sleep(60)
            assert node.versions == [1, 2, 3]
            assert isinstance(node.task.last_error, changes.Reverted)
        for version in (3, 4):
            await accept(operator, version, "later")
        await anyio.sleep(60)
        assert node.versions == [1, 2, 3, 4]
        assert node.snapshots[-1].change_id == "later4"
        assert node.task.last_error is None


async def test_version_supplied_by_a_peer():
    """A version from a peer is neither delivered again nor reverted."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        for version in (1, 2):
            await accept(operator, version)
        newest = (await changes.load(operator, None)).unwrap()
        node.task.on_peer_snapshot(newest)
        platform.tasks.start_soon(node.run)
        node.task.set_active(True)
        await anyio.sleep(5)
        await accept(operator, 3)
        await anyio.sleep(5)
        assert node.versions == [3]


async def test_entry_points():
    """A relay reads the addresses of the other relays, not its own."""
    async with harness.open_client() as (platform, _):
        nodes = [Relay(platform, seed, f"n{seed}") for seed in range(3)]
        for node in nodes:
            platform.tasks.start_soon(node.run)
            node.task.set_active(True)
        await anyio.sleep(1)
        found = (await nodes[0].task.entry_points()).unwrap()
        assert found == tuple(
            relay.EntryPoint("zone", name, "10.0.0.1:7000")
            for name in ("n1", "n2")
        )


async def test_inactive_relay_makes_no_calls():
    """Of the 3,000 nodes of a zone, only the three relays use the store."""
    async with harness.open_client() as (platform, operator):
        node = Relay(platform)
        platform.tasks.start_soon(node.run)
        await anyio.sleep(60)
        assert node.task.calls == 0
        node.task.set_active(True)
        await anyio.sleep(60)
        assert 0 < node.task.calls < 30
        node.task.set_active(False)
        await anyio.sleep(1)
        assert not (await operator.range(RELAYS)).unwrap().pairs
        calls = node.task.calls
        await anyio.sleep(600)
        assert node.task.calls == calls


@pytest.mark.parametrize("uptime_s", [0, 60], ids=["new", "running"])
async def test_reconnection_after_an_outage_is_spread(uptime_s):
    """27 relays that reconnect at once would overload a store."""
    async with harness.open_platform() as platform:
        if not uptime_s:
            platform.store.set_faults(down="503")
        nodes = [Relay(platform, seed, f"n{seed}") for seed in range(27)]
        for node in nodes:
            platform.tasks.start_soon(node.run)
            node.task.set_active(True)
        await anyio.sleep(uptime_s)
        platform.store.set_faults(down="503")
        await anyio.sleep(OUTAGE_S)
        platform.store.set_faults()
        peak = 0
        for _ in range(40):
            before = platform.store.reads + platform.store.writes
            await anyio.sleep(0.25)
            after = platform.store.reads + platform.store.writes
            peak = max(peak, after - before)
        assert peak <= 20
        await anyio.sleep(client.RECONNECT_JITTER_MS / 1000)
        assert len((await nodes[0].store.range(RELAYS)).unwrap().pairs) == 27
