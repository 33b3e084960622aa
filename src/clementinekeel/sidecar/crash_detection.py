"""Detects that the backend server has ended while requests ran there."""

import asyncio
from collections.abc import Callable

from clementinekeel.backends import local

FAILURE_WINDOW_S = 1.0
"""Runs that failed within this time before or after the backend server was
found to have ended failed with it."""


class CrashDetector:
    """Tells an end of the backend server from the end of one connection.

    When a run fails, the address of the backend server is checked once. A
    refused connection means that its process has ended. Silence does not: it
    may be frozen or cut off.

    Parameters
    ----------
    on_crash : callable
        Called with the fingerprints of the requests that ran, once or several
        times for the same end.
    """

    def __init__(
        self,
        pool: local.LocalPool,
        on_crash: Callable[[tuple[int, ...]], None],
    ) -> None:
        self._pool = pool
        self._on_crash = on_crash
        self._loop = asyncio.get_running_loop()
        self._failed_runs: dict[int, float] = {}
        self._crashed_at = float("-inf")
        self._check: asyncio.Task[None] | None = None

    def on_run_failed(self, fingerprint: int) -> None:
        """Note that a request failed while it ran."""
        now = self._loop.time()
        self._forget_old(now)
        self._failed_runs.pop(fingerprint, None)
        self._failed_runs[fingerprint] = now
        if now - self._crashed_at < FAILURE_WINDOW_S:
            self._report()
        elif self._check is None:
            self._check = self._loop.create_task(self._check_address())

    def on_connection_failed(self, error: OSError) -> None:
        """Note that a connection to the backend server can't be made.

        A reset is no end either: backend servers reset connections beyond
        their limit.
        """
        if isinstance(error, ConnectionRefusedError):
            self._crashed_at = self._loop.time()
            self._report()

    def begin_incarnation(self) -> None:
        """Forget the failures of the earlier incarnation."""
        self._failed_runs.clear()
        self._crashed_at = float("-inf")

    async def _check_address(self) -> None:
        try:
            connection = await self._pool.connect()
        except OSError as error:
            self.on_connection_failed(error)
        else:
            self._pool.release(connection)
        finally:
            self._check = None

    def _forget_old(self, now: float) -> None:
        # In the order of the failures, so that the oldest are first.
        for fingerprint, failed_at in list(self._failed_runs.items()):
            if now - failed_at <= FAILURE_WINDOW_S:
                return
            del self._failed_runs[fingerprint]

    def _report(self) -> None:
        """Report the recent failures; the oldest are first."""
        self._forget_old(self._loop.time())
        recent = tuple(self._failed_runs)
        self._failed_runs.clear()
        if recent:
            self._on_crash(recent)
