"""Contexts of the requests that the local backend server is serving.

The backend server is given a token with each request. It sends the token with
the downstream calls that it makes for the request, which thus share the
request's deadline, rank and allowance of extra attempts.
"""

import secrets
from typing import NamedTuple

import anyio

from clementinekeel.retries import allowance

TOKEN_BYTES = 9


class Context(NamedTuple):
    """A request that the backend server is serving.

    Attributes
    ----------
    token : str
        Identifies the context in downstream calls; it cannot be guessed.
    expires_ms : int
        Deadline on this node's clock.
    pool : allowance.AllowancePool
        Extra attempts that remain for the downstream calls.
    downstream_scopes : set of anyio.CancelScope
        Scopes of the downstream calls, which are cancelled when the request
        ends.
    """

    token: str
    request_id: str
    rank: int
    expires_ms: int
    pool: allowance.AllowancePool
    downstream_scopes: set[anyio.CancelScope]


class Contexts:
    """Contexts of the requests being served, by token."""

    def __init__(self) -> None:
        self._contexts: dict[str, Context] = {}

    def open(
        self, request_id: str, rank: int, expires_ms: int, extra_attempts: int
    ) -> Context:
        """Create the context of a request."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        context = Context(
            token,
            request_id,
            rank,
            expires_ms,
            allowance.AllowancePool(extra_attempts),
            set(),
        )
        self._contexts[token] = context
        return context

    def find(self, token: str) -> Context | None:
        """Return the context with a token, None if its request has ended."""
        return self._contexts.get(token)

    def close(self, context: Context) -> None:
        """Remove the context of a request, and cancel downstream calls."""
        self._contexts.pop(context.token, None)
        for scope in context.downstream_scopes:
            scope.cancel()
