"""State of the node as reported to operators."""

import collections
from collections.abc import Iterator
from typing import TYPE_CHECKING

from returns import result

from clementinekeel import _version
from clementinekeel.daemon import samples
from clementinekeel.membership import records as member_records
from clementinekeel.operators import status as node_status

if TYPE_CHECKING:
    from clementinekeel.daemon import node as node_module


class StatusReporter:
    """Reads the state of a node; implements ``operators.status.NodeStatus``.

    Parameters
    ----------
    node : Node
        The node, which can also be drained here.
    """

    def __init__(self, node: "node_module.Node") -> None:
        self._node = node

    def status(self) -> node_status.Status:
        """Return the state of the node."""
        node = self._node
        own = node.membership.own
        spec = node.endpoint_spec
        return {
            "node": own.node_id,
            "zone": own.zone,
            "region": own.region,
            "incarnation": f"{own.incarnation:016x}",
            "version": _version.VERSION,
            "configuration_version": node.active_configuration.version,
            "newest_version": node.membership.newest_configuration()[0],
            "configuration_fault": node.active_configuration.fault,
            "state": str(own.state),
            "service": own.service,
            "endpoint": own.endpoint,
            "slots": spec.slots if spec else 0,
            "limit": node.owner.limit,
            "running": node.owner.running,
            "queued": node.owner.queued,
            "level": node.owner.load.rank,
            "relays": [
                record.node_id for record in node.membership.relays(own.zone)
            ],
            "members": self._members(),
            "unreachable_zones": list(node.membership.unreachable_zones),
            "sessions": node.sessions.count + node.server.session_count,
            "records": node.records.statistics.records,
            "counters": self._counters(),
        }

    def samples(self) -> Iterator[node_status.Sample]:
        """Return the values of all metrics."""
        return samples.read(self._node)

    def fleet(self) -> node_status.Fleet:
        """Return the endpoints that the node knows."""
        membership = self._node.membership
        return {
            "node": membership.own.node_id,
            "newest_version": membership.newest_configuration()[0],
            "unreachable_zones": list(membership.unreachable_zones),
            "endpoints": [
                _endpoint(record)
                for record in membership.members
                if record.endpoint
            ],
        }

    def request_report(
        self, request_id: str
    ) -> node_status.RequestReport | None:
        """Return the node's decisions on a request, None if not kept."""
        report = self._node.decision_trail.find_report(request_id)
        if report is None:
            return None
        return {
            "request_id": report.request_id,
            "service": report.service,
            "operation": report.operation,
            "request_class": report.request_class,
            "rank": report.rank,
            "idempotent": report.idempotent,
            "outcome": report.outcome,
            "steps": [
                {
                    "at_ms": step.at_ms,
                    "step": step.step,
                    "peer": step.peer,
                    "decision": str(step.decision),
                    "reason": step.reason,
                }
                for step in report.steps
            ],
        }

    async def drain(self) -> result.Result[None, str]:
        """Refuse new requests and calls."""
        self._node.set_draining(True)
        return result.Success(None)

    async def undrain(self) -> result.Result[None, str]:
        """Accept new requests and calls again."""
        self._node.set_draining(False)
        if self._node.is_leaving:
            return result.Failure("the node or its backend server stops")
        return result.Success(None)

    def _members(self) -> list[node_status.MemberCount]:
        counts = collections.Counter(
            (record.zone, str(record.state))
            for record in self._node.membership.members
        )
        return [
            {"zone": zone, "state": state, "members": number}
            for (zone, state), number in sorted(counts.items())
        ]

    def _counters(self) -> dict[str, int]:
        node = self._node
        gossip = node.gossip.counters
        return {
            **{f"entry_{k}": v for k, v in node.entry.counts.items()},
            **{f"owner_{k}": v for k, v in node.owner.counts.items()},
            **{
                f"problem_{k}": v for k, v in node.entry.problem_counts.items()
            },
            "gossip_messages_in": gossip.messages_in,
            "gossip_messages_out": gossip.messages_out,
            "gossip_bytes_in": gossip.bytes_in,
            "gossip_bytes_out": gossip.bytes_out,
            "messages_dropped": sum(node.drop_log.counts.values())
            + sum(gossip.dropped.values()),
            "store_calls": node.relay_role.calls,
        }


def _endpoint(
    record: member_records.MemberRecord,
) -> node_status.EndpointStatus:
    return {
        "service": record.service,
        "endpoint": record.endpoint,
        "zone": record.zone,
        "region": record.region,
        "state": str(record.state),
        "node": record.node_id,
        "address": record.address,
        "configuration_version": record.configuration_version,
    }
