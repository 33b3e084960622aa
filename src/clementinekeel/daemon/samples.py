"""Values of the node's metrics, read for each scrape.

Handling a request updates only the counters that the parts of the node keep in
any case; the metrics are derived from them here.
"""

import collections
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from clementinekeel import _version
from clementinekeel.membership import records as member_records
from clementinekeel.operators import status as node_status
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.runtime import invariants

if TYPE_CHECKING:
    from clementinekeel.daemon import node as node_module

Sample = node_status.Sample


def read(node: "node_module.Node") -> Iterator[Sample]:
    """Yield the current values of all metrics of a node."""
    yield from _read_identity(node)
    yield from _read_entry(node)
    yield from _read_owner(node)
    yield from _read_records(node)
    yield from _read_traffic(node)
    yield from _read_members(node)
    yield from _read_configuration(node)
    yield from _labelled(
        "invariant_violations_total", "invariant", invariants.violations
    )


def _labelled(
    name: str, label: str, values: Mapping[str, int]
) -> Iterator[Sample]:
    for key, value in values.items():
        yield Sample(name, value, {label: key})


def _by_outcome(
    name: str, counts: collections.Counter[str]
) -> Iterator[Sample]:
    values = {str(item): counts[str(item)] for item in outcomes.Outcome}
    return _labelled(name, "outcome", values)


def _read_identity(node: "node_module.Node") -> Iterator[Sample]:
    own = node.membership.own
    labels = {
        "version": _version.VERSION,
        "node": own.node_id,
        "zone": own.zone,
    }
    yield Sample("build_info", 1, labels)
    states = {
        str(state): int(state is own.state)
        for state in member_records.MemberState
    }
    yield from _labelled("state", "state", states)


def _read_entry(node: "node_module.Node") -> Iterator[Sample]:
    counts = node.entry.counts
    yield from _by_outcome("requests_total", counts)
    yield from _labelled("problems_total", "reason", node.entry.problem_counts)
    yield Sample("attempts_total", counts["attempts"])
    yield Sample("retries_total", counts["retries"])


def _read_owner(node: "node_module.Node") -> Iterator[Sample]:
    owner = node.owner
    spec = node.endpoint_spec
    yield Sample("calls_received_total", owner.counts["calls"])
    yield Sample("calls_repeated_total", owner.counts["repeated"])
    yield from _by_outcome("calls_ended_total", owner.counts)
    yield Sample("slots", spec.slots if spec else 0)
    yield Sample("limit", owner.limit)
    yield Sample("running", owner.running)
    yield Sample("queued", owner.queued)
    yield Sample("level", owner.load.rank)


def _read_records(node: "node_module.Node") -> Iterator[Sample]:
    found = node.records.statistics
    yield Sample("records", found.records)
    yield Sample("records_running", found.running)
    yield Sample("records_evicted_total", found.evicted)
    yield Sample("kept_answers", found.answers)
    yield Sample("kept_answers_bytes", found.answers_bytes)


def _read_traffic(node: "node_module.Node") -> Iterator[Sample]:
    gossip = node.gossip.counters
    sessions = {
        "client": node.sessions.count,
        "server": node.server.session_count,
    }
    yield from _labelled("sessions", "side", sessions)
    dropped = {"session": node.drop_log.counts, "gossip": gossip.dropped}
    for channel, counts in dropped.items():
        for reason, value in counts.items():
            labels = {"channel": channel, "reason": reason}
            yield Sample("messages_dropped_total", value, labels)
    messages = {"in": gossip.messages_in, "out": gossip.messages_out}
    yield from _labelled("gossip_messages_total", "direction", messages)
    size = {"in": gossip.bytes_in, "out": gossip.bytes_out}
    yield from _labelled("gossip_bytes_total", "direction", size)
    yield Sample("store_calls_total", node.relay_role.calls)


def _read_members(node: "node_module.Node") -> Iterator[Sample]:
    membership = node.membership
    counts = collections.Counter(
        (record.zone, str(record.state)) for record in membership.members
    )
    for (zone, state), value in counts.items():
        yield Sample("members", value, {"zone": zone, "state": state})
    yield Sample("unreachable_zones", len(membership.unreachable_zones))
    yield Sample("relay", int(membership.is_relay))


def _read_configuration(node: "node_module.Node") -> Iterator[Sample]:
    newest, _ = node.membership.newest_configuration()
    yield Sample("configuration_version", node.active_configuration.version)
    yield Sample("configuration_newest_version", newest)
    yield Sample(
        "configuration_fault", int(bool(node.active_configuration.fault))
    )
