"""Checks of the typed model of inventory and rules.

The INI reader and ``objects.decode`` share these checks, so that a
configuration from the store or from a peer passes the same checks as an
operator's file.
"""

import collections
from collections.abc import Iterable, Iterator
import re
from typing import NamedTuple

from clementinekeel.configuration import model
from clementinekeel.runtime import ini

MAX_RANK = 9
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_BITS_PER_S = 10**12
MAX_DEADLINE_MS = 110_000
"""Less than the 120 s that a stopping node has to end requests in flight."""
MAX_RETRY_ALLOWANCE = 8
MAX_RETRY_BUDGET_SHARE = 1.0
MAX_PATH_LENGTH = 256
MAX_SERVICES = 10_000
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
_PATH = re.compile(r"/[!-~]*")


class Problem(NamedTuple):
    """A fault in a section and option, without a file and line."""

    section: str
    option: str
    reason: str


def check_inventory(inventory: model.Inventory) -> list[Problem]:
    """Return all problems of an inventory."""
    problems = [*_check_zones(inventory.zones), *_check_links(inventory)]
    zones = {zone.name for zone in inventory.zones}
    services = inventory.services
    problems += _check_names("service", [s.name for s in services])
    endpoints = [e for service in services for e in service.endpoints]
    problems += _check_names("endpoint", [e.name for e in endpoints])
    if len(services) > MAX_SERVICES:
        reason = f"more than {MAX_SERVICES} services"
        problems.append(Problem("", "", reason))
    for service in services:
        for endpoint in service.endpoints:
            problems += _check_endpoint(endpoint, service.name, zones)
    return problems


def check_rules(rules: model.Rules, services: Iterable[str]) -> list[Problem]:
    """Return all problems of rules.

    Parameters
    ----------
    services : iterable of str
        Names of the services in the inventory.
    """
    ranks = {
        request_class.name: request_class.rank
        for request_class in rules.classes
    }
    problems = _check_names("class", [c.name for c in rules.classes])
    for request_class in rules.classes:
        section = f"class {request_class.name}"
        problems += _check_range(
            section, "rank", request_class.rank, 0, MAX_RANK
        )
    problems += _check_names("operation", [o.name for o in rules.operations])
    known = set(services)
    for operation in rules.operations:
        problems += _check_operation(operation, known, ranks)
    problems += _check_shadowed(rules.operations)
    return problems + list(_check_limits(rules, ranks))


def _check_names(kind: str, names: list[str]) -> list[Problem]:
    problems = [
        Problem(f"{kind} {name}", "", f"duplicate {kind}")
        for name, count in collections.Counter(names).items()
        if count > 1
    ]
    for name in names:
        try:
            ini.NAME.parse(name)
        except ValueError as error:
            problems.append(Problem(f"{kind} {name}", "", str(error)))
    return problems


def _check_range(
    section: str, option: str, value: float, low: float, high: float
) -> Iterator[Problem]:
    if not low <= value <= high:
        reason = f"{value:g} is not within {low:g} to {high:g}"
        yield Problem(section, option, reason)


def _check_zones(zones: tuple[model.Zone, ...]) -> Iterator[Problem]:
    yield from _check_names("zone", [zone.name for zone in zones])
    if not zones:
        yield Problem("", "", "no zone")
    for zone in zones:
        try:
            ini.NAME.parse(zone.region)
        except ValueError as error:
            yield Problem(f"zone {zone.name}", "region", str(error))


def _check_links(inventory: model.Inventory) -> Iterator[Problem]:
    regions = {zone.region for zone in inventory.zones}
    seen: set[tuple[str, ...]] = set()
    for link in inventory.links:
        section = f"link {' '.join(link.regions)}"
        pair = tuple(sorted(link.regions))
        if pair in seen:
            yield Problem(section, "", "duplicate link")
        seen.add(pair)
        if pair[0] == pair[1]:
            yield Problem(section, "", "joins a region to itself")
        for region in sorted(set(pair) - regions):
            yield Problem(section, "", f"no zone is in region {region!r}")
        yield from _check_range(
            section, "bits_per_s", link.bits_per_s, 1, MAX_BITS_PER_S
        )


def _check_endpoint(
    endpoint: model.EndpointSpec, service: str, zones: set[str]
) -> Iterator[Problem]:
    section = f"endpoint {endpoint.name}"
    if endpoint.service != service:
        reason = f"is listed under {service!r}, not {endpoint.service!r}"
        yield Problem(section, "service", reason)
    if endpoint.zone not in zones:
        yield Problem(section, "zone", f"unknown zone {endpoint.zone!r}")
    yield from _check_range(section, "slots", endpoint.slots, 1, MAX_SLOTS)
    connections = endpoint.connections
    yield from _check_range(
        section, "connections", connections, 1, MAX_CONNECTIONS
    )
    if connections < endpoint.slots:
        # Each running request occupies one connection.
        reason = f"{connections} is less than the {endpoint.slots} slots"
        yield Problem(section, "connections", reason)


def _check_operation(
    operation: model.Operation, services: set[str], ranks: dict[str, int]
) -> Iterator[Problem]:
    section = f"operation {operation.name}"
    if operation.service not in services:
        reason = f"unknown service {operation.service!r}"
        yield Problem(section, "service", reason)
    for method in operation.methods:
        if method not in METHODS:
            reason = f"{method!r} is none of: {', '.join(METHODS)}"
            yield Problem(section, "methods", reason)
    path = operation.path
    if len(path) > MAX_PATH_LENGTH or not _PATH.fullmatch(path):
        reason = f"{path!r} does not start with '/' or is too long"
        yield Problem(section, "path", reason)
    if operation.request_class not in ranks:
        reason = f"unknown class {operation.request_class!r}"
        yield Problem(section, "class", reason)
    elif operation.rank != ranks[operation.request_class]:
        reason = f"rank {operation.rank} is not the rank of its class"
        yield Problem(section, "class", reason)
    yield from _check_range(
        section, "deadline_ms", operation.deadline_ms, 1, MAX_DEADLINE_MS
    )


def _check_shadowed(
    operations: tuple[model.Operation, ...],
) -> Iterator[Problem]:
    first_operations: dict[tuple[str, str, str], str] = {}
    for operation in operations:
        for method in operation.methods or ("",):
            matched = (operation.service, method, operation.path)
            any_method = (operation.service, "", operation.path)
            earlier = first_operations.get(any_method)
            earlier = earlier or first_operations.setdefault(
                matched, operation.name
            )
            if earlier != operation.name:
                reason = f"operation {earlier!r} matches the same requests"
                yield Problem(f"operation {operation.name}", "path", reason)


def _check_limits(
    rules: model.Rules, ranks: dict[str, int]
) -> Iterator[Problem]:
    if rules.default_class not in ranks:
        reason = f"unknown class {rules.default_class!r}"
        yield Problem("limits", "default_class", reason)
    bounds = [
        ("default_deadline_ms", rules.default_deadline_ms, 1, MAX_DEADLINE_MS),
        ("retry_allowance", rules.retry_allowance, 0, MAX_RETRY_ALLOWANCE),
        (
            "retry_budget_share",
            rules.retry_budget_share,
            0,
            MAX_RETRY_BUDGET_SHARE,
        ),
    ]
    for option, value, low, high in bounds:
        yield from _check_range("limits", option, value, low, high)
