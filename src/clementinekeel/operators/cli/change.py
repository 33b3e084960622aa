"""``clementinekeel change``: what became of a change."""

from cleo.helpers import argument

from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _changes
from clementinekeel.operators.cli import _command


class ChangeCommand(_command.OperatorCommand):
    """Tell whether a change was accepted."""

    name = "change"
    description = "Tell whether a change was accepted."
    arguments = [argument("id", "Id of the change.")]
    options = [*_command.STORE_OPTIONS, _command.JSON_OPTION]
    examples = ("change 5f0c2d --settings node.ini",)

    async def run_command(self) -> _command.ExitCode:
        """Ask the store about the change."""
        change_id = self.argument("id")
        async with self.open_store() as store:
            outcome = await store.settle(change_id)
        if not isinstance(outcome, store_access.Accepted):
            raise _changes.failure(outcome, change_id)
        lines = [f"change {change_id} was accepted as {outcome.version}"]
        data = {"change_id": change_id, "version": outcome.version}
        self.emit(lines, data)
        return _command.ExitCode.DONE
