"""Headers between callers, nodes and backend servers."""

from collections.abc import Iterable, Sequence
import re

IDEMPOTENCY_KEY = "idempotency-key"
TIMEOUT = "clementinekeel-timeout-ms"
REQUEST_CLASS = "clementinekeel-class"
CONTEXT = "clementinekeel-context"
REQUEST_ID = "clementinekeel-request-id"
OUTCOME = "clementinekeel-outcome"
REASON = "clementinekeel-reason"
RETRY_AFTER = "retry-after"
RETRY_AFTER_MS = "clementinekeel-retry-after-ms"

Headers = tuple[tuple[str, str], ...]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
    }
)
"""Headers of one connection (RFC 9110 section 7.6.1), and those that the
next hop sets itself."""

_SET_BY_NODES = frozenset(
    {
        IDEMPOTENCY_KEY,
        TIMEOUT,
        REQUEST_CLASS,
        CONTEXT,
        REQUEST_ID,
        OUTCOME,
        REASON,
    }
)

_DROPPED = _HOP_BY_HOP | _SET_BY_NODES
_LINE_BREAK = re.compile("[\r\n\0]")


def passed_on(headers: Sequence[tuple[str, str]]) -> Headers:
    """Return the headers that go on to the next hop.

    Headers that ``Connection`` names belong to one connection, like
    ``Connection`` itself. A header with a line break would be read as two.
    """
    named = _named_in_connection(headers)
    dropped = _DROPPED | named if named else _DROPPED
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and not has_line_break(name, value)
    )


def has_line_break(name: str, value: str) -> bool:
    """Tell whether a header has a line break or NUL in it."""
    return bool(_LINE_BREAK.search(name) or _LINE_BREAK.search(value))


def find_all(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    """Return the values of a header."""
    return [value for key, value in headers if key == name]


def find(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def _named_in_connection(headers: Sequence[tuple[str, str]]) -> set[str]:
    return {
        token.strip().lower()
        for value in find_all(headers, "connection")
        for token in value.split(",")
    }
