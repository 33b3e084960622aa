"""Random sequences of calls keep the invariants of the controller."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinekeel.admission import controller
from clementinekeel.admission import limiters
from clementinekeel.admission import messages
from clementinekeel.configuration import model

RANKS = st.integers(0, 3)


class ControllerMachine(stateful.RuleBasedStateMachine):
    """Tracks the state of each stream and compares it with the controller."""

    @stateful.initialize(
        slots=st.integers(1, 5),
        objective=st.sampled_from(model.Objective),
        limiter=st.sampled_from(limiters.limiter.LIMITERS.names),
    )
    def start(self, slots, objective, limiter):
        self.now = 0
        self.slots = slots
        self.control = controller.AdmissionController(
            slots, objective, limiter, 0
        )
        self.offers = {}
        self.queued = {}
        self.running = {}
        self.ended = set()

    def check_decisions(self, decisions):
        """Check decisions and apply them to the state of the streams."""
        for decision in decisions:
            stream = decision.stream
            assert stream not in self.ended, "decided a second time"
            assert stream not in self.running, "decided a second time"
            if isinstance(decision, messages.Enqueue):
                self.queued[stream] = self.offers[stream]
            elif isinstance(decision, messages.Admit):
                self.check_admission(stream)
            else:
                self.queued.pop(stream, None)
                self.ended.add(stream)
        self.check_shedding(decisions)

    def check_admission(self, stream):
        offer = self.offers[stream]
        self.queued.pop(stream, None)
        assert offer.expires_ms > self.now, "admitted after its deadline"
        ahead = [o for o in self.queued.values() if o[1:] < offer[1:]]
        assert not ahead, "admitted before a request ahead of it in the queue"
        limit = self.control.limit(self.now)
        self.running[stream] = offer
        assert len(self.running) <= limit
        less_important = [o for o in self.running.values() if o.rank > 0]
        if offer.rank > 0:
            assert len(less_important) <= max(1, limit - 1)

    def check_shedding(self, decisions):
        shed = [
            self.offers[d.stream].rank
            for d in decisions
            if isinstance(d, messages.Refuse)
            and d.reason in ("overload", "displaced")
        ]
        for rank in shed:
            less_important = [o for o in self.queued.values() if o.rank > rank]
            assert not less_important, (
                "a less important request is still queued"
            )

    def check_displacement(self, offer, before, decisions):
        reasons = {
            d.stream: d.reason
            for d in decisions
            if isinstance(d, messages.Refuse)
        }
        if reasons.get(offer.stream) != "overload":
            return
        for stream, queued in before.items():
            if queued.rank > offer.rank:
                assert reasons.get(stream) == "deadline", (
                    "a less important request is not displaced"
                )

    @stateful.rule(
        rank=RANKS, remaining_ms=st.integers(-5, 400), count=st.integers(1, 6)
    )
    def offer(self, rank, remaining_ms, count):
        for _ in range(count):
            stream = len(self.offers)
            offer = messages.Offer(stream, rank, self.now + remaining_ms)
            self.offers[stream] = offer
            before = dict(self.queued)
            decisions = self.control.offer(offer, self.now)
            self.check_displacement(offer, before, decisions)
            self.check_decisions(decisions)
            groups = (self.queued, self.running, self.ended)
            assert any(stream in group for group in groups)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=st.data(), ok=st.booleans(), service_ms=st.integers(0, 300)
    )
    def release(self, data, ok, service_ms):
        stream = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[stream]
        self.ended.add(stream)
        self.check_decisions(
            self.control.release(stream, self.now, ok, float(service_ms))
        )

    @stateful.precondition(lambda self: self.queued)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        stream = data.draw(st.sampled_from(sorted(self.queued)))
        del self.queued[stream]
        self.ended.add(stream)
        self.check_decisions(self.control.cancel(stream, self.now))

    @stateful.rule(duration=st.integers(0, 500))
    def advance(self, duration):
        self.now += duration
        self.check_decisions(self.control.expire(self.now))

    @stateful.rule(slots=st.integers(1, 6))
    def set_slots(self, slots):
        self.slots = slots
        self.control.set_slots(slots)

    @stateful.rule()
    def ramp(self):
        self.control.start_ramp(self.now)

    @stateful.invariant()
    def state_agrees(self):
        if not hasattr(self, "control"):
            return
        assert self.control.running == len(self.running)
        assert self.control.queued == len(self.queued)
        assert 1 <= self.control.limit(self.now) <= self.slots
        level = self.control.level(self.now)
        assert 0 <= level.rank <= messages.ANY_RANK

    def teardown(self):
        """Run the controller until it is idle; no request may be left."""
        if not hasattr(self, "control"):
            return
        for _ in range(10_000):
            if not self.running and not self.queued:
                break
            self.now += 10
            self.check_decisions(self.control.expire(self.now))
            if self.running:
                stream = min(self.running)
                del self.running[stream]
                self.ended.add(stream)
                self.check_decisions(
                    self.control.release(stream, self.now, True, 10)
                )
        assert self.control.is_idle
        assert self.ended == set(self.offers)


TestController = ControllerMachine.TestCase
TestController.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
