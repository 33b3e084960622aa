"""Invariants asserted by the code that owns the state.

A violation is counted and logged. With ``FATAL_VARIABLE`` set to 1, as in
tests, it also raises, so that no violation passes unnoticed.
"""

import collections
import os

from clementinekeel.runtime import log

FATAL_VARIABLE = "CLEMENTINEKEEL_FATAL_INVARIANTS"
"""Environment variable that makes violations fatal."""

violations: collections.Counter[str] = collections.Counter()
"""Number of violations since the start, by name of the invariant."""


class InvariantError(AssertionError):
    """An invariant of the program does not hold."""


def check(condition: bool, name: str, **fields: object) -> None:
    """Count and log a violation, and raise if violations are fatal.

    Parameters
    ----------
    condition : bool
        Whether the invariant holds.
    name : str
        Fixed name of the invariant, also the metric label.
    **fields : object
        Details for the log event.

    Raises
    ------
    InvariantError
        If the invariant does not hold and violations are fatal.
    """
    if condition:
        return
    violations[name] += 1
    log.event("invariant_violated", level="ERROR", invariant=name, **fields)
    if os.environ.get(FATAL_VARIABLE) == "1":
        raise InvariantError(f"{name}: {fields}")
