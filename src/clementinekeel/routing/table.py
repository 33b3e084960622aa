"""Routes in force: which service handles a host and path, and how."""

from collections.abc import Mapping, Sequence
import enum
from typing import NamedTuple


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class Share(NamedTuple):
    """A service's share of the requests of a route."""

    service: str
    weight: int


class Route(NamedTuple):
    """One route.

    Attributes
    ----------
    prefix : str
        Beginning of the paths; begins and ends with a slash.
    shares : sequence of Share
        Services that handle the route, at least one.
    timeout_ms : int
        Longest time for which the operator wants a caller kept waiting.
    objective_ms : int
        Latency objective: an answer within it has its full benefit.
    max_attempts : int
        Most backend servers to which one attempt of a caller is sent.
    rank : int
        Importance; 0 is shed last.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    shares: Sequence[Share]
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    rank: int

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT


class CallerLimits(NamedTuple):
    """What a caller may send, and for how long it may be idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutingTable:
    """All routes of one version of the configuration.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : sequence of Route
        Routes in any order.
    health_paths : mapping
        Path of the health check, for each service.
    limits : CallerLimits
        Limits on callers.
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        health_paths: Mapping[str, str],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.limits = limits
        self.health_paths = health_paths
        self.routes = routes
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class WeightedChoice:
    """Deals the requests of split routes to services by their weights.

    Smooth weighted round robin: each window of as many requests as the sum of
    the weights has exactly the configured shares, so that small samples also
    do. Independent random draws would be off by several percent in a window of
    a few hundred requests.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[Sequence[Share], list[int]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that handles the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        held = self._credits.get(route.name)
        if held is None or held[0] != shares:
            held = (shares, [0] * len(shares))
            self._credits[route.name] = held
        credits = held[1]
        total = 0
        for index, share in enumerate(shares):
            credits[index] += share.weight
            total += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best].service
