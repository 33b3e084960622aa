"""``clementinekeel explain``: show the log lines of one request."""

import pathlib
import sys
from typing import Any

from cleo.helpers import argument

from clementinekeel.operators import explain
from clementinekeel.operators.cli import _command


class ExplainCommand(_command.OperatorCommand):
    """Show the log lines of one request, from all nodes, in order of time."""

    name = "explain"
    description = "Show the log lines of one request in order of time."
    arguments = [
        argument("request_id", "Id of the request."),
        argument(
            "logs",
            "Files with log lines; by default standard input.",
            optional=True,
            multiple=True,
        ),
    ]
    options = [_command.JSON_OPTION]
    examples = ("explain 880a20e392cb6c10 node-1.log node-2.log",)

    async def run_command(self) -> _command.ExitCode:
        """Read the logs and show the request's lines, then the cause."""
        request_id = self.argument("request_id")
        explanation = explain.explain(request_id, self._read_lines())
        if not explanation.lines:
            raise _command.CommandError(
                _command.ExitCode.REFUSED,
                [
                    f"no line on request {request_id};"
                    f" {explanation.damaged} lines could not be read"
                ],
            )
        self.emit(_format(explanation), explanation._asdict())
        return _command.ExitCode.DONE

    def _read_lines(self) -> list[str]:
        paths = self.argument("logs")
        if not paths:
            return sys.stdin.readlines()
        lines: list[str] = []
        for path in paths:
            try:
                text = pathlib.Path(path).read_text(errors="replace")
            except OSError as error:
                raise _command.CommandError(
                    _command.ExitCode.REFUSED,
                    [f"{path}: {error.strerror}"],
                ) from error
            lines += text.splitlines()
        return lines


def _format(explanation: explain.Explanation) -> list[str]:
    start = explanation.lines[0].get("time", 0)
    rows = [(_format_row(line, start)) for line in explanation.lines]
    output = _command.format_table(
        ("ms", "node", "event", "request", "result", "details"), rows
    )
    if explanation.damaged:
        output.append(f"{explanation.damaged} lines could not be read")
    if explanation.cause is None:
        output.append("cause: none of the lines tells of a failure")
    else:
        output.append("cause: " + _format_cause(explanation.cause))
    return output


def _format_row(line: dict[str, Any], start: float) -> tuple[str, ...]:
    depth = str(line["request_id"]).count(".")
    result = f"{line.get('status', line.get('outcome', ''))}"
    reason = line.get("reason")
    details = " ".join(
        f"{name}={line[name]}"
        for name in ("waited_ms", "service_ms", "ms", "offers", "tried")
        if line.get(name) not in (None, "")
    )
    return (
        str(round((line.get("time", 0) - start) * 1000)),
        str(line.get("node", "")),
        str(line.get("event", "")),
        f"call at depth {depth}" if depth else "itself",
        f"{result} {reason}" if reason else result,
        details,
    )


def _format_cause(cause: dict[str, Any]) -> str:
    reason = cause.get("reason") or cause.get("outcome")
    result = cause.get("status", cause.get("outcome"))
    return (
        f"{cause['event']} at {cause.get('node')} for"
        f" {cause['request_id']}: {result} {reason}"
    )
