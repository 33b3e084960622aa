"""Drains in the audit trail, under faults of the store."""

import anyio
import pytest
from returns import result

from clementinekeel.store import changes
from clementinekeel.store import errors
from clementinekeel.store import messages
from tests.store import harness
from tests.store import test_changes

pytestmark = pytest.mark.anyio


def make_drain(drain_id, endpoint="bookings-1", reason="why"):
    action = changes.DrainAction.DRAIN
    return changes.Drain(drain_id, action, endpoint, "ana", "host", reason)


async def record(store, drain_id):
    recorded = await changes.record_drain(store, make_drain(drain_id))
    return recorded.unwrap()


async def entry_ids(store, limit=100):
    entries = (await changes.history(store, limit)).unwrap()
    return [
        entry.drain_id
        if isinstance(entry, changes.DrainEntry)
        else entry.change_id
        for entry in entries
    ]


async def test_history_has_changes_and_drains_in_order():
    """The store defines the order, because the operators' clocks differ."""
    async with harness.open_client() as (_, store):
        await record(store, "d1")
        await test_changes.accept(store, "c1", 0)
        entry = await record(store, "d2")
        assert (entry.number, entry.version) == (2, 1)
        assert (entry.author, entry.origin) == ("ana", "host")
        await test_changes.accept(store, "c2", 1)
        assert await entry_ids(store) == ["c2", "d2", "c1", "d1"]
        assert await entry_ids(store, 2) == ["c2", "d2"]


@pytest.mark.parametrize("times", [1, 2], ids=["once", "run again"])
@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        pytest.param({}, None, id="none"),
        pytest.param({"lose_answers": 1}, None, id="answer lost"),
        pytest.param({"lose_answers": 3}, None, id="three answers lost"),
        pytest.param({"hold_writes": 1}, None, id="write held"),
        pytest.param(
            {"hold_writes": 99}, errors.Undetermined, id="all writes held"
        ),
        pytest.param({"down": "503"}, errors.Unavailable, id="down"),
        pytest.param({"down": "closed"}, errors.Unavailable, id="closed"),
    ],
)
async def test_faults(faults, expected, times):
    """An entry must not be written twice, nor reported without a write."""
    async with harness.open_client() as (platform, store):
        for _ in range(times):
            platform.store.set_faults(**faults)
            answer = await changes.record_drain(store, make_drain("d1"))
        if expected is None:
            assert answer.unwrap().number == 1
        else:
            assert isinstance(answer.failure(), expected)
            if expected is errors.Unavailable:
                assert platform.store.writes == 0
        platform.store.set_faults()
        platform.store.release()
        await record(store, "d1")
        assert await entry_ids(store) == ["d1"]


async def test_concurrent_operators():
    """Concurrent entries must not overwrite one another."""
    async with harness.open_client() as (_, store):
        names = [f"d{n}" for n in range(5)]
        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(record, store, name)
        assert sorted(await entry_ids(store)) == names


async def test_entries_are_bounded(monkeypatch):
    """Drains must neither fill the store nor displace changes."""
    monkeypatch.setattr(changes, "MAX_AUDIT_ENTRIES", 5)
    async with harness.open_client() as (_, store):
        await test_changes.accept(store, "c1", 0)
        for number in range(9):
            await record(store, f"d{number}")
        expected = [f"d{number}" for number in (8, 7, 6, 5, 4)]
        assert await entry_ids(store) == [*expected, "c1"]


async def test_drains_do_not_change_the_configuration():
    """A drain must neither trigger the relays' watch nor change the head."""
    async with harness.open_client() as (_, store):
        await test_changes.accept(store, "c1", 0)
        before = (
            (await changes.load_with_revision(store, None)).unwrap().snapshot
        )
        await record(store, "d1")
        after = (await changes.load_with_revision(store, before)).unwrap()
        assert after.snapshot is None
        audit = messages.prefix_range(changes.AUDIT_PREFIX)
        assert len((await store.range(audit)).unwrap().pairs) == 1


@pytest.mark.parametrize(
    ("change_id", "name"),
    [
        pytest.param("../drains/000000000001", "service/a", id="change id"),
        pytest.param("c1", "../../drains/000000000001", id="object name"),
        pytest.param("000000000001", "drains/x", id="kind of object"),
    ],
)
async def test_change_cannot_write_drains(change_id, name):
    """An author of changes must not be able to forge drain entries."""
    async with harness.open_client() as (_, store):
        change = test_changes.make_change(change_id, 0, {name: b"{}"})
        answer = await changes.apply(store, change)
        if isinstance(answer, result.Success):
            assert name == "drains/x"
        drains = messages.prefix_range(changes.DRAIN_PREFIX)
        assert not (await store.range(drains)).unwrap().pairs


async def test_oversized_reason_is_rejected():
    async with harness.open_client() as (platform, store):
        drain = make_drain("d1", reason="x" * 20_000)
        answer = await changes.record_drain(store, drain)
        assert type(answer.failure()) is errors.Rejected
        assert platform.store.writes == 0
