"""Compares what callers were told with what the backend servers ran."""

import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import hdrh.histogram

from standins import caller

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MAX_RUNS_PER_ATTEMPT = 3
"""Runs that one attempt of a caller may cause for an idempotent request: the
first one and the default retry allowance of 2."""


class Row(NamedTuple):
    """One line of the table: counts and latencies of a kind of request.

    Attributes
    ----------
    runs : int
        Runs at backend servers.
    duplicates : int
        Requests that ran more than once.
    p50, p99 : float
        Latencies of completed requests in milliseconds.
    """

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


def make_rows(
    results: Sequence[caller.RequestResult], runs_started: Mapping[str, int]
) -> list[Row]:
    """Return a row for each kind of request, sorted by the kind's name."""
    by_kind: dict[str, list[caller.RequestResult]] = collections.defaultdict(
        list
    )
    for result in results:
        by_kind[result.request.kind].append(result)
    return [
        _row(kind, by_kind[kind], runs_started) for kind in sorted(by_kind)
    ]


def count_reasons(results: Sequence[caller.RequestResult]) -> dict[str, int]:
    """Count the outcomes and reasons of requests that did not complete."""
    return dict(
        collections.Counter(
            f"{result.outcome}/{result.reason}"
            for result in results
            if result.outcome != "completed"
        )
    )


def find_violations(
    result: caller.RequestResult, runs_started: Mapping[str, int]
) -> list[str]:
    """Return the violated guarantees of one request.

    Parameters
    ----------
    runs_started : Mapping
        Number of started runs for each run ID.
    """
    request = result.request
    runs = runs_started.get(request.run_id, 0)
    violations = []
    if not request.idempotent and runs > 1:
        violations.append(f"{request.run_id} ran {runs} times")
    if not request.idempotent and result.outcome == "refused" and runs:
        violations.append(f"{request.run_id} was refused as not run, and ran")
    if result.outcome == "completed" and not result.has_valid_answer:
        violations.append(f"{request.run_id} got a wrong or incomplete answer")
    if result.outcome == "completed" and runs == 0:
        violations.append(f"{request.run_id} completed and never ran")
    if request.idempotent and runs > MAX_RUNS_PER_ATTEMPT * result.attempts:
        violations.append(f"{request.run_id} was attempted {runs} times")
    return violations


def _row(
    kind: str,
    results: list[caller.RequestResult],
    runs_started: Mapping[str, int],
) -> Row:
    outcomes = collections.Counter(item.outcome for item in results)
    runs = [runs_started.get(item.request.run_id, 0) for item in results]
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for item in results:
        if item.outcome == "completed":
            histogram.record_value(int(item.latency_s * 1e6))
    return Row(
        kind,
        len(results),
        outcomes["completed"],
        outcomes["refused"],
        outcomes["failed"],
        outcomes["unknown"],
        sum(runs),
        sum(number > 1 for number in runs),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
    )
