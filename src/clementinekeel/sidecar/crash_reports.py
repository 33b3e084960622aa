"""Reports of crashes among the nodes beside the endpoints of one service.

Only these nodes let a request of the service run, so only they have to know
which ones crash its endpoints. The reports grow with the crashes and the
endpoints of a service, not with the fleet or the failed requests.
"""

import asyncio
from collections.abc import Callable, Iterable

from clementinekeel.admission import quarantine
from clementinekeel.membership import statements
from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.runtime import decision_log


class CrashReports:
    """Counts crashes with the other nodes of the service.

    Parameters
    ----------
    links : callable
        Returns links to the nodes beside the other endpoints of the service.
    """

    def __init__(
        self,
        links: Callable[[], Iterable[link_module.Link]],
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._links = links
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._quarantine = quarantine.Quarantine()
        self.crashes = 0

    @property
    def suspects(self) -> int:
        """Number of requests that ran when an endpoint ended."""
        return self._quarantine.suspects

    @property
    def quarantined(self) -> int:
        """Number of requests that are refused."""
        return self._quarantine.quarantined

    def refusal_s(self, fingerprint: int) -> float:
        """Return for how long a request is refused; 0 if it may run."""
        return self._quarantine.remaining_s(fingerprint, self._loop.time())

    def on_start(self, fingerprint: int) -> None:
        """Note that a request is about to run."""
        self._quarantine.on_start(fingerprint, self._loop.time())

    def on_crash(
        self, incarnation: statements.Incarnation, runs: tuple[int, ...]
    ) -> None:
        """Report an end of this node's backend server to the other nodes."""
        self.crashes += 1
        self._record(quarantine.Crash(incarnation, runs), "own")
        self._send(frames.CrashReport(*incarnation, runs))

    def on_answer(self, fingerprint: int) -> None:
        """Clear a request that the backend server has answered."""
        if self._quarantine.on_answer(fingerprint):
            self._send(frames.SuspectAnswered(fingerprint))

    def on_frame(self, link: link_module.Link, frame: frames.Frame) -> bool:
        """Handle a report of another node; tell whether it was one."""
        if isinstance(frame, frames.CrashReport):
            incarnation = statements.Incarnation(
                frame.endpoint, frame.started_ms
            )
            source = link.peer.node if link.peer is not None else ""
            self._record(
                quarantine.Crash(incarnation, frame.fingerprints), source
            )
        elif isinstance(frame, frames.SuspectAnswered):
            self._quarantine.on_answer(frame.fingerprint)
        else:
            return False
        return True

    def send_all(self, link: link_module.Link) -> None:
        """Tell a node everything, since it may have started or was cut off."""
        for crash in self._quarantine.crashes(self._loop.time()):
            link.send(
                frames.CrashReport(*crash.incarnation, crash.fingerprints)
            )

    def _record(self, crash: quarantine.Crash, source: str) -> None:
        refused = self._quarantine.record(crash, self._loop.time())
        for fingerprint in refused:
            self._decisions.write(
                "request_quarantined",
                False,
                fingerprint=f"{fingerprint:016x}",
                endpoint=crash.incarnation.endpoint,
                source=source,
                refused_s=round(self.refusal_s(fingerprint)),
            )

    def _send(self, frame: frames.Frame) -> None:
        for link in self._links():
            link.send(frame)
