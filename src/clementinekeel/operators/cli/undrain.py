"""``clementinekeel undrain``: let a drained endpoint take new work again."""

from cleo.helpers import argument

from clementinekeel.operators.cli import _command
from clementinekeel.operators.cli import _drains


class UndrainCommand(_command.OperatorCommand):
    """Let a drained endpoint take new work again."""

    name = "undrain"
    description = "Let a drained endpoint take new work again."
    arguments = [argument("endpoint", "Name of the endpoint.")]
    options = [_command.NODE_OPTION, _command.JSON_OPTION]
    examples = ("undrain bookings-1 --node 192.0.2.21:7003",)

    async def run_command(self) -> _command.ExitCode:
        """Ask the node beside the endpoint."""
        async with self.open_node() as node:
            status = await node.undrain(self.argument("endpoint"))
        self.emit(_drains.report(status), status)
        return _command.ExitCode.DONE
