"""Reads and checks single fields of a decoded settings file."""

import re
from typing import Any, NamedTuple

from clementinekeel.sidecar import settings

_MISSING = object()
_OUTSIDE = object()
"""Value of a field whose table is a value of another type."""
_HOST = re.compile(r"(?!.{254})[\w-]{1,63}(\.[\w-]{1,63})*", re.ASCII)
_TEXT = re.compile(r"[^\x00-\x1f\x7f]+")
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_SHOWN_CHARACTERS = 60
_MAX_SHOWN_BITS = 64
"""Python refuses to write out integers of more than 4,300 digits."""


class Range(NamedTuple):
    """Numbers that a field may hold, both limits included."""

    lowest: float
    highest: float

    def __str__(self) -> str:
        return f"a number from {self.lowest:g} to {self.highest:g}"


PORTS = Range(1, 65535)


class Fields:
    """The fields of one file, and the faults found in them.

    A faulty field is read as a value of its type without meaning, so that all
    faults are found before the file is refused.

    Parameters
    ----------
    content : dict
        Tables of the file.

    Attributes
    ----------
    faults : list of str
        Field, value and what is allowed, for each faulty field.
    """

    def __init__(self, content: dict[str, Any]) -> None:
        self._content = content
        self.faults: list[str] = []

    def text(self, path: str) -> str:
        """Return a string, not empty, without control characters."""
        value = self._find(path)
        if isinstance(value, str) and _TEXT.fullmatch(value):
            return value
        self._refuse(path, value, "a string, not empty, no control characters")
        return ""

    def label(self, path: str) -> str:
        """Return a string without control characters; it may be empty."""
        return "" if self._find(path) == "" else self.text(path)

    def host(self, path: str) -> str:
        """Return the address of a host, without a port."""
        value = self._find(path)
        if isinstance(value, str) and _HOST.fullmatch(value):
            return value
        self._refuse(path, value, "the address of a host")
        return ""

    def address(self, path: str) -> settings.Address:
        """Return the address from a string ``host:port``."""
        value = self._find(path)
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            if (
                _HOST.fullmatch(host)
                and _PORT.fullmatch(port)
                and PORTS.lowest <= int(port) <= PORTS.highest
            ):
                return settings.Address(host, int(port))
        self._refuse(path, value, "HOST:PORT with a port from 1 to 65535")
        return settings.Address("", 0)

    def number(
        self, path: str, allowed: Range, default: float | None = None
    ) -> float:
        """Return a number; the default if the field is missing."""
        value = self._find(path)
        if value is _MISSING and default is not None:
            return default
        if _is_in_range(value, allowed):
            return float(value)
        self._refuse(path, value, str(allowed))
        return allowed.lowest

    def first_port(self, path: str) -> int:
        """Return the first port of a list of ports."""
        ports = self._find(path)
        if not isinstance(ports, list) or not ports:
            self._refuse(path, ports, "a list of ports")
            return 0
        if not _is_in_range(ports[0], PORTS):
            self._refuse(f"{path}.0", ports[0], str(PORTS))
            return 0
        return int(ports[0])

    def _find(self, path: str) -> Any:
        value: Any = self._content
        for name in path.split("."):
            if value is _MISSING:
                break
            if not isinstance(value, dict):
                return _OUTSIDE
            value = value.get(name, _MISSING)
        return value

    def _refuse(self, path: str, value: Any, allowed: str) -> None:
        self.faults.append(f"{path} is {_show(value)}, must be {allowed}")


def _is_in_range(value: Any, allowed: Range) -> bool:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return allowed.lowest <= value <= allowed.highest


def _show(value: Any) -> str:
    """Return a value for a message, shortened."""
    if value is _MISSING:
        return "missing"
    if value is _OUTSIDE:
        return "not in a table"
    if isinstance(value, int) and value.bit_length() > _MAX_SHOWN_BITS:
        return f"an integer of {value.bit_length()} bits"
    if not isinstance(value, int | float | str):
        return f"a value of type {type(value).__name__}"
    shown = repr(value)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = shown[:_MAX_SHOWN_CHARACTERS] + "..."
    return shown
