"""Pool of sessions to other nodes, opened on demand and closed when idle."""

from typing import Any

import anyio
import anyio.abc
import zmq

from clementinekeel.nodes import codec
from clementinekeel.nodes import drops
from clementinekeel.nodes import session as node_session
from clementinekeel.runtime import clock

IDLE_CHECK_INTERVAL_MS = 5_000

PeerId = tuple[str, int]
"""Node id and incarnation."""


class SessionPool:
    """Keeps one session to each incarnation of another node.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    message_codec : codec.Codec
        Encodes and decodes messages.
    drop_log : drops.DropLog
        Counts dropped messages.
    idle_ms : int
        Time without calls after which a session is closed.
    """

    def __init__(
        self,
        context: zmq.Context[Any],
        message_codec: codec.Codec,
        drop_log: drops.DropLog,
        idle_ms: int,
    ) -> None:
        self._context = context
        self._codec = message_codec
        self._drops = drop_log
        self._idle_ms = idle_ms
        self._sessions: dict[PeerId, node_session.Session] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def count(self) -> int:
        """Number of sessions."""
        return len(self._sessions)

    async def run(self) -> None:
        """Run the sessions' tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await clock.sleep_ms(IDLE_CHECK_INTERVAL_MS)
                self._close_idle()

    def get(
        self, address: str, node_id: str, incarnation: int
    ) -> node_session.Session:
        """Return the session to an incarnation of a node.

        Opens a session if there is none.
        """
        assert self._tasks is not None
        peer = (node_id, incarnation)
        session = self._sessions.get(peer)
        if session is None or session.state is node_session.State.CLOSED:
            session = node_session.Session(
                self._context,
                self._codec,
                address,
                node_id,
                incarnation,
                self._drops,
            )
            self._sessions[peer] = session
            self._tasks.start_soon(self._run, peer, session)
        # The caller uses the session next, so the idle check must not close
        # it before.
        session.last_used_ms = clock.now_ms()
        return session

    async def _run(self, peer: PeerId, session: node_session.Session) -> None:
        try:
            await session.run()
        finally:
            if self._sessions.get(peer) is session:
                del self._sessions[peer]

    def _close_idle(self) -> None:
        now = clock.now_ms()
        for session in list(self._sessions.values()):
            is_idle = now - session.last_used_ms > self._idle_ms
            if is_idle and not session.in_flight:
                session.close("idle")
