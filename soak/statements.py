"""What backend servers state in their answers, and whether nodes keep to it.

The statements bind the nodes that have passed such an answer on to a caller.
"""

import bisect
import collections
from collections.abc import Iterator

RATE_WINDOW_S = 4.0
RATE_SLACK = 1.5
EXTRA_REQUESTS = 5
STABLE_S = 4.0
"""Time after a limit was first stated from which it binds."""
NOTICE_S = 0.5
"""Time after which a node is bound by an answer that it has passed on."""


class Statements:
    """Limits and leavings of backend servers, and who was told of them."""

    def __init__(self) -> None:
        # Times from which a limit holds, None for the end of one.
        self._limits: dict[str, list[tuple[float, float | None]]] = (
            collections.defaultdict(list)
        )
        self._leaving: set[str] = set()
        self._told_limit: dict[tuple[str, str], float] = {}
        self._told_leaving: dict[tuple[str, str], float] = {}
        self._arrivals: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )

    def state_limit(
        self, endpoint: str, limit_per_s: float | None, at: float
    ) -> None:
        """Record that a backend server begins or ceases to state a limit."""
        self._limits[endpoint].append((at, limit_per_s))

    def state_leaving(self, endpoint: str) -> None:
        """Record that a backend server states its leaving from now on."""
        self._leaving.add(endpoint)

    def on_answer(self, endpoint: str, node: str, at: float) -> None:
        """Record that a node passed on an answer of a backend server."""
        key = endpoint, node
        if endpoint in self._limits:
            self._told_limit.setdefault(key, at)
        if endpoint in self._leaving:
            self._told_leaving.setdefault(key, at)

    def on_arrival(self, endpoint: str, node: str, at: float) -> None:
        """Record a request that began at a node."""
        self._arrivals[endpoint].append((at, node))

    def told_leaving_at(self, endpoint: str, node: str) -> float | None:
        """Return when a node first passed on that the endpoint leaves."""
        return self._told_leaving.get((endpoint, node))

    def excesses(self) -> Iterator[tuple[str, float, int, float, set[str]]]:
        """Yield the first excess of each span in which limits are stated.

        Yields
        ------
        tuple
            The endpoint, the start of the window, its requests, the allowed
            number and the nodes where they began.
        """
        for endpoint, limits in self._limits.items():
            span: list[tuple[float, float]] = []
            for at, limit_per_s in [*limits, (float("inf"), None)]:
                if limit_per_s is not None:
                    span.append((at, limit_per_s))
                elif span:
                    yield from self._excess(endpoint, span, at)
                    span = []

    def _excess(
        self, endpoint: str, span: list[tuple[float, float]], end: float
    ) -> Iterator[tuple[str, float, int, float, set[str]]]:
        counted = sorted(
            (at, node)
            for at, node in self._arrivals[endpoint]
            if span[0][0] + STABLE_S <= at < end
            and self._is_told(endpoint, node, at)
        )
        times = [at for at, _ in counted]
        for index, first in enumerate(times):
            last = bisect.bisect_left(times, first + RATE_WINDOW_S)
            highest_per_s = _highest(span, first, first + RATE_WINDOW_S)
            allowed = RATE_SLACK * highest_per_s * RATE_WINDOW_S
            allowed += EXTRA_REQUESTS
            if last - index > allowed:
                nodes = {node for _, node in counted[index:last]}
                yield endpoint, first, last - index, allowed, nodes
                return

    def _is_told(self, endpoint: str, node: str, at: float) -> bool:
        told_at = self._told_limit.get((endpoint, node))
        return told_at is not None and told_at + NOTICE_S <= at


def _highest(
    span: list[tuple[float, float]], start: float, end: float
) -> float:
    """Return the highest limit in force at some time from start to end."""
    before = [limit for at, limit in span if at <= start][-1:]
    return max(before + [limit for at, limit in span if start < at < end])
