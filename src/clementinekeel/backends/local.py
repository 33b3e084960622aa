"""Pool of HTTP connections to the backend server on the same VM."""

import asyncio

from clementinekeel.backends import _answer_memory
from clementinekeel.backends import http1
from clementinekeel.runtime import sockets

CONNECT_TIMEOUT_S = 0.5
"""The backend server is on the same VM; if it does not accept a connection in
this time, it is down."""
SILENCE_LIMITS = sockets.SilenceLimits(unacknowledged_ms=2_000, probes=1)
"""The backend server is on the same VM, where no packet is lost. A silent
connection ends after two seconds instead of the timeout of its request."""
MAX_NON_IDEMPOTENT_IDLE_S = 1.0
"""Longest idle time of a connection for a non-idempotent request.

Backend servers drop idle connections without notice. A request that is lost
on such a connection can't be distinguished from one that ran.
"""


HEALTH_CHECK_TIMEOUT_S = 0.5
"""A health check takes 6 ms; the backend server is on the same VM."""


async def check_health(host: str, port: int, path: str) -> http1.Answer | None:
    """Send a health check to a backend server and return its answer.

    Returns
    -------
    Answer or None
        None if there is no complete answer.

    Raises
    ------
    OSError, TimeoutError
        If the backend server can't be reached or does not answer in time.
    """
    loop = asyncio.get_running_loop()
    answered: asyncio.Future[http1.Outcome] = loop.create_future()

    def on_outcome(outcome: http1.Outcome) -> None:
        if not answered.done():
            answered.set_result(outcome)

    async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
        # The answer to a health check has no request identifier.
        connection = await LocalPool(host, port, b"").connect()
        head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        connection.send(head.encode(), b"", b"", False, on_outcome)
        try:
            outcome = await answered
        finally:
            connection.close()
    return outcome if isinstance(outcome, http1.Answer) else None


class LocalPool:
    """Pool of connections to one address.

    The most recently used connection is reused first.

    Parameters
    ----------
    host, port : str, int
        Address of the backend server.
    id_header : bytes
        See ``http1.HttpConnection``.
    memory_bytes : int
        Largest number of bytes of all incomplete answers together.
    """

    def __init__(
        self,
        host: str,
        port: int,
        id_header: bytes,
        memory_bytes: int = http1.MAX_ANSWER_BYTES,
    ) -> None:
        self._memory = _answer_memory.AnswerMemory(memory_bytes)
        self._host = host
        self._port = port
        self._id_header = id_header
        self._idle: list[http1.HttpConnection] = []
        self._loop = asyncio.get_running_loop()

    def acquire_idle(
        self, is_idempotent: bool, request_id: bytes
    ) -> http1.HttpConnection | None:
        """Remove and return a reusable idle connection, or return None.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request to be sent is idempotent.
        request_id : bytes
            Its identifier.
        """
        passed_over: list[http1.HttpConnection] = []
        found = None
        while found is None and self._idle:
            connection = self._idle.pop()
            if not connection.is_reusable:
                connection.close()
                continue
            idle_s = self._loop.time() - connection.idle_since
            if not is_idempotent and idle_s > MAX_NON_IDEMPOTENT_IDLE_S:
                # All others have been idle for even longer.
                self._idle.append(connection)
                break
            if connection.may_send(request_id):
                found = connection
            else:
                passed_over.append(connection)
        self._idle.extend(reversed(passed_over))
        return found

    async def connect(self) -> http1.HttpConnection:
        """Open a connection.

        Raises
        ------
        OSError
            If the backend server can't be reached in time.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await self._loop.create_connection(
                lambda: http1.HttpConnection(self._id_header, self._memory),
                self._host,
                self._port,
            )
        sockets.limit_silence(transport, SILENCE_LIMITS)
        return connection

    def release(self, connection: http1.HttpConnection) -> None:
        """Return a connection to the pool, or close it."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that can no longer be reused."""
        kept = []
        for connection in self._idle:
            if connection.is_reusable:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
