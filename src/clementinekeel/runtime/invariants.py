"""Invariants asserted by the code that owns the state.

A violation is counted and logged. In tests it also raises, so that no
violation passes unnoticed.
"""

import collections
import os

from clementinekeel.runtime import log

FATAL_VARIABLE = "CLEMENTINEKEEL_FATAL_INVARIANTS"

violations: collections.Counter[str] = collections.Counter()


class InvariantError(AssertionError):
    """An invariant of the program does not hold."""


def check(condition: bool, name: str, **fields: object) -> None:
    """Count, log and possibly raise when an invariant does not hold.

    Parameters
    ----------
    condition : bool
        Whether the invariant holds.
    name : str
        Fixed name of the invariant, used as metric label.
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
