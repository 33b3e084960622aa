"""Contract of the key-value interface, for the stand-in and for services.

``pytest tests/store/test_contract.py --store-url URL`` runs the same tests
against a service; the tests remove the keys that they write.
"""

import contextlib
import random
import uuid

import anyio
import pytest
from returns import result

from clementinekeel.store import client
from clementinekeel.store import errors
from clementinekeel.store import messages
from tests.store import harness

Compare = messages.Compare
DeleteRange = messages.DeleteRange
Operator = messages.Operator
Put = messages.Put
Range = messages.Range
Target = messages.Target

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(request, anyio_backend):
    # The simulated clock skips waiting times, so that all timeouts would
    # expire at once on a real network.
    if request.config.getoption("--store-url", None):
        return "asyncio", {}
    return anyio_backend


@pytest.fixture
def store_url(request):
    return request.config.getoption("--store-url", None)


@contextlib.asynccontextmanager
async def open_store(url):
    """Return a client and a prefix that no other test uses."""
    prefix = f"contract/{uuid.uuid4()}/"
    async with contextlib.AsyncExitStack() as stack:
        if url:
            store = client.StoreClient([url], random.Random(0))
        else:
            open_platform = harness.open_platform()
            platform = await stack.enter_async_context(open_platform)
            store = platform.client()
        await stack.enter_async_context(store)
        yield store, prefix
        all_keys = DeleteRange(prefix, messages.prefix_end(prefix))
        (await store.delete_range(all_keys)).unwrap()


async def put(store, key, value=b"1", lease=0):
    return (await store.put(Put(key, value, lease))).unwrap().revision


async def read(store, operation):
    return (await store.range(operation)).unwrap()


async def check_absent_key(store, prefix):
    answer = await read(store, Range(prefix + "a"))
    assert answer.pairs == () and not answer.has_more


async def check_revisions(store, prefix):
    first = await put(store, prefix + "a", b"1")
    second = await put(store, prefix + "a", b"\x00\xff")
    assert second > first
    answer = await read(store, Range(prefix + "a"))
    expected = (prefix + "a", b"\x00\xff", first, second, 2, 0)
    assert answer.pairs == (expected,)
    assert answer.revision >= second


async def check_recreated_key(store, prefix):
    await put(store, prefix + "a")
    deleted = (await store.delete_range(DeleteRange(prefix + "a"))).unwrap()
    assert deleted.deleted == 1
    created = await put(store, prefix + "a")
    pair = (await read(store, Range(prefix + "a"))).pairs[0]
    assert (pair.create_revision, pair.version) == (created, 1)


async def check_prefix(store, prefix):
    for name in ("b", "a/2", "a/1", "a"):
        await put(store, prefix + name)
    answer = await read(store, messages.prefix_range(prefix + "a/"))
    assert [p.key for p in answer.pairs] == [prefix + "a/1", prefix + "a/2"]


async def check_limit_and_order(store, prefix):
    for name in "abc":
        await put(store, prefix + name, name.encode())
    end = messages.prefix_end(prefix)
    answer = await read(store, Range(prefix, end, 2, keys_only=True))
    assert [(p.key[-1], p.value) for p in answer.pairs] == [
        ("a", b""),
        ("b", b""),
    ]
    assert answer.has_more
    answer = await read(store, Range(prefix, end, 2, is_descending=True))
    assert [p.value for p in answer.pairs] == [b"c", b"b"]


async def check_empty_delete(store, prefix):
    answer = (await store.delete_range(DeleteRange(prefix + "a"))).unwrap()
    assert answer.deleted == 0


async def check_txn_reads_both_branches(store, prefix):
    key = prefix + "a"
    absent = Compare(key, Target.CREATE_REVISION, 0)
    for expected in (True, False):
        answer = (
            await store.txn([absent], [Put(key, b"1")], [Range(key)])
        ).unwrap()
        assert answer.succeeded is expected
    assert answer.pairs(0)[0].value == b"1"


async def check_txn_is_one_revision(store, prefix):
    steps = [Put(prefix + "a", b"1"), Put(prefix + "b", b"2")]
    answer = (await store.txn([], steps)).unwrap()
    pairs = (await read(store, messages.prefix_range(prefix))).pairs
    assert {p.mod_revision for p in pairs} == {answer.revision}


async def check_txn_with_duplicate_key(store, prefix):
    steps = [Put(prefix + "a", b"1"), Put(prefix + "a", b"2")]
    answer = await store.txn([], steps)
    assert isinstance(answer.failure(), errors.Rejected)
    await check_absent_key(store, prefix)


async def check_txn_with_lost_lease(store, prefix):
    steps = [Put(prefix + "a", b"1"), Put(prefix + "b", b"2", 4_711)]
    answer = await store.txn([], steps)
    assert isinstance(answer.failure(), errors.Rejected)
    await check_absent_key(store, prefix)


async def check_lease_lapses(store, prefix):
    lease = (await store.grant(2)).unwrap()
    await put(store, prefix + "a", lease=lease.lease_id)
    await anyio.sleep(5)
    await check_absent_key(store, prefix)
    renewed = (await store.keep_alive(lease.lease_id)).unwrap()
    assert renewed.ttl_s <= 0


async def check_lease_is_renewed(store, prefix):
    lease = (await store.grant(4)).unwrap()
    await put(store, prefix + "a", lease=lease.lease_id)
    for _ in range(3):
        await anyio.sleep(2)
        renewed = (await store.keep_alive(lease.lease_id)).unwrap()
        assert renewed.ttl_s == 4
    assert (await read(store, Range(prefix + "a"))).pairs


async def check_lease_is_revoked(store, prefix):
    lease = (await store.grant(60)).unwrap()
    await put(store, prefix + "a", lease=lease.lease_id)
    assert isinstance(await store.revoke(lease.lease_id), result.Success)
    await check_absent_key(store, prefix)
    answer = await store.revoke(lease.lease_id)
    assert isinstance(answer.failure(), errors.Rejected)


async def check_put_takes_key_off_lease(store, prefix):
    lease = (await store.grant(60)).unwrap()
    await put(store, prefix + "a", lease=lease.lease_id)
    await put(store, prefix + "a")
    (await store.revoke(lease.lease_id)).unwrap()
    assert (await read(store, Range(prefix + "a"))).pairs


async def check_watch_from_revision(store, prefix):
    await put(store, prefix + "a", b"0")
    first = await put(store, prefix + "a", b"1")
    await put(store, prefix + "b", b"2")
    (await store.delete_range(DeleteRange(prefix + "a"))).unwrap()
    found = []
    watch = store.watch(prefix, first)
    async with contextlib.aclosing(watch) as batches:
        async for batch in batches:
            found += [(e.is_delete, e.pair.value) for e in batch.events]
            if len(found) == 3:
                break
    assert found == [(False, b"1"), (False, b"2"), (True, b"")]


async def check_large_value(store, prefix):
    value = bytes(1_000_000)
    await put(store, prefix + "a", value)
    assert (await read(store, Range(prefix + "a"))).pairs[0].value == value
    answer = await store.put(Put(prefix + "a", bytes(2_000_000)))
    assert isinstance(answer.failure(), errors.Rejected)


@pytest.mark.parametrize(
    "check",
    [
        pytest.param(value, id=name.removeprefix("check_"))
        for name, value in sorted(globals().items())
        if name.startswith("check_")
    ],
)
async def test_contract(check, store_url):
    with anyio.fail_after(60):
        async with open_store(store_url) as (store, prefix):
            await check(store, prefix)


@pytest.mark.parametrize("target", list(Target), ids=str)
@pytest.mark.parametrize(
    ("operator", "expected"),
    [
        (Operator.EQUAL, (False, True, False)),
        (Operator.NOT_EQUAL, (True, False, True)),
        (Operator.GREATER, (True, False, False)),
        (Operator.LESS, (False, False, True)),
    ],
    ids=str,
)
async def test_compare(target, operator, expected, store_url):
    """A faulty comparison would let an older head replace a newer one."""
    async with open_store(store_url) as (store, prefix):
        key = prefix + "a"
        await put(store, key, b"1")
        await put(store, key, b"2")
        pair = (await read(store, Range(key))).pairs[0]
        operands = {
            Target.VERSION: (1, 2, 3),
            Target.VALUE: (b"1", b"2", b"3"),
            Target.CREATE_REVISION: tuple(
                pair.create_revision + step for step in (-1, 0, 1)
            ),
            Target.MOD_REVISION: tuple(
                pair.mod_revision + step for step in (-1, 0, 1)
            ),
        }[target]
        held = [
            (await store.txn([Compare(key, target, o, operator)], []))
            .unwrap()
            .succeeded
            for o in operands
        ]
        assert tuple(held) == expected
