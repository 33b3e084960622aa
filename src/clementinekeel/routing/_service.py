"""Endpoints of one service, grouped by distance, with outlier ejection.

An endpoint is ejected, which means not chosen for a while, after it was
unreachable or failed several times in a row.
"""

import random as random_module

from clementinekeel.routing import _endpoint
from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.runtime import invariants

FAILURES_TO_EJECT = 5
EJECTION_MS = 1_000
EJECTION_MAX_MS = 60_000
# Bounds of the random factor of an ejection's duration, so that the routers
# don't all return to the endpoint at once.
EJECTION_JITTER_MIN = 0.5
EJECTION_JITTER_MAX = 1.5
EJECTED_SHARE_MAX = 0.5

Endpoints = list[_endpoint.EndpointState]


class ServiceState:
    """State of the endpoints of one service, as seen by this router."""

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
        self._ejected: Endpoints = []
        self.in_zone: Endpoints = []
        self.in_region: Endpoints = []
        self.remote: Endpoints = []

    @property
    def endpoints(self) -> Endpoints:
        """All endpoints."""
        return [*self.in_zone, *self.in_region, *self.remote]

    def find(
        self, candidate: messages.Candidate
    ) -> _endpoint.EndpointState | None:
        """Return the endpoint of a candidate, or None if it was removed."""
        return self._endpoints.get(_identity(candidate))

    def update(
        self, candidates: list[messages.Candidate], now_ms: int
    ) -> None:
        """Replace the endpoints; keep the state of those still listed."""
        previous = self._endpoints
        self._endpoints = {}
        for candidate in candidates:
            identity = _identity(candidate)
            endpoint = previous.get(identity) or _endpoint.EndpointState(
                candidate
            )
            endpoint.candidate = candidate
            self._endpoints[identity] = endpoint
        self._group_by_tier()
        self._limit_ejected(now_ms)

    def on_failure(
        self,
        endpoint: _endpoint.EndpointState,
        is_unreachable: bool,
        now_ms: int,
    ) -> None:
        """Count a failure; eject the endpoint if it is an outlier."""
        endpoint.failures = min(endpoint.failures + 1, FAILURES_TO_EJECT)
        is_outlier = is_unreachable or endpoint.failures >= FAILURES_TO_EJECT
        if not is_outlier or endpoint.is_ejected(now_ms):
            return
        self._prune_ejected(now_ms)
        if len(self._ejected) + 1 > self._ejected_max():
            return
        backoff_ms = min(EJECTION_MS << endpoint.ejections, EJECTION_MAX_MS)
        jitter = self._random.uniform(EJECTION_JITTER_MIN, EJECTION_JITTER_MAX)
        endpoint.ejected_until_ms = now_ms + int(backoff_ms * jitter)
        # Bounds the shift, which has no effect beyond EJECTION_MAX_MS.
        endpoint.ejections = min(endpoint.ejections + 1, 10)
        self._ejected.append(endpoint)
        self._check_ejected()

    def on_answer(self, endpoint: _endpoint.EndpointState) -> None:
        """Reset the failures of an endpoint that has answered."""
        endpoint.failures = 0
        endpoint.ejections = 0
        if endpoint.ejected_until_ms:
            endpoint.ejected_until_ms = 0
            self._ejected = [e for e in self._ejected if e is not endpoint]

    def on_leaving(
        self, endpoint: _endpoint.EndpointState, now_ms: int
    ) -> None:
        """Mark an endpoint as leaving for the rest of its incarnation."""
        endpoint.is_leaving = True
        self._limit_ejected(now_ms)

    def _group_by_tier(self) -> None:
        self.in_zone = []
        self.in_region = []
        self.remote = []
        for endpoint in self._endpoints.values():
            self._tier(endpoint.candidate).append(endpoint)

    def _tier(self, candidate: messages.Candidate) -> Endpoints:
        if candidate.region != self._region:
            return self.remote
        if candidate.zone != self._zone:
            return self.in_region
        return self.in_zone

    def _ejected_max(self) -> int:
        # Endpoints that are leaving don't count: they are not chosen either.
        staying = sum(not e.is_leaving for e in self._endpoints.values())
        return int(EJECTED_SHARE_MAX * staying)

    def _prune_ejected(self, now_ms: int) -> None:
        self._ejected = [
            endpoint
            for endpoint in self._ejected
            if endpoint.is_ejected(now_ms)
            and not endpoint.is_leaving
            and self.find(endpoint.candidate) is endpoint
        ]

    def _limit_ejected(self, now_ms: int) -> None:
        """Readmit endpoints while more than the allowed share is ejected."""
        self._prune_ejected(now_ms)
        self._ejected.sort(key=lambda endpoint: endpoint.ejected_until_ms)
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
