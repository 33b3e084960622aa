"""Which endpoint of a service gets the next request.

Load pattern answered: endpoints of one service differ in speed by a factor of
three, some slow down further for seconds, and zones send unequal load, so that
the near endpoint fills up while farther ones have free slots. A request goes
where its answer is expected first; a distance counts as the time it costs.
"""

from collections.abc import Callable, Iterable
import enum
from typing import NamedTuple

from clementinekeel.runtime import registry


class Tier(enum.IntEnum):
    """Distance of an endpoint from the node that sends to it."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


TIER_MS = {Tier.ZONE: 0.0, Tier.REGION: 4.0, Tier.REMOTE: 90.0}
"""Cost of a distance: the round trip, and for other regions half of it again,
since their link is narrow and shared by all."""
CROWDING_SHARE = 0.5
"""Expected loss at a full endpoint, as a share of its service time: its load
changes while the request is on its way."""
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
    is_suspect : bool
        Whether requests failed there recently.
    """

    name: str
    tier: Tier
    slots: int
    load: int
    service_ms: float
    is_cold: bool
    is_suspect: bool


def expected_ms(candidate: Candidate) -> float:
    """Return the expected time until an answer from a candidate."""
    slots = max(1, candidate.slots)
    service_ms = candidate.service_ms
    if candidate.is_cold:
        service_ms *= COLD_FACTOR
    excess = max(0, candidate.load + 1 - slots)
    crowding = min(1.0, candidate.load / slots) ** 4 * CROWDING_SHARE
    expected = TIER_MS[candidate.tier] + service_ms * (
        1 + excess / slots + crowding
    )
    return expected + (PENALTY_MS if candidate.is_suspect else 0.0)


Placement = Callable[[Iterable[Candidate]], Candidate | None]
PLACEMENTS: registry.Registry[Placement] = registry.Registry("placement")


@PLACEMENTS.register("expected_time")
def choose_by_expected_time(
    candidates: Iterable[Candidate],
) -> Candidate | None:
    """Return the candidate with the least expected time, or None."""
    return min(candidates, key=expected_ms, default=None)


@PLACEMENTS.register("nearest")
def choose_nearest(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the least loaded candidate of the nearest tier, or None.

    The baseline: it fills a slow near endpoint while a farther one is idle.
    """
    return min(
        candidates,
        key=lambda c: (c.tier, c.load / max(1, c.slots)),
        default=None,
    )
