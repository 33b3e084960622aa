"""``clementinekeel history``: accepted changes."""

from cleo.helpers import option

from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command
from clementinekeel.platform import changes

MAX_LIMIT = 10_000


class HistoryCommand(_command.OperatorCommand):
    """Show the latest accepted changes, newest first."""

    name = "history"
    description = "Show the latest accepted changes, newest first."
    options = [
        option("limit", None, "Number of changes.", flag=False, default="20"),
        *_command.STORE_OPTIONS,
        _command.JSON_OPTION,
    ]
    examples = ("history --limit 5 --settings node.ini",)

    async def run_command(self) -> _command.ExitCode:
        """Show the audit trail."""
        limit = self.number("limit", 1, MAX_LIMIT)
        async with self.open_store() as store:
            entries = store_access.value_of(
                await changes.history(store, limit)
            )
        lines = []
        for entry in entries:
            lines.append(
                f"version {entry.version} (from {entry.from_version})"
                f" {entry.made_at} by {entry.author} from {entry.origin},"
                f" change {entry.change_id}: {entry.reason}"
            )
            lines += [f"  {line}" for line in entry.difference]
        self.emit(lines or ["no changes yet"], {"changes": entries})
        return _command.ExitCode.DONE
