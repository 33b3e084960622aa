"""Compares what callers were told with what the backend servers ran."""

import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import hdrh.histogram

from standins import caller

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
ATTEMPTS_OF_ONE = 3
"""Arrivals at a service that one attempt of an idempotent request may cause:
the first one and the default allowance of 2."""


class Row(NamedTuple):
    """One line of the table; latencies in milliseconds."""

    kind: str
    sent: int
    completed: int
    refused: int
    failed: int
    unknown: int
    runs: int
    duplicates: int
    p50: float
    p99: float

    def __str__(self) -> str:
        """Return the line, aligned under ``HEADING``."""
        return (
            f"{self.kind:<12}{self.sent:>6}{self.completed:>11}"
            f"{self.refused:>9}{self.failed:>8}{self.unknown:>9}"
            f"{self.runs:>7}{self.duplicates:>7}"
            f"{self.p50:>9.1f}{self.p99:>9.1f}"
        )


HEADING = (
    f"{'class':<12}{'sent':>6}{'completed':>11}{'not run':>9}{'failed':>8}"
    f"{'unknown':>9}{'runs':>7}{'dupl.':>7}{'p50 ms':>9}{'p99 ms':>9}"
)


def rows(
    endings: Sequence[caller.Ending], started: Mapping[str, int]
) -> list[Row]:
    """Return a row for each kind of request, sorted by name."""
    by_kind: dict[str, list[caller.Ending]] = collections.defaultdict(list)
    for ending in endings:
        by_kind[ending.request.kind].append(ending)
    return [_row(kind, by_kind[kind], started) for kind in sorted(by_kind)]


def reasons(endings: Sequence[caller.Ending]) -> dict[str, int]:
    """Count why requests did not complete."""
    return dict(
        collections.Counter(
            f"{ending.outcome}/{ending.reason}"
            for ending in endings
            if ending.outcome != "completed"
        )
    )


def broken_promises(
    ending: caller.Ending, started: Mapping[str, int]
) -> list[str]:
    """Return which promises were broken for one request."""
    request = ending.request
    runs = started.get(request.run, 0)
    found = []
    if not request.idempotent and runs > 1:
        found.append(f"{request.run} ran {runs} times")
    if not request.idempotent and ending.outcome == "refused" and runs:
        found.append(f"{request.run} was refused as not run, and ran")
    if ending.outcome == "completed" and not ending.is_own:
        found.append(f"{request.run} got an answer not its own or not whole")
    if ending.outcome == "completed" and runs == 0:
        found.append(f"{request.run} completed and never ran")
    if request.idempotent and runs > ATTEMPTS_OF_ONE * ending.attempts:
        found.append(f"{request.run} was attempted {runs} times")
    return found


def _row(
    kind: str, endings: list[caller.Ending], started: Mapping[str, int]
) -> Row:
    outcomes = collections.Counter(item.outcome for item in endings)
    runs = [started.get(item.request.run, 0) for item in endings]
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for item in endings:
        if item.outcome == "completed":
            histogram.record_value(int(item.latency_s * 1e6))
    return Row(
        kind,
        len(endings),
        outcomes["completed"],
        outcomes["refused"],
        outcomes["failed"],
        outcomes["unknown"],
        sum(runs),
        sum(number > 1 for number in runs),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
    )
