"""State of one endpoint as seen by a router."""

from clementinekeel.routing import messages

# A reported load decays by half in this time, so that an endpoint that was
# busy gets requests again.
LOAD_HALF_LIFE_MS = 1_000
# A decayed load below this counts as 0. Otherwise an endpoint that was busy
# once would always lose to one that was never used.
LOAD_MIN = 0.01
# Load of an endpoint whose running and queued requests reach its concurrency
# limit.
FULL_LOAD = 1.0
# A reported level is valid for the reported delay, but for at least
# LEVEL_MIN_MS, which is a few round trips between regions, and for at most
# LEVEL_MAX_MS, so that an endpoint with a wrong level gets requests again.
LEVEL_MIN_MS = 250
LEVEL_MAX_MS = 5_000
# Share of the limit that one request in flight takes. Only the order of
# magnitude matters; 20 to 100 slots are usual.
IN_FLIGHT_LOAD = 0.02
# Cost of each recent failure, so that an endpoint with failures is the second
# choice already before it is ejected.
FAILURE_LOAD = 0.2


class EndpointState:
    """Load, level and failures of an endpoint, as seen by this router."""

    __slots__ = (
        "_load",
        "_load_ms",
        "admitted_rank",
        "candidate",
        "ejected_until_ms",
        "ejections",
        "failures",
        "in_flight",
        "is_leaving",
        "level_until_ms",
    )

    def __init__(self, candidate: messages.Candidate) -> None:
        self.candidate = candidate
        self.in_flight = 0
        self.is_leaving = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.admitted_rank = 0
        self.level_until_ms = 0
        self._load = 0.0
        self._load_ms = 0

    @property
    def node_key(self) -> tuple[str, int]:
        """Node id and incarnation."""
        return self.candidate.node_id, self.candidate.incarnation

    def load(self, now_ms: int) -> float:
        """Return the last reported load, decayed with its age."""
        if not self._load:
            return 0.0
        age_ms = max(0, now_ms - self._load_ms)
        decayed: float = self._load * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        return decayed if decayed >= LOAD_MIN else 0.0

    def cost(self, now_ms: int) -> float:
        """Return the cost of a choice, in units of load; lower is better."""
        in_flight_load = IN_FLIGHT_LOAD * self.in_flight
        return (
            self.load(now_ms) + in_flight_load + FAILURE_LOAD * self.failures
        )

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether the endpoint is ejected as an outlier."""
        return now_ms < self.ejected_until_ms

    def admits(self, rank: int, now_ms: int) -> bool:
        """Tell whether the endpoint admits a rank or its level has expired."""
        return rank <= self.admitted_rank or now_ms >= self.level_until_ms

    def has_capacity(self, now_ms: int) -> bool:
        """Tell whether a request would probably start without a wait."""
        return self.load(now_ms) < FULL_LOAD

    def set_level(
        self, observation: messages.Observation, now_ms: int
    ) -> None:
        """Store the load and level that an answer or a refusal reports."""
        self._load = observation.load
        self._load_ms = now_ms
        self.admitted_rank = observation.admitted_rank
        hint_ms = max(observation.retry_after_ms, LEVEL_MIN_MS)
        self.level_until_ms = now_ms + min(hint_ms, LEVEL_MAX_MS)
