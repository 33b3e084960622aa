"""The operators' configuration, whole and faulty."""

import json

import pytest
from returns import pipeline

from clementinekeel.platform import configuration
from clementinekeel.routing import table


def entry(kind, name, **spec):
    return {"entry_kind": kind, "metadata": {"name": name}, "spec": spec}


ROUTE = {
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


def body(*entries, version="0000000c"):
    return json.dumps({"version": version, "resources": entries}).encode()


def decode(*entries, **changes):
    return configuration.decode_configuration(body(*entries, **changes))


def test_whole_configuration():
    split = {**ROUTE, "prefix": "/a/b/"}
    del split["service"]
    split["traffic_split"] = [
        {"service": "s", "weight": 90},
        {"service": "t", "weight": 10},
    ]
    found = decode(
        entry("routes", "r1", **ROUTE),
        entry("routes", "r2", **split),
        entry("services", "s", max_conns=7, health_path="/health"),
        entry("limits", "", **LIMITS),
        entry("novelties", "x", anything=1),
    ).unwrap()
    assert found.version == 12
    assert found.limits == table.CallerLimits(10, 20, 3_000, 15_000)
    assert found.health_paths == {"s": "/health"}
    route = found.find("h", "/a/x")
    assert (route.timeout_ms, route.objective_ms) == (1_500, 800)
    assert (route.rank, route.max_attempts) == (2, 3)
    assert not route.is_idempotent


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
    found = decode(
        entry("routes", "r1", **ROUTE),
        entry("routes", "r2", **{**ROUTE, "prefix": "/a/b/"}),
    ).unwrap()
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
    assert not pipeline.is_successful(
        decode(entry("routes", "r", **{**ROUTE, **changes}))
    )


@pytest.mark.parametrize("content", [b"", b"{", b"[]", body(version="zz")])
def test_unreadable_configuration_is_an_error(content):
    """The operator's last configuration stays in force then."""
    assert not pipeline.is_successful(
        configuration.decode_configuration(content)
    )
