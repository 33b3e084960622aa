"""Pool of connections to the backend server on the same VM."""

import asyncio

from clementinekeel.backends import http1

CONNECT_TIMEOUT_S = 0.5
"""The backend server is on the same VM; a silent one is down."""
FRESH_IDLE_S = 1.0
"""Longest idle time of a connection for requests that may run only once.

Backend servers drop idle connections without notice, and a request sent on
such a connection can't be told from one that ran.
"""


class LocalPool:
    """Connections to one address, most recently used first."""

    def __init__(self, host: str, port: int, id_header: bytes) -> None:
        self._host = host
        self._port = port
        self._id_header = id_header
        self._idle: list[http1.HttpConnection] = []
        self._loop = asyncio.get_running_loop()

    def take(self, is_idempotent: bool) -> http1.HttpConnection | None:
        """Return an idle connection that can be reused, or None."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_reusable:
                connection.close()
                continue
            idle_s = self._loop.time() - connection.idle_since
            if not is_idempotent and idle_s > FRESH_IDLE_S:
                # The others have been idle for longer still.
                self._idle.append(connection)
                return None
            return connection
        return None

    async def connect(self) -> http1.HttpConnection:
        """Open a connection.

        Raises
        ------
        OSError
            If the backend server can't be reached in time.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await self._loop.create_connection(
                lambda: http1.HttpConnection(self._id_header),
                self._host,
                self._port,
            )
        return connection

    def give_back(self, connection: http1.HttpConnection) -> None:
        """Keep a connection for another request if it can be reused."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        kept = []
        for connection in self._idle:
            if connection.is_reusable:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def drop(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
