"""Endpoints of one service, by distance, and its outliers."""

import random as random_module

from clementinekeel.routing import _endpoint
from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.runtime import invariants

FAILURES_TO_EJECT = 5
EJECTION_MS = 1_000
EJECTION_MAX_MS = 60_000
# Spread of an ejection, so that routers don't return all at once.
JITTER_MIN = 0.5
JITTER_MAX = 1.5
EJECTED_SHARE_MAX = 0.5

Tier = list[_endpoint.EndpointState]


class Service:
    """State of one service at a router."""

    def __init__(
        self,
        zone: str,
        region: str,
        random: random_module.Random,
        balancer: balancers.Balancer,
    ) -> None:
        self._zone = zone
        self._region = region
        self._random = random
        self.balancer = balancer
        self._endpoints: dict[tuple[str, int, str], _endpoint.EndpointState]
        self._endpoints = {}
        self._ejected: Tier = []
        self.in_zone: Tier = []
        self.in_region: Tier = []
        self.remote: Tier = []

    @property
    def endpoints(self) -> Tier:
        """All endpoints."""
        return [*self.in_zone, *self.in_region, *self.remote]

    def find(
        self, candidate: messages.Candidate
    ) -> _endpoint.EndpointState | None:
        """Return the state of a candidate, or None if it was removed."""
        return self._endpoints.get(_identity(candidate))

    def update(
        self, candidates: list[messages.Candidate], now_ms: int
    ) -> None:
        """Replace the endpoints and keep the state of those that remain."""
        known = self._endpoints
        self._endpoints = {}
        for candidate in candidates:
            identity = _identity(candidate)
            state = known.get(identity) or _endpoint.EndpointState(candidate)
            state.candidate = candidate
            self._endpoints[identity] = state
        self._sort_tiers()
        self._limit_ejected(now_ms)

    def fail(
        self, state: _endpoint.EndpointState, is_unreachable: bool, now_ms: int
    ) -> None:
        """Count a failure and eject an outlier."""
        state.failures = min(state.failures + 1, FAILURES_TO_EJECT)
        is_outlier = is_unreachable or state.failures >= FAILURES_TO_EJECT
        if not is_outlier or state.is_ejected(now_ms):
            return
        self._forget_returned(now_ms)
        if len(self._ejected) + 1 > self._ejected_max():
            return
        backoff_ms = min(EJECTION_MS << state.ejections, EJECTION_MAX_MS)
        jitter = self._random.uniform(JITTER_MIN, JITTER_MAX)
        state.ejected_until_ms = now_ms + int(backoff_ms * jitter)
        # The shift stays small; beyond the maximum it has no effect.
        state.ejections = min(state.ejections + 1, 10)
        self._ejected.append(state)
        self._check_ejected()

    def recover(self, state: _endpoint.EndpointState) -> None:
        """Forget the failures of an endpoint that has answered."""
        state.failures = 0
        state.ejections = 0
        if state.ejected_until_ms:
            state.ejected_until_ms = 0
            self._ejected = [e for e in self._ejected if e is not state]

    def leave(self, state: _endpoint.EndpointState, now_ms: int) -> None:
        """Mark an endpoint as leaving for the rest of its incarnation."""
        state.is_leaving = True
        self._limit_ejected(now_ms)

    def _sort_tiers(self) -> None:
        self.in_zone = []
        self.in_region = []
        self.remote = []
        for state in self._endpoints.values():
            self._tier(state.candidate).append(state)

    def _tier(self, candidate: messages.Candidate) -> Tier:
        if candidate.region != self._region:
            return self.remote
        if candidate.zone != self._zone:
            return self.in_region
        return self.in_zone

    def _ejected_max(self) -> int:
        # An endpoint that leaves is not chosen either, so it doesn't count.
        staying = sum(not e.is_leaving for e in self._endpoints.values())
        return int(EJECTED_SHARE_MAX * staying)

    def _forget_returned(self, now_ms: int) -> None:
        self._ejected = [
            state
            for state in self._ejected
            if state.is_ejected(now_ms)
            and not state.is_leaving
            and self.find(state.candidate) is state
        ]

    def _limit_ejected(self, now_ms: int) -> None:
        """Readmit endpoints when the service has become smaller."""
        self._forget_returned(now_ms)
        self._ejected.sort(key=lambda state: state.ejected_until_ms)
        while len(self._ejected) > self._ejected_max():
            self._ejected.pop(0).ejected_until_ms = 0
        self._check_ejected()

    def _check_ejected(self) -> None:
        count = len(self._ejected)
        invariants.check(
            count <= self._ejected_max(), "routing_ejected_half", ejected=count
        )


def _identity(candidate: messages.Candidate) -> tuple[str, int, str]:
    return candidate.node_id, candidate.incarnation, candidate.endpoint
