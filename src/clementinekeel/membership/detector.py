"""State of failure detection: pending probes and suspicions."""

from collections.abc import Callable
import random as random_module
from typing import NamedTuple

PROBE_INTERVAL_MS = 1_000
DIRECT_TIMEOUT_MS = 300
"""Time until helpers are asked; a round trip within a zone takes 1 to 3 ms."""
PROBE_TIMEOUT_MS = 1_000
HELPER_TIMEOUT_MS = 600
"""Below the 700 ms that are left to the requester's probe at that time."""
HELPERS = 3
SUSPICION_MS = 3_000
MAX_PENDING = 256
MAX_WITNESSES = 2
"""Two witnesses are enough to remove a service's last endpoint."""
UNANSWERED_RETENTION_MS = 5_000
"""Time for which a helper remembers that a member did not answer it either."""
_SERIAL_BITS = 62


class PendingProbe(NamedTuple):
    """Probe that has not been answered.

    Attributes
    ----------
    target : int
        Key of the member that should answer; 0 if not known.
    raises_suspicion : bool
        Whether a missing ack starts a suspicion.
    requester : str
        Address that a helper forwards the ack to; empty for own probes.
    requester_serial : int
        Serial number of the requester's probe.
    """

    target: int
    address: str
    sent_ms: int
    raises_suspicion: bool
    requester: str
    requester_serial: int
    has_asked_helpers: bool


class Suspicion(NamedTuple):
    """Suspicion of a member that did not answer the witnesses."""

    version: int
    deadline_ms: int
    witnesses: tuple[int, ...]


class Detector:
    """Pending probes, order of the next targets, and suspicions."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._pending: dict[int, PendingProbe] = {}
        self._targets: list[int] = []
        self._priority_targets: list[int] = []
        self._unanswered: dict[int, int] = {}
        self.suspicions: dict[int, Suspicion] = {}

    def reset(self) -> None:
        """Discard all probes and suspicions after a pause of the process.

        Their timers ran during the pause, when no ack could be read.
        """
        self._pending.clear()
        self._priority_targets.clear()
        self._unanswered.clear()
        self.suspicions.clear()

    def next_target(
        self,
        is_member: Callable[[int], bool],
        refill: Callable[[], list[int]],
    ) -> int | None:
        """Return the next member to probe, in a shuffled round robin."""
        while self._priority_targets:
            key = self._priority_targets.pop()
            if is_member(key):
                return key
        if not self._targets:
            self._targets = refill()
            self._random.shuffle(self._targets)
        while self._targets:
            key = self._targets.pop()
            if is_member(key):
                return key
        return None

    def prioritize(self, key: int) -> None:
        """Probe a member before the others."""
        if (
            key not in self._priority_targets
            and len(self._priority_targets) < MAX_PENDING
        ):
            self._priority_targets.append(key)

    def start_probe(self, pending: PendingProbe) -> int | None:
        """Return the serial number of a new probe; None above the maximum."""
        if len(self._pending) >= MAX_PENDING:
            return None
        serial = self._random.getrandbits(_SERIAL_BITS)
        self._pending[serial] = pending
        return serial

    def complete_probe(self, serial: int) -> PendingProbe | None:
        """Remove and return the pending probe that an ack answers."""
        return self._pending.pop(serial, None)

    def mark_due_for_helpers(
        self, now_ms: int
    ) -> list[tuple[int, PendingProbe]]:
        """Return this node's probes that need helpers, each of them once."""
        due = [
            (serial, pending)
            for serial, pending in self._pending.items()
            if pending.raises_suspicion
            and not pending.requester
            and not pending.has_asked_helpers
            and now_ms - pending.sent_ms >= DIRECT_TIMEOUT_MS
        ]
        for serial, pending in due:
            self._pending[serial] = pending._replace(has_asked_helpers=True)
        return due

    def pop_timed_out(self, now_ms: int) -> list[PendingProbe]:
        """Remove and return the probes that were not answered in time."""
        failed = [
            serial
            for serial, pending in self._pending.items()
            if now_ms - pending.sent_ms
            >= (HELPER_TIMEOUT_MS if pending.requester else PROBE_TIMEOUT_MS)
        ]
        return [self._pending.pop(serial) for serial in failed]

    def record_unanswered(self, key: int, now_ms: int) -> None:
        """Record that a member did not answer this node as a helper.

        This alone is no suspicion, as another helper may have reached the
        member, but it confirms a suspicion that the requester raises.
        """
        self._unanswered[key] = now_ms
        if len(self._unanswered) > MAX_PENDING:
            del self._unanswered[next(iter(self._unanswered))]

    def is_unanswered(self, key: int, now_ms: int) -> bool:
        """Tell whether a member has recently not answered this helper."""
        recorded_ms = self._unanswered.get(key)
        return (
            recorded_ms is not None
            and now_ms - recorded_ms < UNANSWERED_RETENTION_MS
        )

    def suspect(
        self,
        key: int,
        version: int,
        witnesses: tuple[int, ...],
        now_ms: int,
    ) -> bool:
        """Start a suspicion or add witnesses; return whether it changed."""
        known = self.suspicions.get(key)
        if known is None or known.version < version:
            self.suspicions[key] = Suspicion(
                version,
                now_ms + SUSPICION_MS,
                tuple(dict.fromkeys(witnesses))[:MAX_WITNESSES],
            )
            return True
        merged = known.witnesses + tuple(
            witness for witness in witnesses if witness not in known.witnesses
        )
        merged = tuple(dict.fromkeys(merged))[:MAX_WITNESSES]
        if known.version > version or merged == known.witnesses:
            return False
        self.suspicions[key] = known._replace(witnesses=merged)
        return True

    def end_suspicion(self, key: int) -> None:
        """End the suspicion of a member, if there is one."""
        self.suspicions.pop(key, None)
        self._unanswered.pop(key, None)

    def expired_suspicions(self, now_ms: int) -> list[tuple[int, Suspicion]]:
        """Return the suspicions whose deadline has passed."""
        return [
            (key, suspicion)
            for key, suspicion in self.suspicions.items()
            if suspicion.deadline_ms <= now_ms
        ]

    def postpone_suspicion(self, key: int, deadline_ms: int) -> None:
        """Move the deadline of a suspicion."""
        self.suspicions[key] = self.suspicions[key]._replace(
            deadline_ms=deadline_ms
        )
