"""Seeds that found a bug in the product; CI runs them again."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that once failed, and the cause.

    Attributes
    ----------
    faults : str
        Names of the profile's faults to draw from; empty for all.
    """

    seed: int
    seconds: float
    nodes: int
    cause: str
    profile: str = "mixed"
    faults: str = ""


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
    Regression(
        41,
        24,
        12,
        "A stopping node took requests of others that lasted beyond its end, "
        "so that callers of nodes that did not stop got 502 in their place.",
        "planned",
        "stop_series",
    ),
)
