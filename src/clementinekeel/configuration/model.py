"""Typed model of the inventory and the rules."""

import enum
from typing import NamedTuple


class Objective(enum.StrEnum):
    """Goal that a deployment prefers under overload."""

    GOODPUT = "goodput"
    RECOVERY_TIME = "recovery_time"


class Zone(NamedTuple):
    """An availability zone."""

    name: str
    region: str


class Link(NamedTuple):
    """Network link between two regions.

    Attributes
    ----------
    bits_per_s : int
        Capacity in each direction.
    """

    regions: tuple[str, str]
    bits_per_s: int


class EndpointSpec(NamedTuple):
    """One endpoint of a service, as the inventory states it.

    Attributes
    ----------
    slots : int
        Requests that its backend server runs at the same time.
    connections : int
        Connections that its backend server accepts.
    """

    name: str
    service: str
    zone: str
    slots: int
    connections: int


class ServiceSpec(NamedTuple):
    """A service and its endpoints."""

    name: str
    endpoints: tuple[EndpointSpec, ...]


class Inventory(NamedTuple):
    """All regions, zones, links and services of a deployment."""

    zones: tuple[Zone, ...]
    links: tuple[Link, ...]
    services: tuple[ServiceSpec, ...]


class RequestClass(NamedTuple):
    """A class of requests.

    Attributes
    ----------
    rank : int
        Priority under overload; requests of rank 0 are shed last.
    """

    name: str
    rank: int


class Operation(NamedTuple):
    """Rule for the requests to one service that match a method and path.

    Attributes
    ----------
    methods : tuple of str
        HTTP methods in upper case; empty matches every method.
    path : str
        Shell-style pattern of the path, for example ``/seats/*``.
    rank : int
        Rank of the request class.
    deadline_ms : int
        Time allowed for a request if its caller states no deadline, and the
        maximum that a caller may state.
    """

    name: str
    service: str
    methods: tuple[str, ...]
    path: str
    request_class: str
    rank: int
    idempotent: bool
    deadline_ms: int


class Rules(NamedTuple):
    """Rules of a deployment.

    Attributes
    ----------
    operations : tuple of Operation
        In order; the first that matches a request applies.
    default_class : str
        Class of requests that match no operation. Such requests are treated
        as not idempotent, because a repetition might do harm.
    retry_allowance : int
        Extra attempts that one request may cause in its whole call chain.
    retry_budget_share : float
        Retries of a node to a service, as a share of its first attempts.
    """

    classes: tuple[RequestClass, ...]
    operations: tuple[Operation, ...]
    default_class: str
    default_deadline_ms: int
    retry_allowance: int
    retry_budget_share: float
    objective: Objective


class Configuration(NamedTuple):
    """An accepted version of inventory and rules."""

    version: int
    change_id: str
    inventory: Inventory
    rules: Rules
