"""Which endpoint of a service gets the next request.

The default placement is made for this load pattern: endpoints of one service
differ in speed by a factor of three, some slow down further for seconds, and
zones send unequal load, so that the near endpoint fills up while farther ones
have free slots. A request goes to the endpoint with the least expected cost,
in milliseconds: mostly the wait there and a cost for the distance, which grows
with the size of the request.
"""

from collections.abc import Callable, Sequence
import enum
from typing import NamedTuple

from clementinekeel.runtime import registry


class Tier(enum.IntEnum):
    """Distance of an endpoint from the node that sends to it."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


TIER_COST_MS = {Tier.ZONE: 0.0, Tier.REGION: 6.0, Tier.REMOTE: 90.0}
"""Cost of a distance: the round trip, and for other regions another half of
it, since all nodes share their link."""
TIER_COST_MS_PER_KB = {Tier.ZONE: 0.0, Tier.REGION: 20.0, Tier.REMOTE: 40.0}
"""Cost of each KB over a distance. Links between zones and regions are billed
by volume: a lookup of 5 KB leaves its zone only if it would wait more than
100 ms there, and a recording of 60 KB only if the zone has no endpoint."""
EXPLORATION_SHARE = 1 / 32
"""Share of the requests that go to a random endpoint in the region, so that
endpoints that are new or were slow are measured."""
EXPLORATION_MAX_BYTES = 8 * 1024
"""Larger requests don't go to random endpoints, because their volume would be
billed."""
FULL_WAIT_SHARE = 0.5
"""Expected wait at an endpoint whose slots are all in use, as a share of its
service time: the load changes while the request is on its way."""
USUAL_SPEED_RATIO = 3.0
"""Endpoints of one service differ in speed by up to this factor. Within it a
slower endpoint has no extra cost: callers gain nothing from a faster one,
since latency objectives are ten times the service time, and requests to the
fastest one would leave their zone without need."""
WARM_UP_SLOWDOWN = 2.0
"""Factor on the service time of an endpoint that has just started: it works at
about half its speed."""
MIN_SLOTS = 0.01
"""Least number of slots that is assumed of an endpoint that takes requests."""
SUSPECT_PENALTY_MS = 400.0
"""Cost of an endpoint that failed or timed out recently; it still gets
requests when the cost of all others is higher by more than this."""


class Candidate(NamedTuple):
    """An endpoint that accepts requests, as seen by the node that chooses.

    Attributes
    ----------
    name : str
        Identifies the endpoint to the caller; has no effect on the choice.
    slots : float
        Requests that it processes concurrently; fewer than its slots, or less
        than one, if its rate limit allows no more.
    load : int
        Requests that run or wait at the endpoint.
    service_ms : float
        Average time for which a request holds a slot.
    transit_ms : float
        Average time on the way to the endpoint and back.
    is_warming_up : bool
        Whether its backend server has just started and is still slower.
    is_suspect : bool
        Whether requests to it failed recently.
    """

    name: str
    tier: Tier
    slots: float
    load: int
    service_ms: float
    transit_ms: float
    is_warming_up: bool
    is_suspect: bool


def expected_cost_ms(
    candidate: Candidate, size_bytes: int, fastest_ms: float
) -> float:
    """Return the expected cost of a candidate, without its service time.

    Parameters
    ----------
    size_bytes : int
        Size of the request's body and expected size of the answer.
    fastest_ms : float
        Service time of the fastest endpoint of the service.

    Returns
    -------
    float
        Sum of the wait, the cost of the distance, the excess of the service
        time over the usual one and the penalty for failures, in milliseconds.
    """
    slots = max(MIN_SLOTS, candidate.slots)
    service_ms = candidate.service_ms
    if candidate.is_warming_up:
        service_ms *= WARM_UP_SLOWDOWN
    excess = max(0, candidate.load + 1 - slots)
    wait_share = min(1.0, candidate.load / slots) ** 4 * FULL_WAIT_SHARE
    distance_cost_ms = max(candidate.transit_ms, TIER_COST_MS[candidate.tier])
    distance_cost_ms += TIER_COST_MS_PER_KB[candidate.tier] * size_bytes / 1024
    wait_ms = service_ms * (excess / slots + wait_share)
    slowness_ms = max(0.0, service_ms - USUAL_SPEED_RATIO * fastest_ms)
    cost_ms = distance_cost_ms + wait_ms + slowness_ms
    return cost_ms + (SUSPECT_PENALTY_MS if candidate.is_suspect else 0.0)


Placement = Callable[[Sequence[Candidate], int, float], Candidate | None]
"""Parameters: candidates, the size in bytes, a random number in [0, 1)."""
PLACEMENTS: registry.Registry[Placement] = registry.Registry("placement")


@PLACEMENTS.register("expected_time")
def choose_by_expected_time(
    candidates: Sequence[Candidate], size_bytes: int, draw: float
) -> Candidate | None:
    """Return the candidate with the least expected cost, or None.

    A share of the small requests goes to a random candidate in the region
    instead.
    """
    if draw < EXPLORATION_SHARE and size_bytes <= EXPLORATION_MAX_BYTES:
        near = [
            c
            for c in candidates
            if c.tier is not Tier.REMOTE
            and not c.is_suspect
            and c.load < c.slots
        ]
        if near:
            return near[int(draw / EXPLORATION_SHARE * len(near))]
    fastest_ms = min((c.service_ms for c in candidates), default=0.0)
    return min(
        candidates,
        key=lambda c: expected_cost_ms(c, size_bytes, fastest_ms),
        default=None,
    )


@PLACEMENTS.register("nearest")
def choose_nearest(
    candidates: Sequence[Candidate], size_bytes: int, draw: float
) -> Candidate | None:
    """Return the least loaded candidate of the nearest tier, or None.

    The baseline: a slow near endpoint fills up while a farther one is idle.
    """
    return min(
        candidates,
        key=lambda c: (c.tier, c.load / max(1, c.slots)),
        default=None,
    )
