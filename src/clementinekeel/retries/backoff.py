"""Delay before another attempt."""

import random

BASE_MS = 25
MAX_MS = 1_000


def delay_ms(
    number: int, retry_after_ms: int, random_source: random.Random
) -> float:
    """Return a delay with full jitter, after the server's hint.

    Parameters
    ----------
    number : int
        Attempts made so far, from 1; the range doubles with each.
    retry_after_ms : int
        The server's hint. The jitter is added to it, because callers that
        were refused together would otherwise return together.
    random_source : random.Random
        Source of the jitter.
    """
    # The exponent is bounded, so that a large number stays cheap.
    exponent = min(number - 1, MAX_MS.bit_length())
    span = min(MAX_MS, BASE_MS << exponent)
    return max(0, retry_after_ms) + random_source.uniform(0, span)
