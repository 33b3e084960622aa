"""HTTP calls to the store over a pool of persistent connections."""

import asyncio
from collections.abc import Callable

from clementinekeel.backends import http1
from clementinekeel.runtime import decoding
from clementinekeel.runtime import sockets
from clementinekeel.store import metadata

CONNECT_TIMEOUT_S = 1.0
"""A handshake between regions takes 60 ms."""
SILENCE_LIMITS = sockets.SilenceLimits(unacknowledged_ms=2_500, probes=2)
"""Ends a watch 3 s after its connection went silent; with one lost packet
allowed. Nodes must have a change in force 4 s after the connections ended."""


class StoreConnections:
    """Connections to one store; each call uses one exclusively.

    Parameters
    ----------
    epoch_header : bytes
        Name, in lower case, of the header that numbers the store's history.
    on_epoch : callable
        Called with the former and the new number when it changes.
    """

    def __init__(
        self,
        host: str,
        port: int,
        epoch_header: bytes,
        on_epoch: Callable[[int, int], None],
    ) -> None:
        self._host = host
        self._port = port
        self._epoch_header = epoch_header
        self._on_epoch = on_epoch
        self._epoch = 0
        self._idle: list[http1.HttpConnection] = []
        # With the number of the history in which the call was made.
        self._busy: dict[http1.HttpConnection, int] = {}
        self._loop = asyncio.get_running_loop()
        self.calls = 0
        self.failures = 0

    @property
    def epoch(self) -> int:
        """Number of the store's history; 0 while none is known."""
        return self._epoch

    async def call(
        self,
        step: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        epoch: int | None = None,
    ) -> http1.Answer:
        """Make one call and return its answer.

        Parameters
        ----------
        epoch : int or None
            History to which revisions and leases in the call belong; None if
            there are none.

        Raises
        ------
        metadata.MetadataError
            If no complete answer arrives in time, or if the call belongs to
            another history than the store's.
        """
        self.calls += 1
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._host}:{self._port}"
            "\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(step, head, body, epoch)
        except TimeoutError:
            # All connections stop responding together, and a watch that waits
            # on one of them would end only at its own, longer timeout.
            self.abort_all()
            raise self._counted_error(step, "no answer in time") from None
        except OSError as error:
            raise self._counted_error(step, str(error)) from error
        self._observe_epoch(step, answer)
        self._require_epoch(step, epoch)
        return answer

    def _observe_epoch(self, step: str, answer: http1.Answer) -> None:
        """Note the number of the history to which an answer belongs.

        Calls of an earlier history end, since a watch from one of its
        revisions could wait in vain.
        """
        values = [v for n, v in answer.headers if n == self._epoch_header]
        if not values:
            return
        epoch = decoding.decode_number(values[0])
        if len(set(values)) > 1 or epoch is None:
            raise metadata.MetadataError(
                step, "epoch", metadata.FailureKind.MALFORMED
            )
        if epoch < self._epoch:
            raise self._counted_error(step, f"answer of history {epoch}")
        if epoch > self._epoch:
            before, self._epoch = self._epoch, epoch
            for connection, call_epoch in list(self._busy.items()):
                if 0 < call_epoch < epoch:
                    connection.abort()
            self._on_epoch(before, epoch)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def abort_all(self) -> None:
        """Abort all connections; the calls in progress fail."""
        self.close_idle()
        for connection in list(self._busy):
            connection.abort()

    def _counted_error(self, step: str, reason: str) -> metadata.MetadataError:
        self.failures += 1
        return metadata.MetadataError(
            step, reason, metadata.FailureKind.UNANSWERED
        )

    def _require_epoch(self, step: str, epoch: int | None) -> None:
        if epoch is not None and epoch != self._epoch:
            raise metadata.MetadataError(
                step,
                f"history {self._epoch} instead of {epoch}",
                metadata.FailureKind.COMPACTED,
            )

    async def _exchange(
        self, step: str, head: bytes, body: bytes, epoch: int | None
    ) -> http1.Answer:
        connection = await self._acquire()
        # Another call may have shown a new history in the meantime.
        if epoch is not None and epoch != self._epoch:
            self._release(connection)
            self._require_epoch(step, epoch)
        outcome_future: asyncio.Future[http1.Outcome] = (
            self._loop.create_future()
        )

        def on_outcome(outcome: http1.Outcome) -> None:
            if not outcome_future.done():
                outcome_future.set_result(outcome)

        self._busy[connection] = self._epoch
        try:
            connection.send(head, body, b"", False, on_outcome)
            outcome = await outcome_future
        except BaseException:
            connection.cancel()
            raise
        finally:
            del self._busy[connection]
        if isinstance(outcome, http1.Failure):
            connection.close()
            raise self._counted_error(step, outcome.reason)
        self._release(connection)
        return outcome

    def _release(self, connection: http1.HttpConnection) -> None:
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    async def _acquire(self) -> http1.HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await self._loop.create_connection(
                lambda: http1.HttpConnection(b""), self._host, self._port
            )
        sockets.limit_silence(transport, SILENCE_LIMITS)
        return connection
