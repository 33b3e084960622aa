"""Changes by several operators with lost, delayed and repeated writes."""

from unittest import mock

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns import result
import trio.testing

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.store import changes
from standins import store as standin
from tests.store import harness

NAMES = ("service/a", "service/b", "service/c")

FAULTS = strategies.one_of(
    strategies.just({}),
    strategies.fixed_dictionaries(
        {"spare_writes": strategies.integers(0, 1)},
        optional={
            "lose_answers": strategies.integers(1, 4),
            "hold_writes": strategies.integers(1, 4),
            "lose_share": strategies.sampled_from([0.3, 1.0]),
        },
    ),
)
"""A change replaces the head by its second write."""


class OperatorsMachine(stateful.RuleBasedStateMachine):
    """The outcome of a change, once known, is final for all operators."""

    def __init__(self):
        super().__init__()
        self.store = standin.StoreApplication(1e9, 1e9)
        self.changes = {}
        self.accepted = {}
        self.not_accepted = set()
        self.base = {}
        self.known_version = 0
        # Small bounds, so that objects are pruned within a few steps.
        bounds = {"KEPT_VERSIONS": 2, "MAX_DELTA_ENTRIES": 2}
        self.bounds = mock.patch.multiple(changes, **bounds)
        self.bounds.start()

    def teardown(self):
        self.bounds.stop()

    def run(self, function, *arguments):
        async def call():
            async with harness.open_platform() as platform:
                platform.store = self.store
                async with platform.client() as client:
                    return await function(client, *arguments)

        clock = trio.testing.MockClock(autojump_threshold=0)
        return anyio.run(
            call, backend_options={"clock": clock}, backend="trio"
        )

    def record_outcome(self, change_id, outcome):
        """Record a reported outcome and compare it with earlier ones."""
        if isinstance(outcome, changes.Accepted):
            assert change_id not in self.not_accepted
            assert self.accepted.setdefault(change_id, outcome.version) == (
                outcome.version
            )
        elif isinstance(outcome, changes.Conflict | changes.NotAccepted):
            assert change_id not in self.accepted
            self.not_accepted.add(change_id)

    def attempt(self, change, faults):
        self.store.set_faults(**faults)
        applied = self.run(changes.apply, change)
        self.store.set_faults()
        is_done = isinstance(applied, result.Success)
        outcome = applied.unwrap() if is_done else applied.failure()
        self.record_outcome(change.change_id, outcome)

    @stateful.rule()
    def release_delayed_writes(self):
        self.store.release()

    @stateful.rule(
        versions_behind=strategies.sampled_from([0, 0, 0, 1, 2]),
        objects=strategies.dictionaries(
            strategies.sampled_from(NAMES), strategies.binary(max_size=2)
        ),
        faults=FAULTS,
    )
    def make_change(self, versions_behind, objects, faults):
        change_id = f"c{len(self.changes)}"
        base = max(0, self.known_version - versions_behind)
        change = changes.Change(
            change_id, "ana", "host", "why", base, objects, ()
        )
        self.changes[change_id] = change
        self.attempt(change, faults)

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(data=strategies.data(), faults=FAULTS)
    def run_again(self, data, faults):
        change_id = data.draw(strategies.sampled_from(sorted(self.changes)))
        self.attempt(self.changes[change_id], faults)

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(data=strategies.data())
    def verify_outcome(self, data):
        change_id = data.draw(strategies.sampled_from(sorted(self.changes)))
        answer = self.run(changes.read_outcome, change_id)
        if isinstance(answer, result.Success):
            self.record_outcome(change_id, answer.unwrap())

    @stateful.rule()
    def prune(self):
        self.run(changes.prune)

    @stateful.invariant()
    def history_and_head_agree(self):
        history = self.run(changes.history, 100).unwrap()
        versions = [entry.version for entry in history]
        assert versions == list(range(len(history), 0, -1))
        accepted_versions = {
            entry.change_id: entry.version for entry in history
        }
        assert len(accepted_versions) == len(history)
        assert self.accepted.items() <= accepted_versions.items()
        assert not self.not_accepted & accepted_versions.keys()
        assert len(history) >= self.known_version
        self.known_version = len(history)
        snapshot = self.run(changes.load, None).unwrap()
        if not history:
            assert snapshot is None
            return
        latest_change = self.changes[history[0].change_id]
        assert snapshot == (
            len(history),
            latest_change.change_id,
            latest_change.objects,
        )
        assert self.follow() == snapshot

    def follow(self):
        """Load from the previous version, like a relay that is behind."""
        entry = self.run(changes.history, 2).unwrap()[-1]
        behind = snapshots.Snapshot(
            entry.version,
            entry.change_id,
            self.changes[entry.change_id].objects,
        )
        newer = self.run(changes.load, behind).unwrap()
        return newer or behind


TestOperators = OperatorsMachine.TestCase
TestOperators.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=20
)
