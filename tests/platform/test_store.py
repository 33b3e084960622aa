"""Calls to the users' store and their answers."""

import asyncio
import json

import pytest

from clementinekeel.backends import http1
from clementinekeel.platform import store as store_module
from clementinekeel.store import metadata


class Connections:
    """Answers calls with prepared bodies; each may begin a new history."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.epoch = 1

    async def call(self, step, method, target, body, timeout_s, epoch):
        self.epoch, content = self.answers.pop(0)
        encoded = json.dumps(content).encode()
        return http1.Answer(200, b"OK", [], encoded)


def page(names, has_more):
    items = [{"key": name, "revision": 1} for name in names]
    return {"items": items, "has_more": has_more, "at_rev": 5}


def read_all(*answers):
    store = store_module.PlatformStore(Connections(*answers))
    return asyncio.run(store.read_all("nodes/"))


def test_pages_are_read_as_one_list():
    snapshot = read_all((1, page("ab", True)), (1, page("c", False)))
    assert [item.key for item in snapshot.items] == ["a", "b", "c"]
    assert snapshot.revision == 5


def test_pages_of_two_histories_are_not_combined():
    """The first pages are of a history whose writes the store has lost."""
    with pytest.raises(metadata.MetadataError) as caught:
        read_all((1, page("ab", True)), (2, page("c", False)))
    assert caught.value.kind is metadata.FailureKind.COMPACTED
