"""Command line application with all commands of the operators."""

from collections.abc import Callable
import functools
import importlib
from typing import Any

from cleo import application
from cleo.exceptions import CleoError
from cleo.io.inputs import input as command_input
from cleo.io.outputs import output as command_output
from cleo.loaders import factory_command_loader

from clementinekeel import _version
from clementinekeel.operators.cli import exit_codes

COMMAND_NAMES = (
    "apply",
    "change",
    "check",
    "diff",
    "drain",
    "draw",
    "endpoint",
    "explain",
    "fleet",
    "history",
    "node",
    "show",
    "undrain",
    "why",
)


class OperatorApplication(application.Application):
    """Application of all commands; wrong usage has an exit code of its own."""

    def run(
        self,
        input: command_input.Input | None = None,
        output: command_output.Output | None = None,
        error_output: command_output.Output | None = None,
    ) -> int:
        """Run the command that the input names.

        Returns
        -------
        int
            Exit code.
        """
        self.auto_exits(False)
        self.catch_exceptions(False)
        try:
            return super().run(input, output, error_output)
        except CleoError as error:
            io = self.create_io(input, output, error_output)
            io.error_output.write(
                f"usage: {error}",
                new_line=True,
                type=command_output.Type.RAW,
            )
            return int(exit_codes.ExitCode.USAGE)


def build(clients: Any = None) -> OperatorApplication:
    """Return the command line application.

    Parameters
    ----------
    clients : Clients
        Openers of stores and nodes; by default over HTTP.
    """
    built = OperatorApplication("clementinekeel", _version.VERSION)
    # Modules of commands are imported on use, so that a node does not load
    # those of the other commands.
    factories: dict[str, Callable[[], Any]] = {
        name: functools.partial(_load_command, name, clients)
        for name in COMMAND_NAMES
    }
    loader = factory_command_loader.FactoryCommandLoader(factories)
    built.set_command_loader(loader)
    return built


def _load_command(name: str, clients: Any) -> Any:
    module = importlib.import_module(f"{__package__}.{name}")
    return getattr(module, f"{name.capitalize()}Command")(clients)
