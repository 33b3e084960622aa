"""``clementinekeel apply``: apply a new version of the configuration."""

import socket
import uuid

from cleo.exceptions import CleoUserError
from cleo.helpers import option
from returns import result

from clementinekeel.configuration import objects
from clementinekeel.operators import node_client
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _changes
from clementinekeel.operators.cli import _command
from clementinekeel.runtime import clock
from clementinekeel.store import changes
from clementinekeel.store import client
from clementinekeel.store import errors

MAX_VERSION = 2**53
MAX_TIMEOUT_S = 3_600
POLL_INTERVAL_MS = 500


class ApplyCommand(_command.OperatorCommand):
    """Check inventory and rules and make them the next version."""

    name = "apply"
    description = "Make inventory and rules the next version."
    options = [
        *_command.INPUT_OPTIONS,
        _command.REASON_OPTION,
        option(
            "base-version",
            None,
            "Version that the files were made from. Without it, the accepted"
            " version is replaced, whatever it is.",
            flag=False,
        ),
        option(
            "change-id",
            None,
            "Id of an earlier attempt, to repeat it.",
            flag=False,
        ),
        _command.AUTHOR_OPTION,
        option(
            "wait", None, "Wait until the version is in force at all nodes."
        ),
        option(
            "timeout",
            None,
            "Longest wait in seconds.",
            flag=False,
            default="30",
        ),
        _command.NODE_OPTION,
        *_command.STORE_OPTIONS,
        _command.JSON_OPTION,
    ]
    examples = (
        "apply --inventory inventory.ini --rules rules.ini"
        " --reason 'first inventory' --store http://192.0.2.10:2379",
        "apply --inventory inventory.ini --rules rules.ini"
        " --reason 'VM replaced' --base-version 41 --settings node.ini"
        " --wait --node 192.0.2.21:7003",
    )

    async def run_command(self) -> _command.ExitCode:
        """Apply the change, wait if asked to, and report the outcome."""
        reason = self.required_option("reason")
        if self.option("wait") and not self.option("node"):
            raise CleoUserError('"--wait" needs "--node".')
        timeout_s = self.integer_option("timeout", 0, MAX_TIMEOUT_S)
        configuration = _command.read_input(
            self.required_option("inventory"), self.required_option("rules")
        )
        proposed = objects.encode(configuration.inventory, configuration.rules)
        async with self.open_store() as store:
            report = await self._apply(store, proposed, reason)
        if self.option("wait"):
            report = await self._wait_until_in_force(report, timeout_s)
        self.emit(report.lines, report.data)
        return _command.ExitCode.DONE

    async def _apply(
        self,
        store: client.StoreClient,
        proposed: dict[str, bytes],
        reason: str,
    ) -> _changes.Report:
        change_id = self.option("change-id") or uuid.uuid4().hex
        if self.option("change-id"):
            outcome = store_access.value_of(
                await changes.read_outcome(store, change_id)
            )
            if isinstance(outcome, changes.Accepted):
                return _changes.accepted_report(outcome.version, change_id, ())
            if isinstance(outcome, changes.NotAccepted):
                raise _changes.not_accepted_error(outcome)
        snapshot = await store_access.load_snapshot(store)
        base = snapshot.version
        if self.option("base-version"):
            base = self.integer_option("base-version", 0, MAX_VERSION)
        difference = objects.difference(snapshot.objects, proposed)
        if base == snapshot.version and not difference:
            return _changes.unchanged_report(base)
        change = changes.Change(
            change_id=change_id,
            author=self.author,
            origin=socket.gethostname(),
            reason=reason,
            base_version=base,
            objects=proposed,
            difference=difference,
        )
        applied = await changes.apply(store, change)
        if isinstance(applied, result.Success):
            version = applied.unwrap().version
            return _changes.accepted_report(version, change_id, difference)
        raise await self._build_error(store, change, applied.failure())

    async def _build_error(
        self,
        store: client.StoreClient,
        change: changes.Change,
        error: errors.StoreError,
    ) -> _command.CommandError:
        if isinstance(error, changes.Conflict):
            loaded = await changes.load(store, None)
            snapshot = loaded.value_or(None)
            return _changes.conflict_error(error, snapshot, change.objects)
        if isinstance(error, errors.Undetermined):
            return _changes.undetermined_error(
                change.change_id, str(error), self.store_arguments
            )
        return _changes.rejected_error(change.change_id, str(error))

    async def _wait_until_in_force(
        self, report: _changes.Report, timeout_s: int
    ) -> _changes.Report:
        deadline_ms = clock.now_ms() + timeout_s * clock.MS_PER_S
        async with self.open_node() as node:
            while True:
                try:
                    fleet = await node.fleet()
                except node_client.UnreachableError as error:
                    # Exit code 4 would hide that the change is accepted.
                    raise _changes.not_in_force_error(
                        report, str(error)
                    ) from error
                outdated = _changes.describe_outdated(fleet, report.version)
                if not outdated:
                    return _changes.in_force_report(report, fleet)
                if clock.now_ms() >= deadline_ms:
                    raise _changes.not_in_force_error(report, *outdated)
                await clock.sleep_ms(POLL_INTERVAL_MS)
