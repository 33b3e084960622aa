"""Listeners that wait for an address that is not free yet."""

import asyncio
from collections.abc import Callable
import errno

from clementinekeel.runtime import decision_log
from clementinekeel.runtime import errors
from clementinekeel.sidecar import settings

BACKLOG = 1024
"""Connections that may wait to be accepted; a full backlog delays a caller by
seconds."""
RETRY_INTERVAL_S = 0.1
_TRANSIENT_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
"""An earlier process has the address, the VM's network is being configured, or
the VM is short of a resource for a while."""


class ListenError(errors.StepError):
    """An address cannot be listened on."""


class StopRequestedError(Exception):
    """The process is to stop before it listens on all its addresses."""


class Listeners:
    """Opens the listeners of a node.

    Parameters
    ----------
    decisions : DecisionLog
        Log for addresses that are waited for.
    stop_requested : asyncio.Event
        Set when the process is to stop.
    """

    def __init__(
        self,
        decisions: decision_log.DecisionLog,
        stop_requested: asyncio.Event,
    ) -> None:
        self._decisions = decisions
        self._stop_requested = stop_requested

    async def open(
        self,
        address: settings.Address,
        make_protocol: Callable[[], asyncio.Protocol],
        wait_s: float,
    ) -> asyncio.Server:
        """Listen on an address; try again after a transient error.

        Raises
        ------
        ListenError
            If the address cannot be used, or not within ``wait_s`` seconds.
        StopRequestedError
            If the process is to stop during the wait.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + wait_s
        logged: int | None = None
        while True:
            try:
                return await loop.create_server(
                    make_protocol, address.host, address.port, backlog=BACKLOG
                )
            except OSError as error:
                failure = error
            is_transient = failure.errno in _TRANSIENT_ERRORS
            if not is_transient or loop.time() >= give_up_at:
                place = f"{address.host}:{address.port}"
                raise ListenError("listen", place, str(failure))
            if failure.errno != logged:
                logged = failure.errno
                self._decisions.write(
                    "address_in_use"
                    if logged == errno.EADDRINUSE
                    else "address_unavailable",
                    False,
                    host=address.host,
                    port=address.port,
                    reason=str(failure),
                    wait_s=wait_s,
                )
            await self._wait_for_retry()

    async def _wait_for_retry(self) -> None:
        try:
            async with asyncio.timeout(RETRY_INTERVAL_S):
                await self._stop_requested.wait()
        except TimeoutError:
            return
        raise StopRequestedError
