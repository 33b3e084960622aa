"""The operators' configuration, whole and faulty."""

import json

import pytest
from returns import pipeline

from clementinekeel.platform import configuration
from clementinekeel.routing import table

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


def columns(items):
    """Return the platform's form: names once, null for what is missing."""
    names = list(dict.fromkeys(name for item in items for name in item))
    rows = [[item.get(name) for name in names] for item in items]
    return {"columns": names, "rows": rows}


def body(*routes, version="0000000c", **others):
    content = {
        "version": version,
        "routes": columns(routes),
        "services": columns(SERVICES),
        "limits": LIMITS,
        **others,
    }
    return json.dumps(content).encode()


def decode(*routes, **others):
    return configuration.decode_configuration(body(*routes, **others))


def test_whole_configuration():
    split = {**ROUTE, "name": "r2", "prefix": "/a/b/"}
    del split["service"]
    split["traffic_split"] = [
        {"service": "s", "weight": 90},
        {"service": "t", "weight": 10},
    ]
    found = decode(ROUTE, split, novelties={"anything": 1}).unwrap()
    assert found.version == 12
    assert found.limits == table.CallerLimits(10, 20, 3_000, 15_000)
    assert found.health_paths == {"s": "/health"}
    route = found.find("h", "/a/x")
    assert (route.timeout_ms, route.objective_ms) == (1_500, 800)
    assert (route.rank, route.max_attempts) == (2, 3)
    assert not route.is_idempotent
    assert found.find("h", "/a/b/x").shares == (
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
    found = decode(ROUTE, {**ROUTE, "name": "r2", "prefix": "/a/b/"}).unwrap()
    route = found.find("h", path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    "changes",
    [
        {"route_type": "sometimes"},
        {"service": None},
        {"timeout_s": "long"},
        {"max_attempts": None},
    ],
)
def test_faulty_route_is_an_error(changes):
    assert not pipeline.is_successful(decode({**ROUTE, **changes}))


@pytest.mark.parametrize("content", [b"", b"{", b"[]", body(version="zz")])
def test_unreadable_configuration_is_an_error(content):
    """The operator's last configuration stays in force then."""
    assert not pipeline.is_successful(
        configuration.decode_configuration(content)
    )


def test_row_of_another_length_is_an_error():
    """A value in a wrong column would send requests to another service."""
    content = json.loads(body(ROUTE))
    content["routes"]["rows"][0].pop()
    assert not pipeline.is_successful(
        configuration.decode_configuration(json.dumps(content).encode())
    )


# The region without the store has 39 nodes in the mill's grown deployment,
# 30 Mbit/s to the store, and 3 s from the acknowledgement; values are sent as
# base64. A third of that is left for everything else on the link.
LINK_BYTES = 30e6 / 8 * 3 * (2 / 3)


def test_1400_more_routes_fit_on_the_link_between_regions():
    """In force too late: 64 requests of mix seed 577207828826."""
    routes = [
        {**ROUTE, "name": f"r-{i:07}", "host": "lefi65.example"}
        | {"prefix": f"/{i:08}/"}
        for i in range(1_400)
    ]
    assert len(body(*routes)) * 4 / 3 * 39 < LINK_BYTES
