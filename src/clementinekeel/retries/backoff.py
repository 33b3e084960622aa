"""Delay before another attempt."""

import random

BASE_MS = 25
MAX_MS = 1_000


def delay_ms(
    number: int, retry_after_ms: int, random_source: random.Random
) -> float:
    """Return a delay with full jitter, added to the server's hint.

    Parameters
    ----------
    number : int
        Attempts made so far, from 1; the jitter range doubles with each.
    retry_after_ms : int
        The server's hint. The jitter is added to it, because callers that
        were refused at the same time would otherwise retry at the same time.
    random_source : random.Random
        Source of the jitter.
    """
    # Bounded, because a shift by a large number would build a huge integer.
    exponent = min(number - 1, MAX_MS.bit_length())
    span = min(MAX_MS, BASE_MS << exponent)
    return max(0, retry_after_ms) + random_source.uniform(0, span)
