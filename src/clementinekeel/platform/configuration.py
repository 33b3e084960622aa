"""Decodes the configuration that the operators write to the users' store."""

from collections.abc import Iterator
from typing import Any, TypedDict, TypeVar

import msgspec
from returns import result

from clementinekeel.routing import table
from clementinekeel.runtime import decoding
from clementinekeel.runtime import errors

CONFIGURATION_KEY = "op/config"
MS_PER_S = 1000
HEX_BASE = 16

T = TypeVar("T")


class _Split(TypedDict):
    service: str
    weight: decoding.Count


class _RouteSpec(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # Whether requests may run more than once; not a protocol.
    route_type: table.RouteType
    timeout_s: decoding.DurationS
    max_attempts: decoding.Count
    # Latency objective of one request; not an availability objective.
    slo_s: decoding.DurationS = 0.0
    priority: decoding.Count = 0
    service: str | None = None
    traffic_split: list[_Split] | None = None


class _ServiceSpec(msgspec.Struct):
    name: str
    health_path: decoding.Token = ""


class _LimitsSpec(msgspec.Struct):
    header_bytes: decoding.Number
    body_bytes: decoding.Number
    header_timeout_s: decoding.DurationS
    idle_timeout_s: decoding.DurationS


class _Table(msgspec.Struct):
    # Names of the fields, once for all rows. Null in a row means not given.
    columns: list[str]
    rows: list[list[Any]]


class _Body(msgspec.Struct):
    # Eight hexadecimal digits.
    version: str
    routes: _Table
    services: _Table
    limits: _LimitsSpec


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)


def _rows(content: _Table, row_type: type[T]) -> Iterator[T]:
    for row in content.rows:
        fields = zip(content.columns, row, strict=True)
        yield msgspec.convert(
            {k: v for k, v in fields if v is not None}, row_type
        )


def _route(spec: _RouteSpec) -> table.Route:
    shares = [
        table.Share(part["service"], part["weight"])
        for part in spec.traffic_split or ()
    ]
    if spec.service is not None:
        shares = [table.Share(spec.service, 1)]
    if not shares:
        raise ValueError("a route names no service")
    return table.Route(
        name=spec.name,
        host=spec.host,
        prefix=spec.prefix,
        route_type=spec.route_type,
        shares=tuple(shares),
        timeout_ms=_ms(spec.timeout_s),
        objective_ms=_ms(spec.slo_s or spec.timeout_s),
        max_attempts=spec.max_attempts,
        rank=spec.priority,
    )


def _limits(spec: _LimitsSpec) -> table.CallerLimits:
    return table.CallerLimits(
        header_bytes=spec.header_bytes,
        body_bytes=spec.body_bytes,
        header_timeout_ms=_ms(spec.header_timeout_s),
        idle_timeout_ms=_ms(spec.idle_timeout_s),
    )


def decode_configuration(
    content: bytes,
) -> result.Result[table.RoutingTable, errors.StepError]:
    """Decode the value of the key ``CONFIGURATION_KEY``.

    Parameters
    ----------
    content : bytes
        JSON as the operator wrote it.

    Returns
    -------
    Result
        The routing table, or an error that names the faulty field.
    """
    try:
        return result.Success(_decode(content))
    except (msgspec.ValidationError, ValueError) as error:
        return result.Failure(
            errors.StepError("decode configuration", "store", str(error))
        )


def _decode(content: bytes) -> table.RoutingTable:
    body = decoding.decode_json(content, _Body)
    services = _rows(body.services, _ServiceSpec)
    return table.RoutingTable(
        int(body.version, HEX_BASE),
        [_route(spec) for spec in _rows(body.routes, _RouteSpec)],
        {spec.name: spec.health_path for spec in services},
        _limits(body.limits),
    )
