"""Errors that the client reports for faults of the store."""

import contextlib

import anyio
import pytest
from returns import result

from clementinekeel.store import client
from clementinekeel.store import errors
from clementinekeel.store import messages
from standins import store as standin
from tests.store import harness

pytestmark = pytest.mark.anyio

KEY = messages.Range("a")
PUT = messages.Put("a", b"1")
SLOW_MS = 10_000


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize(
    ("faults", "write_error", "is_written"),
    [
        pytest.param({"down": "503"}, errors.Undetermined, False, id="503"),
        pytest.param(
            {"down": "closed"}, errors.Undetermined, False, id="closed"
        ),
        pytest.param(
            {"delay_ms": SLOW_MS}, errors.Undetermined, True, id="slow"
        ),
        pytest.param(
            {"lose_answers": 1}, errors.Undetermined, True, id="answer lost"
        ),
        pytest.param(
            {"lose_share": 1.0}, errors.Undetermined, True, id="all lost"
        ),
        pytest.param(
            {"hold_writes": 1}, errors.Undetermined, True, id="write delayed"
        ),
    ],
)
@pytest.mark.parametrize("path", ["/v3/kv/put", "/v3/kv/txn"])
async def test_write_is_sent_once(
    faults, write_error, is_written, times, path
):
    """A write that the client retries could take effect twice."""
    async with harness.open_client() as (platform, store):
        for attempt in range(1, times + 1):
            platform.store.set_faults(**faults)
            is_txn = path.endswith("txn")
            answer = await (store.txn([], [PUT]) if is_txn else store.put(PUT))
            assert type(answer.failure()) is write_error
            assert answer.failure().step == path
            assert answer.failure().peer == "store"
            assert store.calls == attempt
        await anyio.sleep(SLOW_MS / 1000)
        platform.store.set_faults()
        platform.store.release()
        pairs = (await store.range(KEY)).unwrap().pairs
        assert [p.version for p in pairs] == [times] * is_written


@pytest.mark.parametrize(
    "faults",
    [{"down": "503"}, {"down": "closed"}, {"delay_ms": SLOW_MS}],
    ids=["503", "closed", "slow"],
)
async def test_read_is_retried_a_bounded_number_of_times(faults):
    """Unlimited retries by 27 relays would keep a slow store overloaded."""
    async with harness.open_client() as (platform, store):
        platform.store.set_faults(**faults)
        answer = await store.range(KEY)
        assert isinstance(answer.failure(), errors.Unavailable)
        assert store.calls == client.READ_ATTEMPTS


async def test_other_member_serves_when_connection_is_refused():
    """A write that was not sent may go to another member."""
    async with harness.open_client(urls=("http://a", "http://b")) as (
        platform,
        store,
    ):
        transport = platform.transports[0]
        transport.refuse_next = 1
        assert isinstance(await store.put(PUT), result.Success)
        transport.refuse_next = 2
        answer = await store.put(PUT)
        assert isinstance(answer.failure(), errors.Unavailable)


async def test_rate_limit():
    """Writes beyond the limit are refused; reads wait and succeed."""
    async with harness.open_platform() as platform:
        platform.store = standin.StoreApplication(3, 20)
        async with platform.client() as store:
            answers = [await store.put(PUT) for _ in range(4)]
            assert isinstance(answers[-1].failure(), errors.RateLimited)
            assert all(isinstance(a, result.Success) for a in answers[:3])
            for _ in range(40):
                (await store.range(KEY)).unwrap()


async def test_oversized_answer_is_cut_off(monkeypatch):
    """An endless answer must not exhaust the node's memory."""
    monkeypatch.setattr(client, "MAX_ANSWER_BYTES", 1_000)
    async with harness.open_client() as (_, store):
        (await store.put(messages.Put("a", bytes(2_000)))).unwrap()
        answer = await store.range(KEY)
        assert isinstance(answer.failure(), errors.AnswerTooLarge)


async def follow(store, start, count):
    found = []
    watch = store.watch("a", start)
    async with contextlib.aclosing(watch) as batches:
        async for batch in batches:
            if isinstance(batch, messages.FullReadNeeded):
                return [*found, batch.reason]
            found += [event.pair.value for event in batch.events]
            if len(found) >= count:
                return found


def break_watch(platform):
    platform.store.set_faults(watches_broken=True)


def stop_store(platform):
    platform.store.set_faults(down="503")


def compact(platform):
    platform.store.compact()


def restore(platform):
    platform.store.restore()


@pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])
@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        pytest.param(break_watch, [b"1", b"2", b"3"], id="watch broken"),
        pytest.param(stop_store, [b"1", b"2", b"3"], id="store down"),
        pytest.param(compact, [b"1", "compacted"], id="gap in revisions"),
        pytest.param(restore, [b"1", "revision_reverted"], id="restored"),
    ],
)
async def test_watch(fault, expected, times):
    """Changes during a fault are delivered, or a gap is reported."""
    async with harness.open_platform() as platform:
        writer = platform.client()
        reader = platform.client()
        found = []
        async with writer, reader, anyio.create_task_group() as tasks:
            tasks.cancel_scope.deadline = anyio.current_time() + 300

            async def watch():
                found.extend(await follow(reader, 2, 3))

            platform.store.save()
            tasks.start_soon(watch)
            await writer.put(messages.Put("a", b"1"))
            await anyio.sleep(1)
            platform.store.set_faults(watches_broken=True)
            await writer.put(messages.Put("a", b"2"))
            await writer.put(messages.Put("other", b"2"))
            for _ in range(times):
                fault(platform)
                await anyio.sleep(30)
            platform.store.set_faults()
            await anyio.sleep(30)
            await writer.put(messages.Put("a", b"3"))
        assert found == expected
