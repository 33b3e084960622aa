"""Results that were sent lately, in case their link had gone silent.

A result that was written to a silent connection never arrives, and its sender
can't tell. The other node asks for it on the link that takes its place.
"""

import collections
from typing import NamedTuple

from clementinekeel.nodes import frames

MAX_AGE_S = 4.0
"""A silent link is tested within ``liveness.IDLE_PROBE_S`` and replaced within
a second, or given up after ``liveness.SILENCE_TIMEOUT_S``."""
MAX_BYTES = 1024 * 1024
"""Bytes kept for each link; at 125 requests a second and 5 KB an answer, a
node sends 2.5 MB in ``MAX_AGE_S`` over all its links."""

Result = frames.Answer | frames.AnswerPart | frames.Refusal | frames.Failure


class SentFrame(NamedTuple):
    """An encoded frame of a result.

    Attributes
    ----------
    is_first : bool
        Whether it is the first frame of its result.
    """

    stream: int
    is_first: bool
    data: bytes
    sent_at: float


class ResultMemory:
    """The encoded frames of results, in the order of sending."""

    def __init__(self) -> None:
        self._sent: collections.deque[SentFrame] = collections.deque()
        self._bytes = 0

    def record(self, frame: Result, data: bytes, now: float) -> None:
        """Keep a frame that is sent at ``now``, in seconds."""
        is_first = not isinstance(frame, frames.AnswerPart)
        self.add(SentFrame(frame.stream, is_first, data, now))

    def add(self, sent: SentFrame) -> None:
        """Keep a frame, and forget those beyond the bounds."""
        self._sent.append(sent)
        self._bytes += len(sent.data)
        while self._bytes > MAX_BYTES:
            self._forget_first()
        self.forget_older(sent.sent_at)

    def forget_older(self, now: float) -> None:
        """Forget frames that were sent more than ``MAX_AGE_S`` before."""
        while self._sent and self._sent[0].sent_at < now - MAX_AGE_S:
            self._forget_first()

    def recall(self, stream: int) -> list[SentFrame]:
        """Return all frames of a result; none if a part is missing."""
        found = [sent for sent in self._sent if sent.stream == stream]
        return found if found and found[0].is_first else []

    def _forget_first(self) -> None:
        self._bytes -= len(self._sent.popleft().data)
