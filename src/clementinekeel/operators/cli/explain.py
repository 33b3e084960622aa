"""``clementinekeel explain``: what the logs say of one request."""

import pathlib
import sys
from typing import Any

from cleo.helpers import argument

from clementinekeel.operators import explain
from clementinekeel.operators.cli import _command


class ExplainCommand(_command.OperatorCommand):
    """Join the log lines of one request into a time line."""

    name = "explain"
    description = "Join the log lines of one request into a time line."
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
        """Read the logs and show the request's lines, cause last."""
        request_id = self.argument("request_id")
        found = explain.explain(request_id, self._read())
        if not found.lines:
            raise _command.CommandError(
                _command.ExitCode.REFUSED,
                [
                    f"no line on request {request_id};"
                    f" {found.damaged} lines could not be read"
                ],
            )
        self.emit(_lines(found), found._asdict())
        return _command.ExitCode.DONE

    def _read(self) -> list[str]:
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


def _lines(found: explain.Explanation) -> list[str]:
    start = found.lines[0].get("time", 0)
    rows = [(_row(item, start)) for item in found.lines]
    shown = _command.columns(
        ("ms", "node", "event", "request", "result", "details"), rows
    )
    if found.damaged:
        shown.append(f"{found.damaged} lines could not be read")
    if found.cause is None:
        shown.append("cause: none of the lines tells of a failure")
    else:
        shown.append("cause: " + _sentence(found.cause))
    return shown


def _row(item: dict[str, Any], start: float) -> tuple[str, ...]:
    calls = str(item["request_id"]).count(".")
    result = f"{item.get('status', item.get('outcome', ''))}"
    reason = item.get("reason")
    details = " ".join(
        f"{name}={item[name]}"
        for name in ("waited_ms", "service_ms", "ms", "offers", "tried")
        if item.get(name) not in (None, "")
    )
    return (
        str(round((item.get("time", 0) - start) * 1000)),
        str(item.get("node", "")),
        str(item.get("event", "")),
        f"call at depth {calls}" if calls else "itself",
        f"{result} {reason}" if reason else result,
        details,
    )


def _sentence(cause: dict[str, Any]) -> str:
    what = cause.get("reason") or cause.get("outcome")
    result = cause.get("status", cause.get("outcome"))
    return (
        f"{cause['event']} at {cause.get('node')} for"
        f" {cause['request_id']}: {result} {what}"
    )
