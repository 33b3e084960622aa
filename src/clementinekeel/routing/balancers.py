"""Choice among the endpoints of one tier."""

from collections.abc import Callable, Sequence
import random as random_module
from typing import Protocol

from clementinekeel.routing import _endpoint
from clementinekeel.runtime import registry

# With half of the endpoints unusable, 8 draws find two usable ones in 96 of
# 100 choices without reading the whole tier.
DRAWS_MAX = 8


class Balancer(Protocol):
    """Picks one endpoint of a tier."""

    def pick(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
        now_ms: int,
    ) -> _endpoint.EndpointState | None:
        """Return a usable endpoint, or None if there is none."""


BalancerFactory = Callable[[random_module.Random], Balancer]

BALANCERS: registry.Registry[BalancerFactory] = registry.Registry("balancer")


@BALANCERS.register("round_robin")
class RoundRobin:
    """Baseline: takes usable endpoints in turn, whatever their load."""

    def __init__(self, random: random_module.Random) -> None:
        self._cursor = random.randrange(1 << 16)

    def pick(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
        now_ms: int,
    ) -> _endpoint.EndpointState | None:
        """Return the next usable endpoint."""
        for _ in range(len(endpoints)):
            self._cursor += 1
            endpoint = endpoints[self._cursor % len(endpoints)]
            if is_usable(endpoint):
                return endpoint
        return None


@BALANCERS.register("two_choices")
class TwoChoices:
    """Takes the better of two random usable endpoints.

    The best of all would send every node to the same endpoint until its next
    answer; two random ones spread the requests on stale figures too.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random

    def pick(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
        now_ms: int,
    ) -> _endpoint.EndpointState | None:
        """Return the less loaded one of two."""
        pair = self._draw(endpoints, is_usable)
        if len(pair) < 2:
            usable = [entry for entry in endpoints if is_usable(entry)]
            pair = self._random.sample(usable, min(2, len(usable)))
        if not pair:
            return None
        return min(pair, key=lambda entry: entry.score(now_ms))

    def _draw(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
    ) -> list[_endpoint.EndpointState]:
        pair: list[_endpoint.EndpointState] = []
        count = len(endpoints)
        if count < 2:
            return pair
        for _ in range(DRAWS_MAX):
            entry = endpoints[int(self._random.random() * count)]
            if entry not in pair and is_usable(entry):
                pair.append(entry)
                if len(pair) == 2:
                    break
        return pair
