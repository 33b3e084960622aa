"""Quarantine of requests that crash the backend servers that run them.

Load pattern: one request, sent again and again, ends each backend server that
begins to run it. All of them are down most of the time, and the other requests
that run there fail with it.

A request is suspected if it runs when a backend server ends, as are all others
that run there. An answer clears it. A request that several backend servers did
not survive, without an answer in between, is refused.
"""

import random
from typing import NamedTuple

from clementinekeel.membership import statements

CRASH_LIMIT = 3
"""Backend servers that end while a request runs before it is refused for long.
Two are too few: a request that is retried after one crash may run beside the
cause of the next one."""
BACKOFF_S = 5.0
"""Shortest time for which a request is refused after one crash less; then it
runs once. Copies of it would end the remaining backend servers before its
third crash is known; those that have ended are back after a few seconds."""
ANSWERED_CRASH_LIMIT = 5
"""The same for a request that was answered lately. A request that many callers
send runs at most backend servers at any time, also at those that another
request ends within a short time."""
MAX_ANSWERED = 4096
"""Requests that were answered last; a minute of a busy backend server."""
QUARANTINE_S = 600.0
"""Shortest time for which a request is refused. Then it runs once; if another
backend server ends, the time doubles."""
MAX_QUARANTINE_S = 24 * 3600.0
CRASH_MEMORY_S = 3600.0
"""Time after which a crash no longer counts."""
MAX_CRASHES = 64
"""Crashes that are remembered, the latest ones."""
MAX_RUNS_PER_CRASH = 256
"""Requests that are suspected after one crash: those that failed last. More
than the slots of most backend servers; bounds the memory to 64 crashes of 256
requests, about 2 MB."""
MAX_QUARANTINED = 256
"""Requests that are refused at a time; the one that would run first goes."""


class Crash(NamedTuple):
    """End of a backend server while requests ran there.

    Attributes
    ----------
    fingerprints : tuple of int
        Requests that ran, in the order in which they failed.
    """

    incarnation: statements.Incarnation
    fingerprints: tuple[int, ...]


class _Refusal(NamedTuple):
    until: float
    duration_s: float


class Quarantine:
    """Requests that are suspected or refused, by fingerprint.

    Parameters
    ----------
    randomness : Random or None
        Spreads the ends of the quarantine over the nodes, so that one of them
        lets a request run first and the others learn of the result.
    """

    def __init__(self, randomness: random.Random | None = None) -> None:
        self._random = randomness or random.Random()
        # In the order of the crashes, so that the oldest are first.
        self._runs: dict[statements.Incarnation, set[int]] = {}
        self._crashed_at: dict[statements.Incarnation, float] = {}
        self._crash_counts: dict[int, int] = {}
        self._refusals: dict[int, _Refusal] = {}
        # In the order of the answers, so that the oldest are first.
        self._answered: dict[int, None] = {}

    @property
    def suspects(self) -> int:
        """Number of requests that ran when a backend server ended."""
        return len(self._crash_counts)

    @property
    def quarantined(self) -> int:
        """Number of requests that are refused."""
        return len(self._refusals)

    @property
    def lasting(self) -> list[int]:
        """Requests that are refused for long, the latest last."""
        return [
            fingerprint
            for fingerprint, refusal in self._refusals.items()
            if refusal.duration_s >= QUARANTINE_S
        ]

    def crashes(self, now: float) -> list[Crash]:
        """Return the crashes that count, the oldest first."""
        self._forget_old(now)
        return [
            Crash(incarnation, tuple(runs))
            for incarnation, runs in self._runs.items()
        ]

    def record(self, crash: Crash, now: float) -> list[int]:
        """Record a crash, or more requests that ran at a known one.

        Parameters
        ----------
        now : float
            The runtime's clock, in seconds.

        Returns
        -------
        list of int
            Requests that are refused from now on, or for longer.
        """
        self._forget_old(now)
        incarnation = crash.incarnation
        runs = self._runs.setdefault(incarnation, set())
        self._crashed_at.setdefault(incarnation, now)
        refused = []
        for fingerprint in crash.fingerprints[-MAX_RUNS_PER_CRASH:]:
            if fingerprint in runs or len(runs) >= MAX_RUNS_PER_CRASH:
                continue
            runs.add(fingerprint)
            count = self._crash_counts.get(fingerprint, 0) + 1
            self._crash_counts[fingerprint] = count
            if self._refuse_if_due(fingerprint, count, now):
                refused.append(fingerprint)
        while len(self._runs) > MAX_CRASHES:
            self._forget_oldest()
        return refused

    def adopt(self, fingerprint: int, now: float) -> None:
        """Refuse a request that an earlier process refused for long."""
        if fingerprint not in self._refusals:
            self._refuse(fingerprint, QUARANTINE_S, now)

    def on_answer(self, fingerprint: int) -> bool:
        """Clear a request that was answered; tell whether it was suspected."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = None
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        was_refused = self._refusals.pop(fingerprint, None) is not None
        if fingerprint not in self._crash_counts:
            return was_refused
        del self._crash_counts[fingerprint]
        for runs in self._runs.values():
            runs.discard(fingerprint)
        return True

    def remaining_s(self, fingerprint: int, now: float) -> float:
        """Return for how long a request is refused; 0 if it may run now."""
        refusal = self._refusals.get(fingerprint)
        return max(0.0, refusal.until - now) if refusal is not None else 0.0

    def on_start(self, fingerprint: int, now: float) -> None:
        """Refuse further runs of a request that runs once for a trial."""
        refusal = self._refusals.get(fingerprint)
        if refusal is not None:
            self._refusals[fingerprint] = refusal._replace(
                until=now + refusal.duration_s
            )

    def _refuse_if_due(
        self, fingerprint: int, crashes: int, now: float
    ) -> bool:
        limit = (
            ANSWERED_CRASH_LIMIT
            if fingerprint in self._answered
            else CRASH_LIMIT
        )
        earlier = self._refusals.get(fingerprint)
        if earlier is not None and earlier.duration_s >= QUARANTINE_S:
            duration_s = min(MAX_QUARANTINE_S, 2 * earlier.duration_s)
        elif crashes >= limit:
            duration_s = QUARANTINE_S
        elif crashes == limit - 1:
            duration_s = BACKOFF_S
        else:
            return False
        self._refuse(fingerprint, duration_s, now)
        return True

    def _refuse(self, fingerprint: int, duration_s: float, now: float) -> None:
        self._refusals.pop(fingerprint, None)
        if len(self._refusals) >= MAX_QUARANTINED:
            first = min(self._refusals, key=lambda f: self._refusals[f].until)
            del self._refusals[first]
        until = now + duration_s * self._random.uniform(1, 2)
        self._refusals[fingerprint] = _Refusal(until, duration_s)

    def _forget_old(self, now: float) -> None:
        for incarnation, crashed_at in list(self._crashed_at.items()):
            if now - crashed_at <= CRASH_MEMORY_S:
                return
            self._forget(incarnation)

    def _forget_oldest(self) -> None:
        self._forget(next(iter(self._runs)))

    def _forget(self, incarnation: statements.Incarnation) -> None:
        del self._crashed_at[incarnation]
        for fingerprint in self._runs.pop(incarnation):
            self._crash_counts[fingerprint] -= 1
            if not self._crash_counts[fingerprint]:
                del self._crash_counts[fingerprint]
