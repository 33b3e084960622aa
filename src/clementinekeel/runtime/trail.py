"""Recent decisions about requests, for operators who ask why."""

import collections
from typing import NamedTuple

from clementinekeel.runtime import clock

MAX_REQUESTS = 2_000
MAX_STEPS = 32
"""Steps kept of one request; a node seldom takes more than ten."""


class Step(NamedTuple):
    """One decision.

    Attributes
    ----------
    at_ms : int
        Time since the request was first seen here.
    """

    at_ms: int
    step: str
    peer: str
    decision: str
    reason: str


class Report:
    """What this node has decided about one request."""

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
        self._since_ms = clock.now_ms()

    def add_step(
        self, step: str, peer: str, decision: str, reason: str = ""
    ) -> None:
        """Add a decision."""
        if len(self.steps) < MAX_STEPS:
            at_ms = clock.now_ms() - self._since_ms
            self.steps.append(Step(at_ms, step, peer, decision, reason))

    def set_outcome(self, outcome: str) -> None:
        """Set the outcome that the caller was told."""
        self.outcome = outcome


class DecisionTrail:
    """Reports on the requests seen last."""

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
        """Return the report on a request, a new one if there is none."""
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
        """Return the report on a request, None if it is not kept."""
        return self._reports.get(request_id)
