"""A long answer reaches the caller once and in order."""

import pytest

from clementinekeel.daemon import answers
from clementinekeel.daemon import attempt
from clementinekeel.nodes import messages
from clementinekeel.nodes import session
from clementinekeel.nodes import streams
from clementinekeel.outcomes import messages as outcomes

pytestmark = pytest.mark.anyio

FIRST = b"1" * streams.CHUNK_BYTES
SECOND = b"2" * 10


class FakeSession:
    """Accepts messages and sends none."""

    node_id = "b"

    def send(self, payload, body=b""):
        return True

    def remove_stream(self, number):
        pass


async def read(answer):
    return answer.body + b"".join([part async for part in answer.rest])


async def test_first_part_is_not_sent_twice():
    """Guards against a body that repeats its first chunk."""
    stream = session.ClientStream(FakeSession(), 1, 0)
    load = messages.Load(255, 0.0, 0)
    head = messages.Answer(
        1, outcomes.Outcome.COMPLETED, 200, (), 0, load, -1, False
    )
    stream.on_reply(head, FIRST)
    sent = []
    outgoing_body = streams.OutgoingBody(
        1, "b", lambda chunk, body: not sent.append((chunk, body)), credit=9
    )
    outgoing_body.open(FIRST)
    await outgoing_body.write(SECOND)
    await outgoing_body.finish()
    for chunk, body in sent:
        stream.incoming_body.on_chunk(chunk, body)
    answer = answers.caller_answer(attempt.Answered(head, FIRST, stream), "")
    assert await read(answer) == FIRST + SECOND
