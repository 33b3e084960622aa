"""Time that requests of each rank usually have left until their deadline."""

from clementinekeel.admission import messages

# The mean follows about the last 20 requests.
SAMPLE_WEIGHT = 0.05
# Remaining times above this share of the mean are usual, because part of the
# time to the deadline is lost on the way to this node.
USUAL_SHARE = 0.8


class RemainingTimes:
    """Tells a tight deadline of one caller from the usual one of its rank."""

    def __init__(self) -> None:
        self._mean_ms: dict[int, float] = {}

    def add(self, offer: messages.Offer, now_ms: int) -> None:
        """Add the remaining time of an offer to the mean of its rank."""
        remaining_ms = max(0.0, offer.expires_ms - now_ms)
        mean_ms = self._mean_ms.setdefault(offer.rank, remaining_ms)
        mean_ms += SAMPLE_WEIGHT * (remaining_ms - mean_ms)
        self._mean_ms[offer.rank] = mean_ms

    def is_usual(self, offer: messages.Offer, now_ms: int) -> bool:
        """Tell whether an offer has as much time as most of its rank."""
        mean_ms = self._mean_ms.get(offer.rank, 0.0)
        return offer.expires_ms - now_ms >= USUAL_SHARE * mean_ms
