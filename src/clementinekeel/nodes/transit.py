"""How long a message was on its way beyond the usual time.

Load pattern answered: a narrow link between regions is full, or its receiver
was paused, and requests arrive more than a second after they were sent. The
clocks of two VMs are never compared; only the difference between them, which
is constant, is taken out by the fastest message of the last seconds.
"""

WINDOW_S = 2.0
"""Length of a window; the fastest message of the last two counts. A sender
that was paused has shifted its clock, which this forgets soon."""


class DelayEstimator:
    """Excess transit time of the messages of one link."""

    def __init__(self) -> None:
        self._best = float("inf")
        self._previous = float("inf")
        self._window_end = 0.0

    def excess_ms(self, sent_ms: int, now: float) -> float:
        """Return by how much a message was slower than the fastest.

        Parameters
        ----------
        sent_ms : int
            The sender's monotonic clock when it sent the message.
        now : float
            This node's monotonic clock, in seconds.
        """
        difference = now * 1000 - sent_ms
        if now >= self._window_end:
            is_recent = now < self._window_end + WINDOW_S
            self._previous = self._best if is_recent else float("inf")
            self._best = difference
            self._window_end = now + WINDOW_S
        else:
            self._best = min(self._best, difference)
        return max(0.0, difference - min(self._best, self._previous))
