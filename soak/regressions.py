"""Seeds that found a fault of the product; they are played again in CI."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that failed once, and why."""

    seed: int
    seconds: float
    nodes: int
    cause: str


REGRESSIONS = (
    Regression(
        2,
        15,
        9,
        "A SIGHUP during the start or a planned stop ended the process, as "
        "its handlers were not set yet or removed already.",
    ),
)
