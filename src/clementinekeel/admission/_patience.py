"""Time that the callers of each rank usually wait."""

from clementinekeel.admission import messages

# Follows about the last 20 requests.
SAMPLE_WEIGHT = 0.05
# Times up to this share of the mean are usual: time is lost on the way here.
USUAL_SHARE = 0.8


class Patience:
    """Tells a tight deadline of one caller from the usual one of a rank."""

    def __init__(self) -> None:
        self._mean_ms: dict[int, float] = {}

    def add(self, offer: messages.Offer, now_ms: int) -> None:
        """Learn from an offer."""
        patience_ms = max(0.0, offer.expires_ms - now_ms)
        mean_ms = self._mean_ms.setdefault(offer.rank, patience_ms)
        mean_ms += SAMPLE_WEIGHT * (patience_ms - mean_ms)
        self._mean_ms[offer.rank] = mean_ms

    def is_usual(self, offer: messages.Offer, now_ms: int) -> bool:
        """Tell whether the caller waits as long as most of its rank."""
        mean_ms = self._mean_ms.get(offer.rank, 0.0)
        return offer.expires_ms - now_ms >= USUAL_SHARE * mean_ms
