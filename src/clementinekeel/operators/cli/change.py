"""``clementinekeel change``: what became of a change."""

from cleo.helpers import argument
from returns import result

from clementinekeel.operators.cli import _changes
from clementinekeel.operators.cli import _command
from clementinekeel.store import changes


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
            settled = await changes.read_outcome(store, change_id)
        if not isinstance(settled, result.Success):
            reason = str(settled.failure())
            raise self._not_known(change_id, reason)
        outcome = settled.unwrap()
        if isinstance(outcome, changes.Undecided):
            reason = "it is not accepted, but may still arrive at the store"
            raise self._not_known(change_id, reason)
        if isinstance(outcome, changes.NotAccepted):
            raise _changes.not_accepted(outcome)
        lines = [f"change {change_id} was accepted as {outcome.version}"]
        data = {"change_id": change_id, "version": outcome.version}
        self.emit(lines, data)
        return _command.ExitCode.DONE

    def _not_known(self, change_id: str, reason: str) -> _command.CommandError:
        return _changes.not_known(change_id, reason, self.store_arguments)
