"""The rate limit of a backend server, from what its answers state.

Answers overtake each other, and one that was begun before a limit was stated
may arrive after the statement. A lower limit applies at once. A higher one, or
none, applies only if it is stated in the answer to a request that was sent
after the present limit was last stated.
"""


class StatedLimit:
    """Rate limit of one incarnation of a backend server.

    Parameters
    ----------
    started_at : float
        When the incarnation became known, in seconds of the runtime's clock;
        answers to earlier requests are not its own.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._stated_at = started_at
        self._limit_per_s: float | None = None
        self._has_answered = False

    @property
    def has_answered(self) -> bool:
        """Whether an answer of the incarnation has arrived."""
        return self._has_answered

    @property
    def limit_per_s(self) -> float | None:
        """Limit in requests a second; None for no limit."""
        return self._limit_per_s

    def on_answer(
        self, stated_per_s: float | None, sent_at: float, now: float
    ) -> None:
        """Apply what an answer states.

        Parameters
        ----------
        stated_per_s : float or None
            Limit in requests a second; None if the answer states none.
        sent_at : float
            When the request of the answer was sent.
        now : float
            The runtime's clock, in seconds.
        """
        if sent_at < self._started_at:
            return
        self._has_answered = True
        self._apply(stated_per_s, sent_at, now)

    def on_earlier_statement(self, stated_per_s: float, now: float) -> None:
        """Apply a limit that another node knows, until the first answer."""
        if not self._has_answered:
            self._apply(stated_per_s, self._started_at, now)

    def _apply(
        self, stated_per_s: float | None, sent_at: float, now: float
    ) -> None:
        present_per_s = self._limit_per_s
        if stated_per_s is None:
            is_lower = present_per_s is None
        else:
            is_lower = present_per_s is None or stated_per_s <= present_per_s
        if is_lower or sent_at > self._stated_at:
            self._limit_per_s = stated_per_s
            self._stated_at = now
