"""Requests that the backend server is serving, as seen by its onward calls.

The backend server quotes the context of a request in the calls that it makes
on its behalf, so that they share its deadline, its rank and its allowance of
retries.
"""

import secrets
from typing import NamedTuple

import anyio

from clementinekeel.retries import allowance

TOKEN_BYTES = 9


class Context(NamedTuple):
    """A request being served.

    Attributes
    ----------
    expires_ms : int
        Deadline on this node's clock.
    pool : allowance.AllowancePool
        Extra attempts left to its onward calls.
    onward : set of anyio.CancelScope
        Its onward calls; they are cancelled when it ends.
    """

    token: str
    request_id: str
    rank: int
    expires_ms: int
    pool: allowance.AllowancePool
    onward: set[anyio.CancelScope]


class Contexts:
    """Table of the requests being served."""

    def __init__(self) -> None:
        self._contexts: dict[str, Context] = {}

    def open(
        self, request_id: str, rank: int, expires_ms: int, extra_attempts: int
    ) -> Context:
        """Add a request."""
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
        """Return the context with a token, None if it has ended."""
        return self._contexts.get(token)

    def close(self, context: Context) -> None:
        """Remove a request that has ended."""
        self._contexts.pop(context.token, None)
        for scope in context.onward:
            scope.cancel()
