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
    """Picks one endpoint of a tier.

    A tier is the endpoints of a service at the same distance: in the zone of
    the node, elsewhere in its region, or remote.
    """

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
    """Baseline: picks usable endpoints in turn, regardless of their load."""

    def __init__(self, random: random_module.Random) -> None:
        self._position = random.randrange(1 << 16)

    def pick(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
        now_ms: int,
    ) -> _endpoint.EndpointState | None:
        """Return the next usable endpoint."""
        for _ in range(len(endpoints)):
            self._position += 1
            endpoint = endpoints[self._position % len(endpoints)]
            if is_usable(endpoint):
                return endpoint
        return None


@BALANCERS.register("two_choices")
class TwoChoices:
    """Picks the less loaded of two random usable endpoints.

    With the least loaded of all endpoints, every node would send to the same
    one until its next answer. Two random choices spread the requests even
    when the reported loads are outdated.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random

    def pick(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
        now_ms: int,
    ) -> _endpoint.EndpointState | None:
        """Return the endpoint with the lower cost of a random pair."""
        pair = self._draw_pair(endpoints, is_usable)
        if len(pair) < 2:
            usable = [
                endpoint for endpoint in endpoints if is_usable(endpoint)
            ]
            pair = self._random.sample(usable, min(2, len(usable)))
        if not pair:
            return None
        return min(pair, key=lambda endpoint: endpoint.cost(now_ms))

    def _draw_pair(
        self,
        endpoints: Sequence[_endpoint.EndpointState],
        is_usable: Callable[[_endpoint.EndpointState], bool],
    ) -> list[_endpoint.EndpointState]:
        pair: list[_endpoint.EndpointState] = []
        count = len(endpoints)
        if count < 2:
            return pair
        for _ in range(DRAWS_MAX):
            endpoint = endpoints[int(self._random.random() * count)]
            if endpoint not in pair and is_usable(endpoint):
                pair.append(endpoint)
                if len(pair) == 2:
                    break
        return pair
