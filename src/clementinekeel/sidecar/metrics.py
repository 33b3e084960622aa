"""Counters and latency histograms of a forwarding node."""

from collections.abc import Iterable
import enum
from typing import NamedTuple

from aioprometheus import collectors
from aioprometheus import renderer

PREFIX = "clementinekeel_"
BUCKETS_MS: tuple[float, ...] = (
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1_000,
    2_000,
    5_000,
)
"""Upper bounds of the histogram buckets, from a local call of a millisecond to
the longest deadline."""


class RetryCause(enum.StrEnum):
    """Why an arrival at a service counts as a retry."""

    OFFERED_AGAIN = "offered_again"
    CALL_OF_RETRY = "call_of_retry"
    STALE_CONNECTION = "stale_connection"


class Sample(NamedTuple):
    """Value of a gauge, read when the metrics are rendered."""

    name: str
    labels: dict[str, str]
    value: float


class Description(NamedTuple):
    """Name, without the common prefix, and help text of one metric."""

    name: str
    meaning: str


GAUGES = (
    Description("slots", "Slots of the backend server that are used."),
    Description("running", "Requests at the backend server."),
    Description("queued", "Requests that wait for a slot."),
    Description("service_ms", "Average time for which a slot is held."),
    Description(
        "rate_limit_per_s",
        "Limit that the backend server states, -1 for none.",
    ),
    Description("configuration_version", "Version in force, 0 for none."),
    Description("configuration_age_s", "Time since it came into force."),
    Description("nodes", "Known nodes, by state usable or unusable."),
    Description("inbound_links", "Links that other nodes opened."),
    Description("caller_connections", "Open connections of callers."),
    Description("admitted_share", "Share of a route's requests that begin."),
    Description("retries_in_window", "Retries of this node, by service."),
    Description("retry_extra", "Retries beyond the share of the requests."),
    Description("backend_crashes", "Ends of the backend server with work."),
    Description("suspected_requests", "Requests that ran at such an end."),
    Description("quarantined_requests", "Requests that are refused for it."),
    Description("listed", "1 if this node's entry is in the store."),
    Description("store_epoch", "Number of the store's history, 0 if unknown."),
    Description("store_calls", "Calls to the store since the start."),
    Description("store_failures", "Those without a usable answer."),
    Description("refused_reloads", "Reloads with settings that have faults."),
    Description("task_failures_unreported", "Task failures without a line."),
    Description("log_lines_left_out", "Log lines not written, by rule."),
)


class NodeMetrics:
    """All metrics of one node, rendered as text on demand."""

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._requests = collectors.Counter(
            PREFIX + "requests_total",
            "Requests of callers that ended here, by reason and status.",
            registry=self._registry,
        )
        self._jobs = collectors.Counter(
            PREFIX + "jobs_total",
            "Requests for the backend server that ended, by outcome.",
            registry=self._registry,
        )
        self._arrivals = collectors.Counter(
            PREFIX + "backend_arrivals_total",
            "Requests sent to the backend server, resends included.",
            registry=self._registry,
        )
        self._retries = collectors.Counter(
            PREFIX + "retries_total",
            "Retries by service, cause, and whether the budget allowed them.",
            registry=self._registry,
        )
        self._task_failures = collectors.Counter(
            PREFIX + "task_failures_total",
            "Unexpected errors of the node's tasks, by task and error.",
            registry=self._registry,
        )
        self._request_ms = collectors.Histogram(
            PREFIX + "request_duration_ms",
            "Time from a request's first byte to its answer, by rank.",
            buckets=list(BUCKETS_MS),
            registry=self._registry,
        )
        self._wait_ms = collectors.Histogram(
            PREFIX + "slot_wait_ms",
            "Time for which a request waited for a slot, by rank.",
            buckets=list(BUCKETS_MS),
            registry=self._registry,
        )
        self._service_ms = collectors.Histogram(
            PREFIX + "backend_duration_ms",
            "Time of the backend server for a request, by rank.",
            buckets=list(BUCKETS_MS),
            registry=self._registry,
        )
        self._gauges = {
            item.name: collectors.Gauge(
                PREFIX + item.name, item.meaning, registry=self._registry
            )
            for item in GAUGES
        }

    def on_request(
        self, reason: str, status: int, rank: int, duration_ms: float
    ) -> None:
        """Record the end of a caller's request."""
        self._requests.inc({"reason": reason, "status": str(status)})
        self._request_ms.observe({"rank": str(rank)}, duration_ms)

    def on_job(
        self,
        outcome: str,
        rank: int,
        wait_ms: float,
        service_ms: float | None,
    ) -> None:
        """Record the end of a request for the backend server."""
        labels = {"rank": str(rank)}
        self._jobs.inc({"outcome": outcome})
        self._wait_ms.observe(labels, wait_ms)
        if service_ms is not None:
            self._service_ms.observe(labels, service_ms)

    def on_arrival(self) -> None:
        """Count a request that is sent to the backend server."""
        self._arrivals.inc({})

    def on_retry(
        self, service: str, cause: RetryCause, is_allowed: bool
    ) -> None:
        """Count a retry that is sent, or that the budget does not allow."""
        self._retries.inc(
            {
                "service": service,
                "cause": cause,
                "allowed": "yes" if is_allowed else "no",
            }
        )

    def on_task_failed(self, task: str, error: str) -> None:
        """Count an unexpected error of a long-lived task."""
        self._task_failures.inc({"task": task, "error": error})

    def render(self, samples: Iterable[Sample]) -> bytes:
        """Return all metrics in the text format.

        Parameters
        ----------
        samples : iterable of Sample
            Current values of the gauges.
        """
        for sample in samples:
            self._gauges[sample.name].set(sample.labels, sample.value)
        content, _ = renderer.render(self._registry, [])
        return bytes(content)
