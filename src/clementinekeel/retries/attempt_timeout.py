"""How long an idempotent request waits before another endpoint gets it.

Load pattern answered: an endpoint, or the node beside it, is frozen, cut off
or gives no answer to a part of its requests, while the other endpoints of the
service have room. Such a request would wait until its deadline; sent to
another endpoint it is answered in time. Overload also delays answers, and more
requests would only add to it, so that this needs an endpoint with free slots.
"""

FACTOR = 6.0
"""Waiting time as a multiple of the time that a request usually holds a slot.
At 4, requests of slow chains that would have been answered were taken back,
which cost a fifth more bytes between zones."""
MIN_WAIT_MS = 250.0
"""Shortest waiting time: a processor share that is used up pauses a node for
up to 100 ms, and a short call may wait as long for a slot."""
FREE_SHARE = 0.8
"""Load of an endpoint, as a share of its slots, up to which it has room."""


def timeout_ms(service_ms: float, transit_ms: float, left_ms: float) -> float:
    """Return how long to wait for an answer before a second try.

    Parameters
    ----------
    service_ms : float
        Average time for which a request holds a slot at the endpoint.
    transit_ms : float
        Average time on the way there and back.
    left_ms : float
        Time until the caller stops waiting.

    Returns
    -------
    float
        Milliseconds from the offer; infinite if a second try would come too
        late to be answered.
    """
    wanted = max(MIN_WAIT_MS, FACTOR * service_ms) + transit_ms
    # An earlier try is better than none as long as most answers would have
    # come by then.
    latest = left_ms - 1.5 * service_ms - transit_ms
    if latest < 2 * service_ms + transit_ms:
        return float("inf")
    return min(wanted, latest)


def has_room(load: int, slots: int) -> bool:
    """Tell whether an endpoint can take a second try."""
    return load < FREE_SHARE * slots
