"""Random sequences of faults on six members."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from clementinekeel.membership import records
from tests.membership import network

SECOND_MS = 1_000
CONVERGENCE_MS = 120 * SECOND_MS
STEP_MS = 1_500
MIN_ZONE = 2
ZONES = ("a", "b")
index = strategies.integers(0, 99)


class Faults(stateful.RuleBasedStateMachine):
    """Two zones of three nodes; each rule is followed by some ticks."""

    def __init__(self):
        super().__init__()
        self.network = network.Network(seed=3)
        self.seen = {}
        self.leaving = set()
        for zone in ZONES:
            names = [f"{zone}{number}" for number in range(3)]
            self.network.start_zone(zone, names, f"s-{zone}", ("a0:1", "b0:1"))
        self.network.run(10 * SECOND_MS)

    def pick(self, number):
        nodes = list(self.network.nodes.values())
        return nodes[number % len(nodes)]

    @stateful.rule(one=index, other=index, is_both=strategies.booleans())
    def cut(self, one, other, is_both):
        source, target = self.pick(one), self.pick(other)
        self.network.cut_link(source, target)
        if is_both:
            self.network.cut_link(target, source)

    @stateful.rule()
    def cut_zones(self):
        nodes = list(self.network.nodes.values())
        sides = [[n for n in nodes if n.own.zone == z] for z in ZONES]
        self.network.cut_between(*sides)

    @stateful.rule()
    def heal_links(self):
        self.network.cut.clear()

    @stateful.rule(number=index)
    def pause(self, number):
        self.network.pause(self.pick(number))

    @stateful.rule()
    def resume_all(self):
        self.network.paused.clear()

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.1, 0.5)))
    def lose_messages(self, loss):
        self.network.loss = loss

    @stateful.rule(number=index)
    def restart(self, number):
        own = self.pick(number).own
        self.leaving.discard(own.member_id)
        seeds = ("a0:1", "b0:1", "a1:1", "b1:1")
        self.network.start(own.node_id, own.zone, own.service, seeds)

    @stateful.rule(number=index)
    def leave(self, number):
        node = self.pick(number)
        self.network.deliver(node, node.leave(self.network.now_ms))
        self.leaving.add(node.own.member_id)

    @stateful.rule(number=index)
    def exit_after_leaving(self, number):
        node = self.pick(number)
        peers = [
            n
            for n in self.network.nodes.values()
            if n.own.zone == node.own.zone
        ]
        if node.own.member_id in self.leaving and len(peers) > MIN_ZONE:
            left = records.MemberState.LEFT
            self.network.deliver(
                node, node.update_own(self.network.now_ms, state=left)
            )
            self.network.kill(node)

    @stateful.rule(seconds=strategies.integers(1, 20))
    def wait(self, seconds):
        for _ in range(seconds):
            self.network.run(SECOND_MS)
            self.check_versions()

    @stateful.invariant()
    def check_versions(self):
        """No version decreases, not even across a removal."""
        self.network.run(STEP_MS)
        for node in self.network.nodes.values():
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
        for node in self.network.nodes.values():
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
        self.network.cut.clear()
        self.network.paused.clear()
        self.network.loss = 0.0
        self.network.run(CONVERGENCE_MS)
        nodes = list(self.network.nodes.values())
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
    # Each example takes a second, so shrinking would take minutes.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
