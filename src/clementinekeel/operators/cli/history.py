"""``clementinekeel history``: show the audit trail."""

from cleo.helpers import option

from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command
from clementinekeel.store import changes

MAX_LIMIT = 10_000


class HistoryCommand(_command.OperatorCommand):
    """Show the latest accepted changes and drains, newest first."""

    name = "history"
    description = "Show the latest accepted changes and drains, newest first."
    options = [
        option("limit", None, "Number of entries.", flag=False, default="20"),
        *_command.STORE_OPTIONS,
        _command.JSON_OPTION,
    ]
    examples = ("history --limit 5 --settings node.ini",)

    async def run_command(self) -> _command.ExitCode:
        """Show the latest entries of the audit trail."""
        limit = self.integer_option("limit", 1, MAX_LIMIT)
        async with self.open_store() as store:
            entries = store_access.value_of(
                await changes.history(store, limit)
            )
        lines: list[str] = []
        for entry in entries:
            lines += _format(entry)
        self.emit(lines or ["no entries yet"], {"entries": entries})
        return _command.ExitCode.DONE


def _format(entry: changes.HistoryEntry) -> list[str]:
    made_by = f"{entry.made_at} by {entry.author} from {entry.origin}"
    if isinstance(entry, changes.DrainEntry):
        return [
            f"{entry.action} of {entry.endpoint} at version {entry.version}"
            f" {made_by}, entry {entry.number}: {entry.reason}"
        ]
    return [
        f"version {entry.version} (from {entry.from_version}) {made_by},"
        f" change {entry.change_id}: {entry.reason}",
        *(f"  {line}" for line in entry.difference),
    ]
