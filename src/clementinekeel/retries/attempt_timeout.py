"""Timeout of one attempt of an idempotent request.

It handles an endpoint, or the node on its VM, that is paused, cut off or does
not answer part of its requests, while the other endpoints of the service have
free slots. Without a timeout such a request would wait until its deadline;
retried at another endpoint, it is answered in time. Overload also delays
answers, and retries would add to it, so a request is retried only at an
endpoint with free slots.
"""

SERVICE_TIME_FACTOR = 6.0
"""Timeout as a multiple of the average time that a request holds a slot. At
4, requests of slow call chains that would have been answered were withdrawn,
which added a fifth to the bytes between zones."""
MIN_TIMEOUT_MS = 250.0
"""Shortest timeout: a node that has used up its CPU quota pauses for up to
100 ms, and a short call may wait as long for a slot."""
MAX_LOAD_SHARE = 0.8
"""Share of its slots in use below which an endpoint gets retries."""


def timeout_ms(
    service_ms: float, transit_ms: float, remaining_ms: float
) -> float:
    """Return how long to wait for an answer before a retry.

    Parameters
    ----------
    service_ms : float
        Average time for which a request holds a slot at the endpoint.
    transit_ms : float
        Average network round-trip time.
    remaining_ms : float
        Time until the request's deadline.

    Returns
    -------
    float
        Milliseconds from sending; infinite if a retry would come
        too late to be answered.
    """
    usual_ms = (
        max(MIN_TIMEOUT_MS, SERVICE_TIME_FACTOR * service_ms) + transit_ms
    )
    # When time is short, the retry is made earlier, as long as most answers
    # to the first attempt would have arrived by then.
    latest_ms = remaining_ms - 1.5 * service_ms - transit_ms
    if latest_ms < 2 * service_ms + transit_ms:
        return float("inf")
    return min(usual_ms, latest_ms)


def has_spare_slots(load: int, slots: float) -> bool:
    """Tell whether an endpoint has spare slots for a retry."""
    return load < MAX_LOAD_SHARE * slots
