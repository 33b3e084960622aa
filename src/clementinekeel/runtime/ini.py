"""Reader of INI files that checks them against declared options.

A *fault* is an error in an input file. A file is read to its end, so that
one report lists all its faults.
"""

import collections
from collections.abc import Callable, Iterable
import configparser
import ipaddress
import math
import re
from typing import Any, NamedTuple
import urllib.parse

MAX_PORT = 65_535
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_SECTION = re.compile(r"\[(?P<name>.+)\]")
_BOOLEANS = {"yes": True, "true": True, "no": False, "false": False}
# configparser copies the options of its default section into all others.
# No file can spell this name, so [DEFAULT] is an ordinary section.
_NO_DEFAULT_SECTION = "\n"

REQUIRED = object()
"""Default of an option that has none, so that a file must set the option."""


class Fault(NamedTuple):
    """One fault of an input file.

    Attributes
    ----------
    line : int
        Line number, counted from 1; 0 if the fault belongs to no line.
    section, option : str
        Empty if the fault concerns the whole file or the whole section. For
        a CSV file, ``option`` is the column.
    """

    file: str
    line: int
    section: str
    option: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line of a report."""
        parts = [f"{self.file}:{self.line}" if self.line else self.file]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.option:
            parts.append(self.option)
        return ": ".join([" ".join(parts), self.reason])


class Kind(NamedTuple):
    """Type of the value of an option.

    Attributes
    ----------
    label : str
        Shown in the generated reference.
    parse : Callable
        Converts the text into a value, or raises ValueError with the reason
        for the fault.
    """

    label: str
    parse: Callable[[str], Any]


class Option(NamedTuple):
    """Declaration of one option of a section.

    Attributes
    ----------
    default : object
        Value if the file does not set the option, or ``REQUIRED``.
    unit, description : str
        Shown in the generated reference.
    """

    section: str
    name: str
    kind: Kind
    default: object
    unit: str
    description: str

    @property
    def is_required(self) -> bool:
        """Whether a file must set the option."""
        return self.default is REQUIRED


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is no name (1 to 63 of a-z, 0-9, '.', '_' and '-',"
            " starting with a letter or digit)"
        )
    return text


def _parse_boolean(text: str) -> bool:
    try:
        return _BOOLEANS[text.lower()]
    except KeyError:
        raise ValueError(f"{text!r} is neither yes nor no") from None


def _parse_port(text: str, low: int) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f"{text!r} is no port")
    port = int(text)
    if not low <= port <= MAX_PORT:
        raise ValueError(f"port {port} is not within {low} to {MAX_PORT}")
    return port


def _parse_address(text: str, low_port: int) -> str:
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not ip:port")
    bare_host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    try:
        address = ipaddress.ip_address(bare_host)
    except ValueError:
        raise ValueError(f"{host!r} is no IP address") from None
    if (address.version == 6) != (bare_host != host):
        raise ValueError(f"{host!r} is no IP address (IPv6 needs brackets)")
    return f"{host}:{_parse_port(port, low_port)}"


def _parse_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"{text!r} is no http or https URL")
    _ = parts.port  # raises ValueError for an invalid port
    return text.rstrip("/")


def _parse_text(text: str) -> str:
    if not text:
        raise ValueError("is empty")
    return text


def _parse_key(text: str) -> bytes:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        # The text is a secret, so the reason does not contain it.
        raise ValueError("is not hexadecimal") from None
    if not 16 <= len(key) <= 64:
        raise ValueError("is not within 16 to 64 bytes")
    return key


NAME = Kind("name", _parse_name)
TEXT = Kind("text", _parse_text)
BOOLEAN = Kind("yes or no", _parse_boolean)
LISTEN = Kind(
    "ip:port (port 0 picks a free one)", lambda t: _parse_address(t, 0)
)
ADDRESS = Kind("ip:port", lambda t: _parse_address(t, 1))
URL = Kind("http or https URL", _parse_url)
HEX_KEY = Kind("hexadecimal, 16 to 64 bytes", _parse_key)


def integer(low: int, high: int) -> Kind:
    """Return the kind of integers from ``low`` to ``high``."""

    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError(f"{text!r} is no integer") from None
        if not low <= value <= high:
            raise ValueError(f"{value} is not within {low} to {high}")
        return value

    return Kind(f"integer, {low} to {high}", parse)


def number(low: float, high: float) -> Kind:
    """Return the kind of numbers from ``low`` to ``high``."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{text!r} is no number") from None
        if not (math.isfinite(value) and low <= value <= high):
            raise ValueError(f"{value:g} is not within {low:g} to {high:g}")
        return value

    return Kind(f"number, {low:g} to {high:g}", parse)


def choice(values: Iterable[str]) -> Kind:
    """Return the kind of values from a fixed set."""
    known = tuple(values)
    listed = ", ".join(known)

    def parse(text: str) -> str:
        if text not in known:
            raise ValueError(f"{text!r} is none of: {listed}")
        return text

    return Kind(f"one of {listed}", parse)


def list_of(kind: Kind, min_items: int = 0) -> Kind:
    """Return the kind of lists without duplicates.

    Items are separated by commas or line breaks.

    Parameters
    ----------
    kind : Kind
        Kind of the items.
    min_items : int
        Smallest number of items.
    """

    def parse(text: str) -> tuple[Any, ...]:
        items = [item.strip() for item in re.split(r"[,\n]", text)]
        values = tuple(kind.parse(item) for item in items if item)
        if len(values) < min_items:
            raise ValueError(f"needs at least {min_items}")
        if len(set(values)) < len(values):
            raise ValueError("has an item twice")
        return values

    return Kind(f"list of {kind.label}", parse)


def optional(kind: Kind) -> Kind:
    """Return a kind that also accepts an empty value."""
    return Kind(kind.label, lambda text: kind.parse(text) if text else "")


class IniFile:
    """Sections and options of an INI file, with their line numbers.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for faults.

    Attributes
    ----------
    faults : list of Fault
        Faults found so far, in no particular order.
    """

    def __init__(self, text: str, file: str) -> None:
        self.file = file
        self.faults: list[Fault] = []
        self._lines: dict[tuple[str, str], int] = {}
        self._parser = configparser.ConfigParser(
            default_section=_NO_DEFAULT_SECTION,
            delimiters=("=",),
            interpolation=None,
            strict=False,
        )
        # mypy: assigning to the method is configparser's documented way.
        self._parser.optionxform = str  # type: ignore[assignment,method-assign]
        self._index_lines(text)
        self._parse(text)

    @property
    def sections(self) -> list[str]:
        """Names of the sections, in the order of the file."""
        return self._parser.sections()

    def line_of(self, section: str, option: str = "") -> int:
        """Return the line of an option, else of its section, else 0."""
        lines = self._lines
        return lines.get((section, option)) or lines.get((section, ""), 0)

    def add_fault(self, section: str, option: str, reason: str) -> None:
        """Add a fault at the line of an option or a section."""
        line = self.line_of(section, option)
        self.faults.append(Fault(self.file, line, section, option, reason))

    def read_section(
        self, section: str, options: Iterable[Option]
    ) -> dict[str, Any] | None:
        """Return the converted values of a section by option name.

        Any faults are added to ``faults``.

        Returns
        -------
        dict or None
            None if a required option is missing or a value is invalid.
        """
        table = {option.name: option for option in options}
        is_present = self._parser.has_section(section)
        given = dict(self._parser.items(section)) if is_present else {}
        for name in given.keys() - table.keys():
            expected = ", ".join(table) or "none"
            self.add_fault(
                section, name, f"unknown option (known: {expected})"
            )
        values: dict[str, Any] = {}
        for option in table.values():
            self._read_option(section, option, given, values)
        return values if len(values) == len(table) else None

    def _read_option(
        self,
        section: str,
        option: Option,
        given: dict[str, str],
        values: dict[str, Any],
    ) -> None:
        if option.name not in given:
            if option.is_required:
                self.add_fault(section, option.name, "missing")
            else:
                values[option.name] = option.default
            return
        try:
            text = given[option.name].strip()
            values[option.name] = option.kind.parse(text)
        except ValueError as error:
            self.add_fault(section, option.name, str(error))

    def _index_lines(self, text: str) -> None:
        """Record the line of each section and option, and report duplicates.

        configparser keeps no line numbers, and in strict mode it stops at the
        first duplicate.
        """
        section = ""
        option_indent: float = math.inf
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        for line, raw_line in enumerate(text.split("\n"), start=1):
            stripped = raw_line.strip()
            if not stripped or stripped[0] in "#;":
                continue
            indent = len(raw_line) - len(raw_line.lstrip())
            if indent > option_indent:
                continue  # continuation of the value of the option above
            header = _SECTION.match(stripped)
            if header:
                section, name = header["name"], ""
                option_indent = math.inf
            else:
                name = stripped.partition("=")[0].strip()
                option_indent = indent
            entry = (section, name)
            counts[entry] += 1
            if counts[entry] > 1:
                first = self._lines[entry]
                duplicated = "option" if name else "section"
                self.faults.append(
                    Fault(
                        self.file,
                        line,
                        section,
                        name,
                        f"duplicate {duplicated}, first in line {first}",
                    )
                )
            self._lines.setdefault(entry, line)

    def _parse(self, text: str) -> None:
        try:
            self._parser.read_string(text, self.file)
        except configparser.MissingSectionHeaderError as error:
            reason = "text before the first section"
            fault = Fault(self.file, error.lineno, "", "", reason)
            self.faults.append(fault)
        except configparser.ParsingError as error:
            for line, _ in error.errors:
                reason = "neither a section nor an option with '='"
                self.faults.append(Fault(self.file, line, "", "", reason))


def sort_faults(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Return faults sorted by file and line, without duplicates."""
    return tuple(sorted(set(faults)))
