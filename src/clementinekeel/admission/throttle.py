"""Turns requests away where they begin, before they cost anything.

Load pattern answered: a service deep in the call graph is overloaded while
lookups that need it four times each keep arriving, so that most of their work
is done for requests that fail in the end. Each node follows, for each route,
which share of the requests that began ended because a call below them found
no room, and lets a smaller share begin while that is high.
"""

STEP_S = 0.25
"""Time between two changes of the share; a request takes 0.3 to 1.5 s."""
TOLERATED = 0.05
"""Share of starved requests that is taken for the price of full use."""
DECREASE = 0.3
"""Part of the starved share by which the admitted share shrinks."""
INCREASE = 0.04
"""Growth of the admitted share in each step without starved requests; the
share is back at 1 within about six seconds."""
MIN_SHARE = 0.05
"""Share that is always let in, to notice when there is room again."""
SAMPLE_GAIN = 0.5
"""Weight of a step in the average of the starved share."""


class RouteThrottle:
    """Share of a route's requests that may begin at this node."""

    def __init__(self) -> None:
        self._share = 1.0
        self._step_end = 0.0
        self._ended = 0.0
        self._starved = 0.0

    def admitted_share(self, now: float) -> float:
        """Return the share of new requests that may begin."""
        if now >= self._step_end:
            self._step(now)
        return self._share

    def on_ended(self, was_starved: bool) -> None:
        """Count the end of a request that had begun."""
        self._ended += 1
        self._starved += was_starved

    def _step(self, now: float) -> None:
        self._step_end = now + STEP_S
        if not self._ended:
            self._share = min(1.0, self._share + INCREASE)
            return
        starved = self._starved / self._ended
        if starved > TOLERATED:
            self._share *= 1 - DECREASE * starved
            self._share = max(MIN_SHARE, self._share)
        else:
            self._share = min(1.0, self._share + INCREASE)
        # Older steps count less, so that few requests a step suffice.
        self._ended *= 1 - SAMPLE_GAIN
        self._starved *= 1 - SAMPLE_GAIN
