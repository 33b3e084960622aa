"""``clementinekeel endpoint``: show one endpoint."""

from cleo.helpers import argument

from clementinekeel.operators.cli import _command


class EndpointCommand(_command.OperatorCommand):
    """Show one endpoint, with its status if the queried node is beside it."""

    name = "endpoint"
    description = "Show one endpoint."
    arguments = [argument("name", "Name of the endpoint.")]
    options = [_command.NODE_OPTION, _command.JSON_OPTION]
    examples = ("endpoint bookings-1 --node 192.0.2.21:7003",)

    async def run_command(self) -> _command.ExitCode:
        """Show the endpoint's directory records, and the node's status."""
        name = self.argument("name")
        async with self.open_node() as node:
            status = await node.status()
            fleet = await node.fleet(endpoint=name)
        records = [dict(record) for record in fleet["endpoints"]]
        if not records and status["endpoint"] != name:
            reason = f"{status['node']} knows no endpoint {name!r}"
            code = _command.ExitCode.REFUSED
            raise _command.CommandError(code, [reason])
        data: dict[str, object] = {"endpoint": name, "records": records}
        lines = [
            f"{key}: {value}"
            for record in records
            for key, value in record.items()
        ]
        if status["endpoint"] == name:
            data["status"] = status
            lines += [
                f"{key}: {_format_value(value)}"
                for key, value in status.items()
            ]
        self.emit(list(dict.fromkeys(lines)), data)
        return _command.ExitCode.DONE


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return (
            ", ".join(f"{k} {_format_value(v)}" for k, v in value.items())
            or "none"
        )
    if isinstance(value, list):
        return "; ".join(_format_value(item) for item in value) or "none"
    return str(value)
