"""Decides when a link is tested, doubted and given up.

A connection may go silent for good without a reset. How soon that shows must
follow from the time that the path takes: with fixed seconds, all requests that
are offered meanwhile are late. A peer that is only slow answers in the end, so
that doubt has no lasting consequence: a second connection is opened beside the
doubtful one, and requests prefer other endpoints.
"""

import enum

SILENCE_TIMEOUT_S = 1.5
"""Time after a ping without any frame after which a link is given up."""
IDLE_PROBE_S = 1.5
"""Shortest idle time after which a link is tested."""
IDLE_PROBES_PER_S = 50
"""Tests of idle links that a node makes in a second. All nodes have links to
all others, and each test crosses the link between regions for half of them."""
ROUND_TRIPS_OF_PATIENCE = 4
"""Round trips after which the first sign of an offer is overdue."""
MIN_PATIENCE_S = 0.15
"""A process whose processor share is a quota runs not at all for up to 0.1 s.
"""
MAX_PATIENCE_S = 0.5
"""Bounds the effect of a single slow round trip."""
ROUND_TRIP_GAIN = 0.1
"""Weight of a round trip that is shorter than the estimate."""


class Action(enum.Enum):
    """What is to be done about a link."""

    NONE = enum.auto()
    PROBE = enum.auto()
    DOUBT = enum.auto()
    END = enum.auto()


def idle_probe_s(links: int) -> float:
    """Return the idle time in seconds after which each of so many is tested.

    A link that is in use shows its silence by its offers, however rarely it
    is tested while idle.
    """
    return max(IDLE_PROBE_S, links / IDLE_PROBES_PER_S)


class Liveness:
    """Liveness of one link, seen from one end. All times are in seconds.

    Parameters
    ----------
    now : float
        Time at which the link was opened.
    """

    def __init__(self, now: float) -> None:
        self._round_trip_s = 0.0
        self._probed_at: float | None = None
        self._is_doubtful = False
        self._interval_s = MIN_PATIENCE_S
        self._last_received_at = now
        self._next_probe_at = now + IDLE_PROBE_S

    @property
    def patience_s(self) -> float:
        """Time after which a sign of the peer is overdue."""
        return min(
            MAX_PATIENCE_S,
            max(MIN_PATIENCE_S, ROUND_TRIPS_OF_PATIENCE * self._round_trip_s),
        )

    @property
    def is_doubtful(self) -> bool:
        """Whether a ping is unanswered for longer than usual."""
        return self._is_doubtful

    @property
    def is_probing(self) -> bool:
        """Whether a ping is unanswered."""
        return self._probed_at is not None

    def on_offer(self, now: float) -> None:
        """Expect a sign of the peer soon."""
        self._interval_s = self.patience_s
        self._next_probe_at = min(self._next_probe_at, now + self._interval_s)

    def on_received(self, now: float) -> None:
        """Record that something was received.

        Offers that still wait are tested at growing intervals, so that long
        requests cost few pings.
        """
        if self._probed_at is not None:
            self._observe(now - self._probed_at)
            self._probed_at = None
        self._is_doubtful = False
        self._last_received_at = now
        self._interval_s = min(IDLE_PROBE_S, 2 * self._interval_s)
        self._next_probe_at = now + self._interval_s

    def on_progress(self, now: float) -> None:
        """Record that the peer's kernel has taken data that had to wait.

        A ping behind a long body on a narrow link is no sign of silence.
        """
        if self._probed_at is not None:
            self._probed_at = now
            self._is_doubtful = False

    def check(
        self, now: float, is_waiting: bool, idle_s: float = IDLE_PROBE_S
    ) -> Action:
        """Return what is due. ``PROBE`` and ``DOUBT`` are returned once.

        Parameters
        ----------
        is_waiting : bool
            Whether offers wait for a result; an idle link is tested rarely.
        idle_s : float
            Idle time after which it is tested.
        """
        if self._probed_at is None:
            idle_until = self._last_received_at + idle_s
            if now < (self._next_probe_at if is_waiting else idle_until):
                return Action.NONE
            self._probed_at = now
            return Action.PROBE
        silent_s = now - self._probed_at
        if silent_s > SILENCE_TIMEOUT_S:
            return Action.END
        if silent_s > self.patience_s and not self._is_doubtful:
            self._is_doubtful = True
            return Action.DOUBT
        return Action.NONE

    def postpone(self, pause_s: float) -> None:
        """Leave out a time in which this process did not run.

        What the peer sent meanwhile has not been read yet.
        """
        if self._probed_at is not None:
            self._probed_at += pause_s
        self._next_probe_at += pause_s
        self._last_received_at += pause_s

    def _observe(self, round_trip_s: float) -> None:
        """Follow longer round trips at once, and shorter ones slowly."""
        change = round_trip_s - self._round_trip_s
        self._round_trip_s += (
            change if change > 0 else ROUND_TRIP_GAIN * change
        )
