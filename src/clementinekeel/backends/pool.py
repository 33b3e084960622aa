"""Pool of connections to the local backend server."""

import collections

import anyio

from clementinekeel.backends import connection
from clementinekeel.backends import errors
from clementinekeel.runtime import clock

CONNECT_TIMEOUT_MS = 1_000


class ConnectionPool:
    """Pool of connections to one backend server.

    Parameters
    ----------
    host : str
        IP address of the backend server.
    port : int
        Port of the backend server.
    limit : int
        Maximum number of connections; may be changed later.
    """

    def __init__(self, host: str, port: int, limit: int) -> None:
        self._host = host
        self._port = port
        self.limit = limit
        self._open = 0
        self._is_closed = False
        # The most recently used connection is at the end and reused first,
        # so that surplus ones stay idle and are closed.
        self._idle: collections.deque[connection.Connection] = (
            collections.deque()
        )

    @property
    def address(self) -> str:
        """Address of the backend server as ``ip:port``."""
        return f"{self._host}:{self._port}"

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return self._open

    async def acquire(self) -> connection.Connection:
        """Return an idle connection, or open one.

        Raises
        ------
        errors.BackendError
            If no connection can be opened; nothing was sent then.
        """
        while self._idle:
            candidate = self._idle.pop()
            if candidate.is_reusable:
                return candidate
            await self.discard(candidate)
        if self._open >= self.limit:
            # The step is not ``connect``, which would mean that the backend
            # server is unreachable.
            raise self._error("acquire", "connection limit reached")
        return await self._connect()

    async def release(self, used: connection.Connection) -> None:
        """Return a connection to the pool after a request."""
        if self._is_closed or self._open > self.limit or not used.finish():
            await self.discard(used)
            return
        self._idle.append(used)
        # Another task may take the rest while an expired one is closed.
        while self._idle and self._idle[0].is_expired:
            await self.discard(self._idle.popleft())

    async def discard(self, used: connection.Connection) -> None:
        """Close a connection."""
        self._open -= 1
        await used.close()

    async def close(self) -> None:
        """Close idle connections now, and the others when released."""
        self._is_closed = True
        while self._idle:
            await self.discard(self._idle.pop())

    async def _connect(self) -> connection.Connection:
        # Counted before the first await, so that concurrent callers cannot
        # exceed the limit.
        self._open += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_MS / clock.MS_PER_S):
                stream = await anyio.connect_tcp(self._host, self._port)
        except TimeoutError as error:
            self._open -= 1
            raise self._error("connect", "timeout") from error
        except OSError as error:
            self._open -= 1
            raise self._error("connect", str(error)) from error
        except BaseException:
            self._open -= 1
            raise
        return connection.Connection(stream, self.address)

    def _error(self, step: str, reason: str) -> errors.BackendError:
        return errors.BackendError(step, self.address, reason, was_sent=False)
