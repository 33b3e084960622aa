"""The decoder of the operators' configuration."""

import json

import pytest
from returns import pipeline

from clementinekeel.platform import configuration
from clementinekeel.routing import table
from tests.sidecar import odd_content

ROUTE = {
    "name": "r1",
    "host": "h",
    "prefix": "/a/",
    "route_type": "non_idempotent",
    "timeout_s": 1.5,
    "slo_s": 0.8,
    "priority": 2,
    "service": "s",
    "max_attempts": 3,
}
LIMITS = {
    "header_bytes": 10,
    "body_bytes": 20,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


SERVICES = [{"name": "s", "max_conns": 7, "health_path": "/health"}]


def as_table(items):
    """Return the platform's table format, with null for missing fields."""
    names = list(dict.fromkeys(name for item in items for name in item))
    rows = [[item.get(name) for name in names] for item in items]
    return {"columns": names, "rows": rows}


def encode_configuration(*routes, version="0000000c", **other_fields):
    content = {
        "version": version,
        "routes": as_table(routes),
        "services": as_table(SERVICES),
        "limits": LIMITS,
        **other_fields,
    }
    return json.dumps(content).encode()


def decode(*routes, **other_fields):
    return configuration.decode_configuration(
        encode_configuration(*routes, **other_fields)
    )


def test_configuration_is_decoded():
    split = {**ROUTE, "name": "r2", "prefix": "/a/b/"}
    del split["service"]
    split["traffic_split"] = [
        {"service": "s", "weight": 90},
        {"service": "t", "weight": 10},
    ]
    decoded = decode(ROUTE, split, unknown_field={"anything": 1}).unwrap()
    assert decoded.version == 12
    assert decoded.limits == table.CallerLimits(10, 20, 3_000, 15_000)
    assert decoded.health_paths == {"s": "/health"}
    route = decoded.find("h", "/a/x")
    assert (route.timeout_ms, route.objective_ms) == (1_500, 800)
    assert (route.rank, route.max_attempts) == (2, 3)
    assert not route.is_idempotent
    assert decoded.find("h", "/a/b/x").shares == (
        table.Share("s", 90),
        table.Share("t", 10),
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/x", "r1"),
        ("/a/b/x", "r2"),
        ("/a/bx", "r1"),
        ("/a", None),
        ("/", None),
    ],
)
def test_longest_prefix_wins(path, name):
    decoded = decode(
        ROUTE, {**ROUTE, "name": "r2", "prefix": "/a/b/"}
    ).unwrap()
    route = decoded.find("h", path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    "changed_fields",
    [
        {"route_type": "sometimes"},
        {"service": None},
        {"timeout_s": "long"},
        {"max_attempts": None},
        {"timeout_s": 1e308},
        {"slo_s": 1e308},
        {"max_attempts": 10**30},
        {"priority": -1},
        {"traffic_split": [{"service": "s", "weight": 10**30}]},
    ],
)
def test_faulty_route_is_an_error(changed_fields):
    assert not pipeline.is_successful(decode({**ROUTE, **changed_fields}))


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"{",
        b"[]",
        encode_configuration(version="zz"),
        b'{"unknown":' + odd_content.NESTED,
        b'{"routes":{"columns":[],"rows":[' + odd_content.NESTED,
        odd_content.with_field(
            json.loads(encode_configuration(ROUTE)),
            "limits.idle_timeout_s",
            1e308,
        ),
    ],
)
def test_malformed_configuration_is_an_error(content):
    """An error leaves the last configuration in force."""
    assert not pipeline.is_successful(
        configuration.decode_configuration(content)
    )


def test_row_with_a_missing_value_is_an_error():
    """A value in the wrong column could send requests to another service."""
    content = json.loads(encode_configuration(ROUTE))
    content["routes"]["rows"][0].pop()
    assert not pipeline.is_successful(
        configuration.decode_configuration(json.dumps(content).encode())
    )


# The grown mill deployment has 39 nodes in the region without the store. Its
# link to the store has 30 Mbit/s, of which a third is left for other traffic.
# A configuration has to be in force 3 s after its acknowledgement; the store
# sends it as base64.
LINK_BUDGET_BYTES = 30e6 / 8 * 3 * (2 / 3)


def test_1400_more_routes_fit_on_the_link_between_regions():
    """A longer configuration comes into force too late.

    This affected 64 requests in the load mix with seed 577207828826.
    """
    routes = [
        {**ROUTE, "name": f"r-{i:07}", "host": "lefi65.example"}
        | {"prefix": f"/{i:08}/"}
        for i in range(1_400)
    ]
    assert len(encode_configuration(*routes)) * 4 / 3 * 39 < LINK_BUDGET_BYTES
