"""Access of the operators' commands to the store."""

from collections.abc import Sequence
import random
from typing import TypeVar

from returns import result

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.store import changes
from clementinekeel.store import client

T = TypeVar("T")

EMPTY = snapshots.Snapshot(0, "", {})
"""What a store without a configuration holds."""


def connect(urls: Sequence[str]) -> client.StoreClient:
    """Return a client of the store; a context manager."""
    return client.StoreClient(urls, random.Random())


def value_of(answer: client.StoreResult[T]) -> T:
    """Return the value of an answer.

    Raises
    ------
    clementinekeel.store.errors.StoreError
        If there is none.
    """
    if isinstance(answer, result.Success):
        value: T = answer.unwrap()
        return value
    raise answer.failure()


async def load(store: client.StoreClient) -> snapshots.Snapshot:
    """Return the accepted version, or ``EMPTY``; raises as ``value_of``."""
    return value_of(await changes.load(store, None)) or EMPTY
