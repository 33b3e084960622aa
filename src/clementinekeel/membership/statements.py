"""What backend servers stated before the links to their nodes were lost.

A node that restarts knows nothing of what its backend server stated before.
The other nodes have passed these statements on to callers: they keep to them,
and return them to the node.
"""

from typing import NamedTuple

MEMORY_S = 60.0
"""Time for which a statement is kept after the link was lost; a node that
restarts returns within seconds."""


class Incarnation(NamedTuple):
    """One incarnation of a backend server.

    Attributes
    ----------
    started_ms : int
        Start of the backend server, in Unix milliseconds.
    """

    endpoint: str
    started_ms: int


class Statement(NamedTuple):
    """What a backend server stated.

    Attributes
    ----------
    rate_limit_per_s : float or None
        Requests a second that it takes from all nodes together.
    is_leaving : bool
        Whether it is about to stop.
    """

    rate_limit_per_s: float | None
    is_leaving: bool


_NONE = Statement(None, False)


class StatementMemory:
    """Statements of the backend servers to whose nodes links were lost."""

    def __init__(self) -> None:
        self._recorded: dict[Incarnation, tuple[Statement, float]] = {}

    def record(
        self, incarnation: Incarnation, statement: Statement, now: float
    ) -> None:
        """Record what an incarnation stated when the link was lost.

        Parameters
        ----------
        now : float
            The runtime's clock, in seconds.
        """
        self._recorded.pop(incarnation, None)
        self._forget_old(now)
        if statement != _NONE:
            self._recorded[incarnation] = statement, now

    def recall(self, incarnation: Incarnation, now: float) -> Statement | None:
        """Return what an incarnation stated, or None."""
        self._forget_old(now)
        recorded = self._recorded.get(incarnation)
        return recorded[0] if recorded is not None else None

    def _forget_old(self, now: float) -> None:
        # In the order of recording, so that the oldest are first.
        for incarnation, (_, recorded_at) in list(self._recorded.items()):
            if now - recorded_at <= MEMORY_S:
                return
            del self._recorded[incarnation]
