"""Random sequences of calls keep the invariants of the router."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.routing import router

ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
CANDIDATES = [
    messages.Candidate(
        f"e{n}",
        "s",
        zone := f"z{n % 3 + 1}",
        ZONES[zone],
        f"n{n}",
        incarnation,
        "",
    )
    for n in range(6)
    for incarnation in (1, 2)
]
SUBSETS = st.sets(st.sampled_from(CANDIDATES), min_size=1)


class RouterMachine(stateful.RuleBasedStateMachine):
    """Tracks which candidates are listed and which are leaving."""

    @stateful.initialize(
        seed=st.integers(0, 1_000),
        balancer=st.sampled_from(balancers.BALANCERS.names),
        listed=SUBSETS,
    )
    def start(self, seed, balancer, listed):
        self.now = 0
        self.router = router.Router("z1", "r1", random.Random(seed), balancer)
        self.listed = set()
        self.leaving = set()
        self.in_flight = []
        self.update(listed)

    @stateful.rule(listed=SUBSETS)
    def update(self, listed):
        self.leaving &= listed
        self.listed = listed
        self.router.update("s", sorted(listed), self.now)

    @stateful.rule(rank=st.integers(0, 3), excluded=SUBSETS | st.just(set()))
    def choose(self, rank, excluded):
        keys = frozenset((c.node_id, c.incarnation) for c in excluded)
        target = self.router.choose("s", rank, self.now, keys)
        staying = self.listed - self.leaving
        if not isinstance(target, messages.NoTarget):
            assert target in staying - excluded
            self.in_flight.append(target)
        elif target.reason == "overload":
            assert target.retry_after_ms > 0
        else:
            assert target.reason == "no_endpoint"
            assert excluded or not staying, "no endpoint can be chosen"

    @stateful.rule(
        candidate=st.sampled_from(CANDIDATES),
        signal=st.sampled_from(messages.Signal),
        rank=st.sampled_from([0, 1, 255]),
        load=st.floats(0, 3),
        retry=st.integers(0, 10_000),
    )
    def observe(self, candidate, signal, rank, load, retry):
        if candidate in self.in_flight:
            self.in_flight.remove(candidate)
        if signal is messages.Signal.LEAVING and candidate in self.listed:
            self.leaving.add(candidate)
        observation = messages.Observation(signal, rank, load, retry, 1.0)
        self.router.observe(candidate, observation, self.now)

    @stateful.rule(duration=st.integers(0, 20_000))
    def advance(self, duration):
        self.now += duration

    @stateful.invariant()
    def rank_0_always_has_a_target(self):
        if not hasattr(self, "router"):
            return
        if self.listed <= self.leaving:
            return
        target = self.router.choose("s", 0, self.now, frozenset())
        assert isinstance(target, messages.Candidate)
        cancelled = messages.Observation(
            messages.Signal.CANCELLED, 0, 0.0, 0, 0.0
        )
        self.router.observe(target, cancelled, self.now)

    @stateful.invariant()
    def at_most_half_is_ejected(self):
        if not hasattr(self, "router"):
            return
        states = self.router._services["s"].endpoints
        staying = [e for e in states if not e.is_leaving]
        ejected = [e for e in staying if e.is_ejected(self.now)]
        assert 2 * len(ejected) <= len(staying)


TestRouter = RouterMachine.TestCase
TestRouter.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
