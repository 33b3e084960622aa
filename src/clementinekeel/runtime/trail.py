"""Decisions about recent requests, kept in memory for operators.

The decision trail holds one report for each request. It answers why a request
ended as it did, and is independent of the log and of the audit trail.
"""

import collections
from typing import NamedTuple

from clementinekeel.runtime import clock

MAX_REQUESTS = 2_000
MAX_STEPS = 32
"""Steps kept of each request; a request seldom takes more than ten."""


class Step(NamedTuple):
    """One decision about a request.

    Attributes
    ----------
    at_ms : int
        Time since the node first saw the request.
    """

    at_ms: int
    step: str
    peer: str
    decision: str
    reason: str


class Report:
    """The decisions of this node about one request."""

    def __init__(
        self,
        request_id: str,
        service: str,
        operation: str,
        request_class: str,
        rank: int,
        idempotent: bool,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.operation = operation
        self.request_class = request_class
        self.rank = rank
        self.idempotent = idempotent
        self.outcome = ""
        self.steps: list[Step] = []
        self._opened_at_ms = clock.now_ms()

    def add_step(
        self, step: str, peer: str, decision: str, reason: str = ""
    ) -> None:
        """Add a decision, unless ``MAX_STEPS`` are kept already."""
        if len(self.steps) < MAX_STEPS:
            at_ms = clock.now_ms() - self._opened_at_ms
            self.steps.append(Step(at_ms, step, peer, decision, reason))

    def set_outcome(self, outcome: str) -> None:
        """Set the outcome that the caller received."""
        self.outcome = outcome


class DecisionTrail:
    """Reports on recent requests; a new one displaces the oldest.

    Parameters
    ----------
    limit : int
        Number of reports kept.
    """

    def __init__(self, limit: int = MAX_REQUESTS) -> None:
        self._limit = limit
        self._reports: collections.OrderedDict[str, Report] = (
            collections.OrderedDict()
        )

    def open_report(
        self,
        request_id: str,
        service: str,
        operation: str,
        request_class: str,
        rank: int,
        idempotent: bool,
    ) -> Report:
        """Return the report on a request; create it if there is none."""
        report = self._reports.get(request_id)
        if report is None:
            report = Report(
                request_id,
                service,
                operation,
                request_class,
                rank,
                idempotent,
            )
            self._reports[request_id] = report
            if len(self._reports) > self._limit:
                self._reports.popitem(last=False)
        return report

    def find_report(self, request_id: str) -> Report | None:
        """Return the report on a request, or None if it is not kept."""
        return self._reports.get(request_id)
