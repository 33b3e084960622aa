"""Decodes the operators' configuration in the users' store."""

from typing import Any, TypedDict

import msgspec
from returns import result

from clementinekeel.routing import table
from clementinekeel.runtime import errors

CONFIGURATION_KEY = "op/config"
MS_PER_S = 1000
HEX_BASE = 16


class _Split(TypedDict):
    service: str
    weight: int


class _RouteSpec(msgspec.Struct):
    host: str
    prefix: str
    # Whether requests may run more than once; not the protocol's type.
    route_type: table.Repeatability
    timeout_s: float
    max_attempts: int
    # Latency objective of one request; not an availability objective.
    slo_s: float = 0.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] | None = None


class _ServiceSpec(msgspec.Struct):
    health_path: str = ""


class _LimitsSpec(msgspec.Struct):
    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Entry(msgspec.Struct):
    entry_kind: str
    metadata: dict[str, Any]
    spec: msgspec.Raw


class _Body(msgspec.Struct):
    # Eight hexadecimal digits.
    version: str
    resources: list[_Entry]


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)


def _route(entry: _Entry) -> table.Route:
    spec = msgspec.json.decode(entry.spec, type=_RouteSpec)
    shares = [
        table.Share(part["service"], part["weight"])
        for part in spec.traffic_split or ()
    ]
    if spec.service is not None:
        shares = [table.Share(spec.service, 1)]
    if not shares:
        raise ValueError("a route names no service")
    return table.Route(
        name=str(entry.metadata.get("name", "")),
        host=spec.host,
        prefix=spec.prefix,
        repeatability=spec.route_type,
        shares=tuple(shares),
        timeout_ms=_ms(spec.timeout_s),
        objective_ms=_ms(spec.slo_s or spec.timeout_s),
        max_attempts=spec.max_attempts,
        rank=spec.priority,
    )


def _limits(entry: _Entry) -> table.CallerLimits:
    spec = msgspec.json.decode(entry.spec, type=_LimitsSpec)
    return table.CallerLimits(
        header_bytes=spec.header_bytes,
        body_bytes=spec.body_bytes,
        header_timeout_ms=_ms(spec.header_timeout_s),
        idle_timeout_ms=_ms(spec.idle_timeout_s),
    )


def decode_configuration(
    content: bytes,
) -> result.Result[table.RoutingTable, errors.StepError]:
    """Decode the value of the configuration's key.

    Parameters
    ----------
    content : bytes
        JSON as the operator wrote it.

    Returns
    -------
    Result
        The routes, or an error that names the faulty field.
    """
    try:
        return result.Success(_decode(content))
    except (msgspec.DecodeError, ValueError) as error:
        return result.Failure(
            errors.StepError("decode configuration", "store", str(error))
        )


def _decode(content: bytes) -> table.RoutingTable:
    body = msgspec.json.decode(content, type=_Body)
    routes: list[table.Route] = []
    health_paths: dict[str, str] = {}
    limits = table.CallerLimits()
    for entry in body.resources:
        if entry.entry_kind == "routes":
            routes.append(_route(entry))
        elif entry.entry_kind == "services":
            spec = msgspec.json.decode(entry.spec, type=_ServiceSpec)
            health_paths[str(entry.metadata["name"])] = spec.health_path
        elif entry.entry_kind == "limits":
            limits = _limits(entry)
    return table.RoutingTable(
        int(body.version, HEX_BASE), routes, health_paths, limits
    )
