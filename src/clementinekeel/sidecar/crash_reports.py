"""Reports of crashes among the nodes beside the endpoints of one service.

Only these nodes let a request of the service run, so only they have to know
which ones crash its endpoints. The reports grow with the crashes and the
endpoints of a service, not with the fleet or the failed requests.
"""

import asyncio
from collections.abc import Callable, Iterable

from clementinekeel.admission import fingerprint as fingerprint_module
from clementinekeel.admission import quarantine
from clementinekeel.membership import statements
from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import entry as entry_module


class CrashReports:
    """Counts crashes with the other nodes of the service.

    Parameters
    ----------
    links : callable
        Returns links to the nodes beside the other endpoints of the service.

    Attributes
    ----------
    crashes : int
        Ends of this node's backend server.
    on_change : callable
        Called when ``lasting_refusals`` have changed.
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
        self._lasting_refusals: list[str] = []
        self.crashes = 0
        self.on_change: Callable[[], None] = lambda: None

    @property
    def suspects(self) -> int:
        """Number of requests that ran when an endpoint ended."""
        return self._quarantine.suspects

    @property
    def quarantined(self) -> int:
        """Number of requests that are refused."""
        return self._quarantine.quarantined

    @property
    def lasting_refusals(self) -> list[str]:
        """Requests that are refused for long, as in the node's entry."""
        return self._lasting_refusals

    def adopt(self, encoded: list[str]) -> None:
        """Refuse what an earlier process on this VM refused for long."""
        for text in encoded:
            self._quarantine.adopt(
                fingerprint_module.decode_fingerprint(text), self._loop.time()
            )
        self._update_lasting_refusals()

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
            self._update_lasting_refusals()
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
            self._update_lasting_refusals()
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
                fingerprint=fingerprint_module.encode_fingerprint(fingerprint),
                endpoint=crash.incarnation.endpoint,
                source=source,
                refused_s=round(self.refusal_s(fingerprint)),
            )
        self._update_lasting_refusals()

    def _update_lasting_refusals(self) -> None:
        lasting = self._quarantine.lasting[-entry_module.MAX_REFUSED :]
        encoded = [fingerprint_module.encode_fingerprint(f) for f in lasting]
        if encoded != self._lasting_refusals:
            self._lasting_refusals = encoded
            self.on_change()

    def _send(self, frame: frames.Frame) -> None:
        for link in self._links():
            link.send(frame)
