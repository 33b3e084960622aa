"""State of failure detection: probes under way and suspicions."""

from collections.abc import Callable
import random as random_module
from typing import NamedTuple

PROBE_INTERVAL_MS = 1_000
DIRECT_TIMEOUT_MS = 300
"""Many round trips within a zone (1 to 3 ms); then helpers are asked."""
PROBE_TIMEOUT_MS = 1_000
HELPER_TIMEOUT_MS = 600
"""A helper decides before the probe that it helps with has failed."""
HELPERS = 3
SUSPICION_MS = 3_000
MAX_PENDING = 256
MAX_WITNESSES = 2
"""Two witnesses are enough to remove a service's last endpoint."""
HELP_MEMORY_MS = 5_000
"""How long a helper remembers that a member did not answer it either."""
_SERIAL_BITS = 62


class Pending(NamedTuple):
    """A probe that has not been answered.

    Attributes
    ----------
    target : int
        Key of the member that should answer; 0 if not known.
    is_accusing : bool
        Whether a missing ack starts a suspicion.
    requester : str
        Address that a helper passes the ack on to; empty for own probes.
    requester_serial : int
        Serial number of the requester's probe.
    """

    target: int
    address: str
    sent_ms: int
    is_accusing: bool
    requester: str
    requester_serial: int
    are_helpers_asked: bool


class Suspicion(NamedTuple):
    """A member that did not answer its witnesses."""

    version: int
    deadline_ms: int
    witnesses: tuple[int, ...]


class Detector:
    """Probes under way, the order of probing, and suspicions."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._pending: dict[int, Pending] = {}
        self._order: list[int] = []
        self._urgent: list[int] = []
        self._unanswered: dict[int, int] = {}
        self.suspicions: dict[int, Suspicion] = {}

    def reset(self) -> None:
        """Forget timers that ran while the node did not."""
        self._pending.clear()
        self._urgent.clear()
        self._unanswered.clear()
        self.suspicions.clear()

    def next_target(
        self,
        is_member: Callable[[int], bool],
        refill: Callable[[], list[int]],
    ) -> int | None:
        """Return the next member to probe: round robin, shuffled."""
        while self._urgent:
            key = self._urgent.pop()
            if is_member(key):
                return key
        if not self._order:
            self._order = refill()
            self._random.shuffle(self._order)
        while self._order:
            key = self._order.pop()
            if is_member(key):
                return key
        return None

    def probe_soon(self, key: int) -> None:
        """Probe a member before the others."""
        if key not in self._urgent and len(self._urgent) < MAX_PENDING:
            self._urgent.append(key)

    def start(self, pending: Pending) -> int | None:
        """Return the serial number of a new probe, None if too many."""
        if len(self._pending) >= MAX_PENDING:
            return None
        serial = self._random.getrandbits(_SERIAL_BITS)
        self._pending[serial] = pending
        return serial

    def answer(self, serial: int) -> Pending | None:
        """Return the probe that an ack belongs to, and end it."""
        return self._pending.pop(serial, None)

    def take_due_for_helpers(self, now_ms: int) -> list[tuple[int, Pending]]:
        """Return own probes that need helpers, once each."""
        due = [
            (serial, pending)
            for serial, pending in self._pending.items()
            if pending.is_accusing
            and not pending.requester
            and not pending.are_helpers_asked
            and now_ms - pending.sent_ms >= DIRECT_TIMEOUT_MS
        ]
        for serial, pending in due:
            self._pending[serial] = pending._replace(are_helpers_asked=True)
        return due

    def take_failed(self, now_ms: int) -> list[Pending]:
        """Return and end the probes that were not answered in time."""
        failed = [
            serial
            for serial, pending in self._pending.items()
            if now_ms - pending.sent_ms
            >= (HELPER_TIMEOUT_MS if pending.requester else PROBE_TIMEOUT_MS)
        ]
        return [self._pending.pop(serial) for serial in failed]

    def note_unanswered(self, key: int, now_ms: int) -> None:
        """Remember that a member did not answer this node as a helper.

        It is no accusation: another helper may have reached the member. It
        confirms a suspicion that the requester raises.
        """
        self._unanswered[key] = now_ms
        if len(self._unanswered) > MAX_PENDING:
            del self._unanswered[next(iter(self._unanswered))]

    def is_unanswered(self, key: int, now_ms: int) -> bool:
        """Tell whether a member lately did not answer this helper."""
        noted_ms = self._unanswered.get(key)
        return noted_ms is not None and now_ms - noted_ms < HELP_MEMORY_MS

    def suspect(
        self,
        key: int,
        version: int,
        witnesses: tuple[int, ...],
        now_ms: int,
    ) -> bool:
        """Start a suspicion or add witnesses; return whether it is news."""
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

    def clear(self, key: int) -> None:
        """End a suspicion."""
        self.suspicions.pop(key, None)
        self._unanswered.pop(key, None)

    def due(self, now_ms: int) -> list[tuple[int, Suspicion]]:
        """Return the suspicions whose time is over."""
        return [
            (key, suspicion)
            for key, suspicion in self.suspicions.items()
            if suspicion.deadline_ms <= now_ms
        ]

    def postpone(self, key: int, deadline_ms: int) -> None:
        """Decide on a suspicion later."""
        self.suspicions[key] = self.suspicions[key]._replace(
            deadline_ms=deadline_ms
        )
