"""One attempt of a request at the endpoint of another node."""

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from clementinekeel.callers import messages as callers
from clementinekeel.nodes import messages
from clementinekeel.nodes import session as node_session
from clementinekeel.nodes import streams
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing
from clementinekeel.runtime import clock
from clementinekeel.runtime import exception_groups

CONNECT_TIMEOUT_MS = 1_000
LATE_ANSWER_MS = 250
"""Time after the deadline for the owner to reply with the outcome."""


class NotRun(NamedTuple):
    """The request certainly did not run at this endpoint.

    Attributes
    ----------
    successor : str
        Key under which the request may run elsewhere, or empty.
    signal : Signal
        Result of the attempt for the router.
    load : Load or None
        Load that the owner reported, None if it did not reply.
    """

    reason: str
    step: str
    peer: str
    retry_after_ms: int
    successor: str
    signal: routing.Signal
    load: messages.Load | None


class MayHaveRun(NamedTuple):
    """The request ran or may have run, and there is no complete answer.

    Attributes
    ----------
    allowance_used : int or None
        Extra attempts made downstream, None if the owner did not reply.
    """

    outcome: outcomes.Outcome
    reason: str
    step: str
    peer: str
    allowance_used: int | None
    signal: routing.Signal
    load: messages.Load | None


class Answered(NamedTuple):
    """The backend server answered.

    Attributes
    ----------
    body : bytes
        The whole body, or the first part of a long one.
    stream : ClientStream
        Stays open until a long body is read to its end.
    """

    answer: messages.Answer
    body: bytes
    stream: node_session.ClientStream


Result = NotRun | MayHaveRun | Answered


async def connect(session: node_session.Session, expires_ms: int) -> bool:
    """Wait until a session is open; False if it is not open in time."""
    if session.state is node_session.State.OPEN:
        return True
    limit_ms = min(CONNECT_TIMEOUT_MS, expires_ms - clock.now_ms())
    with anyio.move_on_after(max(0, limit_ms) / clock.MS_PER_S):
        return await session.wait_open()
    return False


async def run(
    session: node_session.Session,
    call: messages.Call,
    body: callers.Body,
    expires_ms: int,
) -> Result:
    """Send a call and wait for the owner's reply.

    Parameters
    ----------
    session : Session
        Open session to the owner's node.
    call : Call
        The stream number and the deadline are set here.
    body : Body
        Body of the request.
    expires_ms : int
        Deadline on this node's clock.
    """
    stream = session.open_stream()
    remaining_ms = expires_ms - clock.now_ms()
    timed_call = call._replace(
        stream=stream.number,
        # The deadline is on the owner's clock and at most one network delay
        # early, so the owner can refuse a call that arrives late.
        expires_ms=session.peer_clock_ms + remaining_ms,
    )
    stream.outgoing_body.open(body.first)
    is_done = False
    try:
        if not session.send(timed_call, body.first):
            is_done = True
            stream.close()
            return _unreachable(session, "the message was not sent")
        reply = await _wait_reply(stream, body, remaining_ms + LATE_ANSWER_MS)
        is_done = reply is not None
    finally:
        if not is_done:
            stream.cancel("deadline or caller gone")
    if reply is None:
        return MayHaveRun(
            outcomes.Outcome.UNKNOWN,
            "deadline",
            "wait",
            session.node_id,
            None,
            routing.Signal.FAILED,
            None,
        )
    return _interpret_reply(session, stream, reply)


async def _wait_reply(
    stream: node_session.ClientStream, body: callers.Body, limit_ms: int
) -> node_session.Reply | None:
    reply: node_session.Reply | None = None
    with anyio.move_on_after(max(0, limit_ms) / clock.MS_PER_S):
        if body.is_complete:
            return await stream.reply()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_rest, stream, body)
                reply = await stream.reply()
                tasks.cancel_scope.cancel()
        except ExceptionGroup as group:
            # The caller went away or its body is faulty. ``callers.app``
            # handles the error, but not in a group.
            raise exception_groups.first_error(group) from None
    return reply


async def _send_rest(
    stream: node_session.ClientStream, body: callers.Body
) -> None:
    try:
        # Nothing is read from the caller before the owner has admitted the
        # call, so that a refused upload does not cross the network.
        await stream.outgoing_body.wait_credit()
        async for part in body.rest():
            await stream.outgoing_body.write(part)
        await stream.outgoing_body.finish()
    except streams.BodyError:
        # The reply to the call states its outcome.
        return


def _interpret_reply(
    session: node_session.Session,
    stream: node_session.ClientStream,
    reply: node_session.Reply,
) -> Result:
    message = reply.message
    if isinstance(message, messages.Answer):
        if message.last:
            stream.close()
        return Answered(message, reply.body, stream)
    stream.close()
    if isinstance(message, messages.Refused):
        is_leaving = message.reason == "leaving"
        return NotRun(
            message.reason,
            message.step,
            session.node_id,
            message.retry_after_ms,
            message.moved,
            routing.Signal.LEAVING if is_leaving else routing.Signal.REFUSED,
            message.load,
        )
    if isinstance(message, messages.Failed):
        # An outcome from a record says nothing against the endpoint's health.
        is_recorded = message.step == "record"
        return MayHaveRun(
            message.outcome,
            message.reason,
            message.step,
            message.peer or session.node_id,
            message.allowance_used,
            routing.Signal.ANSWERED if is_recorded else routing.Signal.FAILED,
            message.load,
        )
    reason = getattr(message, "reason", "unexpected message")
    return MayHaveRun(
        outcomes.Outcome.UNKNOWN,
        "owner_unreachable",
        reason,
        session.node_id,
        None,
        routing.Signal.UNREACHABLE,
        None,
    )


def unreachable(session: node_session.Session) -> NotRun:
    """Return the result for a session that could not be opened."""
    return _unreachable(session, session.close_reason or "timeout")


def _unreachable(session: node_session.Session, reason: str) -> NotRun:
    return NotRun(
        "node_unreachable",
        reason,
        session.node_id,
        0,
        "",
        routing.Signal.UNREACHABLE,
        None,
    )


async def body_parts(answered: Answered) -> AsyncIterator[bytes]:
    """Yield the body of a long answer in parts, from its beginning.

    Raises
    ------
    streams.BodyError
        If the answer is cut.
    """
    is_done = False
    try:
        async for part in answered.stream.incoming_body.chunks():
            yield part
        is_done = True
    finally:
        if is_done:
            answered.stream.close()
        else:
            answered.stream.cancel("answer not read to its end")
