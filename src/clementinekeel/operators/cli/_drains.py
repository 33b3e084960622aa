"""Base of drain and undrain: write the audit entry, then call the node."""

import socket
import uuid

from cleo.helpers import argument
from cleo.helpers import option
from returns import result

from clementinekeel.operators import node_client
from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _command
from clementinekeel.runtime import errors as step_errors
from clementinekeel.store import changes
from clementinekeel.store import client
from clementinekeel.store import errors

ARGUMENTS = [argument("endpoint", "Name of the endpoint.")]
OPTIONS = [
    _command.REASON_OPTION,
    _command.AUTHOR_OPTION,
    option(
        "unrecorded",
        None,
        "Continue without an audit entry if the store is unavailable.",
    ),
    _command.NODE_OPTION,
    *_command.STORE_OPTIONS,
    _command.JSON_OPTION,
]


class DrainingCommand(_command.OperatorCommand):
    """Records a drain or its end in the audit trail and sends it to the node.

    The entry is written first, so that no drain happens without an entry,
    unless the operator accepts this with ``--unrecorded``.
    """

    arguments = ARGUMENTS
    options = OPTIONS
    action: changes.DrainAction

    async def run_command(self) -> _command.ExitCode:
        """Write the audit entry, then call the node beside the endpoint."""
        drain = changes.Drain(
            drain_id=uuid.uuid4().hex,
            action=self.action,
            endpoint=self.argument("endpoint"),
            author=self.author,
            origin=socket.gethostname(),
            reason=self.required_option("reason"),
        )
        async with self.open_node() as node, self.open_store() as store:
            await self._check_node(node, drain.endpoint)
            recorded = await changes.record_drain(store, drain)
            trail_line = self._check_recorded(recorded)
            status = await self._send_drain(node, drain, trail_line)
        lines = [
            f"{status['endpoint']} at {status['node']} is {status['state']}:"
            f" {status['running']} running, {status['queued']} queued",
            trail_line,
        ]
        entry = recorded.value_or(None)
        self.emit(lines, {"status": status, "entry": entry})
        return _command.ExitCode.DONE

    async def send(
        self, node: node_client.NodeClient, endpoint: str
    ) -> node_status.Status:
        """Send the drain or its end to the node."""
        raise NotImplementedError

    async def _check_node(
        self, node: node_client.NodeClient, endpoint: str
    ) -> None:
        """Refuse a drain that the node would refuse, before recording it."""
        status = await node.status()
        if status["endpoint"] != endpoint:
            served = status["endpoint"] or "no endpoint"
            reason = f"{status['node']} serves {served!r}, not {endpoint!r}"
            code = _command.ExitCode.REFUSED
            raise _command.CommandError(code, [reason])

    def _check_recorded(
        self, recorded: client.StoreResult[changes.DrainEntry]
    ) -> str:
        """Return the report line on the audit entry, or end the command.

        Without an entry, the command continues only with ``--unrecorded``
        and if the store did not refuse the entry.
        """
        if isinstance(recorded, result.Success):
            return f"entry {recorded.unwrap().number} of drains in the trail"
        error = recorded.failure()
        is_undetermined = isinstance(error, errors.Undetermined)
        place = "may be" if is_undetermined else "is not"
        trail_line = f"this {self.name} {place} in the audit trail: {error}"
        is_refused = (
            _command.store_exit_code(error) is _command.ExitCode.REFUSED
        )
        if self.option("unrecorded") and not is_refused:
            return trail_line
        lines = [trail_line, "the node was not told"]
        if not is_refused:
            lines.append("to go on without an entry: --unrecorded")
        code = _command.store_exit_code(error)
        if is_undetermined:
            code = _command.ExitCode.UNDETERMINED
        raise _command.CommandError(code, lines)

    async def _send_drain(
        self,
        node: node_client.NodeClient,
        drain: changes.Drain,
        trail_line: str,
    ) -> node_status.Status:
        try:
            return await self.send(node, drain.endpoint)
        except step_errors.StepError as error:
            # The audit entry may exist although the node did not confirm the
            # drain, so the report includes it.
            lines = [f"{drain.action} not confirmed: {error}", trail_line]
            code = _command.ExitCode.REFUSED
            if isinstance(error, node_client.UnreachableError):
                code = _command.ExitCode.UNREACHABLE
            raise _command.CommandError(code, lines) from error
