"""Metrics of a node.

``METRICS`` is the single declaration of the metrics, used by the registry and
the generated page ``docs/metrics.md``.
"""

from collections.abc import Iterable
import enum
from typing import Any, NamedTuple

from aioprometheus import collectors
from aioprometheus import renderer

from clementinekeel.operators import status as node_status

PREFIX = "clementinekeel_"


class MetricKind(enum.StrEnum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Metric(NamedTuple):
    """Declaration of one metric; ``name`` is without the common prefix."""

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    help: str


_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE

METRICS = (
    Metric(
        "build_info",
        _GAUGE,
        ("version", "node", "zone"),
        "Always 1; the labels tell which version runs where.",
    ),
    Metric(
        "state",
        _GAUGE,
        ("state",),
        "1 for the state of the node, 0 for the others.",
    ),
    Metric(
        "requests_total",
        _COUNTER,
        ("outcome",),
        "Requests of callers that ended at this node, by outcome.",
    ),
    Metric(
        "problems_total",
        _COUNTER,
        ("reason",),
        "Requests of callers that ended without a backend server's answer.",
    ),
    Metric(
        "attempts_total",
        _COUNTER,
        (),
        "Calls sent to endpoints for requests of callers, retries included.",
    ),
    Metric(
        "retries_total",
        _COUNTER,
        (),
        "Further attempts of requests of callers.",
    ),
    Metric(
        "calls_received_total",
        _COUNTER,
        (),
        "Calls of nodes to this endpoint.",
    ),
    Metric(
        "calls_repeated_total",
        _COUNTER,
        (),
        "Calls whose key had been seen before.",
    ),
    Metric(
        "calls_ended_total",
        _COUNTER,
        ("outcome",),
        "Calls to this endpoint that ended, without repeated ones.",
    ),
    Metric("slots", _GAUGE, (), "Slots of the endpoint in the inventory."),
    Metric("limit", _GAUGE, (), "Concurrency limit in force."),
    Metric("running", _GAUGE, (), "Requests at the backend server."),
    Metric("queued", _GAUGE, (), "Requests that wait for a slot."),
    Metric("level", _GAUGE, (), "Least important rank that is admitted."),
    Metric("records", _GAUGE, (), "Records of issued keys in memory."),
    Metric(
        "records_running",
        _GAUGE,
        (),
        "Records of keys whose request runs or waits.",
    ),
    Metric(
        "records_evicted_total",
        _COUNTER,
        (),
        "Records evicted for lack of room.",
    ),
    Metric(
        "kept_answers", _GAUGE, (), "Answers kept for callers that ask again."
    ),
    Metric("kept_answers_bytes", _GAUGE, (), "Size of the kept answers."),
    Metric(
        "sessions",
        _GAUGE,
        ("side",),
        "Sessions with other nodes, by this node's side of them.",
    ),
    Metric(
        "messages_dropped_total",
        _COUNTER,
        ("channel", "reason"),
        "Messages of other nodes that were dropped.",
    ),
    Metric(
        "gossip_messages_total", _COUNTER, ("direction",), "Gossip datagrams."
    ),
    Metric(
        "gossip_bytes_total",
        _COUNTER,
        ("direction",),
        "Bytes of gossip datagrams.",
    ),
    Metric("store_calls_total", _COUNTER, (), "Calls to the store."),
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
        "configuration_fault",
        _GAUGE,
        (),
        "1 while the newest accepted version cannot be used here.",
    ),
    Metric(
        "invariant_violations_total",
        _COUNTER,
        ("invariant",),
        "Violations of invariants of the program.",
    ),
)

_COLLECTORS: dict[MetricKind, Any] = {
    _COUNTER: collectors.Counter,
    _GAUGE: collectors.Gauge,
}


class NodeMetrics:
    """Metrics of one node, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._metrics = {metric.name: metric for metric in METRICS}
        self._collectors: dict[str, Any] = {
            metric.name: _COLLECTORS[metric.kind](
                PREFIX + metric.name, metric.help, registry=self.registry
            )
            for metric in METRICS
        }

    def update(self, samples: Iterable[node_status.Sample]) -> None:
        """Set all metrics to their current values.

        Raises
        ------
        LookupError
            If a metric is unknown or a sample has other labels.
        """
        self._clear_gauges()
        for name, value, labels in samples:
            metric = self._metrics[name]
            if sorted(labels) != sorted(metric.labels):
                raise LookupError(f"labels of {name} are {metric.labels}")
            self._collectors[name].set(dict(labels), value)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the text format, and the HTTP headers."""
        content, headers = renderer.render(self.registry, [])
        return content, headers

    def _clear_gauges(self) -> None:
        # A series without a current value, for example that of a zone without
        # members, would otherwise keep its last value.
        for metric in METRICS:
            if metric.kind is _GAUGE:
                for labels, _ in self._collectors[metric.name].get_all():
                    self._collectors[metric.name].set(labels, 0)


def render_reference() -> str:
    """Return the reference of all metrics, in Markdown."""
    lines = [
        "# Metrics of a node",
        "",
        "Generated from `clementinekeel.operators.metrics`; do not edit.",
        "`GET /metrics` at the operators' port returns them, read at the time"
        " of the request. A series with a label that is not known in advance"
        " appears with its first event. Counters begin at 0 with each start"
        " of the node.",
        "",
        "| metric | type | labels | help |",
        "|---|---|---|---|",
    ]
    for metric in METRICS:
        labels = ", ".join(metric.labels)
        name = f"`{PREFIX}{metric.name}`"
        lines.append(f"| {name} | {metric.kind} | {labels} | {metric.help} |")
    return "\n".join(lines) + "\n"
