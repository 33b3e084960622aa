"""``clementinekeel drain``: stop new work of an endpoint."""

from cleo.helpers import argument

from clementinekeel.operators.cli import _command
from clementinekeel.operators.cli import _drains


class DrainCommand(_command.OperatorCommand):
    """Stop new work of an endpoint; work in flight ends."""

    name = "drain"
    description = "Stop new work of an endpoint; work in flight ends."
    arguments = [argument("endpoint", "Name of the endpoint.")]
    options = [_command.NODE_OPTION, _command.JSON_OPTION]
    examples = ("drain bookings-1 --node 192.0.2.21:7003",)

    async def run_command(self) -> _command.ExitCode:
        """Ask the node beside the endpoint."""
        async with self.open_node() as node:
            status = await node.drain(self.argument("endpoint"))
        self.emit(_drains.report(status), status)
        return _command.ExitCode.DONE
