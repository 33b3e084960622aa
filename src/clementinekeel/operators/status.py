"""Reports of a node to operators, and the interface that provides them."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypedDict

from returns import result


class MemberCount(TypedDict):
    """Members of one zone in one state, as the node sees them."""

    zone: str
    state: str
    members: int


class Status(TypedDict):
    """State of one node.

    ``incarnation`` is hexadecimal, because JSON readers may round 64-bit
    numbers. ``newest_version`` is the newest configuration version that the
    node has heard of; ``configuration_fault`` states why the node does not use
    that version. ``level`` is the least important rank that is admitted.
    ``relays`` are the node ids of the relays of the node's zone. ``records``
    is the number of records of issued keys.
    """

    node: str
    zone: str
    region: str
    incarnation: str
    version: str
    configuration_version: int
    newest_version: int
    configuration_fault: str
    state: str
    service: str
    endpoint: str
    slots: int
    limit: int
    running: int
    queued: int
    level: int
    relays: list[str]
    members: list[MemberCount]
    unreachable_zones: list[str]
    sessions: int
    records: int
    counters: dict[str, int]


class EndpointStatus(TypedDict):
    """An endpoint and its node, from the directory of the reporting node."""

    service: str
    endpoint: str
    zone: str
    region: str
    state: str
    node: str
    address: str
    configuration_version: int


class Fleet(TypedDict):
    """All endpoints that a node knows."""

    node: str
    newest_version: int
    unreachable_zones: list[str]
    endpoints: list[EndpointStatus]


class RequestStep(TypedDict):
    """One decision about a request; ``at_ms`` is measured from its arrival."""

    at_ms: int
    step: str
    peer: str
    decision: str
    reason: str


class RequestReport(TypedDict):
    """Why a request ended as it did."""

    request_id: str
    service: str
    operation: str
    request_class: str
    rank: int
    idempotent: bool
    outcome: str
    steps: list[RequestStep]


class Sample(NamedTuple):
    """Value of a metric when read; ``name`` as in ``metrics.METRICS``."""

    name: str
    value: float
    labels: Mapping[str, str] = {}


class NodeStatus(Protocol):
    """Interface that the admin API requires of the daemon."""

    def status(self) -> Status:
        """Return the state of the node."""

    def samples(self) -> Iterable[Sample]:
        """Return the values of all metrics."""

    def fleet(self) -> Fleet:
        """Return the endpoints that the node knows."""

    def request_report(self, request_id: str) -> RequestReport | None:
        """Return the decisions about a request, or None if none are kept."""

    async def drain(self) -> result.Result[None, str]:
        """Stop accepting new work; a failure states why it is not possible."""

    async def undrain(self) -> result.Result[None, str]:
        """Accept new work again; a failure states why it is not possible."""
