"""How long the answers of each route took lately.

Load pattern: service times of a route vary from request to request, and one in
a hundred is five times the mean. Whether a call ends within a short time that
is left is decided by the longest answer of the last minute and a margin.
"""

from typing import NamedTuple

WINDOW_S = 30.0
"""The longest answers of the current and the last window count, so that a slow
phase of an endpoint is forgotten after a minute at most."""
MIN_ANSWERS = 10
"""With fewer answers, the longest one says little about the next."""
MARGIN_FACTOR = 1.5
MARGIN_S = 0.1
"""Margin over the longest answer; a call may wait as long for a slot."""


class _Longest(NamedTuple):
    seconds: float
    answers: int


class AnswerTimes:
    """Longest time until the answer, by route."""

    def __init__(self) -> None:
        self._window_began_at = 0.0
        self._current: dict[str, _Longest] = {}
        self._last: dict[str, _Longest] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record how long a request waited for its answer or its timeout."""
        self._forget_older(now)
        known = self._current.get(route)
        self._current[route] = (
            _Longest(seconds, 1)
            if known is None
            else _Longest(max(seconds, known.seconds), known.answers + 1)
        )

    def sufficient_s(self, route: str, now: float) -> float | None:
        """Return a time in which a request is very likely to be answered.

        None if too little is known of the route.
        """
        self._forget_older(now)
        known = [
            window[route]
            for window in (self._current, self._last)
            if route in window
        ]
        if sum(longest.answers for longest in known) < MIN_ANSWERS:
            return None
        longest_s = max(longest.seconds for longest in known)
        return longest_s * MARGIN_FACTOR + MARGIN_S

    def _forget_older(self, now: float) -> None:
        age_s = now - self._window_began_at
        if age_s < WINDOW_S:
            return
        self._last = self._current if age_s < 2 * WINDOW_S else {}
        self._current = {}
        self._window_began_at = now
