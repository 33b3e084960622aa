"""Calls to the store over connections that fail or stop responding."""

import asyncio

import pytest

from clementinekeel.store import calls
from clementinekeel.store import metadata
from tests import memory_loop
from tests.sidecar import harness

FailureKind = metadata.FailureKind


class StoreProtocol(asyncio.Protocol):
    """Connection of a store that answers all calls, or none."""

    answers = True
    epoch = b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if type(self).answers and b"/wait" not in data:
            epoch = type(self).epoch
            header = b"Epoch: %s\r\n" % epoch if epoch else b""
            self.transport.write(
                b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n{}" % header
            )

    def eof_received(self):
        return False


def run_calls(function):
    async def main():
        StoreProtocol.answers = True
        StoreProtocol.epoch = b""
        loop = asyncio.get_running_loop()
        await loop.create_server(StoreProtocol, "store", 1)
        await function(
            calls.StoreConnections("store", 1, b"epoch", lambda *numbers: None)
        )

    memory_loop.run(main)


def call(connections, path="/x", timeout_s=1.0):
    return connections.call("read", "GET", path, b"", timeout_s)


def test_connection_is_kept_for_the_next_call():
    async def scenario(connections):
        for _ in range(3):
            assert (await call(connections)).body == b"{}"
        assert len(connections._loop.transports) == 2

    run_calls(scenario)


def test_unreachable_store_is_an_error_of_the_step():
    async def scenario(connections):
        connections._loop.listeners.clear()
        with pytest.raises(metadata.MetadataError) as caught:
            await call(connections)
        assert (caught.value.step, caught.value.kind) == (
            "read",
            FailureKind.UNANSWERED,
        )

    run_calls(scenario)


def test_call_without_answer_ends_a_waiting_watch_too():
    """A call that times out aborts a waiting watch too.

    Connections go silent together. The watch alone would time out after
    28 s, but a new configuration has to be in force after 2.5 s.
    """

    async def scenario(connections):
        await asyncio.gather(call(connections), call(connections))
        watch = asyncio.ensure_future(
            call(connections, "/wait", timeout_s=28.0)
        )
        await harness.settle()
        connections._loop.silence("store", 1)
        with pytest.raises(metadata.MetadataError):
            await call(connections)
        with pytest.raises(metadata.MetadataError):
            async with asyncio.timeout(0.1):
                await watch
        assert (await call(connections)).status == 200

    run_calls(scenario)


def test_silent_watch_ends_without_any_other_call():
    """A watch waited for 28 s while all other calls used new connections.

    Nodes must have a change in force 4 s after their connections went silent;
    the rest is for the next watch.
    """

    async def scenario(connections):
        watch = asyncio.ensure_future(
            call(connections, "/wait", timeout_s=28.0)
        )
        await harness.settle()
        connections._loop.silence("store", 1)
        with pytest.raises(metadata.MetadataError) as caught:
            async with asyncio.timeout(3.5):
                await watch
        assert caught.value.kind is FailureKind.UNANSWERED
        assert (await call(connections)).status == 200

    run_calls(scenario)


def test_change_of_the_store_s_history_is_noticed():
    """Revisions of two histories can't be compared."""

    async def scenario(connections):
        changes = []
        connections._on_epoch = lambda *numbers: changes.append(numbers)
        await call(connections)
        assert connections.epoch == 0
        for epoch in (b"3", b"3", b"4"):
            StoreProtocol.epoch = epoch
            await call(connections)
        assert changes == [(0, 3), (3, 4)]

    run_calls(scenario)


@pytest.mark.parametrize(
    "epoch", [b"-1", b"x", b"1.5", b"9" * 16, b"9" * 5_000]
)
def test_malformed_number_of_the_history_is_an_error(epoch):
    async def scenario(connections):
        StoreProtocol.epoch = epoch
        with pytest.raises(metadata.MetadataError) as caught:
            await call(connections)
        assert caught.value.kind is FailureKind.MALFORMED

    run_calls(scenario)


def test_calls_of_an_earlier_history_end_when_a_new_one_is_seen():
    """A watch from a revision of the earlier history may hang for 25 s."""

    async def scenario(connections):
        StoreProtocol.epoch = b"1"
        await call(connections)
        watch = asyncio.ensure_future(call(connections, "/wait", 28.0))
        await harness.settle()
        StoreProtocol.epoch = b"2"
        await call(connections)
        await harness.settle()
        assert watch.done()
        assert watch.exception().kind is FailureKind.UNANSWERED
        assert (await call(connections)).body == b"{}"

    run_calls(scenario)


def test_late_answer_of_an_earlier_history_is_not_used():
    async def scenario(connections):
        StoreProtocol.epoch = b"2"
        await call(connections)
        StoreProtocol.epoch = b"1"
        with pytest.raises(metadata.MetadataError) as caught:
            await call(connections)
        assert caught.value.kind is FailureKind.UNANSWERED
        assert connections.epoch == 2

    run_calls(scenario)


@pytest.mark.parametrize("is_shown", ["while_connecting", "by_the_answer"])
def test_call_with_a_revision_of_a_lost_history_fails(is_shown):
    """A watch from such a revision could wait for 25 s and miss a change."""

    async def scenario(connections):
        StoreProtocol.epoch = b"1"
        await call(connections)
        StoreProtocol.epoch = b"2"
        if is_shown == "while_connecting":
            # The idle connection is taken, so that the next call opens one.
            other = asyncio.ensure_future(call(connections))
            await asyncio.sleep(0)
            connections._loop.connect_delay_s = 0.06
            path = "/wait"
        else:
            path = "/x"
        with pytest.raises(metadata.MetadataError) as caught:
            await connections.call("watch", "GET", path, b"", 28.0, 1)
        assert caught.value.kind is FailureKind.COMPACTED
        if is_shown == "while_connecting":
            await other

    run_calls(scenario)


def test_call_with_a_revision_of_the_present_history_is_made():
    async def scenario(connections):
        StoreProtocol.epoch = b"3"
        await call(connections)
        answer = await connections.call("watch", "GET", "/x", b"", 28.0, 3)
        assert answer.status == 200

    run_calls(scenario)
