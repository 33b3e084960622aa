"""Counters of dropped messages, with rate-limited logging."""

import collections

from clementinekeel.runtime import clock
from clementinekeel.runtime import log

LOG_INTERVAL_MS = 10_000
MAX_PEERS = 1_000
"""Peers whose last log time is kept."""


class DropLog:
    """Counts dropped messages and logs one per peer and interval."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._logged_ms: dict[str, int] = {}

    def record(self, peer: str, reason: str) -> None:
        """Count a dropped message.

        Parameters
        ----------
        peer : str
            Sender of the message.
        reason : str
            Why it was dropped. Drops are counted by its part before the
            first colon, at most 40 characters.
        """
        self.counts[reason.split(":")[0][:40]] += 1
        now = clock.now_ms()
        last = self._logged_ms.get(peer)
        if last is not None and now - last < LOG_INTERVAL_MS:
            return
        if len(self._logged_ms) >= MAX_PEERS:
            self._logged_ms.clear()
        self._logged_ms[peer] = now
        log.event(
            "message_dropped",
            level="WARNING",
            step="receive",
            peer=peer,
            reason=reason,
        )
