"""Calls to the users' store and their answers."""

import asyncio
import json

import pytest

from clementinekeel.backends import http1
from clementinekeel.platform import store as store_module
from clementinekeel.store import metadata
from tests.sidecar import odd_content


class Connections:
    """Answers calls with prepared bodies; each may begin a new history."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.epoch = 1

    async def call(self, step, method, target, body, timeout_s, epoch):
        self.epoch, content = self.answers.pop(0)
        encoded = json.dumps(content).encode()
        return http1.Answer(200, b"OK", [], encoded)


class StoreAnswer(Connections):
    """Answers each call with the same content."""

    async def call(self, step, method, target, body, timeout_s, epoch):
        return http1.Answer(200, b"OK", [], self.answers[0])


@pytest.mark.parametrize(
    "content",
    [
        b'{"events":[],"at_rev":1,"unknown":' + odd_content.NESTED,
        b'{"events":[{"key":"k","revision":1,"value":"!"}],"at_rev":1}',
        b'{"events":[{"key":"k","revision":1,"value":"YQ"}],"at_rev":1}',
    ],
    ids=["nested", "no_base64", "no_padding"],
)
def test_odd_answer_of_the_store_is_an_error(content):
    """Another kind of error would end the task that follows the store."""
    store = store_module.PlatformStore(StoreAnswer(content))
    with pytest.raises(metadata.MetadataError) as caught:
        asyncio.run(store.watch("k", 1, 1))
    assert caught.value.kind is metadata.FailureKind.MALFORMED


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
