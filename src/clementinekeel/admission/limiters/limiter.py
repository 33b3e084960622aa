"""Interface and registry of the concurrency limiters."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from clementinekeel.configuration import model
from clementinekeel.runtime import registry


class Sample(NamedTuple):
    """One finished request.

    Attributes
    ----------
    ok : bool
        Whether the backend server served the request in time.
    service_ms : float
        Time for which the request held its slot.
    running : int
        Requests that held a slot just before this one finished.
    is_limited : bool
        Whether the limit was in use, so that a higher one may help.
    rank : int
        Rank of the request, because ranks differ in their service times.
    """

    ok: bool
    service_ms: float
    running: int
    is_limited: bool
    rank: int = 0


class Limiter(Protocol):
    """Adapts a concurrency limit to the capacity of the backend server."""

    @property
    def limit(self) -> float:
        """Current limit, between 1 and the number of slots."""

    def set_slots(self, slots: int) -> None:
        """Change the upper bound of the limit."""

    def on_finished(self, sample: Sample, now_ms: int) -> None:
        """Adapt the limit to a finished request."""


LimiterFactory = Callable[[int, model.Objective, int], Limiter]

LIMITERS: registry.Registry[LimiterFactory] = registry.Registry("limiter")
