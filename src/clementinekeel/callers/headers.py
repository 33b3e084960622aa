"""Headers of requests and answers between callers and backend servers."""

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
"""Headers of one connection (RFC 9110 section 7.6.1), and headers that each
hop sets itself."""

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


def end_to_end(headers: Sequence[tuple[str, str]]) -> Headers:
    """Return the headers that are forwarded to the next hop.

    Hop-by-hop headers, including those that ``Connection`` names, are left
    out. So are headers that nodes set themselves, and headers with a line
    break, which the next hop would read as two.
    """
    named = _named_in_connection(headers)
    dropped = _DROPPED | named if named else _DROPPED
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and not has_line_break(name, value)
    )


def has_line_break(name: str, value: str) -> bool:
    """Tell whether a header contains a line break or NUL."""
    return bool(_LINE_BREAK.search(name) or _LINE_BREAK.search(value))


def find_all(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    """Return all values of a header."""
    return [value for key, value in headers if key == name]


def find(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, or None."""
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
