"""State of the backend server beside the node."""

from collections.abc import Callable
import enum

from clementinekeel.backends import app as backend_app
from clementinekeel.backends import pool
from clementinekeel.runtime import clock
from clementinekeel.runtime import log

SILENCE_LIMIT_MS = 5_000
"""Announcements come once a second; after this silence it is taken as gone.
"""
CHECK_INTERVAL_MS = SILENCE_LIMIT_MS // 5


class BackendState(enum.StrEnum):
    """What the node knows of its backend server."""

    ABSENT = "absent"
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class BackendServer:
    """The backend server and the connections to it.

    Parameters
    ----------
    max_connections : int
        Connections the node may open.
    on_change : Callable
        Called after a change of state or of the instance, with the state
        before it.
    """

    def __init__(
        self,
        max_connections: int,
        on_change: Callable[[BackendState, bool], None],
    ) -> None:
        self._max_connections = max_connections
        self._on_change = on_change
        self._limit = max_connections
        self._state = BackendState.ABSENT
        self._announcement: backend_app.Announcement | None = None
        self._last_heard_ms = 0
        self._pool: pool.ConnectionPool | None = None
        self._replaced: list[pool.ConnectionPool] = []

    @property
    def state(self) -> BackendState:
        """What the node knows of it."""
        return self._state

    @property
    def service(self) -> str:
        """Service that it announced, or empty."""
        return self._announcement.service if self._announcement else ""

    @property
    def endpoint(self) -> str:
        """Endpoint that it announced, or empty."""
        return self._announcement.endpoint if self._announcement else ""

    @property
    def connections(self) -> pool.ConnectionPool | None:
        """Connections to it, None while it is absent."""
        return self._pool

    def set_limit(self, connections: int) -> None:
        """Open at most this many connections, and no more than allowed."""
        self._limit = min(connections, self._max_connections)
        if self._pool is not None:
            self._pool.limit = self._limit

    def on_announcement(self, announcement: backend_app.Announcement) -> str:
        """Take an announcement; return why it is refused, or empty."""
        host, _, port = announcement.address.rpartition(":")
        if not host or not port.isdigit():
            return "address is not ip:port"
        before = self._announcement
        if before is not None and before[:2] != announcement[:2]:
            return "this node already serves " + before.endpoint
        is_new = before is None or before.instance != announcement.instance
        if is_new or self._pool is None:
            if self._pool is not None:
                self._replaced.append(self._pool)
            self._pool = pool.ConnectionPool(host, int(port), self._limit)
        self._announcement = announcement
        self._last_heard_ms = clock.now_ms()
        self._change(BackendState(announcement.state), is_new)
        return ""

    def on_unreachable(self, connections: pool.ConnectionPool) -> None:
        """Take it as gone until it announces itself again.

        Parameters
        ----------
        connections : ConnectionPool
            Pool that could not connect. That of an earlier instance, or one
            that has no connection left, says nothing about the present one.
        """
        is_full = connections.open_count >= connections.limit
        if connections is self._pool and not is_full:
            self._change(BackendState.ABSENT, False)

    async def watch(self) -> None:
        """Notice when the announcements end."""
        while True:
            before_ms = clock.now_ms()
            await clock.sleep_ms(CHECK_INTERVAL_MS)
            late_ms = clock.now_ms() - before_ms - CHECK_INTERVAL_MS
            if late_ms > CHECK_INTERVAL_MS:
                # This process was paused and could hear nothing.
                self._last_heard_ms += late_ms
            silence_ms = clock.now_ms() - self._last_heard_ms
            if silence_ms > SILENCE_LIMIT_MS:
                self._change(BackendState.ABSENT, False)
            await self._close_replaced()

    async def _close_replaced(self) -> None:
        """Close the connections to earlier instances as they become idle."""
        for connections in self._replaced:
            await connections.close()
        self._replaced = [item for item in self._replaced if item.open_count]

    def _change(self, state: BackendState, is_new: bool) -> None:
        before = self._state
        if before is state and not is_new:
            return
        self._state = state
        log.event(
            "backend_state",
            state=state,
            before=before,
            endpoint=self.endpoint,
            is_new_instance=is_new,
        )
        self._on_change(before, is_new)
