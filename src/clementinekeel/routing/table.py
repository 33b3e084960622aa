"""Routing table: which service handles a host and path, and how."""

from collections.abc import Mapping, Sequence
import enum
from typing import NamedTuple


class RouteType(enum.Enum):
    """Type of a route; only idempotent requests may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class Share(NamedTuple):
    """Share of the requests of a route that a service handles.

    Attributes
    ----------
    weight : int
        The share, relative to the sum of the weights of the route.
    """

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of a host with a common path prefix, and their handling.

    Attributes
    ----------
    prefix : str
        Prefix of the paths; starts and ends with a slash.
    shares : sequence of Share
        Services that handle the route, at least one.
    timeout_ms : int
        Longest time that a caller may wait for an answer.
    objective_ms : int
        Latency objective; a faster answer has no further benefit.
    max_attempts : int
        Maximum number of times that one request of a caller may run.
    rank : int
        Importance; 0 is shed last.
    """

    name: str
    host: str
    prefix: str
    route_type: RouteType
    shares: Sequence[Share]
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    rank: int

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.route_type is RouteType.IDEMPOTENT


class CallerLimits(NamedTuple):
    """Limits on the requests of a caller and on its idle time."""

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
        Path of the health check, by service.
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
    """Distributes the requests of split routes to services by weight.

    Smooth weighted round robin: each window of as many requests as the sum of
    the weights has exactly the configured shares, so that small samples are
    close to them too. Independent random draws would be off by several percent
    in a window of a few hundred requests.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[Sequence[Share], list[int]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that handles the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        split = self._credits.get(route.name)
        if split is None or split[0] != shares:
            split = (shares, [0] * len(shares))
            self._credits[route.name] = split
        credits = split[1]
        total = 0
        for index, share in enumerate(shares):
            credits[index] += share.weight
            total += share.weight
        chosen = max(range(len(shares)), key=credits.__getitem__)
        credits[chosen] -= total
        return shares[chosen].service
