"""Limiter without adaptation, for comparison."""

from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model


@limiter.LIMITERS.register("fixed")
class FixedLimiter:
    """Baseline: the limit is always the number of slots."""

    def __init__(
        self, slots: int, objective: model.Objective, now_ms: int
    ) -> None:
        self._slots = slots

    @property
    def limit(self) -> float:
        """Number of slots."""
        return float(self._slots)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots and with it the limit."""
        self._slots = slots

    def on_finished(self, sample: limiter.Sample, now_ms: int) -> None:
        """Ignore the sample."""
