"""Requests that crash the backend servers that run them."""

import collections
from collections.abc import Callable, Iterator

CRASHES_BEFORE_BOUND = 3
STABLE_S = 4.0
"""Time after the third crash from which runs are counted."""
MAX_LATE_RUNS = 3


class Crashes:
    """Runs of crashing requests, by path, and the ends that they caused."""

    def __init__(self) -> None:
        self._runs: dict[str, list[tuple[float, str]]] = (
            collections.defaultdict(list)
        )
        self._ends: dict[str, list[float]] = collections.defaultdict(list)

    def on_run(self, path: str, node: str, at: float) -> None:
        """Record a run of a request that was sent by a node."""
        self._runs[path].append((at, node))

    def on_end(self, path: str, at: float) -> None:
        """Record that a backend server ended at a run."""
        self._ends[path].append(at)

    def excesses(
        self, is_undisrupted: Callable[[str, float, float], bool]
    ) -> Iterator[tuple[str, float, int]]:
        """Yield the requests that ran too often after their third crash.

        Parameters
        ----------
        is_undisrupted : callable
            Tells whether a node was without a fault from one time to another.

        Yields
        ------
        tuple
            The path, the time of the third crash and the number of runs.
        """
        for path, ends in self._ends.items():
            if len(ends) < CRASHES_BEFORE_BOUND:
                continue
            third = ends[CRASHES_BEFORE_BOUND - 1]
            late = [
                at
                for at, node in self._runs[path]
                if at > third + STABLE_S
                and is_undisrupted(node, at - STABLE_S, at)
            ]
            if len(late) > MAX_LATE_RUNS:
                yield path, third, len(late)
