"""Choice of the endpoint for each attempt of a request."""

from collections.abc import Callable, Iterator
import random as random_module

from clementinekeel.routing import _endpoint
from clementinekeel.routing import _service
from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.runtime import invariants

# Share of the requests that are sent although every endpoint refuses their
# rank, so that recovery is noticed before the hints run out.
PROBE_SHARE = 0.01
RETRY_MIN_MS = 100

Excluded = frozenset[tuple[str, int]]
IsUsable = Callable[[_endpoint.EndpointState], bool]


class Router:
    """Chooses endpoints by distance, load and health.

    Each choice and each claim is followed by exactly one ``observe`` of the
    candidate.

    Parameters
    ----------
    zone, region : str
        Where this node is.
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
        self._factory = balancers.BALANCERS.get(balancer)
        self._services: dict[str, _service.Service] = {}

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
            Complete present list; an empty one removes the service.
        """
        if not candidates:
            self._services.pop(service, None)
            return
        state = self._services.get(service)
        if state is None:
            state = _service.Service(
                self._zone,
                self._region,
                self._random,
                self._factory(self._random),
            )
            self._services[service] = state
        state.update(candidates, now_ms)

    def choose(
        self, service: str, rank: int, now_ms: int, exclude: Excluded
    ) -> messages.Candidate | messages.NoTarget:
        """Choose the endpoint for an attempt.

        Parameters
        ----------
        exclude : frozenset of (str, int)
            Node id and incarnation of the nodes that this request has tried.
        """
        state = self._services.get(service)
        if state is None:
            return messages.NoTarget("unknown_service", 0)

        def is_usable(entry: _endpoint.EndpointState) -> bool:
            if entry.is_leaving or entry.is_ejected(now_ms):
                return False
            return not exclude or entry.key not in exclude

        chosen = _choose_admitting(state, rank, now_ms, is_usable)
        if chosen is None:
            usable = [entry for entry in state.endpoints if is_usable(entry)]
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
        """Count an attempt at an endpoint that was not chosen here.

        The owner of an idempotency key is named by the key.
        """
        service = self._services.get(candidate.service)
        state = service.find(candidate) if service else None
        if state is not None:
            state.in_flight += 1

    def observe(
        self,
        candidate: messages.Candidate,
        observation: messages.Observation,
        now_ms: int,
    ) -> None:
        """Learn from the end of an attempt.

        A candidate that has been removed in the meantime is ignored.
        """
        service = self._services.get(candidate.service)
        state = service.find(candidate) if service else None
        if service is None or state is None:
            return
        # A candidate that was removed and listed again starts at 0.
        state.in_flight = max(0, state.in_flight - 1)
        match observation.signal:
            case messages.Signal.ANSWERED | messages.Signal.REFUSED:
                service.recover(state)
                state.set_level(observation, now_ms)
            case messages.Signal.LEAVING:
                service.leave(state, now_ms)
            case messages.Signal.FAILED:
                service.fail(state, False, now_ms)
            case messages.Signal.UNREACHABLE:
                service.fail(state, True, now_ms)
            case messages.Signal.CANCELLED:
                pass


def _choose_admitting(
    service: _service.Service, rank: int, now_ms: int, is_usable: IsUsable
) -> _endpoint.EndpointState | None:
    def admits(entry: _endpoint.EndpointState) -> bool:
        return is_usable(entry) and entry.admits(rank, now_ms)

    def has_room(entry: _endpoint.EndpointState) -> bool:
        return admits(entry) and entry.has_room(now_ms)

    for tier, is_wanted in _preferences(service, has_room, admits):
        chosen = service.balancer.pick(tier, is_wanted, now_ms)
        if chosen is not None:
            return chosen
    return None


def _preferences(
    service: _service.Service, has_room: IsUsable, admits: IsUsable
) -> Iterator[tuple[_service.Tier, IsUsable]]:
    # A full endpoint of the own region still comes before another region: it
    # can serve the request, and the link between regions is narrow.
    yield service.in_zone, has_room
    yield service.in_region, has_room
    yield service.in_zone, admits
    yield service.in_region, admits
    yield service.remote, has_room
    yield service.remote, admits


def _overload(usable: _service.Tier, now_ms: int) -> messages.NoTarget:
    earliest_ms = min(entry.level_until_ms for entry in usable)
    return messages.NoTarget(
        "overload", max(earliest_ms - now_ms, RETRY_MIN_MS)
    )
