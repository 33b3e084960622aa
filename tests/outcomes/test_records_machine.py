"""At most one run of a key, and none after "not run", in any order of events.

The machine plays the network and the backend server. It keeps what callers
have been told, and fails when a later decision contradicts it.
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
NOT_KNOWN = {"owner_lost", "record_expired"}


class OwnerOfKeys(stateful.RuleBasedStateMachine):
    keys = stateful.Bundle("keys")

    def __init__(self):
        super().__init__()
        self.now_ms = 5_000
        self.table = records.OutcomeRecords(OWN, LIMITS)
        self.horizon_ms = self.table.statistics.horizon_ms
        self.running = set()
        self.ran = set()
        self.told = {}
        self.answers = {}
        self.forgotten = set()
        self.issued = 0

    def check(self, key, decision):
        """Compare a decision with all that was told before."""
        if key in self.running or isinstance(decision, messages.Wait):
            assert key in self.running
            assert decision == messages.Wait()
            return
        forgets = (
            isinstance(decision, messages.Finished)
            and decision.reason in NOT_KNOWN
        )
        if forgets:
            self.check_forgotten(key, decision)
            return
        assert key not in self.forgotten
        assert key.incarnation == OWN
        if isinstance(decision, messages.Moved):
            told = ("moved", decision.successor)
        else:
            told = (decision.outcome, decision.reason)
            assert decision.answer in (None, self.answers.get(key))
        if told[0] in ("moved", messages.Outcome.REFUSED):
            assert key not in self.ran
        else:
            assert key in self.ran
        assert self.told.setdefault(key, told) == told

    def check_forgotten(self, key, decision):
        assert decision.outcome is messages.Outcome.UNKNOWN
        if decision.reason == "owner_lost":
            assert key.incarnation == OTHER
            return
        horizon_ms = self.table.statistics.horizon_ms
        assert key.incarnation == OWN
        assert key.expires_ms <= horizon_ms
        self.forgotten.add(key)

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
        """Make running keys frequent."""
        key = self.issue(1_500, OWN)
        self.arrive(key)
        return key

    @stateful.rule(key=keys)
    def arrive(self, key):
        usable = (
            key.incarnation == OWN
            and self.now_ms < key.expires_ms
            and key.expires_ms > self.table.statistics.horizon_ms
            and len(self.running) < MAX_RUNNING
        )
        fresh = key not in self.ran and key not in self.told
        decision = self.table.begin(key, self.now_ms)
        oldest_ms = self.now_ms - LIMITS.retention_ms
        assert self.table.statistics.horizon_ms >= oldest_ms
        if not isinstance(decision, messages.Run):
            self.check(key, decision)
            assert not (usable and fresh)
            return
        assert usable
        assert fresh
        assert key not in self.forgotten
        self.ran.add(key)
        self.running.add(key)

    @stateful.rule(key=keys, successor=st.sampled_from(["", "next"]))
    def refuse(self, key, successor):
        decision = self.table.refuse(key, self.now_ms, "leaving", successor)
        self.check(key, decision)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), successor=st.sampled_from(["", "next"]))
    def refuse_from_queue(self, data, successor):
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(key)
        self.ran.remove(key)
        decision = self.table.refuse(
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
        self.told[key] = (outcome, "done")
        decision = self.table.finish(
            key, outcome, "done", self.answers[key], self.now_ms
        )
        self.check(key, decision)

    @stateful.rule(key=keys, outcome=st.sampled_from(RESULTS))
    def late_result(self, key, outcome):
        """A second result must not replace what callers were told."""
        if key not in self.ran - self.running:
            return
        late = self.table.finish(key, outcome, "late", None, self.now_ms)
        self.check(key, late)

    @stateful.rule(key=keys)
    def inquire(self, key):
        self.check(key, self.table.inquire(key, self.now_ms))

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
        seen = self.table.statistics
        assert seen.records <= LIMITS.records
        assert seen.running == len(self.running)
        assert seen.answers_bytes <= LIMITS.answers_bytes
        assert seen.horizon_ms >= self.horizon_ms
        self.horizon_ms = seen.horizon_ms

    def teardown(self):
        """Ask for every key again, a retention later and after that."""
        for key in self.running | self.ran | set(self.told):
            self.inquire(key)
        self.now_ms += LIMITS.retention_ms + 2_000
        for key in self.running | self.ran | set(self.told):
            self.arrive(key)


TestOwnerOfKeys = OwnerOfKeys.TestCase
