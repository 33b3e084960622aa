"""Transit delay of messages, relative to the fastest recent message.

When a narrow link between regions is congested, or its receiver was paused,
requests arrive more than a second after they were sent. The clocks of two VMs
are not synchronized, but their difference is constant: it cancels out when a
message is compared with the fastest message of the last seconds.
"""

WINDOW_S = 2.0
"""Length of a window. Messages are compared with the fastest one of the
current and the previous window. A pause of the sender shifts its clock; the
window bounds the time for which its messages then count as late."""


class DelayEstimator:
    """Estimates the transit delay of messages on one link."""

    def __init__(self) -> None:
        self._window_minimum = float("inf")
        self._previous_minimum = float("inf")
        self._window_end = 0.0

    def excess_ms(self, sent_ms: int, now: float) -> float:
        """Return by how much a message was slower than the fastest one.

        Parameters
        ----------
        sent_ms : int
            Time of sending on the sender's monotonic clock.
        now : float
            Time of arrival on this node's monotonic clock, in seconds.
        """
        difference = now * 1000 - sent_ms
        if now >= self._window_end:
            is_recent = now < self._window_end + WINDOW_S
            self._previous_minimum = (
                self._window_minimum if is_recent else float("inf")
            )
            self._window_minimum = difference
            self._window_end = now + WINDOW_S
        else:
            self._window_minimum = min(self._window_minimum, difference)
        return max(
            0.0, difference - min(self._window_minimum, self._previous_minimum)
        )
