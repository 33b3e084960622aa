"""Changes to the configuration under faults of the store."""

import random

import anyio
import pytest
from returns import result

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.store import changes
from clementinekeel.store import errors
from clementinekeel.store import messages
from tests.store import harness

pytestmark = pytest.mark.anyio

Accepted = changes.Accepted


def make_change(change_id, base=0, objects=None, author="ana"):
    objects = {"service/a": b'"1"'} if objects is None else objects
    return changes.Change(
        change_id, author, "host", "why", base, objects, ("a: 0 -> 1",)
    )


async def accept(store, change_id, base, objects=None):
    change = make_change(change_id, base, objects)
    accepted = (await changes.apply(store, change)).unwrap()
    assert accepted == Accepted(base + 1, change_id)


async def load(store, known=None):
    return (await changes.load(store, known)).unwrap()


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        pytest.param({}, Accepted, id="none"),
        pytest.param({"lose_answers": 1}, Accepted, id="answer lost"),
        pytest.param({"lose_answers": 2}, Accepted, id="two answers lost"),
        pytest.param(
            {"spare_writes": 1, "lose_answers": 1},
            Accepted,
            id="answer of the head lost",
        ),
        pytest.param(
            {"spare_writes": 1, "hold_writes": 1},
            errors.Undetermined,
            id="head held",
        ),
        pytest.param({"lose_share": 1.0}, errors.Undetermined, id="all lost"),
        pytest.param({"delay_ms": 500}, Accepted, id="delayed"),
        pytest.param({"delay_ms": 9_000}, errors.Undetermined, id="slow"),
        pytest.param({"down": "503"}, errors.Undetermined, id="down"),
        pytest.param({"down": "closed"}, errors.Undetermined, id="closed"),
        pytest.param({"hold_writes": 1}, Accepted, id="write held"),
        pytest.param({"hold_writes": 4}, errors.Undetermined, id="all held"),
    ],
)
async def test_faults(faults, expected, times):
    """A change that is run again must not be accepted twice."""
    async with harness.open_client() as (platform, store):
        await accept(store, "zero", 0)
        change = make_change("one", 1, {"service/a": b'"2"'})
        for _ in range(times):
            platform.store.set_faults(**faults)
            answer = await changes.apply(store, change)
            if isinstance(answer, result.Success):
                assert answer.unwrap() == Accepted(2, "one")
            else:
                assert isinstance(answer.failure(), expected)
        assert isinstance(answer, result.Success) == (expected is Accepted)
        platform.store.set_faults()
        platform.store.release()
        await anyio.sleep(60)
        again = await changes.apply(store, change)
        assert again.unwrap() == Accepted(2, "one")
        outcome = await changes.read_outcome(store, "one")
        assert outcome.unwrap() == Accepted(2, "one")
        history = (await changes.history(store, 10)).unwrap()
        assert [e.change_id for e in history] == ["one", "zero"]
        assert (await load(store)).objects == change.objects


async def test_rate_limited_change_is_undetermined():
    """An earlier run may be accepted later, although this run is refused."""
    async with harness.open_client() as (platform, store):
        platform.store._writes.rate_per_s = 0
        platform.store._writes._left = 0
        answer = await changes.apply(store, make_change("one"))
        assert type(answer.failure()) is errors.Undetermined


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize("count", [2, 3], ids=["two", "three"])
@pytest.mark.parametrize("lost", [0.0, 0.5], ids=["sound", "answers lost"])
async def test_concurrent_operators(count, times, lost):
    """One change is accepted per version; the others name its author."""
    async with harness.open_client() as (platform, store):
        platform.store.set_faults(lose_share=lost)
        for base in range(times):
            answers = {}

            async def operate(name, base=base, answers=answers):
                seed = random.Random(name).randrange(99)
                async with platform.client(seed) as operator_client:
                    change = make_change(
                        f"{name}-{base}", base, {"service/a": b"1"}, name
                    )
                    while True:
                        answer = await changes.apply(operator_client, change)
                        failure = answer.failure if answer else None
                        is_done = isinstance(answer, result.Success)
                        if is_done or isinstance(failure(), changes.Conflict):
                            break
                    answers[name] = answer

            async with anyio.create_task_group() as tasks:
                for name in ("ana", "ben", "cleo")[:count]:
                    tasks.start_soon(operate, name)
            accepted_authors = [
                n for n, a in answers.items() if isinstance(a, result.Success)
            ]
            assert len(accepted_authors) == 1
            for name, answer in answers.items():
                if name != accepted_authors[0]:
                    conflict = answer.failure()
                    assert conflict.head_version == base + 1
                    assert [
                        w.author for w in conflict.accepted_entries
                    ] == accepted_authors
                    assert conflict.accepted_entries[0].difference == (
                        "a: 0 -> 1",
                    )
        assert (await load(store)).version == times


async def test_conflict_settles_as_not_accepted():
    """A delayed transaction must fail if the head was replaced meanwhile."""
    async with harness.open_client() as (platform, store):
        platform.store.set_faults()
        outcome = (await changes.read_outcome(store, "late")).unwrap()
        assert outcome == changes.Undecided("late")
        losing = make_change("late")
        send_txn = store.txn
        sent = []

        async def txn(compares, success, failure=()):
            if any(c.key == changes.HEAD_KEY for c in compares):
                sent.append((compares, success, failure))
                lost = errors.Undetermined("txn", "store", "lost")
                return result.Failure(lost)
            return await send_txn(compares, success, failure)

        store.txn = txn
        answer = await changes.apply(store, losing)
        assert isinstance(answer.failure(), errors.Undetermined)
        outcome = (await changes.read_outcome(store, "late")).unwrap()
        assert outcome == changes.Undecided("late")
        store.txn = send_txn
        await accept(store, "winner", 0)
        outcome = (await changes.read_outcome(store, "late")).unwrap()
        assert outcome == changes.NotAccepted("late", 1)
        assert not (await send_txn(*sent[0])).unwrap().succeeded
        history = (await changes.history(store, 10)).unwrap()
        assert [e.change_id for e in history] == ["winner"]


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(make_change("a/b"), id="change id"),
        pytest.param(make_change("c", 0, {"a": b"1"}), id="object name"),
        pytest.param(
            make_change("c", 0, {"service/a": bytes(1_000_001)}), id="size"
        ),
        pytest.param(
            make_change(
                "c", 0, {f"service/{'x' * 90}{i}": b"1" for i in range(9_000)}
            ),
            id="size of the head",
        ),
        pytest.param(make_change("c", 7), id="base version of a lost store"),
    ],
)
async def test_rejected(change):
    async with harness.open_client() as (platform, store):
        answer = await changes.apply(store, change)
        assert isinstance(answer.failure(), errors.Rejected)
        assert platform.store.writes == 0


async def test_reused_change_id_is_rejected():
    """Other content under the same id would replace accepted objects."""
    async with harness.open_client() as (_, store):
        await accept(store, "one", 0)
        other = make_change("one", 0, {"service/a": b'"other"'})
        answer = await changes.apply(store, other)
        assert isinstance(answer.failure(), errors.Rejected)
        assert (await load(store)).objects == {"service/a": b'"1"'}


async def test_load_reads_only_changed_objects():
    """A change of one service must not reload all 2,700 services."""
    async with harness.open_client() as (platform, store):
        objects = {f"service/{i}": b"%d" % i for i in range(250)}
        await accept(store, "one", 0, objects)
        store.calls = 0
        first = await load(store)
        assert first == (1, "one", objects)
        assert store.calls == 4
        objects = {**objects, "service/7": b"x", "zone/z": b"z"}
        del objects["service/8"]
        await accept(store, "two", 1, objects)
        store.calls = 0
        platform.store.bytes_out = 0
        assert await load(store, first) == (2, "two", objects)
        assert store.calls == 2
        assert platform.store.bytes_out < 2_000
        assert await load(store, snapshots.Snapshot(2, "two", objects)) is None


async def test_load_from_far_behind():
    """A reader that is too far behind for the audit entries reads the head."""
    async with harness.open_client() as (platform, store):
        large = {f"service/{i}": bytes(100_000) for i in range(5)}
        await accept(store, "c1", 0, large)
        first = await load(store)
        for base in range(1, 230):
            objects = {"service/a": b"%d" % base, f"zone/{base % 3}": b"1"}
            await accept(store, f"c{base + 1}", base, large | objects)
        platform.store.bytes_out = 0
        latest = await load(store, first)
        assert platform.store.bytes_out < 100_000
        assert latest == await load(store)


async def test_concurrent_runs_of_one_change():
    """Concurrent runs of a change must not report each other as conflict."""
    async with harness.open_client() as (_, store):
        answers = []

        async def operate():
            answers.append(await changes.apply(store, make_change("one")))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(operate)
        assert [a.unwrap() for a in answers] == [Accepted(1, "one")] * 3


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize("later", [0, 1, 2], ids=["behind", "level", "ahead"])
async def test_store_restored_from_an_old_copy(later, times):
    """A restored head must not replace a newer version in force."""
    async with harness.open_client() as (platform, store):
        await accept(store, "one", 0)
        platform.store.save()
        await accept(store, "two", 1, {"service/a": b"2"})
        known = await load(store)
        for attempt in range(times):
            platform.store.restore()
            for step in range(later):
                name = f"other-{attempt}-{step}"
                await accept(store, name, 1 + step, {"service/b": b"3"})
            answer = await changes.load(store, known)
            if later == 2:
                assert answer.unwrap().version == 3
                assert answer.unwrap().objects == {"service/b": b"3"}
                continue
            error = answer.failure()
            assert isinstance(error, changes.Reverted)
            assert (error.known_version, error.head_version) == (2, 1 + later)


async def test_history_is_bounded(monkeypatch):
    """Entries beyond the bound are deleted with their change records."""
    monkeypatch.setattr(changes, "MAX_AUDIT_ENTRIES", 5)
    async with harness.open_client() as (_, store):
        for base in range(9):
            await accept(store, f"c{base}", base)
            history = (await changes.history(store, 100)).unwrap()
            assert len(history) == min(5, base + 1)
        assert history[0].version == 9
        records = messages.prefix_range(changes.CHANGE_PREFIX)
        assert len((await store.range(records)).unwrap().pairs) == 5


async def test_history_in_pages(monkeypatch):
    monkeypatch.setattr(changes, "HISTORY_PAGE", 2)
    async with harness.open_client() as (_, store):
        for base in range(5):
            await accept(store, f"c{base}", base)
        history = (await changes.history(store, 4)).unwrap()
        assert [e.version for e in history] == [5, 4, 3, 2]


async def test_prune_keeps_what_recent_versions_refer_to(monkeypatch):
    """Readers up to 100 versions behind need objects replaced since then."""
    monkeypatch.setattr(changes, "KEPT_VERSIONS", 3)
    async with harness.open_client() as (_, store):
        started = changes.STARTED_PREFIX + "lost"
        await store.put(messages.Put(started, b'{"base_version":0}'))
        orphan = changes.object_key("service/a", "lost")
        await store.put(messages.Put(orphan, b"1"))
        for base in range(9):
            objects = {"service/a": b"%d" % base, "service/b": b"same"}
            await accept(store, f"c{base + 1}", base, objects)
        (await changes.prune(store)).unwrap()
        found = messages.prefix_range(changes.OBJECT_PREFIX)
        keys = [p.key for p in (await store.range(found)).unwrap().pairs]
        kept = [f"service/a/c{v}" for v in (6, 7, 8, 9)]
        kept = [changes.OBJECT_PREFIX + k for k in [*kept, "service/b/c1"]]
        assert keys == kept
        found = messages.prefix_range(changes.STARTED_PREFIX)
        assert not (await store.range(found)).unwrap().pairs
