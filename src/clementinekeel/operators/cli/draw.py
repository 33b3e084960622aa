"""``clementinekeel draw``: generate the inventory from an asset register."""

from cleo.helpers import argument
from cleo.helpers import option
from returns import result

from clementinekeel.configuration import assets
from clementinekeel.configuration import reader
from clementinekeel.operators.cli import _command


class DrawCommand(_command.OperatorCommand):
    """Generate the inventory from an asset register in CSV."""

    name = "draw"
    description = "Draw the inventory from an asset register in CSV."
    arguments = [argument("assets", "Asset register (CSV).")]
    options = [
        option(
            "output",
            None,
            "File to write; by default standard output.",
            flag=False,
        ),
        _command.JSON_OPTION,
    ]
    examples = (
        "draw assets.csv",
        "draw assets.csv --output inventory.ini",
    )

    async def run_command(self) -> _command.ExitCode:
        """Generate and write the inventory."""
        outcome = assets.read_inventory(
            _command.read_source(self.argument("assets"))
        )
        if isinstance(outcome, result.Failure):
            raise _command.faults_error(outcome.failure())
        inventory = outcome.unwrap()
        text = reader.write_inventory(inventory)
        path = self.option("output")
        if not path:
            self.emit(text.splitlines(), inventory)
            return _command.ExitCode.DONE
        _command.write_file(path, text)
        count = sum(len(service.endpoints) for service in inventory.services)
        self.emit([f"{path}: {count} endpoints"], inventory)
        return _command.ExitCode.DONE
