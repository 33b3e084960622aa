"""A key runs at most once, and never after a refusal, in any order of events.

The state machine simulates the network and the backend server. It stores the
outcomes reported to callers, and fails when a later decision contradicts one.
"""

from hypothesis import stateful
from hypothesis import strategies as st

from clementinekeel.outcomes import messages
from clementinekeel.outcomes import records

OWN, OTHER = 1, 2
LIMITS = records.Limits(6, 40, 1_300, 2_000)
MAX_RUNNING = LIMITS.records - 1
RESULTS = [
    messages.Outcome.COMPLETED,
    messages.Outcome.FAILED,
    messages.Outcome.UNKNOWN,
]
UNKNOWN_REASONS = {"owner_lost", "record_expired"}


class OwnerOfKeys(stateful.RuleBasedStateMachine):
    keys = stateful.Bundle("keys")

    def __init__(self):
        super().__init__()
        self.now_ms = 5_000
        self.outcome_records = records.OutcomeRecords(OWN, LIMITS)
        self.horizon_ms = self.outcome_records.statistics.horizon_ms
        self.running = set()
        self.ran = set()
        self.reported = {}
        self.answers = {}
        self.reported_unknown = set()
        self.issued = 0

    def check(self, key, decision):
        """Compare a decision with those reported before."""
        if key in self.running or isinstance(decision, messages.Wait):
            assert key in self.running
            assert decision == messages.Wait()
            return
        is_unknown = (
            isinstance(decision, messages.Finished)
            and decision.reason in UNKNOWN_REASONS
        )
        if is_unknown:
            self.check_unknown(key, decision)
            return
        assert key not in self.reported_unknown
        assert key.incarnation == OWN
        if isinstance(decision, messages.Moved):
            reported = ("moved", decision.successor)
        else:
            reported = (decision.outcome, decision.reason)
            assert decision.answer in (None, self.answers.get(key))
        if reported[0] in ("moved", messages.Outcome.REFUSED):
            assert key not in self.ran
        else:
            assert key in self.ran
        assert self.reported.setdefault(key, reported) == reported

    def check_unknown(self, key, decision):
        assert decision.outcome is messages.Outcome.UNKNOWN
        if decision.reason == "owner_lost":
            assert key.incarnation == OTHER
            return
        horizon_ms = self.outcome_records.statistics.horizon_ms
        assert key.incarnation == OWN
        assert key.expires_ms <= horizon_ms
        self.reported_unknown.add(key)

    @stateful.rule(
        target=keys,
        lifetime_ms=st.sampled_from([-100, 0, 1, 500, 1_500]),
        incarnation=st.sampled_from([OWN, OWN, OWN, OTHER]),
    )
    def issue(self, lifetime_ms, incarnation):
        self.issued += 1
        serial = self.issued.to_bytes(12, "big")
        expires_ms = self.now_ms + lifetime_ms
        return messages.IssuedKey(
            "s", "e", "n", incarnation, expires_ms, serial
        )

    @stateful.rule(target=keys)
    def start(self):
        """Issue a key and let it arrive, so that running keys are frequent."""
        key = self.issue(1_500, OWN)
        self.arrive(key)
        return key

    @stateful.rule(key=keys)
    def arrive(self, key):
        may_run = (
            key.incarnation == OWN
            and self.now_ms < key.expires_ms
            and key.expires_ms > self.outcome_records.statistics.horizon_ms
            and len(self.running) < MAX_RUNNING
        )
        is_new = key not in self.ran and key not in self.reported
        decision = self.outcome_records.begin(key, self.now_ms)
        oldest_ms = self.now_ms - LIMITS.retention_ms
        assert self.outcome_records.statistics.horizon_ms >= oldest_ms
        if not isinstance(decision, messages.Run):
            self.check(key, decision)
            assert not (may_run and is_new)
            return
        assert may_run
        assert is_new
        assert key not in self.reported_unknown
        self.ran.add(key)
        self.running.add(key)

    @stateful.rule(key=keys, successor=st.sampled_from(["", "next"]))
    def refuse(self, key, successor):
        decision = self.outcome_records.refuse(
            key, self.now_ms, "leaving", successor
        )
        self.check(key, decision)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), successor=st.sampled_from(["", "next"]))
    def refuse_from_queue(self, data, successor):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(key)
        self.ran.remove(key)
        decision = self.outcome_records.refuse(
            key, self.now_ms, "overload", successor, is_runner=True
        )
        assert isinstance(decision, messages.Moved) == bool(successor)
        self.check(key, decision)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=st.data(),
        outcome=st.sampled_from(RESULTS),
        body=st.binary(max_size=60),
    )
    def finish(self, data, outcome, body):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(key)
        self.answers[key] = messages.KeptAnswer(200, (), body)
        self.reported[key] = (outcome, "done")
        decision = self.outcome_records.finish(
            key, outcome, "done", self.answers[key], self.now_ms
        )
        self.check(key, decision)

    @stateful.rule(key=keys, outcome=st.sampled_from(RESULTS))
    def late_result(self, key, outcome):
        """A second result must not replace the one reported to callers."""
        if key not in self.ran - self.running:
            return
        late = self.outcome_records.finish(
            key, outcome, "late", None, self.now_ms
        )
        self.check(key, late)

    @stateful.rule(key=keys)
    def inquire(self, key):
        self.check(key, self.outcome_records.inquire(key, self.now_ms))

    @stateful.rule(elapsed_ms=st.sampled_from([0, 1, 100, 700, 1_600]))
    def pass_time(self, elapsed_ms):
        self.now_ms += elapsed_ms

    @stateful.rule()
    def other_requests(self):
        """Fill the table, so that eviction is frequent."""
        for _ in range(3):
            self.refuse(self.issue(1_000, OWN), "")

    @stateful.invariant()
    def bounds_hold(self):
        statistics = self.outcome_records.statistics
        assert statistics.records <= LIMITS.records
        assert statistics.running == len(self.running)
        assert statistics.answers_bytes <= LIMITS.answers_bytes
        assert statistics.horizon_ms >= self.horizon_ms
        self.horizon_ms = statistics.horizon_ms

    def teardown(self):
        """Inquire about every key; let it arrive again after the retention."""
        for key in self.running | self.ran | set(self.reported):
            self.inquire(key)
        self.now_ms += LIMITS.retention_ms + 2_000
        for key in self.running | self.ran | set(self.reported):
            self.arrive(key)


TestOwnerOfKeys = OwnerOfKeys.TestCase
