"""``clementinekeel why``: show the decisions that led to an outcome."""

from cleo.helpers import argument

from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _command


class WhyCommand(_command.OperatorCommand):
    """Show the decisions about one request."""

    name = "why"
    description = "Show the decisions about one request."
    arguments = [argument("request_id", "Id of the request.")]
    options = [_command.NODE_OPTION, _command.JSON_OPTION]
    examples = ("why 01J8ZK3F --node 192.0.2.21:7003",)

    async def run_command(self) -> _command.ExitCode:
        """Show the report of a node that handled the request."""
        async with self.open_node() as node:
            report = await node.request_report(self.argument("request_id"))
        self.emit(_format(report), report)
        return _command.ExitCode.DONE


def _format(report: node_status.RequestReport) -> list[str]:
    steps = [
        (
            step["at_ms"],
            step["step"],
            step["peer"],
            step["decision"],
            step["reason"],
        )
        for step in report["steps"]
    ]
    idempotence = "idempotent" if report["idempotent"] else "not idempotent"
    return [
        f"request {report['request_id']} to {report['service']}:"
        f" {report['outcome']}",
        f"operation {report['operation']}, class {report['request_class']},"
        f" rank {report['rank']}, {idempotence}",
        *_command.format_table(
            ("at_ms", "step", "peer", "decision", "reason"), steps
        ),
    ]
