"""Any sequence of faults on a handful of members."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from clementinekeel.membership import records
from tests.membership import network

S = 1_000
HEALING_MS = 120 * S
STEP_MS = 1_500
MIN_ZONE = 2
ZONES = ("a", "b")
index = strategies.integers(0, 99)


class Faults(stateful.RuleBasedStateMachine):
    """Two zones of three nodes; each rule is followed by some ticks."""

    def __init__(self):
        super().__init__()
        self.net = network.Network(seed=3)
        self.seen = {}
        self.leaving = set()
        for zone in ZONES:
            names = [f"{zone}{number}" for number in range(3)]
            self.net.start_zone(zone, names, f"s-{zone}", ("a0:1", "b0:1"))
        self.net.run(10 * S)

    def pick(self, number):
        nodes = list(self.net.nodes.values())
        return nodes[number % len(nodes)]

    @stateful.rule(one=index, other=index, is_both=strategies.booleans())
    def cut(self, one, other, is_both):
        source, target = self.pick(one), self.pick(other)
        self.net.cut_link(source, target)
        if is_both:
            self.net.cut_link(target, source)

    @stateful.rule()
    def cut_zones(self):
        nodes = list(self.net.nodes.values())
        sides = [[n for n in nodes if n.own.zone == z] for z in ZONES]
        self.net.cut_between(*sides)

    @stateful.rule()
    def heal_links(self):
        self.net.cut.clear()

    @stateful.rule(number=index)
    def pause(self, number):
        self.net.pause(self.pick(number))

    @stateful.rule()
    def resume_all(self):
        self.net.paused.clear()

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.1, 0.5)))
    def lose_messages(self, loss):
        self.net.loss = loss

    @stateful.rule(number=index)
    def restart(self, number):
        own = self.pick(number).own
        self.leaving.discard(own.member_id)
        seeds = ("a0:1", "b0:1", "a1:1", "b1:1")
        self.net.start(own.node_id, own.zone, own.service, seeds)

    @stateful.rule(number=index)
    def leave(self, number):
        node = self.pick(number)
        self.net.deliver(node, node.leave(self.net.now_ms))
        self.leaving.add(node.own.member_id)

    @stateful.rule(number=index)
    def exit_after_leaving(self, number):
        node = self.pick(number)
        peers = [
            n for n in self.net.nodes.values() if n.own.zone == node.own.zone
        ]
        if node.own.member_id in self.leaving and len(peers) > MIN_ZONE:
            left = records.MemberState.LEFT
            self.net.deliver(
                node, node.update_own(self.net.now_ms, state=left)
            )
            self.net.kill(node)

    @stateful.rule(seconds=strategies.integers(1, 20))
    def wait(self, seconds):
        for _ in range(seconds):
            self.net.run(S)
            self.check_versions()

    @stateful.invariant()
    def check_versions(self):
        """No version goes back, also not across a removal."""
        self.net.run(STEP_MS)
        for node in self.net.nodes.values():
            for record in node.members:
                pair = (node.own.member_id, record.member_id)
                version, is_present = self.seen.get(pair, (0, False))
                assert record.version >= version
                assert is_present or record.version > version
            present = {r.member_id for r in node.members}
            for pair in list(self.seen):
                if pair[0] == node.own.member_id and pair[1] not in present:
                    self.seen[pair] = (self.seen[pair][0], False)
            for record in node.members:
                pair = (node.own.member_id, record.member_id)
                self.seen[pair] = (record.version, True)

    @stateful.invariant()
    def leaving_members_are_not_offered(self):
        for node in self.net.nodes.values():
            states = {r.member_id: r.state for r in node.members}
            for zone in ZONES:
                for candidate in node.endpoints(f"s-{zone}"):
                    member_id = records.MemberId(
                        candidate.node_id, candidate.incarnation
                    )
                    assert states[member_id] is records.MemberState.READY
                    assert (
                        member_id != node.own.member_id
                        or member_id not in self.leaving
                    )

    def teardown(self):
        self.net.cut.clear()
        self.net.paused.clear()
        self.net.loss = 0.0
        self.net.run(HEALING_MS)
        nodes = list(self.net.nodes.values())
        live = {node.own.member_id for node in nodes}
        expected = network.view_of(nodes[0])
        for node in nodes:
            assert {r.member_id for r in node.members} == live
            assert network.view_of(node) == expected
            assert node.suspects == []
            offered = {
                records.MemberId(c.node_id, c.incarnation)
                for zone in ZONES
                for c in node.endpoints(f"s-{zone}")
            }
            assert offered == live - self.leaving


TestFaults = Faults.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=12,
    # Each example takes a second, so that shrinking would take minutes.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
