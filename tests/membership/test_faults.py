"""Convergence of the views of several nodes after faults."""

import pytest

from clementinekeel.membership import membership
from clementinekeel.membership import messages
from clementinekeel.membership import records
from tests.membership import network

SECOND_MS = 1_000
READY = records.MemberState.READY


class Fleet(network.Network):
    """Six nodes in zone a and four in zone b, all joined and ready."""

    def __init__(self):
        super().__init__(seed=1)
        seeds = ("a0:1", "b0:1")
        names = [f"a{i}" for i in range(6)]
        self.a = self.start_zone("a", names, "lookup", seeds)
        names = [f"b{i}" for i in range(4)]
        self.b = self.start_zone("b", names, "booking", seeds)
        self.run(10 * SECOND_MS)
        self.assert_converged()

    def assert_converged(self):
        live = list(self.nodes.values())
        expected = network.view_of(live[0])
        assert {row[0] for row in expected} == {n.own.node_id for n in live}
        for node in live:
            assert network.view_of(node) == expected
            assert node.own.state is READY
            assert node.unreachable_zones == ()

    def assert_nobody_removed(self, duration_ms):
        before = len(self.nodes)
        for _ in range(duration_ms // SECOND_MS):
            self.run(SECOND_MS)
            for node in self.nodes.values():
                assert len(node.members) == before


def kill(fleet):
    fleet.kill(fleet.a[3])
    fleet.run(15 * SECOND_MS)


def kill_whole_service(fleet):
    """The last endpoints are removed once two witnesses agree."""
    for name in ("x0", "x1"):
        fleet.start(name, "a", "sole", ("a0:1",))
    fleet.run(10 * SECOND_MS)
    for address in ("x0:1", "x1:1"):
        fleet.kill(fleet.nodes[address])
    fleet.run(30 * SECOND_MS)
    assert fleet.a[0].endpoints("sole") == []


def kill_all_relays(fleet):
    relays = {record.address for record in fleet.a[0].relays("a")}
    for address in relays:
        del fleet.nodes[address]
    fleet.run(30 * SECOND_MS)
    survivor = next(iter(fleet.nodes.values()))
    found = {record.address for record in survivor.relays("a")}
    assert len(found) == 3
    assert not found & relays


def pause_and_resume(fleet):
    node = fleet.a[2]
    version = node.own.version
    fleet.pause(node)
    fleet.run(20 * SECOND_MS)
    assert "a2" not in network.names(fleet.b[0])
    fleet.resume(node)
    effects = node.tick(fleet.now_ms)
    assert node.own.state is records.MemberState.JOINING
    assert effects.removed == []
    fleet.deliver(node, effects)
    fleet.run(20 * SECOND_MS)
    assert node.own.version > version


def pause_briefly(fleet):
    fleet.pause(fleet.a[2])
    fleet.run(2 * SECOND_MS)
    fleet.resume(fleet.a[2])
    fleet.assert_nobody_removed(20 * SECOND_MS)


def cut_from_two_members(fleet):
    """Helpers reach the peer, so no member is even suspected.

    A helper that is cut off from the peer too must not count.
    """
    versions = [node.own.version for node in fleet.a]
    fleet.cut_between(fleet.a[:1], fleet.a[1:3])
    fleet.assert_nobody_removed(60 * SECOND_MS)
    assert [node.own.version for node in fleet.a] == versions


def cut_outgoing(fleet):
    """A node that cannot send must not suspect all others."""
    node = fleet.a[0]
    for other in [*fleet.a[1:], *fleet.b]:
        fleet.cut_link(node, other)
    fleet.run(60 * SECOND_MS)
    assert len(node.members) == 10
    assert node.suspects == []
    assert "a0" not in network.names(fleet.a[1])
    fleet.cut.clear()
    fleet.run(40 * SECOND_MS)


def cut_incoming(fleet):
    """A node that receives nothing must not suspect all others."""
    node = fleet.a[0]
    for other in [*fleet.a[1:], *fleet.b]:
        fleet.cut_link(other, node)
    fleet.run(10 * SECOND_MS)
    versions = [other.own.version for other in fleet.a[1:]]
    fleet.run(50 * SECOND_MS)
    # Its messages still arrive, and no member has to refute a suspicion.
    assert [other.own.version for other in fleet.a[1:]] == versions
    assert len(node.members) == 10
    assert node.suspects == []
    assert "a0" not in network.names(fleet.a[1])
    fleet.cut.clear()
    fleet.run(40 * SECOND_MS)


def lost_own_zone_only(fleet):
    """A node that still reaches the other zone must not suspect its own."""
    relay = next(node for node in fleet.a if node.is_relay)
    fleet.cut_between([relay], [n for n in fleet.a if n is not relay])
    fleet.run(60 * SECOND_MS)
    assert len(relay.members) == 10
    assert relay.suspects == []
    fleet.cut.clear()
    fleet.run(60 * SECOND_MS)


def zone_cut_and_reconnected(fleet):
    fleet.cut_between(fleet.a, fleet.b)
    fleet.run(60 * SECOND_MS)
    assert [n.unreachable_zones for n in fleet.a] == [("b",)] * 6
    assert [n.unreachable_zones for n in fleet.b] == [("a",)] * 4
    fleet.kill(fleet.b[3])
    fleet.a[1].update_own(fleet.now_ms, endpoint="moved")
    fleet.run(540 * SECOND_MS)
    assert len(fleet.a[0].members) == 10
    assert len(fleet.b[0].members) == 9
    fleet.cut.clear()
    fleet.sent.clear()
    fleet.run(30 * SECOND_MS)
    # Without faults, the nodes send about 45 messages a second.
    assert len(fleet.sent) < 30 * 70


def zone_in_two_halves(fleet):
    """The halves removed each other and must reconnect without seeds."""
    sides = (fleet.a[:3], fleet.a[3:])
    fleet.cut_between(*sides)
    fleet.cut_between(fleet.a, fleet.b)
    fleet.run(60 * SECOND_MS)
    assert len(fleet.a[0].members_of("a")) == 3
    fleet.cut.clear()
    fleet.run(60 * SECOND_MS)


def replaced_at_the_same_address(fleet):
    old = fleet.a[4].own.member_id
    fleet.kill(fleet.a[4])
    fleet.start("a4", "a", "lookup", ("a0:1",))
    fleet.run(4 * SECOND_MS)
    assert [n for n in fleet.nodes.values() if n.find(old)] == []
    fleet.run(6 * SECOND_MS)


def other_node_at_the_same_address(fleet):
    fleet.kill(fleet.a[4])
    fleet.start("new", "a", "lookup", ("a0:1",), address="a4:1")
    fleet.run(10 * SECOND_MS)


def duplicate_node_id(fleet):
    """Both processes are members; the exit of one must not hide the other."""
    twin = fleet.start("a1", "a", "lookup", ("a0:1",), address="twin:1")
    fleet.run(10 * SECOND_MS)
    assert network.names(fleet.b[0]).count("a1") == 2
    fleet.kill(fleet.a[1])
    fleet.run(15 * SECOND_MS)
    assert fleet.b[0].find(twin.own.member_id)


def all_seeds_dead(fleet):
    node = fleet.start("late", "a", "lookup", ("gone:1", "lost:1"))
    fleet.sent.clear()
    fleet.run(120 * SECOND_MS)
    joins = [m for _, _, m in fleet.sent if isinstance(m, messages.Join)]
    assert 12 <= len(joins) < 60
    assert not node.is_confirmed
    assert node.own.state is records.MemberState.JOINING
    node.add_entry_points(["a5:1"])
    fleet.run(15 * SECOND_MS)


def store_answers_although_all_seeds_are_dead(fleet):
    node = fleet.start("late", "a", "lookup", ("gone:1",))
    fleet.run(20 * SECOND_MS)
    assert node.own.state is records.MemberState.JOINING
    fleet.deliver(node, node.confirm_by_store(fleet.now_ms))
    assert node.own.state is records.MemberState.READY
    node.add_entry_points(["a5:1"])
    fleet.run(15 * SECOND_MS)


def all_others_die_during_a_pause(fleet):
    """A paused node that gets no answer must become ready again."""
    node = fleet.a[2]
    others = [other for other in fleet.nodes.values() if other is not node]
    fleet.pause(node)
    fleet.run(5 * SECOND_MS)
    fleet.cut_between([node], others)
    fleet.resume(node)
    fleet.run(8 * SECOND_MS)
    assert node.own.state is records.MemberState.JOINING
    fleet.run(5 * SECOND_MS)
    assert node.own.state is records.MemberState.READY
    fleet.cut.clear()
    fleet.run(30 * SECOND_MS)


def replayed_old_record(fleet):
    old = fleet.a[3].own
    fleet.kill(fleet.a[3])
    fleet.run(15 * SECOND_MS)
    piggyback = messages.Piggyback((old,), (), 0, "")
    empty = messages.Piggyback((), (), 0, "")
    for message in (
        messages.Probe(1, fleet.b[0].own, piggyback),
        messages.Probe(2, old, empty),
        messages.ProbeAck(3, old, empty),
        messages.Members(fleet.b[0].own, (old,)),
        messages.Delta("", 0, 0, b"", (old,), (), ()),
    ):
        effects = fleet.a[0].receive("a3:1", message, fleet.now_ms)
        assert effects.joined == []
    fleet.run(5 * SECOND_MS)


def falsely_reported_gone(fleet):
    """The member refutes the notice with a higher version and comes back."""
    node = fleet.a[3]
    notice = messages.Notice(
        node.own.key, node.own.version, messages.Status.GONE, (1, 2)
    )
    piggyback = messages.Piggyback((), (notice,), 0, "")
    probe = messages.Probe(1, fleet.a[1].own, piggyback)
    effects = fleet.a[0].receive("a1:1", probe, fleet.now_ms)
    assert [record.node_id for record in effects.removed] == ["a3"]
    fleet.deliver(fleet.a[0], effects)
    fleet.run(20 * SECOND_MS)


def kill_during_zone_cut(fleet):
    fleet.cut_between(fleet.a, fleet.b)
    fleet.kill(fleet.a[0])
    fleet.run(60 * SECOND_MS)
    fleet.cut.clear()
    fleet.run(40 * SECOND_MS)


def pause_during_partial_cut(fleet):
    fleet.cut_between(fleet.a[:1], fleet.a[1:3])
    fleet.pause(fleet.a[5])
    fleet.run(20 * SECOND_MS)
    fleet.resume(fleet.a[5])
    fleet.run(30 * SECOND_MS)


def loss_and_kill(fleet):
    fleet.loss = 0.1
    fleet.kill(fleet.b[2])
    fleet.run(60 * SECOND_MS)
    fleet.loss = 0
    fleet.run(30 * SECOND_MS)


FAULTS = (
    kill,
    kill_whole_service,
    kill_all_relays,
    pause_and_resume,
    pause_briefly,
    cut_from_two_members,
    cut_outgoing,
    cut_incoming,
    lost_own_zone_only,
    zone_cut_and_reconnected,
    zone_in_two_halves,
    replaced_at_the_same_address,
    other_node_at_the_same_address,
    duplicate_node_id,
    all_seeds_dead,
    store_answers_although_all_seeds_are_dead,
    all_others_die_during_a_pause,
    replayed_old_record,
    falsely_reported_gone,
    kill_during_zone_cut,
    pause_during_partial_cut,
    loss_and_kill,
)
TWICE = (
    pause_and_resume,
    cut_from_two_members,
    cut_outgoing,
    zone_in_two_halves,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_views_converge_after(fault):
    fleet = Fleet()
    fault(fleet)
    fleet.assert_converged()


@pytest.mark.parametrize("fault", TWICE, ids=lambda fault: fault.__name__)
def test_views_converge_after_the_same_fault_twice(fault):
    """State that the first fault left behind must not affect the second."""
    fleet = Fleet()
    for _ in range(2):
        fault(fleet)
        fleet.cut.clear()
        fleet.assert_converged()


def test_leaving_member_is_not_offered_within_three_seconds():
    """A leaving backend server must not get new work."""
    fleet = Fleet()
    node = fleet.a[0]
    fleet.deliver(node, node.leave(fleet.now_ms))
    assert node.own.node_id not in {
        candidate.node_id for candidate in node.endpoints("lookup")
    }
    fleet.run(3 * SECOND_MS)
    for other in fleet.nodes.values():
        found = {c.node_id for c in other.endpoints("lookup")}
        assert found == {"a1", "a2", "a3", "a4", "a5"}
    fleet.deliver(
        node, node.update_own(fleet.now_ms, state=records.MemberState.LEFT)
    )
    fleet.kill(node)
    fleet.run(3 * SECOND_MS)
    fleet.assert_converged()


def make_node_with_members(*others):
    net = network.Network()
    node = net.start("own", "a")
    for name, service in others:
        record = node.own._replace(
            node_id=name,
            service=service,
            state=READY,
            version=5,
            address=f"{name}:1",
        )
        empty = messages.Piggyback((), (), 0, "")
        node.receive("x:1", messages.ProbeAck(1, record, empty), net.now_ms)
    return net, node


def report(net, node, name, status, witnesses):
    key = records.MemberId(name, node.own.incarnation).key
    notice = messages.Notice(key, 5, status, witnesses)
    delta = messages.Delta("", 0, 0, b"", (), (notice,), ())
    effects = node.receive("x:1", delta, net.now_ms)
    return [record.node_id for record in effects.removed]


@pytest.mark.parametrize(
    ("others", "status", "witnesses", "removed"),
    [
        pytest.param(
            [("x", "s")], messages.Status.GONE, (1,), [], id="one witness"
        ),
        pytest.param(
            [("x", "s")],
            messages.Status.GONE,
            (1, 2),
            ["x"],
            id="two witnesses",
        ),
        pytest.param(
            [("x", "s"), ("y", "s")],
            messages.Status.GONE,
            (1,),
            ["x"],
            id="not the last",
        ),
        pytest.param(
            [("x", "s")],
            messages.Status.REPLACED,
            (1,),
            ["x"],
            id="replaced",
        ),
        pytest.param(
            [("x", "s")], messages.Status.SUSPECT, (1, 2), [], id="suspicion"
        ),
    ],
)
def test_last_endpoint_is_removed_on_enough_evidence(
    others, status, witnesses, removed
):
    """One cut link must not remove the last endpoint of a service."""
    net, node = make_node_with_members(*others)
    assert report(net, node, "x", status, witnesses) == removed


def test_second_report_confirms_the_first():
    net, node = make_node_with_members(("x", "s"))
    assert report(net, node, "x", messages.Status.GONE, (1,)) == []
    assert [r.node_id for r in node.suspects] == ["x"]
    assert report(net, node, "x", messages.Status.GONE, (1,)) == []
    assert report(net, node, "x", messages.Status.SUSPECT, (2,)) == []
    assert node.endpoints("s")
    assert report(net, node, "x", messages.Status.GONE, (1, 2)) == ["x"]


def test_newest_configuration_is_known_without_new_records():
    """45,000 changes a day must not each change every member's record."""
    fleet = Fleet()
    versions = {node.own.version for node in fleet.nodes.values()}
    version = fleet.a[2].own.version
    fleet.a[2].update_own(fleet.now_ms, configuration_version=7)
    assert fleet.a[2].own.version == version
    fleet.run(4 * SECOND_MS)
    for node in fleet.nodes.values():
        assert node.newest_configuration() == (7, "a2:1")
    fleet.run(30 * SECOND_MS)
    record = fleet.b[0].find(fleet.a[2].own.member_id)
    assert record.configuration_version == 7
    assert {n.own.version for n in fleet.nodes.values()} != versions


@pytest.mark.parametrize("field", ["node_id", "version", "zone", "address"])
def test_identity_is_fixed(field):
    _, node = make_node_with_members()
    with pytest.raises(ValueError, match="fixed field"):
        node.update_own(1_000_000, **{field: "other"})


def test_suspicion_of_a_member_of_another_zone_is_ignored():
    """Only a member's own zone decides whether it has failed."""
    net, node = make_node_with_members()
    record = node.own._replace(node_id="x", zone="b", version=5)
    empty = messages.Piggyback((), (), 0, "")
    node.receive("x:1", messages.ProbeAck(1, record, empty), net.now_ms)
    report(net, node, "x", messages.Status.SUSPECT, (1, 2))
    assert node.suspects == []


def test_pause_clears_suspicions():
    """Timers that expired during a pause do not show that a member failed."""
    net, node = make_node_with_members(("x", "s"))
    report(net, node, "x", messages.Status.SUSPECT, (1, 2))
    assert node.suspects
    effects = node.tick(net.now_ms + 20 * SECOND_MS)
    assert (node.suspects, effects.removed) == ([], [])


def test_helper_confirms_a_suspicion_that_it_receives():
    """In a large zone, it would take minutes until another witness probes."""
    net, node = make_node_with_members(("x", "s"), ("y", "t"))
    y = node.own._replace(node_id="y", version=5, address="y:1")
    empty = messages.Piggyback((), (), 0, "")
    request = messages.ProbeRequest(
        1, y, records.MemberId("x", 1).key, "x:1", empty
    )
    # An answered probe shows that this node's link works.
    effects = node.receive("y:1", request, net.now_ms)
    serial = effects.messages[0].payload.serial
    node.receive("y:1", messages.ProbeAck(serial, y, empty), net.now_ms)
    node.receive("y:1", request, net.now_ms)
    node.tick(net.now_ms + SECOND_MS)
    net.now_ms += SECOND_MS
    report(net, node, "x", messages.Status.SUSPECT, (y.key,))
    effects = node.receive("y:1", messages.Probe(9, y, empty), net.now_ms)
    witnesses = {n.witnesses for n in effects.messages[0].payload.piggyback[1]}
    assert witnesses == {(y.key, node.own.key)}


def test_halves_of_a_zone_find_each_other_without_entry_points():
    """The seeds may no longer exist when a partition ends."""
    net = network.Network(seed=2)
    seed = net.start("seed", "a")
    nodes = net.start_zone("a", "uvwxyz", "s", ("seed:1",))
    net.run(10 * SECOND_MS)
    net.kill(seed)
    net.run(20 * SECOND_MS)
    net.cut_between(nodes[:3], nodes[3:])
    net.run(60 * SECOND_MS)
    assert [len(node.members) for node in nodes] == [3] * 6
    net.cut.clear()
    net.run(60 * SECOND_MS)
    assert [len(node.members) for node in nodes] == [6] * 6


def test_first_node_of_a_fleet_becomes_ready():
    net, node = make_node_with_members()
    net.run(2 * SECOND_MS)
    assert node.own.state is READY


def test_tick_interval_is_below_the_pause_limit():
    """A few slow ticks must not look like a pause."""
    assert membership.TICK_INTERVAL_MS * 10 <= membership.PAUSE_THRESHOLD_MS
