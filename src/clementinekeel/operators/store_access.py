"""Store access for the operators' commands, with failures raised."""

from collections.abc import Sequence
import random
from typing import TypeVar

from returns import result

from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.store import changes
from clementinekeel.store import client

T = TypeVar("T")

EMPTY_SNAPSHOT = snapshots.Snapshot(0, "", {})
"""Stands for a store without a configuration."""


def connect(urls: Sequence[str]) -> client.StoreClient:
    """Return a client of the store, to be used as a context manager."""
    return client.StoreClient(urls, random.Random())


def value_of(outcome: client.StoreResult[T]) -> T:
    """Return the value of a successful result.

    Raises
    ------
    clementinekeel.store.errors.StoreError
        If the result is a failure.
    """
    if isinstance(outcome, result.Success):
        value: T = outcome.unwrap()
        return value
    raise outcome.failure()


async def load_snapshot(store: client.StoreClient) -> snapshots.Snapshot:
    """Return the accepted version, or ``EMPTY_SNAPSHOT``.

    Raises
    ------
    clementinekeel.store.errors.StoreError
        If it cannot be read.
    """
    return value_of(await changes.load(store, None)) or EMPTY_SNAPSHOT
