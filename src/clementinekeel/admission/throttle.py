"""Throttles requests at the node where their call chain starts.

The throttle is made for this load pattern: a service deep in the call graph is
overloaded while lookups that need it four times each keep arriving, so that
most of the work is done for requests that fail in the end. For each route, a
node measures the share of *overload failures*: requests that ended because
they, or a call that they depend on, were refused or timed out for lack of
capacity. While this share is high, the node admits fewer requests of the
route.
"""

STEP_S = 0.25
"""Time between two changes of the admitted share; a request takes 0.3 to
1.5 s."""
FAILURE_SHARE_MAX = 0.05
"""Highest share of overload failures that doesn't lower the admitted share; a
few are normal at full utilization."""
DECREASE_FACTOR = 0.3
"""A step with more overload failures reduces the admitted share by this part
of their share."""
INCREASE_STEP = 0.04
"""Growth of the admitted share in any other step; the admitted share returns
to 1 within about six seconds."""
SHARE_MIN = 0.05
"""Share that is always admitted, so that returning capacity is detected."""
STEP_GAIN = 0.5
"""Weight of a step in the average of the share of overload failures."""


class RouteThrottle:
    """Adapts the share of a route's requests that this node admits."""

    def __init__(self) -> None:
        self._share = 1.0
        self._step_end = 0.0
        self._ended = 0.0
        self._overload_failures = 0.0

    def admitted_share(self, now: float) -> float:
        """Return the share of new requests to admit."""
        if now >= self._step_end:
            self._step(now)
        return self._share

    def on_ended(self, is_overload_failure: bool) -> None:
        """Count the end of an admitted request."""
        self._ended += 1
        self._overload_failures += is_overload_failure

    def _step(self, now: float) -> None:
        self._step_end = now + STEP_S
        if not self._ended:
            self._share = min(1.0, self._share + INCREASE_STEP)
            return
        failure_share = self._overload_failures / self._ended
        if failure_share > FAILURE_SHARE_MAX:
            self._share *= 1 - DECREASE_FACTOR * failure_share
            self._share = max(SHARE_MIN, self._share)
        else:
            self._share = min(1.0, self._share + INCREASE_STEP)
        # Earlier steps count too, with decreasing weight, so that a few
        # requests per step suffice.
        self._ended *= 1 - STEP_GAIN
        self._overload_failures *= 1 - STEP_GAIN
