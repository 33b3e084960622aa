"""State of the local backend server, which runs on the VM of the node."""

from collections.abc import Callable
import enum

from clementinekeel.backends import app as backend_app
from clementinekeel.backends import pool
from clementinekeel.runtime import clock
from clementinekeel.runtime import log

ANNOUNCEMENT_TIMEOUT_MS = 5_000
"""Time without an announcement after which the backend server counts as
absent. It announces itself once a second."""
CHECK_INTERVAL_MS = ANNOUNCEMENT_TIMEOUT_MS // 5


class BackendState(enum.StrEnum):
    """State of the backend server, as last announced, or absent."""

    ABSENT = "absent"
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class BackendServer:
    """The local backend server and the connections to it.

    Parameters
    ----------
    max_connections : int
        Most connections that the node may open.
    on_change : Callable
        Called after a change of the state or of the instance, with the
        previous state and whether the instance is new.
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
        self._replaced_pools: list[pool.ConnectionPool] = []

    @property
    def state(self) -> BackendState:
        """Current state."""
        return self._state

    @property
    def service(self) -> str:
        """Service of the backend server, empty before an announcement."""
        return self._announcement.service if self._announcement else ""

    @property
    def endpoint(self) -> str:
        """Endpoint of the backend server, empty before an announcement."""
        return self._announcement.endpoint if self._announcement else ""

    @property
    def connections(self) -> pool.ConnectionPool | None:
        """Connections to the instance, None before an announcement."""
        return self._pool

    def set_limit(self, connections: int) -> None:
        """Set the most connections to open, up to ``max_connections``."""
        self._limit = min(connections, self._max_connections)
        if self._pool is not None:
            self._pool.limit = self._limit

    def on_announcement(self, announcement: backend_app.Announcement) -> str:
        """Apply an announcement; return why it is refused, or empty."""
        host, _, port = announcement.address.rpartition(":")
        if not host or not port.isdigit():
            return "address is not ip:port"
        before = self._announcement
        if before is not None and before[:2] != announcement[:2]:
            return "this node already serves " + before.endpoint
        is_new_instance = (
            before is None or before.instance != announcement.instance
        )
        if is_new_instance or self._pool is None:
            if self._pool is not None:
                self._replaced_pools.append(self._pool)
            self._pool = pool.ConnectionPool(host, int(port), self._limit)
        self._announcement = announcement
        self._last_heard_ms = clock.now_ms()
        self._set_state(BackendState(announcement.state), is_new_instance)
        return ""

    def on_unreachable(self, connections: pool.ConnectionPool) -> None:
        """Set the state to absent until the next announcement.

        Parameters
        ----------
        connections : ConnectionPool
            Pool that could not connect. It is ignored if it belongs to an
            earlier instance or is at its connection limit, since neither says
            anything about the current instance.
        """
        is_full = connections.open_count >= connections.limit
        if connections is self._pool and not is_full:
            self._set_state(BackendState.ABSENT, False)

    async def watch(self) -> None:
        """Set the state to absent when announcements no longer arrive."""
        while True:
            started_ms = clock.now_ms()
            await clock.sleep_ms(CHECK_INTERVAL_MS)
            pause_ms = clock.now_ms() - started_ms - CHECK_INTERVAL_MS
            if pause_ms > CHECK_INTERVAL_MS:
                # This process was paused and could not receive announcements.
                self._last_heard_ms += pause_ms
            silence_ms = clock.now_ms() - self._last_heard_ms
            if silence_ms > ANNOUNCEMENT_TIMEOUT_MS:
                self._set_state(BackendState.ABSENT, False)
            await self._close_replaced()

    async def _close_replaced(self) -> None:
        """Close the connections to earlier instances, busy ones when idle."""
        for connections in self._replaced_pools:
            await connections.close()
        self._replaced_pools = [
            item for item in self._replaced_pools if item.open_count
        ]

    def _set_state(self, state: BackendState, is_new_instance: bool) -> None:
        before = self._state
        if before is state and not is_new_instance:
            return
        self._state = state
        log.event(
            "backend_state",
            state=state,
            before=before,
            endpoint=self.endpoint,
            is_new_instance=is_new_instance,
        )
        self._on_change(before, is_new_instance)
