"""Records of the keys that this node owns.

The owner of a key alone decides whether its request may run. A record is kept
for each key that was seen. Below the *horizon* a missing record proves
nothing, so such a key never runs; above it, a missing record proves that the
key has not run.
"""

import collections
import heapq
import sys
from typing import NamedTuple

from clementinekeel.outcomes import messages
from clementinekeel.runtime import invariants

MAX_RECORDS = 50_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_ANSWERS_BYTES = 4 * 1024 * 1024
ANSWER_OVERHEAD_BYTES = 512
"""Objects around an answer, so that many small ones stay in the limit."""
RETENTION_MS = 3_900_000
"""An hour's partition, after which callers still inquire, and a margin."""
RESERVE_DIVISOR = 16
"""One record in this many is never used for a running key.

A refusal must be recorded before it is sent, also when as many keys as
possible are running. Running records cannot be evicted, so the refusal needs
room that they cannot take.
"""
SLICE_MS = 1_000
"""Records are evicted in the order of their expiry, to this precision."""
AGED_PER_CALL = 64
"""Bounds the work of one call after a long pause; the rest follows later."""

OWNER_LOST = "owner_lost"
RECORD_EXPIRED = "record_expired"
KEY_EXPIRED = "key_expired"
RECORDS_FULL = "records_full"
INQUIRED = "inquired"


class Limits(NamedTuple):
    """Bounds on the memory that records take.

    Attributes
    ----------
    records : int
        Records of all kinds, at least 2.
    answer_bytes : int
        Largest body of an answer that is kept.
    answers_bytes : int
        All kept answers together, with headers and overhead.
    retention_ms : int
        Time for which a record is kept after its key expired.
    """

    records: int = MAX_RECORDS
    answer_bytes: int = MAX_ANSWER_BYTES
    answers_bytes: int = MAX_ANSWERS_BYTES
    retention_ms: int = RETENTION_MS


class Statistics(NamedTuple):
    """State of the records, for metrics.

    Attributes
    ----------
    evicted : int
        Records evicted for lack of room since the start; records that aged
        out are not counted.
    """

    records: int
    running: int
    answers: int
    answers_bytes: int
    horizon_ms: int
    evicted: int


class _Record(NamedTuple):
    """What is known of one key; ``outcome`` is None while it runs."""

    expires_ms: int
    outcome: messages.Outcome | None
    reason: str


class OutcomeRecords:
    """Decides which keys run, and remembers what became of them.

    Parameters
    ----------
    incarnation : int
        Incarnation of this node; keys of any other never run here.
    limits : Limits
        Bounds on memory.

    Raises
    ------
    ValueError
        If the limits leave no room for a running key beside a refused one.
    """

    def __init__(self, incarnation: int, limits: Limits | None = None) -> None:
        self._incarnation = incarnation
        self._limits = limits or Limits()
        if self._limits.records < 2:
            raise ValueError("at least 2 records are needed")
        reserve = max(1, self._limits.records // RESERVE_DIVISOR)
        self._max_running = self._limits.records - reserve
        # The serial has 96 random bits and identifies a key on its own.
        self._records: dict[bytes, _Record] = {}
        self._successors: dict[bytes, str] = {}
        self._answers = _Answers(self._limits)
        self._final = _ByExpiry()
        self._running = 0
        self._horizon_ms = -self._limits.retention_ms
        self._evicted = 0

    @property
    def statistics(self) -> Statistics:
        """Present state, for metrics."""
        return Statistics(
            len(self._records),
            self._running,
            len(self._answers),
            self._answers.bytes,
            self._horizon_ms,
            self._evicted,
        )

    def begin(self, key: messages.IssuedKey, now_ms: int) -> messages.Decision:
        """Decide what an arrival of a key's request does.

        Returns
        -------
        Run, Wait, Finished or Moved
            ``Run`` is returned once in the life of a key.
        """
        known = self._look_up(key, now_ms)
        if known is not None:
            return known
        if now_ms >= key.expires_ms:
            return self._refuse_new(key, KEY_EXPIRED, "")
        if self._running >= self._max_running:
            return self._refuse_new(key, RECORDS_FULL, "")
        self._check_unused(key)
        self._insert(key, _Record(key.expires_ms, None, ""))
        self._running += 1
        return messages.Run()

    def refuse(
        self,
        key: messages.IssuedKey,
        now_ms: int,
        reason: str,
        successor: str = "",
        *,
        is_runner: bool = False,
    ) -> messages.Decision:
        """Record that a key does not run, unless that is too late.

        Parameters
        ----------
        key : IssuedKey
            Key of the refused request.
        now_ms : int
            Present time.
        reason : str
            Fixed name of the reason.
        successor : str
            Text of the key that may run instead, or empty.
        holder : bool
            Whether the calling task was given ``Run`` for this key and has
            sent nothing to the backend server. Another arrival of the same
            key must not refuse it, since the first one may be running.

        Returns
        -------
        Wait, Finished or Moved
            What is to be sent. It is the refusal only if that was recorded.
        """
        if is_runner and self._is_running(key):
            self._settle(key, messages.Outcome.REFUSED, reason, successor)
            return self._decision(key.serial)
        known = self._look_up(key, now_ms)
        if known is not None:
            return known
        return self._refuse_new(key, reason, successor)

    def finish(
        self,
        key: messages.IssuedKey,
        outcome: messages.Outcome,
        reason: str,
        answer: messages.KeptAnswer | None,
        now_ms: int,
    ) -> messages.Decision:
        """Record the outcome of a running key.

        Parameters
        ----------
        outcome : Outcome
            Any but ``REFUSED``, which is for ``refuse`` to record.
        answer : KeptAnswer or None
            Whole answer, kept if the limits allow.

        Returns
        -------
        Finished or Moved
            What is recorded; an outcome that is already final stays.
        """
        invariants.check(
            outcome is not messages.Outcome.REFUSED,
            "refusal_is_not_a_result",
            reason=reason,
        )
        self._age(now_ms)
        if self._is_running(key):
            self._settle(key, outcome, reason, "")
            if answer is not None:
                self._answers.keep(key.serial, answer)
            return self._decision(key.serial)
        return self._late_result(key, reason)

    def inquire(
        self, key: messages.IssuedKey, now_ms: int
    ) -> messages.Decision:
        """Return the outcome of a key; a key that has not run never will.

        Returns
        -------
        Wait, Finished or Moved
            Never ``Run``. "Not run" is recorded before it is returned,
            because a delayed copy of the request may still arrive.
        """
        known = self._look_up(key, now_ms)
        if known is not None:
            return known
        expired = now_ms >= key.expires_ms
        return self._refuse_new(key, KEY_EXPIRED if expired else INQUIRED, "")

    def _look_up(
        self, key: messages.IssuedKey, now_ms: int
    ) -> messages.Decision | None:
        """Return what is known of a key; None if it has not run."""
        self._age(now_ms)
        if key.incarnation != self._incarnation:
            return _unknown(OWNER_LOST)
        if key.serial in self._records:
            return self._decision(key.serial)
        if key.expires_ms <= self._horizon_ms:
            return _unknown(RECORD_EXPIRED)
        return None

    def _decision(self, serial: bytes) -> messages.Decision:
        record = self._records[serial]
        if record.outcome is None:
            return messages.Wait()
        successor = self._successors.get(serial)
        if successor is not None:
            return messages.Moved(successor)
        answer = self._answers.get(serial)
        return messages.Finished(record.outcome, record.reason, answer)

    def _is_running(self, key: messages.IssuedKey) -> bool:
        if key.incarnation != self._incarnation:
            return False
        record = self._records.get(key.serial)
        return record is not None and record.outcome is None

    def _late_result(
        self, key: messages.IssuedKey, reason: str
    ) -> messages.Decision:
        """Keep a final outcome; a refused key must not have a result."""
        record = self._records.get(key.serial)
        if record is None:
            invariants.check(
                key.expires_ms <= self._horizon_ms,
                "result_only_of_a_run",
                reason=reason,
            )
            return _unknown(RECORD_EXPIRED)
        invariants.check(
            record.outcome is not messages.Outcome.REFUSED,
            "result_only_of_a_run",
            reason=reason,
        )
        return self._decision(key.serial)

    def _check_unused(self, key: messages.IssuedKey) -> None:
        invariants.check(
            key.serial not in self._records
            and key.incarnation == self._incarnation
            and key.expires_ms > self._horizon_ms,
            "key_runs_once",
            expires_ms=key.expires_ms,
            horizon_ms=self._horizon_ms,
        )

    def _refuse_new(
        self, key: messages.IssuedKey, reason: str, successor: str
    ) -> messages.Decision:
        self._check_unused(key)
        self._insert(key, _Record(key.expires_ms, None, ""))
        self._running += 1
        self._settle(key, messages.Outcome.REFUSED, reason, successor)
        return self._decision(key.serial)

    def _insert(self, key: messages.IssuedKey, record: _Record) -> None:
        if len(self._records) >= self._limits.records:
            self._evict()
            self._evicted += 1
        self._records[key.serial] = record

    def _settle(
        self,
        key: messages.IssuedKey,
        outcome: messages.Outcome,
        reason: str,
        successor: str,
    ) -> None:
        record = self._records[key.serial]
        invariants.check(
            record.outcome is None,
            "outcome_is_final",
            before=record.outcome,
            after=outcome,
        )
        # Reasons are few; a decoded message brings a new string each time.
        reason = sys.intern(reason)
        self._records[key.serial] = _Record(record.expires_ms, outcome, reason)
        self._running -= 1
        self._final.add(record.expires_ms, key.serial)
        if successor:
            self._successors[key.serial] = successor

    def _age(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._limits.retention_ms
        if oldest_ms > self._horizon_ms:
            self._advance(oldest_ms)
        for _ in range(AGED_PER_CALL):
            if not self._final.is_due(oldest_ms):
                return
            self._evict()

    def _evict(self) -> None:
        """Forget the final record whose key expires first."""
        serial = self._final.pop()
        record = self._records.pop(serial)
        invariants.check(
            record.outcome is not None,
            "running_record_is_kept",
            expires_ms=record.expires_ms,
        )
        self._successors.pop(serial, None)
        self._answers.drop(serial)
        self._advance(max(self._horizon_ms, record.expires_ms))

    def _advance(self, horizon_ms: int) -> None:
        invariants.check(
            horizon_ms >= self._horizon_ms,
            "horizon_never_goes_back",
            before=self._horizon_ms,
            after=horizon_ms,
        )
        self._horizon_ms = horizon_ms


class _ByExpiry:
    """Serials of final records, in slices of ``SLICE_MS`` by their expiry.

    A list in each slice takes 8 bytes a record, where a heap entry of its own
    would take 80.
    """

    def __init__(self) -> None:
        self._slices: dict[int, list[bytes]] = {}
        self._order: list[int] = []

    def add(self, expires_ms: int, serial: bytes) -> None:
        number = expires_ms // SLICE_MS
        if number not in self._slices:
            self._slices[number] = []
            heapq.heappush(self._order, number)
        self._slices[number].append(serial)

    def is_due(self, oldest_ms: int) -> bool:
        """Tell whether the first slice expired wholly before a time."""
        if not self._order:
            return False
        return (self._order[0] + 1) * SLICE_MS <= oldest_ms

    def pop(self) -> bytes:
        first = self._slices[self._order[0]]
        serial = first.pop()
        if not first:
            del self._slices[heapq.heappop(self._order)]
        return serial


class _Answers:
    """Kept answers; the oldest give way to new ones."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._kept: collections.OrderedDict[bytes, messages.KeptAnswer] = (
            collections.OrderedDict()
        )
        self.bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, serial: bytes) -> messages.KeptAnswer | None:
        return self._kept.get(serial)

    def keep(self, serial: bytes, answer: messages.KeptAnswer) -> None:
        size = _size(answer)
        if len(answer.body) > self._limits.answer_bytes:
            return
        if size > self._limits.answers_bytes:
            return
        while self.bytes + size > self._limits.answers_bytes:
            _, oldest = self._kept.popitem(last=False)
            self.bytes -= _size(oldest)
        self._kept[serial] = answer
        self.bytes += size

    def drop(self, serial: bytes) -> None:
        answer = self._kept.pop(serial, None)
        if answer is not None:
            self.bytes -= _size(answer)


def _size(answer: messages.KeptAnswer) -> int:
    """Return the bytes that an answer counts in the total."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + ANSWER_OVERHEAD_BYTES


def _unknown(reason: str) -> messages.Finished:
    return messages.Finished(messages.Outcome.UNKNOWN, reason, None)
