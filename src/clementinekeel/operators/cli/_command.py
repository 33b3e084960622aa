"""Base of all commands: output, exit codes, options and clients."""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
import contextlib
import getpass
import pathlib
from typing import Any, ClassVar, NamedTuple

import anyio
from cleo.commands import command
from cleo.exceptions import CleoUserError
from cleo.helpers import option
from cleo.io.outputs import output
import msgspec
from returns import result

from clementinekeel.configuration import reader
from clementinekeel.operators import node_client
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import exit_codes
from clementinekeel.runtime import ini
from clementinekeel.runtime import settings
from clementinekeel.store import client
from clementinekeel.store import errors

ExitCode = exit_codes.ExitCode

JSON_OPTION = option("json", None, "Write JSON instead of text.")
STORE_OPTIONS = [
    option(
        "store",
        None,
        "URL of the store; can be repeated.",
        flag=False,
        multiple=True,
    ),
    option(
        "settings",
        None,
        "Settings of a node, to take the store's URLs from.",
        flag=False,
    ),
]
REASON_OPTION = option(
    "reason", None, "Reason, for the audit trail.", flag=False
)
AUTHOR_OPTION = option(
    "author",
    None,
    "Author, for the audit trail; by default the user's name.",
    flag=False,
)
NODE_OPTION = option(
    "node", None, "ip:port of a node's operators port.", flag=False
)
INPUT_OPTIONS = [
    option("inventory", None, "Inventory (INI).", flag=False),
    option("rules", None, "Rules (INI).", flag=False),
]

StoreOpener = Callable[
    [Sequence[str]],
    contextlib.AbstractAsyncContextManager[client.StoreClient],
]
NodeOpener = Callable[
    [str], contextlib.AbstractAsyncContextManager[node_client.NodeClient]
]


Runner = Callable[[Callable[[], Awaitable[ExitCode]]], ExitCode]


class Clients(NamedTuple):
    """Functions that run a command and open clients of stores and nodes."""

    open_store: StoreOpener = store_access.connect
    open_node: NodeOpener = node_client.connect
    run: Runner = anyio.run


class CommandError(Exception):
    """Ends a command with an exit code and a report.

    Parameters
    ----------
    code : ExitCode
        Exit code of the command.
    lines : iterable of str
        Report for people, written to standard error.
    data : mapping
        Report for JSON output; by default the lines.
    """

    def __init__(
        self,
        code: ExitCode,
        lines: Iterable[str],
        data: Mapping[str, Any] | None = None,
    ) -> None:
        self.code = code
        self.lines = list(lines)
        self.data = data or {"error": " ".join(self.lines)}
        super().__init__(" ".join(self.lines))


class OperatorCommand(command.Command):
    """Base class of commands, with output as text or JSON."""

    examples: ClassVar[tuple[str, ...]] = ()
    _clients = Clients()

    def __init__(self, clients: Clients | None = None) -> None:
        if clients is not None:
            self._clients = clients
        lines = ["<b>Examples:</b>"]
        lines += [f"  clementinekeel {example}" for example in self.examples]
        self.help = "\n".join([*lines, "", exit_codes.EXPLANATION])
        super().__init__()

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return int(self._clients.run(self.run_command))
        except CommandError as error:
            self.emit_error(error)
            return int(error.code)
        except node_client.UnreachableError as error:
            failure = CommandError(ExitCode.UNREACHABLE, [str(error)])
        except node_client.RefusalError as error:
            failure = CommandError(ExitCode.REFUSED, [str(error)])
        except errors.StoreError as error:
            failure = CommandError(store_exit_code(error), [str(error)])
        self.emit_error(failure)
        return int(failure.code)

    async def run_command(self) -> ExitCode:
        """Execute the command."""
        raise NotImplementedError

    def emit(self, lines: Iterable[str], data: object) -> None:
        """Write the report, as text or as JSON."""
        if self.option("json"):
            encoded = msgspec.json.encode(to_json_value(data))
            lines = [msgspec.json.format(encoded).decode()]
            self._write(self.io.output, lines)
        else:
            self._write(self.io.output, map(escape_unprintable, lines))

    def emit_error(self, error: CommandError) -> None:
        """Write the report of an error, as text or as JSON."""
        if self.option("json"):
            self.emit([], error.data)
        else:
            self._write(
                self.io.error_output, map(escape_unprintable, error.lines)
            )

    def required_option(self, name: str) -> str:
        """Return the value of an option that must be given."""
        value = self.option(name)
        if not value:
            raise CleoUserError(f'The option "--{name}" is missing.')
        return str(value)

    def open_store(
        self,
    ) -> contextlib.AbstractAsyncContextManager[client.StoreClient]:
        """Return a client of the store that the options name."""
        urls = list(self.option("store"))
        if not urls and self.option("settings"):
            urls = list(load_settings(self.option("settings")).platform.urls)
        if not urls:
            raise CleoUserError('Give "--store" or "--settings".')
        return self._clients.open_store(urls)

    @property
    def author(self) -> str:
        """Author for the audit trail, by default the current user."""
        return str(self.option("author") or getpass.getuser())

    @property
    def store_arguments(self) -> str:
        """Command line arguments that select the same store."""
        arguments = [f"--store {url}" for url in self.option("store")]
        if not arguments:
            arguments = [f"--settings {self.option('settings')}"]
        return " ".join(arguments)

    def open_node(
        self,
    ) -> contextlib.AbstractAsyncContextManager[node_client.NodeClient]:
        """Return a client of the node that the options name."""
        address = self.required_option("node")
        try:
            ini.ADDRESS.parse(address)
        except ValueError as error:
            raise CleoUserError(f'The option "--node": {error}.') from error
        return self._clients.open_node(address)

    def integer_option(self, name: str, low: int, high: int) -> int:
        """Return the value of an option that is an integer."""
        try:
            return int(
                ini.integer(low, high).parse(self.required_option(name))
            )
        except ValueError as error:
            raise CleoUserError(f'The option "--{name}": {error}.') from error

    def _write(self, target: output.Output, lines: Iterable[str]) -> None:
        for line in lines:
            # Raw output, since values may contain text like cleo's markup.
            target.write(line, new_line=True, type=output.Type.RAW)


def store_exit_code(error: errors.StoreError) -> ExitCode:
    """Return the exit code for an error of the store.

    The caller of a write handles ``Undetermined`` itself.
    """
    is_limited = isinstance(error, errors.RateLimited)
    if isinstance(error, errors.Rejected) and not is_limited:
        return ExitCode.REFUSED
    return ExitCode.UNREACHABLE


def read_input(inventory: str, rules: str) -> reader.UnversionedConfiguration:
    """Read inventory and rules from files.

    Raises
    ------
    CommandError
        With all faults of both files, or if a file cannot be read.
    """
    outcome = reader.read(read_source(inventory), read_source(rules))
    if isinstance(outcome, result.Failure):
        raise faults_error(outcome.failure())
    return outcome.unwrap()


def load_settings(path: str) -> settings.Settings:
    """Read the settings of a node; raises as ``read_input`` does."""
    outcome = settings.load(path)
    if isinstance(outcome, result.Failure):
        raise faults_error(outcome.failure())
    return outcome.unwrap()


def read_source(path: str) -> reader.Source:
    """Read an input file; raises as ``read_input`` does."""
    try:
        # newline="" leaves line breaks inside quoted CSV cells unchanged.
        with pathlib.Path(path).open(encoding="utf-8", newline="") as file:
            return reader.Source(path, file.read())
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise faults_error((ini.Fault(path, 0, "", "", reason),)) from error


def write_file(path: str, text: str) -> None:
    """Write a file; raises as ``read_input`` does."""
    try:
        pathlib.Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        raise faults_error((ini.Fault(path, 0, "", "", reason),)) from error


def faults_error(faults: Iterable[ini.Fault]) -> CommandError:
    """Return the error that reports faults of input files."""
    all_faults = list(faults)
    lines = [str(fault) for fault in all_faults]
    return CommandError(ExitCode.REFUSED, lines, {"faults": all_faults})


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        padded = zip(row, widths, strict=True)
        lines.append(
            "  ".join(cell.ljust(width) for cell, width in padded).rstrip()
        )
    return lines


def escape_unprintable(line: str) -> str:
    """Return a line with unprintable characters escaped.

    Request ids and names come from other parties, so they could contain
    control sequences of the terminal.
    """
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in line)


def to_json_value(value: Any) -> Any:
    """Return a value with NamedTuples converted to dictionaries, for JSON."""
    if hasattr(value, "_asdict"):
        return {k: to_json_value(item) for k, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {key: to_json_value(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [to_json_value(item) for item in value]
    return value
