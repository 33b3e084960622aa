"""Choice of the endpoint for each attempt of a request."""

from collections.abc import Callable, Iterator
import random as random_module

from clementinekeel.routing import _endpoint
from clementinekeel.routing import _service
from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.runtime import invariants

# Share of the requests that are sent as probes although every endpoint refuses
# their rank, so that recovery is noticed before the reported levels expire.
PROBE_SHARE = 0.01
RETRY_MIN_MS = 100

ExcludedNodes = frozenset[tuple[str, int]]
IsUsable = Callable[[_endpoint.EndpointState], bool]


class Router:
    """Chooses endpoints by distance, load and health.

    Each successful ``choose`` and each ``record_attempt`` has to be followed
    by exactly one ``observe`` of the candidate.

    Parameters
    ----------
    zone, region : str
        Zone and region of this node.
    random : random.Random
        Source of the random choices.
    balancer : str
        Registered name of the balancer.

    Raises
    ------
    UnknownNameError
        If no balancer has that name.
    """

    def __init__(
        self,
        zone: str,
        region: str,
        random: random_module.Random,
        balancer: str = "two_choices",
    ) -> None:
        self._zone = zone
        self._region = region
        self._random = random
        self._make_balancer = balancers.BALANCERS.get(balancer)
        self._services: dict[str, _service.ServiceState] = {}

    @property
    def services(self) -> list[str]:
        """Names of the services with endpoints, sorted."""
        return sorted(self._services)

    def update(
        self, service: str, candidates: list[messages.Candidate], now_ms: int
    ) -> None:
        """Replace the endpoints of a service.

        Parameters
        ----------
        candidates : list of Candidate
            Complete current list; an empty list removes the service.
        """
        if not candidates:
            self._services.pop(service, None)
            return
        service_state = self._services.get(service)
        if service_state is None:
            service_state = _service.ServiceState(
                self._zone,
                self._region,
                self._random,
                self._make_balancer(self._random),
            )
            self._services[service] = service_state
        service_state.update(candidates, now_ms)

    def choose(
        self, service: str, rank: int, now_ms: int, exclude: ExcludedNodes
    ) -> messages.Candidate | messages.NoTarget:
        """Choose the endpoint for an attempt.

        Parameters
        ----------
        exclude : frozenset of (str, int)
            Node id and incarnation of the nodes already tried for the request.
        """
        service_state = self._services.get(service)
        if service_state is None:
            return messages.NoTarget("unknown_service", 0)

        def is_usable(endpoint: _endpoint.EndpointState) -> bool:
            if endpoint.is_leaving or endpoint.is_ejected(now_ms):
                return False
            return not exclude or endpoint.node_key not in exclude

        chosen = _choose_admitting(service_state, rank, now_ms, is_usable)
        if chosen is None:
            usable = [e for e in service_state.endpoints if is_usable(e)]
            if not usable:
                return messages.NoTarget("no_endpoint", RETRY_MIN_MS)
            if self._random.random() >= PROBE_SHARE:
                return _overload(usable, now_ms)
            chosen = self._random.choice(usable)
        invariants.check(
            is_usable(chosen),
            "routing_target_usable",
            endpoint=chosen.candidate.endpoint,
        )
        chosen.in_flight += 1
        return chosen.candidate

    def record_attempt(self, candidate: messages.Candidate) -> None:
        """Count an attempt at an endpoint that ``choose`` did not return.

        A request that repeats an idempotency key goes to the owner of the
        key, which the key names.
        """
        service_state = self._services.get(candidate.service)
        endpoint = service_state.find(candidate) if service_state else None
        if endpoint is not None:
            endpoint.in_flight += 1

    def observe(
        self,
        candidate: messages.Candidate,
        observation: messages.Observation,
        now_ms: int,
    ) -> None:
        """Update the state of an endpoint at the end of an attempt.

        Candidates that have been removed in the meantime are ignored.
        """
        service_state = self._services.get(candidate.service)
        endpoint = service_state.find(candidate) if service_state else None
        if service_state is None or endpoint is None:
            return
        # A candidate that was removed and listed again starts at 0.
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        match observation.signal:
            case messages.Signal.ANSWERED | messages.Signal.REFUSED:
                service_state.on_answer(endpoint)
                endpoint.set_level(observation, now_ms)
            case messages.Signal.LEAVING:
                service_state.on_leaving(endpoint, now_ms)
            case messages.Signal.FAILED:
                service_state.on_failure(endpoint, False, now_ms)
            case messages.Signal.UNREACHABLE:
                service_state.on_failure(endpoint, True, now_ms)
            case messages.Signal.CANCELLED:
                pass


def _choose_admitting(
    service: _service.ServiceState, rank: int, now_ms: int, is_usable: IsUsable
) -> _endpoint.EndpointState | None:
    def admits(endpoint: _endpoint.EndpointState) -> bool:
        return is_usable(endpoint) and endpoint.admits(rank, now_ms)

    def has_capacity(endpoint: _endpoint.EndpointState) -> bool:
        return admits(endpoint) and endpoint.has_capacity(now_ms)

    for tier, is_preferred in _preferences(service, has_capacity, admits):
        chosen = service.balancer.pick(tier, is_preferred, now_ms)
        if chosen is not None:
            return chosen
    return None


def _preferences(
    service: _service.ServiceState, has_capacity: IsUsable, admits: IsUsable
) -> Iterator[tuple[_service.Endpoints, IsUsable]]:
    # A full endpoint of this region is preferred to another region: it can
    # serve the request after a wait, and the link between regions is narrow.
    yield service.in_zone, has_capacity
    yield service.in_region, has_capacity
    yield service.in_zone, admits
    yield service.in_region, admits
    yield service.remote, has_capacity
    yield service.remote, admits


def _overload(usable: _service.Endpoints, now_ms: int) -> messages.NoTarget:
    earliest_ms = min(e.level_until_ms for e in usable)
    return messages.NoTarget(
        "overload", max(earliest_ms - now_ms, RETRY_MIN_MS)
    )
