"""Times of a planned stop, and which requests are still taken during it."""

from typing import NamedTuple

MAX_KILL_MARGIN_S = 0.8
"""Time between the last answers and the kill; on a busy VM, a process needs
some tenths of a second to end."""
KILL_MARGIN_SHARE = 0.15
"""Largest share of the grace time for that margin. The operators allow
requests to be broken off in the last sixth."""
FLUSH_SHARE = 0.4
"""Part of that margin in which the last answers may still be sent; the rest is
for the end of the process."""
MAX_CALLER_DRAIN_S = 2.6
"""Time in which callers still send new requests: the platform checks the
readiness once a second and stops sending callers to a node after two negative
answers."""
CALLER_DRAIN_SHARE = 0.5
"""Largest share of the time before the end; the rest is for their answers."""
BACKEND_DRAIN_SHARE = 0.54
"""Part of the time for callers in which other nodes may still send requests
to the backend server; the rest is enough to answer them."""


class StopPlan(NamedTuple):
    """Times of a planned stop, in seconds after the signal.

    Attributes
    ----------
    backend_drain_s : float
        Until when other nodes may send requests to the backend server, if
        these are sure to be answered before the end.
    caller_drain_s : float
        Until when all new requests of callers are taken.
    end_s : float
        When the last requests are answered and the process ends.
    flush_s : float
        Longest time after that in which the last answers are still sent.
    """

    backend_drain_s: float
    caller_drain_s: float
    end_s: float
    flush_s: float

    def may_take(self, since_stop_s: float, lasts_s: float) -> bool:
        """Tell whether a new request of a caller is taken.

        Requests that arrive while callers are being sent elsewhere are taken,
        since nearly all are answered long before their deadline. Later ones
        must be sure of an answer before the process ends.

        Parameters
        ----------
        since_stop_s : float
            Time since the signal.
        lasts_s : float
            Time after which the request has been answered in any case.
        """
        if since_stop_s < self.caller_drain_s:
            return True
        return since_stop_s + lasts_s <= self.end_s

    def may_take_call(
        self, since_stop_s: float, lasts_s: float, sufficient_s: float | None
    ) -> bool:
        """Tell whether a call of a request at the backend server is taken.

        Load pattern: requests that run on while their node stops make short
        calls with long deadlines, and fail without them. A call is passed on
        with a deadline that is not after the end, so that its endpoint does
        not work beyond it.

        Parameters
        ----------
        since_stop_s, lasts_s : float
            As for a request of a caller.
        sufficient_s : float or None
            Time in which calls of this kind have been answered lately, with a
            margin; None if it is not known.
        """
        if self.may_take(since_stop_s, lasts_s):
            return True
        return (
            sufficient_s is not None
            and since_stop_s + sufficient_s <= self.end_s
        )

    def may_take_offer(self, since_stop_s: float, lasts_s: float) -> bool:
        """Tell whether a request of another node is taken.

        Load pattern: nodes are stopped in turn, so that the other node goes
        on, its caller waits longer than the stop, and other endpoints are
        usable. A request that is refused has not run and goes to one of them.

        Parameters
        ----------
        since_stop_s : float
            Time since the signal.
        lasts_s : float
            Time after which the request has been answered in any case.
        """
        return (
            since_stop_s < self.backend_drain_s
            and since_stop_s + lasts_s <= self.end_s
        )

    def earliest_end_in_s(self, since_stop_s: float) -> float:
        """Return the shortest time until the process can end."""
        return max(0.0, self.caller_drain_s - since_stop_s)


def plan_stop(grace_s: float) -> StopPlan:
    """Plan a stop.

    Parameters
    ----------
    grace_s : float
        Time between the signal and the kill.
    """
    margin_s = min(MAX_KILL_MARGIN_S, KILL_MARGIN_SHARE * grace_s)
    end_s = grace_s - margin_s
    caller_drain_s = min(MAX_CALLER_DRAIN_S, CALLER_DRAIN_SHARE * end_s)
    return StopPlan(
        BACKEND_DRAIN_SHARE * caller_drain_s,
        caller_drain_s,
        end_s,
        FLUSH_SHARE * margin_s,
    )
