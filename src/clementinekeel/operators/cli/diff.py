"""``clementinekeel diff``: compare files with the accepted configuration."""

from clementinekeel.configuration import objects
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command


class DiffCommand(_command.OperatorCommand):
    """Show how files differ from the accepted configuration."""

    name = "diff"
    description = "Show how files differ from the accepted configuration."
    options = [
        *_command.INPUT_OPTIONS,
        *_command.STORE_OPTIONS,
        _command.JSON_OPTION,
    ]
    examples = (
        "diff --inventory inventory.ini --rules rules.ini --settings node.ini",
    )

    async def run_command(self) -> _command.ExitCode:
        """Compare the files with the accepted version in the store."""
        configuration = _command.read_input(
            self.required_option("inventory"), self.required_option("rules")
        )
        proposed = objects.encode(configuration.inventory, configuration.rules)
        async with self.open_store() as store:
            snapshot = await store_access.load_snapshot(store)
        difference = objects.difference(snapshot.objects, proposed)
        lines = [f"accepted version {snapshot.version}"]
        lines += [f"  {line}" for line in difference or ("no difference",)]
        data = {"version": snapshot.version, "difference": difference}
        self.emit(lines, data)
        return _command.ExitCode.DONE
