"""``clementinekeel check``: check input files without a store or node."""

from cleo.exceptions import CleoUserError
from cleo.helpers import option
from returns import result

from clementinekeel.configuration import reader
from clementinekeel.operators.cli import _command
from clementinekeel.runtime import ini
from clementinekeel.runtime import settings


class CheckCommand(_command.OperatorCommand):
    """Check settings, inventory and rules and report all faults."""

    name = "check"
    description = "Check settings, inventory and rules offline."
    options = [
        option("settings", None, "Settings of a node (INI).", flag=False),
        *_command.INPUT_OPTIONS,
        _command.JSON_OPTION,
    ]
    examples = (
        "check --settings node.ini",
        "check --inventory inventory.ini --rules rules.ini",
    )

    async def run_command(self) -> _command.ExitCode:
        """Check all files given as options."""
        files = {
            name: self.option(name)
            for name in ("settings", "inventory", "rules")
            if self.option(name)
        }
        if not files:
            raise CleoUserError("Name at least one file.")
        if "rules" in files and "inventory" not in files:
            # Rules refer to services of the inventory.
            raise CleoUserError('"--rules" needs "--inventory".')
        faults = [*self._check_settings(files), *self._check_input(files)]
        if faults:
            raise _command.faults_error(faults)
        lines = [f"{path}: no faults" for path in files.values()]
        self.emit(lines, {"faults": []})
        return _command.ExitCode.DONE

    def _check_settings(self, files: dict[str, str]) -> list[ini.Fault]:
        if "settings" not in files:
            return []
        return _faults_of(settings.load(files["settings"]))

    def _check_input(self, files: dict[str, str]) -> list[ini.Fault]:
        if "inventory" not in files:
            return []
        inventory = _command.read_source(files["inventory"])
        if "rules" not in files:
            return _faults_of(reader.read_inventory(inventory))
        rules = _command.read_source(files["rules"])
        return _faults_of(reader.read(inventory, rules))


def _faults_of(
    outcome: result.Result[object, tuple[ini.Fault, ...]],
) -> list[ini.Fault]:
    if isinstance(outcome, result.Failure):
        return list(outcome.failure())
    return []
