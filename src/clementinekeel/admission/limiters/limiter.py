"""Interface and registry of the concurrency limiters."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from clementinekeel.configuration import model
from clementinekeel.runtime import registry


class Sample(NamedTuple):
    """One finished request.

    Attributes
    ----------
    service_ms : float
        Time for which it held its slot.
    running : int
        Requests that held a slot just before it finished.
    is_limited : bool
        Whether the limit was in use, so that raising it may help.
    rank : int
        Rank of the request, because ranks differ in their service times.
    """

    ok: bool
    service_ms: float
    running: int
    is_limited: bool
    rank: int = 0


class Limiter(Protocol):
    """Adapts a concurrency limit to what the backend server can take."""

    @property
    def limit(self) -> float:
        """Present limit, between 1 and the slots."""

    def set_slots(self, slots: int) -> None:
        """Change the upper bound of the limit."""

    def on_finished(self, sample: Sample, now_ms: int) -> None:
        """Learn from a finished request."""


LimiterFactory = Callable[[int, model.Objective, int], Limiter]

LIMITERS: registry.Registry[LimiterFactory] = registry.Registry("limiter")
