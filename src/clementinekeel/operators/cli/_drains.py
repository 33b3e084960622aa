"""What drain and undrain share: the audit trail, then the node."""

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
        "Go on without an entry in the audit trail if the store is away.",
    ),
    _command.NODE_OPTION,
    *_command.STORE_OPTIONS,
    _command.JSON_OPTION,
]


class DrainingCommand(_command.OperatorCommand):
    """Records an order to a node in the audit trail and gives it."""

    arguments = ARGUMENTS
    options = OPTIONS
    action: changes.DrainAction

    async def run_command(self) -> _command.ExitCode:
        """Record the order, then ask the node beside the endpoint."""
        drain = changes.Drain(
            drain_id=uuid.uuid4().hex,
            action=self.action,
            endpoint=self.argument("endpoint"),
            author=self.author,
            origin=socket.gethostname(),
            reason=self.required("reason"),
        )
        async with self.open_node() as node, self.open_store() as store:
            await self._check_node(node, drain.endpoint)
            recorded = await changes.record_drain(store, drain)
            trail = self._trail_of(recorded)
            status = await self._order(node, drain, trail)
        lines = [
            f"{status['endpoint']} at {status['node']} is {status['state']}:"
            f" {status['running']} running, {status['queued']} queued",
            trail,
        ]
        entry = recorded.value_or(None)
        self.emit(lines, {"status": status, "entry": entry})
        return _command.ExitCode.DONE

    async def order(
        self, node: node_client.NodeClient, endpoint: str
    ) -> node_status.Status:
        """Give the order to the node."""
        raise NotImplementedError

    async def _check_node(
        self, node: node_client.NodeClient, endpoint: str
    ) -> None:
        """Refuse an order that the node would refuse, before recording it."""
        status = await node.status()
        if status["endpoint"] != endpoint:
            served = status["endpoint"] or "no endpoint"
            reason = f"{status['node']} serves {served!r}, not {endpoint!r}"
            code = _command.ExitCode.REFUSED
            raise _command.CommandError(code, [reason])

    def _trail_of(
        self, recorded: client.StoreResult[changes.DrainEntry]
    ) -> str:
        """Return where the order is in the trail, or end the command."""
        if isinstance(recorded, result.Success):
            return f"entry {recorded.unwrap().number} of drains in the trail"
        error = recorded.failure()
        is_lost = isinstance(error, errors.Undetermined)
        place = "may be" if is_lost else "is not"
        trail = f"this {self.name} {place} in the audit trail: {error}"
        is_refused = _command.store_code(error) is _command.ExitCode.REFUSED
        if self.option("unrecorded") and not is_refused:
            return trail
        lines = [trail, "the node was not told"]
        if not is_refused:
            lines.append("to go on without an entry: --unrecorded")
        code = _command.store_code(error)
        if is_lost:
            code = _command.ExitCode.UNDETERMINED
        raise _command.CommandError(code, lines)

    async def _order(
        self,
        node: node_client.NodeClient,
        drain: changes.Drain,
        trail: str,
    ) -> node_status.Status:
        try:
            return await self.order(node, drain.endpoint)
        except step_errors.StepError as error:
            # The entry is written already, so the trail needs this to be
            # known.
            lines = [f"{drain.action} not confirmed: {error}", trail]
            code = _command.ExitCode.REFUSED
            if isinstance(error, node_client.UnreachableError):
                code = _command.ExitCode.UNREACHABLE
            raise _command.CommandError(code, lines) from error
