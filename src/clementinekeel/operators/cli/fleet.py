"""``clementinekeel fleet``: show all endpoints that a node knows."""

from cleo.helpers import option

from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _command


class FleetCommand(_command.OperatorCommand):
    """Show all endpoints that a node knows."""

    name = "fleet"
    description = "Show all endpoints that a node knows."
    options = [
        _command.NODE_OPTION,
        option("service", None, "Only this service.", flag=False),
        option("zone", None, "Only this availability zone.", flag=False),
        _command.JSON_OPTION,
    ]
    examples = (
        "fleet --node 192.0.2.21:7003",
        "fleet --node 192.0.2.21:7003 --service bookings --json",
    )

    async def run_command(self) -> _command.ExitCode:
        """Show the endpoints in the node's directory."""
        filters = {
            name: self.option(name)
            for name in ("service", "zone")
            if self.option(name)
        }
        async with self.open_node() as node:
            fleet = await node.fleet(**filters)
        self.emit(_format(fleet), fleet)
        return _command.ExitCode.DONE


def _format(fleet: node_status.Fleet) -> list[str]:
    newest = fleet["newest_version"]
    rows = [
        (
            endpoint["service"],
            endpoint["endpoint"],
            endpoint["zone"],
            endpoint["state"],
            endpoint["node"],
            endpoint["address"],
            _format_version(endpoint["configuration_version"], newest),
        )
        for endpoint in sorted(fleet["endpoints"], key=_sort_key)
    ]
    header = (
        "service",
        "endpoint",
        "zone",
        "state",
        "node",
        "address",
        "version",
    )
    unreachable = ", ".join(fleet["unreachable_zones"]) or "none"
    return [
        f"as seen by {fleet['node']}, newest version {newest},"
        f" unreachable zones: {unreachable}",
        *_command.format_table(header, rows),
    ]


def _sort_key(endpoint: node_status.EndpointStatus) -> tuple[str, str]:
    return endpoint["service"], endpoint["endpoint"]


def _format_version(version: int, newest: int) -> str:
    return f"{version} (behind)" if version < newest else str(version)
