"""Which endpoint of a service gets the next request.

Load pattern answered: endpoints of one service differ in speed by a factor of
three, some slow down further for seconds, and zones send unequal load, so that
the near endpoint fills up while farther ones have free slots. A request goes
where it waits least; a distance counts as a time, by volume.
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


TIER_MS = {Tier.ZONE: 0.0, Tier.REGION: 6.0, Tier.REMOTE: 90.0}
"""Cost of a distance: the round trip, and for other regions half of it again,
since their link is shared by all."""
TIER_MS_PER_KB = {Tier.ZONE: 0.0, Tier.REGION: 20.0, Tier.REMOTE: 40.0}
"""Cost of each KB over a distance. Links between zones and regions are billed
by volume: a lookup of 5 KB waits 100 ms for an endpoint of its zone before it
leaves it, and a recording of 60 KB leaves it only when there is no other."""
EXPLORED_SHARE = 1 / 32
"""Requests that go to any endpoint nearby, so that an endpoint that was slow
or is new is measured again."""
EXPLORED_BYTES = 8 * 1024
"""Larger requests don't explore: they would be billed for it."""
CROWDING_SHARE = 0.5
"""Expected loss at a full endpoint, as a share of its service time: its load
changes while the request is on its way."""
USUAL_SPREAD = 3.0
"""Endpoints of one service differ in speed by up to this factor. Within it the
faster one gains a caller nothing, as objectives are ten times the work, and
sending all to the fastest would cross zones for nothing."""
COLD_FACTOR = 2.0
"""An endpoint that has just started works at about half its speed."""
PENALTY_MS = 400.0
"""Cost of an endpoint that failed or timed out recently; it still gets work
when all others would take longer than this."""


class Candidate(NamedTuple):
    """An endpoint that takes requests, as its observer sees it.

    Attributes
    ----------
    load : int
        Requests that run or wait there.
    service_ms : float
        Average time for which a request holds a slot.
    transit_ms : float
        Average time on the way there and back.
    is_suspect : bool
        Whether requests failed there recently.
    """

    name: str
    tier: Tier
    slots: int
    load: int
    service_ms: float
    transit_ms: float
    is_cold: bool
    is_suspect: bool


def expected_ms(
    candidate: Candidate, size_bytes: int, fastest_ms: float
) -> float:
    """Return the expected cost of a candidate beyond the work itself.

    Parameters
    ----------
    size_bytes : int
        Length of the request's body and, as expected, of its answer.
    fastest_ms : float
        Service time of the fastest endpoint of the service.

    Returns
    -------
    float
        Time on the way and in the queue, distance as a time, and how much
        slower the endpoint is than is usual, in milliseconds.
    """
    slots = max(1, candidate.slots)
    service_ms = candidate.service_ms
    if candidate.is_cold:
        service_ms *= COLD_FACTOR
    excess = max(0, candidate.load + 1 - slots)
    crowding = min(1.0, candidate.load / slots) ** 4 * CROWDING_SHARE
    distance_ms = max(candidate.transit_ms, TIER_MS[candidate.tier])
    distance_ms += TIER_MS_PER_KB[candidate.tier] * size_bytes / 1024
    waiting_ms = service_ms * (excess / slots + crowding)
    slowness_ms = max(0.0, service_ms - USUAL_SPREAD * fastest_ms)
    expected = distance_ms + waiting_ms + slowness_ms
    return expected + (PENALTY_MS if candidate.is_suspect else 0.0)


Placement = Callable[[Sequence[Candidate], int, float], Candidate | None]
"""Takes candidates, the size in bytes and a random number in [0, 1)."""
PLACEMENTS: registry.Registry[Placement] = registry.Registry("placement")


@PLACEMENTS.register("expected_time")
def choose_by_expected_time(
    candidates: Sequence[Candidate], size_bytes: int, draw: float
) -> Candidate | None:
    """Return the candidate with the least expected time, or None."""
    if draw < EXPLORED_SHARE and size_bytes <= EXPLORED_BYTES:
        near = [
            c
            for c in candidates
            if c.tier is not Tier.REMOTE
            and not c.is_suspect
            and c.load < c.slots
        ]
        if near:
            return near[int(draw / EXPLORED_SHARE * len(near))]
    fastest_ms = min((c.service_ms for c in candidates), default=0.0)
    return min(
        candidates,
        key=lambda c: expected_ms(c, size_bytes, fastest_ms),
        default=None,
    )


@PLACEMENTS.register("nearest")
def choose_nearest(
    candidates: Sequence[Candidate], size_bytes: int, draw: float
) -> Candidate | None:
    """Return the least loaded candidate of the nearest tier, or None.

    The baseline: it fills a slow near endpoint while a farther one is idle.
    """
    return min(
        candidates,
        key=lambda c: (c.tier, c.load / max(1, c.slots)),
        default=None,
    )
