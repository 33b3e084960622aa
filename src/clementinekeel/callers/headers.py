"""Headers between callers, nodes and backend servers."""

from collections.abc import Iterable

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
    {TIMEOUT, REQUEST_CLASS, CONTEXT, REQUEST_ID, OUTCOME, REASON}
)


def passed_on(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that go on to the next hop."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and name not in _SET_BY_NODES
    )


def find(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
