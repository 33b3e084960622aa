"""Metrics of a node.

``METRICS`` is the only description of the metrics. The registry and the
generated page ``docs/metrics.md`` use it.
"""

import collections
import enum
from typing import Any, NamedTuple

from aioprometheus import collectors
from aioprometheus import renderer

from clementinekeel.operators import status as node_status
from clementinekeel.runtime import invariants

PREFIX = "clementinekeel_"


class MetricKind(enum.StrEnum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(NamedTuple):
    """One metric; ``name`` is without the common prefix."""

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    help: str


_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE
_HISTOGRAM = MetricKind.HISTOGRAM

METRICS = (
    Metric(
        "build_info",
        _GAUGE,
        ("version", "node", "zone"),
        "Always 1; the labels tell which version runs where.",
    ),
    Metric(
        "requests_total",
        _COUNTER,
        ("request_class", "outcome"),
        "Requests of callers that ended, by class and outcome.",
    ),
    Metric(
        "request_seconds",
        _HISTOGRAM,
        ("request_class",),
        "Time from a caller's request to the end of its answer.",
    ),
    Metric(
        "refusals_total",
        _COUNTER,
        ("request_class", "reason"),
        "Requests refused as not run, by class and reason.",
    ),
    Metric(
        "unknown_outcomes_total",
        _COUNTER,
        ("reason",),
        "Requests whose outcome is unknown, by reason.",
    ),
    Metric(
        "attempts_total",
        _COUNTER,
        ("service",),
        "First attempts to call a service.",
    ),
    Metric(
        "retries_total",
        _COUNTER,
        ("service",),
        "Further attempts to call a service.",
    ),
    Metric(
        "truncated_answers_total",
        _COUNTER,
        (),
        "Answers that ended before they were complete.",
    ),
    Metric(
        "keys_issued_total",
        _COUNTER,
        ("service",),
        "Idempotency keys issued.",
    ),
    Metric("records", _GAUGE, (), "Records of issued keys in memory."),
    Metric("slots", _GAUGE, (), "Slots of the endpoint in the inventory."),
    Metric("limit", _GAUGE, (), "Concurrency limit in force."),
    Metric("running", _GAUGE, (), "Requests at the backend server."),
    Metric("queued", _GAUGE, (), "Requests that wait for a slot."),
    Metric("level", _GAUGE, (), "Least important rank that is admitted."),
    Metric(
        "state",
        _GAUGE,
        ("state",),
        "1 for the state of the node, 0 for the others.",
    ),
    Metric("sessions", _GAUGE, (), "Open sessions with other nodes."),
    Metric(
        "sessions_closed_total",
        _COUNTER,
        ("reason",),
        "Sessions with other nodes that were closed.",
    ),
    Metric(
        "messages_dropped_total",
        _COUNTER,
        ("reason",),
        "Messages of other nodes that were dropped.",
    ),
    Metric(
        "control_bytes_total",
        _COUNTER,
        ("direction",),
        "Bytes of control messages between nodes.",
    ),
    Metric(
        "members",
        _GAUGE,
        ("zone", "state"),
        "Known members by zone and state.",
    ),
    Metric(
        "unreachable_zones",
        _GAUGE,
        (),
        "Zones of which no member is reachable.",
    ),
    Metric("relay", _GAUGE, (), "1 if the node is a relay of its zone."),
    Metric(
        "configuration_version",
        _GAUGE,
        (),
        "Version of the configuration in force.",
    ),
    Metric(
        "configuration_newest_version",
        _GAUGE,
        (),
        "Newest version that the node has heard of.",
    ),
    Metric(
        "configuration_faults_total",
        _COUNTER,
        (),
        "Accepted versions that the node could not use.",
    ),
    Metric(
        "store_calls_total",
        _COUNTER,
        ("operation", "outcome"),
        "Calls to the store; only relays make any.",
    ),
    Metric(
        "invariant_violations_total",
        _COUNTER,
        ("invariant",),
        "Violations of invariants of the program.",
    ),
)

_STATES = ("joining", "ready", "leaving", "left")
_STATUS_GAUGES = (
    "records",
    "slots",
    "limit",
    "running",
    "queued",
    "level",
    "sessions",
    "configuration_version",
)
_COLLECTORS: dict[MetricKind, Any] = {
    _COUNTER: collectors.Counter,
    _GAUGE: collectors.Gauge,
    _HISTOGRAM: collectors.Histogram,
}


_Series = tuple[str, tuple[tuple[str, str], ...]]
"""Metric and labels."""


class NodeMetrics:
    """Metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._metrics = {metric.name: metric for metric in METRICS}
        self._collectors: dict[str, Any] = {
            metric.name: _COLLECTORS[metric.kind](
                PREFIX + metric.name, metric.help, registry=self.registry
            )
            for metric in METRICS
        }
        self._pending: collections.Counter[_Series] = collections.Counter()

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Raise a counter.

        Raises
        ------
        LookupError
            If the metric is unknown or has other labels.
        ValueError
            If the amount is negative.
        """
        if amount < 0:
            raise ValueError(f"{name} cannot fall")
        series = (name, tuple(labels.items()))
        if series not in self._pending:
            self._collector(name, labels)
        # A collector encodes its labels as JSON at each use, which takes
        # too long for every call; they get the sums when they are read.
        self._pending[series] += amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge; raises as ``add`` does."""
        self._collector(name, labels).set(labels, value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram; raises as ``add`` does."""
        self._collector(name, labels).observe(labels, value)

    def totals(self) -> dict[str, int]:
        """Return the counters, each summed over its labels."""
        self._flush()
        return {
            metric.name: int(
                sum(v for _, v in self._collectors[metric.name].get_all())
            )
            for metric in METRICS
            if metric.kind == _COUNTER
        }

    def update(self, status: node_status.Status) -> None:
        """Set the gauges from the state of the node."""
        values: dict[str, Any] = {**status}
        for name in _STATUS_GAUGES:
            self.set(name, values[name])
        self.set("configuration_newest_version", status["newest_version"])
        self.set("unreachable_zones", len(status["unreachable_zones"]))
        self.set("relay", int(status["node"] in status["relays"]))
        for state in _STATES:
            self.set("state", int(state == status["state"]), state=state)
        self.set(
            "build_info",
            1,
            version=status["version"],
            node=status["node"],
            zone=status["zone"],
        )
        self._update_members(status["members"])
        for name, count in invariants.violations.items():
            collector = self._collectors["invariant_violations_total"]
            collector.set({"invariant": name}, count)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the text format, with their headers."""
        self._flush()
        content, headers = renderer.render(self.registry, [])
        return content, headers

    def _collector(self, name: str, labels: dict[str, str]) -> Any:
        metric = self._metrics[name]
        if tuple(sorted(labels)) != tuple(sorted(metric.labels)):
            raise LookupError(f"labels of {name} are {metric.labels}")
        return self._collectors[name]

    def _flush(self) -> None:
        for (name, labels), amount in self._pending.items():
            self._collectors[name].add(dict(labels), amount)
        self._pending.clear()

    def _update_members(self, counts: list[node_status.MemberCount]) -> None:
        # Zones and states that are gone would keep their last value.
        for labels, _ in self._collectors["members"].get_all():
            self.set("members", 0, **labels)
        for item in counts:
            labels = {"zone": item["zone"], "state": item["state"]}
            self.set("members", item["members"], **labels)


def reference() -> str:
    """Return the reference of all metrics, in Markdown."""
    lines = [
        "# Metrics of a node",
        "",
        "Generated from `clementinekeel.operators.metrics`; do not edit.",
        "`GET /metrics` at the operators' port returns them. Gauges are read"
        " at the time of the request. A counter or histogram appears with its"
        " first event.",
        "",
        "| metric | type | labels | help |",
        "|---|---|---|---|",
    ]
    for metric in METRICS:
        labels = ", ".join(metric.labels)
        name = f"`{PREFIX}{metric.name}`"
        lines.append(f"| {name} | {metric.kind} | {labels} | {metric.help} |")
    return "\n".join(lines) + "\n"
