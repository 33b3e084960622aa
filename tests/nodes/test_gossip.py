"""Filtering of received datagrams, and gossip between nodes on loopback."""

import random

import anyio
import msgspec
import pytest

from clementinekeel.membership import membership
from clementinekeel.membership import messages as gossip_types
from clementinekeel.membership import records
from clementinekeel.nodes import _datagram_filter
from clementinekeel.nodes import codec
from clementinekeel.nodes import gossip
from clementinekeel.nodes import messages

KEY = b"k" * 32
NOW_MS = 5_000


def make_record(name, incarnation=1, address="127.0.0.1:9"):
    return records.MemberRecord(
        name,
        incarnation,
        1,
        "z",
        "r",
        address,
        records.MemberState.JOINING,
        "s",
        name,
        0,
    )


def make_datagram(
    payload=None, sequence=1, key=KEY, name="peer", session=0, body=b""
):
    sender = codec.Codec(codec.Keyring([key]), name, 1)
    if payload is None:
        payload = gossip_types.Join(make_record(name))
    frames = sender.encode(payload, body, session, sequence, 0)
    return msgspec.msgpack.encode(frames)


def make_filter():
    counters = _datagram_filter.TrafficCounters()
    own_codec = codec.Codec(codec.Keyring([KEY]), "own", 1)
    own_id = records.MemberId("own", 1)
    return _datagram_filter.DatagramFilter(
        own_codec, own_id, counters
    ), counters


def test_valid_datagram_is_accepted_once():
    """A replayed datagram must not be accepted as a new one."""
    datagram_filter, counters = make_filter()
    data = make_datagram()
    payload = datagram_filter.accept(data, "x:1", NOW_MS)
    assert payload == gossip_types.Join(make_record("peer"))
    assert datagram_filter.accept(data, "x:1", NOW_MS) is None
    assert counters.dropped == {"replay": 1}
    assert (counters.messages_in, counters.bytes_in) == (2, 2 * len(data))


def test_older_sequence_is_dropped():
    """A delayed datagram must not overwrite the state from a later one."""
    datagram_filter, counters = make_filter()
    assert datagram_filter.accept(make_datagram(sequence=5), "x:1", NOW_MS)
    assert not datagram_filter.accept(make_datagram(sequence=4), "x:1", NOW_MS)
    assert counters.dropped == {"replay": 1}


@pytest.mark.parametrize(
    ("data", "step"),
    [
        pytest.param(b"", "decode", id="empty"),
        pytest.param(b"\xc1" * 40, "decode", id="not MessagePack"),
        pytest.param(make_datagram()[:-3], "decode", id="truncated"),
        pytest.param(
            msgspec.msgpack.encode([b""] * 3), "decode", id="three frames"
        ),
        pytest.param(make_datagram() + b"x" * 1_200, "size", id="oversized"),
        pytest.param(
            make_datagram(key=b"f" * 32), "authenticate", id="forged"
        ),
        pytest.param(make_datagram(name="own"), "own", id="own message"),
        pytest.param(
            make_datagram(messages.Ping()), "kind", id="kind of a session"
        ),
        pytest.param(make_datagram(session=3), "decode", id="session"),
        pytest.param(make_datagram(body=b"b"), "decode", id="body"),
        pytest.param(
            make_datagram(gossip_types.Join(make_record("other"))),
            "sender",
            id="record of another member",
        ),
    ],
)
def test_bad_datagram_is_dropped_and_counted(data, step):
    datagram_filter, counters = make_filter()
    assert datagram_filter.accept(data, "x:1", NOW_MS) is None
    assert counters.dropped == {step: 1}


def test_flood_from_one_address_is_limited():
    """One address must not exhaust the node or use up the limit of another."""
    datagram_filter, counters = make_filter()
    for sequence in range(1, 2 * _datagram_filter.BURST_MESSAGES):
        datagram_filter.accept(make_datagram(sequence=sequence), "x:1", NOW_MS)
    assert counters.dropped["rate"] == _datagram_filter.BURST_MESSAGES - 1
    other = make_datagram(name="other", sequence=1)
    assert datagram_filter.accept(other, "y:1", NOW_MS)
    later = make_datagram(sequence=10_000)
    assert datagram_filter.accept(later, "x:1", NOW_MS + 1_000)


def test_drops_are_logged_once_per_peer_and_interval(monkeypatch):
    """A peer that sends invalid datagrams must not fill the log."""
    logged = []
    monkeypatch.setattr(
        _datagram_filter.log,
        "event",
        lambda name, **fields: logged.append(fields),
    )
    datagram_filter, _ = make_filter()
    for address in ("x:1", "x:1", "y:1"):
        datagram_filter.accept(b"", address, NOW_MS)
    assert [fields["peer"] for fields in logged] == ["x:1", "y:1"]
    datagram_filter.accept(
        b"", "x:1", NOW_MS + _datagram_filter.LOG_INTERVAL_MS
    )
    assert len(logged) == 3


def test_state_for_unknown_addresses_is_bounded(monkeypatch):
    monkeypatch.setattr(_datagram_filter, "MAX_ADDRESSES", 10)
    monkeypatch.setattr(_datagram_filter, "MAX_SENDERS", 10)
    datagram_filter, _ = make_filter()
    for number in range(100):
        datagram_filter.accept(b"", f"x:{number}", NOW_MS)
        data = make_datagram(name=f"n{number}")
        datagram_filter.accept(data, f"y:{number}", NOW_MS)
    assert len(datagram_filter._rate_limiters) == 10
    assert len(datagram_filter._sequences) == 10
    assert len(datagram_filter._logged_ms) == 10


async def start_node(tasks, name, seeds, changes):
    socket = await gossip.bind("127.0.0.1:0")
    own = make_record(name, 1, gossip.address_of(socket))
    now_ms = gossip.clock.now_ms()
    members = membership.Membership(own, seeds, random.Random(1), now_ms)
    node_codec = codec.Codec(codec.Keyring([KEY]), name, 1)
    node = gossip.Gossip(socket, members, node_codec, changes.append)
    tasks.start_soon(node.run)
    return node


@pytest.mark.anyio
async def test_nodes_find_each_other_over_udp_and_one_leaves():
    """Sockets, codec and membership must work together."""
    changes = []
    async with anyio.create_task_group() as tasks:
        first = await start_node(tasks, "a", [], [])
        seeds = [first.membership.own.address]
        second = await start_node(tasks, "b", seeds, changes)
        for node in (first, second):
            node.update_own(state=records.MemberState.READY)
        await anyio.sleep(20)
        for node in (first, second):
            endpoints = node.membership.endpoints("s")
            assert sorted(c.node_id for c in endpoints) == ["a", "b"]
            assert not node.counters.dropped
            assert 20 < node.counters.messages_in < 300
        first.leave()
        await anyio.sleep(3)
        remaining = second.membership.endpoints("s")
        assert [c.node_id for c in remaining] == ["b"]
        assert {r.node_id for e in changes for r in e.joined} == {"a"}
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_record_with_a_wrong_address_does_not_end_the_task():
    async with anyio.create_task_group() as tasks:
        node = await start_node(tasks, "a", ["no port", "256.0.0.1:x"], [])
        await anyio.sleep(20)
        assert node.counters.dropped["send"] > 0
        tasks.cancel_scope.cancel()
