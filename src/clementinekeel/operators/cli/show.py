"""``clementinekeel show``: show the accepted configuration."""

from returns import result

from clementinekeel.configuration import model
from clementinekeel.configuration import objects
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command


class ShowCommand(_command.OperatorCommand):
    """Show the accepted configuration."""

    name = "show"
    description = "Show the accepted configuration."
    options = [*_command.STORE_OPTIONS, _command.JSON_OPTION]
    examples = (
        "show --store http://192.0.2.10:2379",
        "show --settings node.ini --json",
    )

    async def run_command(self) -> _command.ExitCode:
        """Show services, zones and rules."""
        async with self.open_store() as store:
            snapshot = await store_access.load_snapshot(store)
        if snapshot == store_access.EMPTY_SNAPSHOT:
            self.emit(["no configuration yet (version 0)"], {"version": 0})
            return _command.ExitCode.DONE
        outcome = objects.decode(
            snapshot.version, snapshot.change_id, snapshot.objects
        )
        if isinstance(outcome, result.Failure):
            raise _command.faults_error(outcome.failure())
        configuration = outcome.unwrap()
        self.emit(_format(configuration), configuration)
        return _command.ExitCode.DONE


def _format(configuration: model.Configuration) -> list[str]:
    inventory = configuration.inventory
    rules = configuration.rules
    services = [
        (
            service.name,
            len(service.endpoints),
            sum(endpoint.slots for endpoint in service.endpoints),
            len({endpoint.zone for endpoint in service.endpoints}),
        )
        for service in inventory.services
    ]
    operations = [
        (
            operation.service,
            operation.name,
            " ".join(operation.methods) or "any",
            operation.path,
            operation.request_class,
            operation.rank,
            "yes" if operation.idempotent else "no",
            operation.deadline_ms,
        )
        for operation in rules.operations
    ]
    return [
        f"version {configuration.version}, change {configuration.change_id}",
        f"objective {rules.objective},"
        f" retry allowance {rules.retry_allowance},"
        f" retry budget {rules.retry_budget_share:g},"
        f" default class {rules.default_class}",
        "",
        *_command.format_table(
            ("service", "endpoints", "slots", "zones"), services
        ),
        "",
        *_command.format_table(
            (
                "service",
                "operation",
                "methods",
                "path",
                "class",
                "rank",
                "idempotent",
                "deadline_ms",
            ),
            operations,
        ),
    ]
