"""Planned stops, and the answers that nodes give in place of running requests.

A planned stop may not break off a request at which a backend server is at
work, but for requests that the rules excuse.
"""

import collections
from typing import NamedTuple

GRACE_S = 6.0
"""Time that a node has for a planned stop before it is killed."""
COUNTED_S = GRACE_S + 1.0
"""Time after the signal in which the rules count requests."""
EXCUSED_FROM_S = GRACE_S * 5 / 6
"""The last sixth of the grace time excuses requests that still run."""
EXCUSED_SENT_S = 3.0
"""Requests sent later than this after the signal are not excused."""
CANCELLATION_S = 0.2
"""Longest time by which a backend server sees the end of its connection
before the caller gets the answer that was given in its place."""
BUDGET_SLACK_S = 0.05
"""An answer this shortly before the deadline is given for the deadline."""


class Work(NamedTuple):
    """A run of a request that has ended.

    Attributes
    ----------
    is_finished : bool
        Whether the backend server was through, and not broken off.
    """

    started_at: float
    ended_at: float
    is_finished: bool


class PlannedStops:
    """Signals to stop, and the ends of runs."""

    def __init__(self) -> None:
        self._stops: dict[str, list[float]] = collections.defaultdict(list)
        self._ended: dict[tuple[str, str, float], Work] = {}

    def on_stop(self, node: str, at: float) -> None:
        """Record a signal to stop."""
        self._stops[node].append(at)

    def on_run_end(self, request_id: str, endpoint: str, work: Work) -> None:
        """Record that a backend server no longer works on a request."""
        self._ended[request_id, endpoint, work.started_at] = work

    def is_at_work(
        self, request_id: str, endpoint: str, started_at: float, at: float
    ) -> bool:
        """Tell whether an answer at some time ended a run or left it running.

        Parameters
        ----------
        started_at : float
            Start of the run.
        at : float
            Time at which the caller got the answer of a node.
        """
        if started_at > at:
            return False
        work = self._ended.get((request_id, endpoint, started_at))
        if work is None or work.ended_at > at:
            return True
        return not work.is_finished and work.ended_at >= at - CANCELLATION_S

    def is_stopping(self, node: str, at: float) -> bool:
        """Tell whether a planned stop of a node counts at some time."""
        return any(
            stop <= at <= stop + COUNTED_S for stop in self._stops[node]
        )

    def excuses(self, node: str, sent_at: float, at: float) -> bool:
        """Tell whether a stop of the node that took a request excuses its end.

        Parameters
        ----------
        sent_at, at : float
            Times at which the request was sent and answered.
        """
        return any(
            sent_at <= stop + EXCUSED_SENT_S
            and stop + EXCUSED_FROM_S <= at <= stop + COUNTED_S
            for stop in self._stops[node]
        )
