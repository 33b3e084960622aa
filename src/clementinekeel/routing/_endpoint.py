"""What a router knows about one endpoint."""

from clementinekeel.routing import messages

# Load figures count half after this time without a new answer, so that an
# endpoint that was busy is asked again.
LOAD_HALF_LIFE_MS = 1_000
# A faded figure below this no longer distinguishes two endpoints. Without it
# an endpoint that was busy once would lose to an unused one for ever.
LOAD_NEGLIGIBLE = 0.01
# Requests running and queued at the concurrency limit.
FULL_LOAD = 1.0
# A reported level is believed for at least this long, which is a few round
# trips between regions, and at most for the second value, so that an
# endpoint with a wrong hint is asked again.
LEVEL_MIN_MS = 250
LEVEL_MAX_MS = 5_000
# Share of the limit that one request in flight takes; 20 to 100 slots are
# usual. A choice needs only its order of magnitude.
IN_FLIGHT_LOAD = 0.02
# Makes an endpoint with failures the second choice before it is ejected.
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
    def key(self) -> tuple[str, int]:
        """Node id and incarnation."""
        return self.candidate.node_id, self.candidate.incarnation

    def load(self, now_ms: int) -> float:
        """Return the last reported load, faded with its age."""
        if not self._load:
            return 0.0
        age_ms = max(0, now_ms - self._load_ms)
        faded: float = self._load * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        return faded if faded >= LOAD_NEGLIGIBLE else 0.0

    def score(self, now_ms: int) -> float:
        """Return a figure that is lower for a better choice."""
        own = IN_FLIGHT_LOAD * self.in_flight
        return self.load(now_ms) + own + FAILURE_LOAD * self.failures

    def is_ejected(self, now_ms: int) -> bool:
        """Tell whether the endpoint is ejected as an outlier."""
        return now_ms < self.ejected_until_ms

    def admits(self, rank: int, now_ms: int) -> bool:
        """Tell whether the endpoint is thought to admit a rank."""
        return rank <= self.admitted_rank or now_ms >= self.level_until_ms

    def has_room(self, now_ms: int) -> bool:
        """Tell whether a request would probably not wait."""
        return self.load(now_ms) < FULL_LOAD

    def set_level(
        self, observation: messages.Observation, now_ms: int
    ) -> None:
        """Take over what an answer or a refusal reports."""
        self._load = observation.load
        self._load_ms = now_ms
        self.admitted_rank = observation.admitted_rank
        hint_ms = max(observation.retry_after_ms, LEVEL_MIN_MS)
        self.level_until_ms = now_ms + min(hint_ms, LEVEL_MAX_MS)
