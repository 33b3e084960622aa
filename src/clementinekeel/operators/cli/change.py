"""``clementinekeel change``: report whether a change was accepted."""

from cleo.helpers import argument
from returns import result

from clementinekeel.operators.cli import _changes
from clementinekeel.operators.cli import _command
from clementinekeel.store import changes


class ChangeCommand(_command.OperatorCommand):
    """Report whether a change was accepted."""

    name = "change"
    description = "Report whether a change was accepted."
    arguments = [argument("id", "Id of the change.")]
    options = [*_command.STORE_OPTIONS, _command.JSON_OPTION]
    examples = ("change 5f0c2d --settings node.ini",)

    async def run_command(self) -> _command.ExitCode:
        """Read the outcome of the change from the store."""
        change_id = self.argument("id")
        async with self.open_store() as store:
            read_result = await changes.read_outcome(store, change_id)
        if not isinstance(read_result, result.Success):
            reason = str(read_result.failure())
            raise self._undetermined_error(change_id, reason)
        outcome = read_result.unwrap()
        if isinstance(outcome, changes.Undecided):
            reason = "it is not accepted, but may still arrive at the store"
            raise self._undetermined_error(change_id, reason)
        if isinstance(outcome, changes.NotAccepted):
            raise _changes.not_accepted_error(outcome)
        lines = [f"change {change_id} was accepted as {outcome.version}"]
        data = {"change_id": change_id, "version": outcome.version}
        self.emit(lines, data)
        return _command.ExitCode.DONE

    def _undetermined_error(
        self, change_id: str, reason: str
    ) -> _command.CommandError:
        return _changes.undetermined_error(
            change_id, reason, self.store_arguments
        )
