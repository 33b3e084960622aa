"""Outcome records of the keys that this node owns.

Only the owner of a key decides whether its request may run. It keeps a record
of each key that it has received. The *horizon* is the latest expiry of a key
whose record may have been evicted. A key that expires later and has no record
has not run; a key that expires at or before the horizon and has no record may
have run, so it never runs again.
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
"""Objects around an answer, counted so that many small answers stay within
the limit."""
RETENTION_MS = 3_900_000
"""Callers may inquire after a partition of an hour; 5 min are a margin."""
RESERVE_DIVISOR = 16
"""One record in this many is never used for a running key.

A refusal must be recorded before it is sent, also when as many keys as
possible are running. Records of running keys cannot be evicted, so some
records are reserved for refusals.
"""
EXPIRY_SLICE_MS = 1_000
"""Precision to which records are evicted in the order of their expiry."""
EVICTIONS_PER_CALL = 64
"""Bounds the work of one call after a long pause; later calls evict the
rest."""

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
        Size of the largest answer body that is kept.
    answers_bytes : int
        Total size of the kept answers, with headers and overhead.
    retention_ms : int
        Time for which a record is kept after the expiry of its key.
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
        Records evicted for lack of space since the start, without those
        whose retention has ended.
    """

    records: int
    running: int
    answers: int
    answers_bytes: int
    horizon_ms: int
    evicted: int


class _Record(NamedTuple):
    """Record of one key; ``outcome`` is None while the key is running."""

    expires_ms: int
    outcome: messages.Outcome | None
    reason: str


class OutcomeRecords:
    """Decides which keys may run and records their outcomes.

    Parameters
    ----------
    incarnation : int
        Incarnation of this node; keys of any other never run here.
    limits : Limits
        Bounds on memory.

    Raises
    ------
    ValueError
        If the limits are too low for one running and one refused key.
    """

    def __init__(self, incarnation: int, limits: Limits | None = None) -> None:
        self._incarnation = incarnation
        self._limits = limits or Limits()
        if self._limits.records < 2:
            raise ValueError("at least 2 records are needed")
        reserve = max(1, self._limits.records // RESERVE_DIVISOR)
        self._max_running = self._limits.records - reserve
        # The serial alone identifies a key, as it has 96 random bits.
        self._records: dict[bytes, _Record] = {}
        self._successors: dict[bytes, str] = {}
        self._answers = _KeptAnswers(self._limits)
        self._expiry_queue = _ExpiryQueue()
        self._running = 0
        self._horizon_ms = -self._limits.retention_ms
        self._evicted = 0

    @property
    def statistics(self) -> Statistics:
        """Current state, for metrics."""
        return Statistics(
            len(self._records),
            self._running,
            len(self._answers),
            self._answers.bytes,
            self._horizon_ms,
            self._evicted,
        )

    def begin(self, key: messages.IssuedKey, now_ms: int) -> messages.Decision:
        """Decide how to handle an arrival of a key's request.

        Returns
        -------
        Run, Wait, Finished or Moved
            ``Run`` is returned at most once for each key.
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
        """Refuse a key, unless another arrival runs it or it has an outcome.

        Parameters
        ----------
        key : IssuedKey
            Key of the refused request.
        now_ms : int
            Current time.
        reason : str
            Fixed name of the reason.
        successor : str
            Text of the key that may run instead, or empty.
        is_runner : bool
            Whether the calling task was given ``Run`` for this key and has
            sent nothing to the backend server. Another arrival of the same
            key must not refuse it, since the first one may be running.

        Returns
        -------
        Wait, Finished or Moved
            Decision to send; a refusal only if the refusal was recorded.
        """
        if is_runner and self._is_running(key):
            self._finalize(key, messages.Outcome.REFUSED, reason, successor)
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
            Any outcome but ``REFUSED``, which ``refuse`` records.
        answer : KeptAnswer or None
            Complete answer, kept if the limits allow.

        Returns
        -------
        Finished or Moved
            The recorded outcome; one that is already final is not
            replaced.
        """
        invariants.check(
            outcome is not messages.Outcome.REFUSED,
            "refusal_is_not_a_result",
            reason=reason,
        )
        self._evict_expired(now_ms)
        if self._is_running(key):
            self._finalize(key, outcome, reason, "")
            if answer is not None:
                self._answers.keep(key.serial, answer)
            return self._decision(key.serial)
        return self._late_result(key, reason)

    def inquire(
        self, key: messages.IssuedKey, now_ms: int
    ) -> messages.Decision:
        """Return the outcome of a key; one that has not run is refused.

        Returns
        -------
        Wait, Finished or Moved
            Never ``Run``. The refusal is recorded before it is returned,
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
        """Return the decision about a key; None if the key is new."""
        self._evict_expired(now_ms)
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
        """Return the recorded outcome; a refused key must have no result."""
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
        self._finalize(key, messages.Outcome.REFUSED, reason, successor)
        return self._decision(key.serial)

    def _insert(self, key: messages.IssuedKey, record: _Record) -> None:
        if len(self._records) >= self._limits.records:
            self._evict()
            self._evicted += 1
        self._records[key.serial] = record

    def _finalize(
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
        # There are few distinct reasons, but each decoded message has a new
        # string object.
        reason = sys.intern(reason)
        self._records[key.serial] = _Record(record.expires_ms, outcome, reason)
        self._running -= 1
        self._expiry_queue.push(record.expires_ms, key.serial)
        if successor:
            self._successors[key.serial] = successor

    def _evict_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._limits.retention_ms
        if oldest_ms > self._horizon_ms:
            self._advance_horizon(oldest_ms)
        for _ in range(EVICTIONS_PER_CALL):
            if not self._expiry_queue.is_due(oldest_ms):
                return
            self._evict()

    def _evict(self) -> None:
        """Evict the final record whose key expires first."""
        serial = self._expiry_queue.pop()
        record = self._records.pop(serial)
        invariants.check(
            record.outcome is not None,
            "running_record_is_kept",
            expires_ms=record.expires_ms,
        )
        self._successors.pop(serial, None)
        self._answers.remove(serial)
        self._advance_horizon(max(self._horizon_ms, record.expires_ms))

    def _advance_horizon(self, horizon_ms: int) -> None:
        invariants.check(
            horizon_ms >= self._horizon_ms,
            "horizon_never_goes_back",
            before=self._horizon_ms,
            after=horizon_ms,
        )
        self._horizon_ms = horizon_ms


class _ExpiryQueue:
    """Queue of the serials of final records, in slices of their expiry.

    A list for each slice takes 8 bytes a record; a heap entry for each record
    would take 80.
    """

    def __init__(self) -> None:
        self._slices: dict[int, list[bytes]] = {}
        self._slice_heap: list[int] = []

    def push(self, expires_ms: int, serial: bytes) -> None:
        slice_number = expires_ms // EXPIRY_SLICE_MS
        if slice_number not in self._slices:
            self._slices[slice_number] = []
            heapq.heappush(self._slice_heap, slice_number)
        self._slices[slice_number].append(serial)

    def is_due(self, oldest_ms: int) -> bool:
        """Tell whether the whole first slice expired before a time."""
        if not self._slice_heap:
            return False
        return (self._slice_heap[0] + 1) * EXPIRY_SLICE_MS <= oldest_ms

    def pop(self) -> bytes:
        first = self._slices[self._slice_heap[0]]
        serial = first.pop()
        if not first:
            del self._slices[heapq.heappop(self._slice_heap)]
        return serial


class _KeptAnswers:
    """Kept answers; the oldest are evicted for new ones."""

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
        size = _counted_bytes(answer)
        if len(answer.body) > self._limits.answer_bytes:
            return
        if size > self._limits.answers_bytes:
            return
        while self.bytes + size > self._limits.answers_bytes:
            _, oldest = self._kept.popitem(last=False)
            self.bytes -= _counted_bytes(oldest)
        self._kept[serial] = answer
        self.bytes += size

    def remove(self, serial: bytes) -> None:
        answer = self._kept.pop(serial, None)
        if answer is not None:
            self.bytes -= _counted_bytes(answer)


def _counted_bytes(answer: messages.KeptAnswer) -> int:
    """Return the number of bytes that count for an answer."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + ANSWER_OVERHEAD_BYTES


def _unknown(reason: str) -> messages.Finished:
    return messages.Finished(messages.Outcome.UNKNOWN, reason, None)
