"""A body arrives unchanged, or its receiver gets an error."""

import anyio
import hypothesis
from hypothesis import strategies
import pytest
import trio.testing

from clementinekeel.nodes import messages
from clementinekeel.nodes import streams

WINDOW = streams.WINDOW_CHUNKS


class Pipe:
    """Both ends of a body; chunks are delivered when the test asks for it."""

    def __init__(self, credit=WINDOW):
        self.sent = []
        self.granted = 0
        self.is_lost = False
        self.outgoing_body = streams.OutgoingBody(
            1, "peer", self._send, credit
        )
        self.incoming_body = streams.IncomingBody("peer", self._grant, credit)

    def deliver(self):
        for chunk, body in self.sent:
            self.incoming_body.on_chunk(chunk, body)
        self.sent.clear()

    async def read(self):
        with anyio.fail_after(1):
            return b"".join(
                [part async for part in self.incoming_body.chunks()]
            )

    def _send(self, chunk, body):
        if not self.is_lost:
            self.sent.append((chunk, body))
        return not self.is_lost

    def _grant(self, chunks):
        self.granted += chunks
        self.outgoing_body.on_credit(messages.Credit(1, chunks))


async def transfer(first, parts, change=lambda sent: sent):
    """Send a body, change its chunks on the way, and return what is read."""
    pipe = Pipe()
    pipe.outgoing_body.open(first)
    pipe.incoming_body.open(first, is_last=False)
    for part in parts:
        await pipe.outgoing_body.write(part)
    await pipe.outgoing_body.finish()
    pipe.sent = change(pipe.sent)
    pipe.deliver()
    return await pipe.read()


@hypothesis.given(
    strategies.binary(max_size=40),
    strategies.lists(strategies.binary(max_size=40), max_size=9),
)
def test_any_split_of_a_body_arrives_equal(first, parts):
    """How the sender splits a body into chunks must not change the body."""
    received = anyio.run(transfer, first, parts, backend="trio")
    assert received == first + b"".join(parts)


@hypothesis.given(
    strategies.binary(max_size=5),
    strategies.lists(strategies.binary(min_size=1, max_size=5), max_size=6),
    strategies.data(),
)
def test_changed_chunks_are_reported_as_cut(first, parts, data):
    """Lost, repeated, swapped or changed chunks must never be accepted."""

    def change(sent):
        order = data.draw(
            strategies.lists(strategies.integers(0, len(sent) - 1), max_size=9)
        )
        changed = [sent[index] for index in order]
        if changed and data.draw(strategies.booleans()):
            index = data.draw(strategies.integers(0, len(changed) - 1))
            changed[index] = (
                changed[index][0],
                data.draw(strategies.binary(max_size=5)),
            )
        is_cut = True
        for end in range(1, len(changed) + 1):
            is_cut = is_cut and changed[:end] != sent
        expected["cut"] = is_cut
        return changed

    async def run():
        received = None
        try:
            with anyio.fail_after(1):
                received = await transfer(first, parts, change)
        except (streams.BodyError, TimeoutError):
            assert expected["cut"]
        if received is not None:
            assert received == first + b"".join(parts)

    expected = {}
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(run, backend="trio", backend_options={"clock": clock})


def chunk(sequence, body=b"x", last=False, length=-1, digest=b""):
    return messages.Chunk(1, sequence, last, length, digest), body


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        pytest.param([chunk(1)], "sequence", id="first chunk lost"),
        pytest.param([chunk(0), chunk(0)], "sequence", id="chunk repeated"),
        pytest.param([chunk(0), chunk(2)], "sequence", id="chunk lost"),
        pytest.param([chunk(0, b"")], "without data", id="empty chunk"),
        pytest.param(
            [chunk(0, b"x", True, 1)], "in the last", id="data in last chunk"
        ),
        pytest.param(
            [chunk(0), chunk(1, b"", True, 1, b"?" * 16)],
            "digest",
            id="wrong digest",
        ),
        pytest.param(
            [chunk(number) for number in range(WINDOW + 1)],
            "credit",
            id="sender over its credit",
        ),
    ],
)
@pytest.mark.anyio
async def test_faulty_chunks_fail_the_body(sent, reason):
    pipe = Pipe()
    pipe.incoming_body.open(b"", is_last=False)
    pipe.sent = sent
    pipe.deliver()
    with pytest.raises(streams.BodyError, match=reason):
        await pipe.read()


@pytest.mark.anyio
async def test_chunk_before_the_reply_fails_the_body():
    """Otherwise the chunk would be read before the first part of the body."""
    pipe = Pipe()
    pipe.incoming_body.on_chunk(*chunk(0))
    pipe.incoming_body.open(b"first", is_last=True)
    with pytest.raises(streams.BodyError, match="sequence"):
        assert await pipe.read() == b""


@pytest.mark.anyio
async def test_cut_body_yields_what_came_before_and_then_fails():
    pipe = Pipe()
    pipe.incoming_body.open(b"a", is_last=False)
    pipe.incoming_body.on_chunk(*chunk(0, b"b"))
    pipe.incoming_body.fail("session lost")
    received = []
    with pytest.raises(streams.BodyError, match="session lost"):
        async for part in pipe.incoming_body.chunks():
            received.append(part)
    assert received == [b"a", b"b"]


@pytest.mark.anyio
async def test_stream_never_buffers_more_than_the_window():
    """A slow reader must stop the sender after 1 MiB."""
    pipe = Pipe()
    pipe.incoming_body.open(b"", is_last=False)
    body = bytes(streams.CHUNK_BYTES) * (3 * WINDOW)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pipe.outgoing_body.write, body)
        await anyio.sleep(1)
        assert len(pipe.sent) == WINDOW
        pipe.deliver()
        parts = pipe.incoming_body.chunks()
        for read in range(1, 2 * WINDOW):
            assert len(await anext(parts)) == streams.CHUNK_BYTES
            await anyio.sleep(1)
            assert len(pipe.sent) == read - 1
            assert pipe.granted == read - 1
            if read == WINDOW:
                break
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_reading_the_first_part_grants_no_credit():
    """The first part used no credit.

    If reading it granted credit, a node would buffer one chunk more than the
    window for each stream.
    """
    pipe = Pipe(credit=0)
    pipe.incoming_body.open(b"first", is_last=False)
    parts = pipe.incoming_body.chunks()
    assert await anext(parts) == b"first"
    with anyio.move_on_after(1):
        await anext(parts)
    assert pipe.granted == 0


@pytest.mark.anyio
async def test_excess_credit_does_not_open_a_larger_window():
    pipe = Pipe(credit=0)
    for _ in range(5):
        pipe.outgoing_body.on_credit(messages.Credit(1, 1_000_000))
    with anyio.move_on_after(1):
        await pipe.outgoing_body.write(bytes(streams.CHUNK_BYTES) * 3 * WINDOW)
    assert len(pipe.sent) == WINDOW


@pytest.mark.anyio
async def test_sender_stops_after_a_chunk_that_was_not_sent():
    """A later chunk would arrive with a gap before it."""
    pipe = Pipe()
    pipe.is_lost = True
    with pytest.raises(streams.BodyError, match="lost"):
        await pipe.outgoing_body.write(b"a")
    pipe.is_lost = False
    with pytest.raises(streams.BodyError):
        await pipe.outgoing_body.write(b"b")
    assert pipe.sent == []


@pytest.mark.anyio
async def test_waiting_sender_is_woken_when_the_stream_fails():
    pipe = Pipe(credit=0)
    async with anyio.create_task_group() as tasks:

        async def write():
            with pytest.raises(streams.BodyError, match="gone"):
                await pipe.outgoing_body.write(b"a")

        tasks.start_soon(write)
        await anyio.sleep(1)
        pipe.outgoing_body.fail("gone")
