"""Seeds that found a bug in the product; CI runs them again."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that once failed, and the cause."""

    seed: int
    seconds: float
    nodes: int
    cause: str
    profile: str = "mixed"


REGRESSIONS = (
    Regression(
        2,
        15,
        9,
        "A SIGHUP during the start or a planned stop ended the process, as "
        "its handler was not yet set or was already removed.",
    ),
    Regression(
        2,
        15,
        9,
        "A process ended by itself: without a standard output, for an address "
        "that the stopping one still held, and by deeply nested settings.",
        "planned",
    ),
)
