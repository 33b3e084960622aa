"""Answers of the platform package reach the commands unchanged."""

import types
from typing import NamedTuple

import pytest
from returns import result

from clementinekeel.operators import store_access

pytestmark = pytest.mark.anyio


class Accepted(NamedTuple):
    version: int


class Conflict(NamedTuple):
    version: int


class Undetermined(NamedTuple):
    reason: str


class Rejected(NamedTuple):
    reason: str


def make_store(answer):
    async def call(client, argument):
        return answer

    changes = types.SimpleNamespace(
        Accepted=Accepted,
        Conflict=Conflict,
        Undetermined=Undetermined,
        Rejected=Rejected,
        Change=lambda **fields: fields,
        load=call,
        apply=call,
        settle=call,
        history=call,
    )
    return store_access.PlatformStore(None, changes)


PROPOSAL = store_access.Proposal("c", "a", "o", "r", 1, {}, ())


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        pytest.param(
            result.Success(Accepted(2)),
            store_access.Accepted(2),
            id="accepted",
        ),
        pytest.param(
            result.Failure(Conflict(3)),
            store_access.Conflict(3),
            id="conflict",
        ),
        pytest.param(
            result.Failure(Undetermined("no answer")),
            store_access.Undetermined("no answer"),
            id="lost answer",
        ),
        pytest.param(
            result.Failure(Rejected("too large")),
            store_access.Rejected("too large"),
            id="rejected",
        ),
    ],
)
async def test_outcomes(answer, expected):
    """A lost answer must not be reported as accepted or rejected."""
    store = make_store(answer)
    assert await store.apply(PROPOSAL) == expected
    assert await store.settle("c") == expected


async def test_empty_store_and_store_that_is_down():
    store = make_store(result.Success(None))
    assert await store.load() == store_access.EMPTY
    store = make_store(result.Failure("timeout"))
    with pytest.raises(store_access.StoreUnavailableError, match="timeout"):
        await store.load()
