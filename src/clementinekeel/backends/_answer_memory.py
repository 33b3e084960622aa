"""Memory for answers that are being received on all connections of a pool."""

from typing import Protocol


class AnswerHolder(Protocol):
    """Connection that holds the received part of an answer."""

    def fail_answer(self, reason: str) -> None:
        """Close the connection; its request fails."""


class AnswerMemory:
    """Bounds the bytes of all incomplete answers together.

    Backend servers that send without end would fill the memory on many
    connections at once, although each answer is bounded. The longest answer
    fails first, so that ordinary ones are still received.

    Parameters
    ----------
    limit_bytes : int
        Largest number of bytes held.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[AnswerHolder, int] = {}
        self._total = 0

    def add(self, holder: AnswerHolder, size: int) -> None:
        """Count received bytes; the longest answer may fail."""
        self._held[holder] = self._held.get(holder, 0) + size
        self._total += size
        if self._total > self._limit_bytes:
            longest = max(self._held, key=self._held.__getitem__)
            longest.fail_answer("answers too long")

    def release(self, holder: AnswerHolder) -> None:
        """Forget the bytes of an answer that is complete or failed."""
        self._total -= self._held.pop(holder, 0)
