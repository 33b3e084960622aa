"""A node's entry in the store and the list of nodes, with store faults."""

import asyncio

import pytest

from clementinekeel.admission import quarantine
from clementinekeel.membership import statements
from clementinekeel.sidecar import entry as entry_module
from clementinekeel.sidecar import registration
from clementinekeel.store import metadata
from tests import memory_loop
from tests.sidecar import harness
from tests.sidecar import odd_content

K = metadata.FailureKind
ENTRY = {"host": "n2", "port": 5, "zone": "z1", "region": "r1"}


class MemoryStore:
    """Store with leases and watches; ``failure`` is raised by each call."""

    def __init__(self):
        self.items = {}
        self.leases = set()
        self.history = []
        self.revision = 10
        self.failure = None
        self.writes = 0
        self.last_lease = 0
        self.epoch = 1
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy to which the store can return."""
        return (
            dict(self.items),
            set(self.leases),
            list(self.history),
            self.revision,
            self.last_lease,
        )

    def restore(self, copied):
        """Return from a copy; watches are cut and get the next history."""
        items, leases, history, self.revision, self.last_lease = copied
        self.items, self.leases = dict(items), set(leases)
        self.history = list(history)
        self.epoch += 1
        self.failure = None

    def fail(self, kind):
        """Fail all calls, the waiting watches included."""
        self.failure = kind
        self.changed.set()
        self.changed = asyncio.Event()

    def _check(self, step, epoch=None):
        if self.failure is not None:
            raise metadata.MetadataError(step, "test", self.failure)
        if epoch not in (None, self.epoch):
            raise metadata.MetadataError(step, "history", K.COMPACTED)

    def put(self, key, value, lease=0):
        self.revision += 1
        item = metadata.Item(key, value, self.revision, lease)
        self.items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._record(metadata.Removed(key, self.revision))

    def end_lease(self, lease):
        self.leases.discard(lease)
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def read(self, key):
        self._check("read")
        found = [self.items[key]] if key in self.items else []
        return metadata.Snapshot(found, self.revision, self.epoch)

    async def read_all(self, prefix):
        self._check("read all")
        found = [i for k, i in self.items.items() if k.startswith(prefix)]
        return metadata.Snapshot(found, self.revision, self.epoch)

    async def watch(self, prefix, after, epoch):
        while True:
            self._check("watch", epoch)
            if after > self.revision:
                raise metadata.MetadataError("watch", "410", K.COMPACTED)
            events = [
                e
                for e in self.history
                if e.revision > after and e.key.startswith(prefix)
            ]
            if events:
                return metadata.Changes(events, self.revision, self.epoch)
            await self.changed.wait()

    async def grant(self, ttl_ms, epoch):
        self._check("grant", epoch)
        self.last_lease += 1
        self.leases.add(self.last_lease)
        return self.last_lease

    async def renew(self, lease, epoch):
        self._check("renew", epoch)
        if lease not in self.leases:
            raise metadata.MetadataError("renew", "404", K.NO_LEASE)

    async def write(self, key, value, lease, expected_revision, epoch):
        self._check("write", epoch)
        held = self.items.get(key)
        if (held.revision if held else 0) != expected_revision:
            raise metadata.MetadataError("write", "412", K.CONFLICT)
        self.writes += 1
        return self.put(key, value, lease)


def entry(name):
    return entry_module.encode_entry(entry_module.Entry(name, 5, "z1", "r1"))


def register(member, store, on_earlier=lambda entry: None):
    return registration.Registration(
        member.settings,
        store,
        member.peers,
        member.log,
        lambda: member.inbound_proxy.latest_heartbeat,
        member.inbound_proxy.has_left,
        lambda service: "/health",
        on_earlier,
    )


def run_registered(function):
    async def main():
        member = harness.Member("n1")
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1"))
        store = MemoryStore()
        own_registration = register(member, store)
        tasks = [
            asyncio.ensure_future(own_registration.maintain()),
            asyncio.ensure_future(own_registration.follow()),
        ]
        await harness.settle(1)
        await function(store, own_registration, member)
        for task in tasks:
            task.cancel()

    memory_loop.run(main)


def test_node_writes_its_entry_and_reads_those_of_others():
    async def scenario(store, own_registration, member):
        assert list(store.items) == ["nodes/n1"]
        store.put("nodes/n2", entry("n2"))
        await harness.settle(1)
        assert {p.node for p in member.peers.known} == {"n1", "n2"}

    run_registered(scenario)


@pytest.mark.parametrize("removed", ["lease", "key"])
def test_entry_that_was_removed_is_restored_within_two_seconds(removed):
    """The store removes entries, and only the watch reports this."""

    async def scenario(store, own_registration, member):
        if removed == "lease":
            store.end_lease(own_registration._lease)
        else:
            store.remove("nodes/n1")
        await harness.settle(2)
        assert "nodes/n1" in store.items

    run_registered(scenario)


@pytest.mark.parametrize("kind", [K.REFUSED, K.UNANSWERED, K.MALFORMED])
def test_entry_is_restored_within_two_seconds_after_an_outage(kind):
    async def scenario(store, own_registration, member):
        store.failure = kind
        store.changed.set()
        store.end_lease(own_registration._lease)
        await harness.settle(20)
        assert "nodes/n1" not in store.items
        store.failure = None
        await harness.settle(2)
        assert "nodes/n1" in store.items

    run_registered(scenario)


def test_restarted_node_takes_over_its_earlier_entry():
    """A new write of the entry would end the watches of all nodes."""

    async def scenario(store, own_registration, member):
        earlier_entries = []
        restarted = register(member, store, earlier_entries.append)
        task = asyncio.ensure_future(restarted.maintain())
        await harness.settle(1)
        task.cancel()
        assert restarted.is_listed
        assert store.writes == 1
        assert [entry.endpoint for entry in earlier_entries] == ["e-n1"]

    run_registered(scenario)


def test_restarted_node_refuses_what_its_earlier_process_refused():
    """All nodes of a service may restart at once and forget their counts."""

    async def scenario(store, own_registration, member):
        reports = member.peers.crash_reports
        reports.on_change = own_registration.refresh
        for number in range(3):
            incarnation = statements.Incarnation("e", number)
            reports.on_crash(incarnation, (2**64 - 1, number))
        await harness.settle(1)
        restarted = harness.Member("n1")
        task = asyncio.ensure_future(register(restarted, store).maintain())
        await harness.settle(1)
        task.cancel()
        adopted = restarted.peers.crash_reports
        assert adopted.refusal_s(2**64 - 1) >= quarantine.QUARANTINE_S - 2
        assert not adopted.refusal_s(1)
        writes = store.writes
        reports.on_answer(2**64 - 1)
        await harness.settle(1)
        assert store.writes == writes + 1
        assert (
            entry_module.decode_entry(store.items["nodes/n1"].value).refused
            == []
        )

    run_registered(scenario)


def test_nodes_are_kept_during_an_outage_of_the_store():
    async def scenario(store, own_registration, member):
        other = harness.Member("n2")
        store.put("nodes/n2", entry("n2"))
        await harness.settle(1)
        store.failure = K.UNANSWERED
        store.changed.set()
        await harness.settle(30)
        assert {p.node for p in member.peers.known} == {"n1", "n2"}
        assert other.settings.node == "n2"

    run_registered(scenario)


def test_entries_are_read_in_full_after_the_history_was_compacted():
    async def scenario(store, own_registration, member):
        store.failure = K.COMPACTED
        store.changed.set()
        await harness.settle(0.1)
        store.put("nodes/n2", entry("n2"))
        store.history.clear()
        store.failure = None
        await harness.settle(2)
        assert {p.node for p in member.peers.known} == {"n1", "n2"}

    run_registered(scenario)


def test_entry_follows_the_backend_server():
    """A restarted node uses the backend server that its entry names."""

    async def scenario(store, own_registration, member):
        member.inbound_proxy.on_heartbeat(harness.heartbeat("n1", 2))
        own_registration.refresh()
        await harness.settle(1)
        assert store.writes == 1
        new = harness.heartbeat("n1", endpoint="e-new", incarnation_ms=9)
        member.inbound_proxy.on_heartbeat(new)
        own_registration.refresh()
        await harness.settle(1)
        assert store.writes == 2
        assert b"e-new" in store.items["nodes/n1"].value

    run_registered(scenario)


def test_malformed_entry_is_skipped():
    async def scenario(store, own_registration, member):
        store.put("nodes/n2", b"\xff{")
        store.put("nodes/n3", entry("n3"))
        await harness.settle(1)
        assert {p.node for p in member.peers.known} == {"n1", "n3"}
        assert "entry_malformed" in [name for name, _ in member.log.events]

    run_registered(scenario)


@pytest.mark.parametrize("is_read_in_full", [False, True])
def test_nodes_are_followed_beside_an_entry_that_nests_too_deeply(
    is_read_in_full,
):
    """Such an entry ended the process of each node that read the list."""

    async def scenario(store, own_registration, member):
        if is_read_in_full:
            store.fail(K.COMPACTED)
        odd = odd_content.with_field(ENTRY, "unknown", odd_content.NESTED)
        store.put("nodes/n0", odd)
        store.put("nodes/n2", entry("n2"))
        store.failure = None
        await harness.settle(3)
        store.put("nodes/n3", entry("n3"))
        await harness.settle(2)
        assert {p.node for p in member.peers.known} == {"n1", "n2", "n3"}
        assert "entry_malformed" in [name for name, _ in member.log.events]

    run_registered(scenario)


async def return_from_copy(store, copied, *writes):
    """Let the store be away and return, with writes before any other call."""
    store.fail(K.UNANSWERED)
    await harness.settle(1)
    store.restore(copied)
    for key, value in writes:
        store.put(key, value)


def test_node_is_found_whose_revision_was_given_out_before():
    """The watch goes on from a revision that the new history has by then."""

    async def scenario(store, own_registration, member):
        copied = store.copy()
        store.put("nodes/n2", entry("n2"))
        store.put("nodes/n3", entry("n3"))
        await harness.settle(2)
        await return_from_copy(
            store,
            copied,
            ("nodes/n4", entry("n4")),
            ("nodes/n3", entry("n3")),
        )
        await harness.settle(2)
        assert {p.node for p in member.peers.known} >= {"n1", "n3", "n4"}
        listed = {p.node for p in member.peers.known if p.is_listed}
        assert listed == {"n3", "n4"}

    run_registered(scenario)


def test_entry_that_the_store_lost_is_written_again():
    async def scenario(store, own_registration, member):
        store.end_lease(own_registration._lease)
        copied = store.copy()
        await harness.settle(2.5)
        assert "nodes/n1" in store.items
        await return_from_copy(
            store, copied, *((f"x{i}", b"") for i in range(9))
        )
        await harness.settle(2)
        assert "nodes/n1" in store.items

    run_registered(scenario)


def test_entry_of_the_copy_is_replaced_by_the_present_one():
    """A restarted node would look for a backend server that has left."""

    async def scenario(store, own_registration, member):
        copied = store.copy()
        new = harness.heartbeat("n1", endpoint="e-new", incarnation_ms=9)
        member.inbound_proxy.on_heartbeat(new)
        own_registration.refresh()
        await harness.settle(1)
        assert b"e-new" in store.items["nodes/n1"].value
        await return_from_copy(store, copied)
        await harness.settle(2)
        assert b"e-new" in store.items["nodes/n1"].value

    run_registered(scenario)


def test_lease_that_now_belongs_to_another_node_is_not_used():
    """Renewals would keep the entry of the other node after its end."""

    async def scenario(store, own_registration, member):
        store.end_lease(own_registration._lease)
        copied = store.copy()
        await harness.settle(2.5)
        lost_lease = own_registration._lease
        store.fail(K.UNANSWERED)
        await harness.settle(1)
        store.restore(copied)
        other_lease = await store.grant(9_000, store.epoch)
        store.put("nodes/n2", entry("n2"), other_lease)
        assert other_lease == lost_lease
        await harness.settle(2)
        own = store.items["nodes/n1"]
        assert own.lease not in (0, other_lease)
        assert own.lease == own_registration._lease

    run_registered(scenario)


@pytest.mark.parametrize("outcome", ["answered", "unanswered"])
def test_entry_written_under_the_lease_of_another_node_is_replaced(outcome):
    """A write may take effect after the store has returned from a copy."""

    async def scenario(store, own_registration, member):
        store.end_lease(own_registration._lease)
        copied = store.copy()
        await harness.settle(2.5)
        write = store.write

        async def write_late(*arguments):
            store.write = write
            store.restore(copied)
            await store.grant(9_000, store.epoch)
            revision = await write(*arguments[:3], 0, store.epoch)
            if outcome == "unanswered":
                raise metadata.MetadataError("write", "test", K.UNANSWERED)
            return revision

        store.write = write_late
        new = harness.heartbeat("n1", endpoint="e-new", incarnation_ms=9)
        member.inbound_proxy.on_heartbeat(new)
        own_registration.refresh()
        await harness.settle(2.5)
        own = store.items["nodes/n1"]
        assert b"e-new" in own.value
        assert (own.lease, own_registration._lease) == (3, 3)

    run_registered(scenario)


@pytest.mark.parametrize(
    "content, calls", [(None, [None]), (b"not an entry", [])]
)
def test_first_start_is_told_from_a_restart(content, calls):
    """After a restart, heartbeats may be older than a departure. An entry
    that can't be read may be that of an earlier process.
    """

    async def main():
        member = harness.Member("n1")
        store = MemoryStore()
        if content is not None:
            store.put("nodes/n1", content)
        told = []
        maintained = register(member, store, told.append).maintain()
        task = asyncio.ensure_future(maintained)
        await harness.settle(2)
        task.cancel()
        assert told == calls

    memory_loop.run(main)
