"""Encoding of a configuration as store objects, and checks at decoding."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from clementinekeel.configuration import model
from clementinekeel.configuration import objects
from clementinekeel.configuration import reader

NAMES = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)


@st.composite
def inputs(draw):
    regions = draw(st.lists(NAMES, min_size=2, max_size=3, unique=True))
    zones = [
        model.Zone(name, draw(st.sampled_from(regions)))
        for name in draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    ]
    endpoints = draw(st.lists(NAMES, max_size=6, unique=True))
    services = draw(st.lists(NAMES, min_size=1, max_size=3, unique=True))
    specs = [
        model.EndpointSpec(
            name,
            draw(st.sampled_from(services)),
            draw(st.sampled_from(zones)).name,
            draw(st.integers(1, 100)),
            draw(st.integers(100, 1000)),
        )
        for name in endpoints
    ]
    inventory = model.Inventory(
        tuple(sorted(zones)),
        (),
        tuple(
            model.ServiceSpec(
                name, tuple(s for s in specs if s.service == name)
            )
            for name in sorted(services)
        ),
    )
    ranks = draw(st.dictionaries(NAMES, st.integers(0, 9), min_size=1))
    operations = []
    for name in draw(st.lists(NAMES, max_size=4, unique=True)):
        request_class = draw(st.sampled_from(sorted(ranks)))
        operations.append(
            model.Operation(
                name,
                draw(st.sampled_from(services)),
                draw(st.sampled_from([(), ("GET",), ("POST", "PUT")])),
                f"/{name}/*",
                request_class,
                ranks[request_class],
                draw(st.booleans()),
                draw(st.integers(1, 110_000)),
            )
        )
    rules = model.Rules(
        tuple(model.RequestClass(*item) for item in ranks.items()),
        tuple(operations),
        draw(st.sampled_from(sorted(ranks))),
        draw(st.integers(1, 110_000)),
        draw(st.integers(0, 8)),
        draw(st.floats(0, 1)),
        draw(st.sampled_from(model.Objective)),
    )
    return inventory, rules


@hypothesis.given(inputs())
def test_decode_returns_what_was_encoded(values):
    """Encoding and decoding neither loses nor changes a field."""
    encoded = objects.encode(*values)
    decoded = objects.decode(7, "c1", encoded).unwrap()
    assert decoded == model.Configuration(7, "c1", *values)
    assert objects.encode(decoded.inventory, decoded.rules) == encoded
    assert objects.difference(encoded, encoded) == ()


def encode_example(sources):
    return objects.encode(*reader.read(*sources).unwrap())


def change(encoded, name, old, new):
    assert old in encoded[name]
    return {**encoded, name: encoded[name].replace(old, new)}


@pytest.mark.parametrize(
    ("damage", "expected"),
    [
        pytest.param(
            lambda p: {k: v for k, v in p.items() if k != objects.RULES},
            "policy/rules: missing object",
            id="missing object",
        ),
        pytest.param(
            lambda p: {**p, "racks": b"[]"},
            "racks: unknown object",
            id="unknown object",
        ),
        pytest.param(
            lambda p: {**p, objects.ZONES: p[objects.ZONES][:-1]},
            "topology/zones: Input data was truncated",
            id="truncated object",
        ),
        pytest.param(
            lambda p: {**p, "service/other": p["service/sales"]},
            "service/other: holds service 'sales'",
            id="object under a wrong name",
        ),
        pytest.param(
            lambda p: {k: v for k, v in p.items() if k != "service/sales"},
            "objects [operation book-lot] service: unknown service 'sales'",
            id="service removed while rules name it",
        ),
        pytest.param(
            lambda p: change(p, "service/sales", b"savo-a", b"savo-x"),
            "objects [endpoint sales-1] zone: unknown zone 'savo-x'",
            id="unknown zone",
        ),
        pytest.param(
            lambda p: change(p, "service/sales", b",100,", b",-1,"),
            "objects [endpoint sales-1] slots: -1 is not within 1 to 10000",
            id="slots out of bounds",
        ),
        pytest.param(
            lambda p: change(
                p, objects.RULES, b'"booking",0]', b'"booking",1]'
            ),
            "objects [operation book-lot] class:"
            " rank 0 is not the rank of its class",
            id="rank differs from the class",
        ),
    ],
)
@pytest.mark.parametrize("deployment", ["mill"], indirect=True)
def test_faulty_objects_are_rejected(sources, damage, expected):
    """A node must not adopt a faulty configuration from a peer."""
    faults = objects.decode(1, "c", damage(encode_example(sources))).failure()
    assert expected in [str(fault) for fault in faults]


@pytest.mark.parametrize("deployment", ["office"], indirect=True)
def test_difference_names_what_changed(sources):
    value = reader.read(*sources).unwrap()
    old = objects.encode(*value)
    first, second, *others = value.rules.operations
    rules = value.rules._replace(
        operations=(second, first._replace(deadline_ms=9000), *others[1:]),
        retry_allowance=1,
    )
    new = objects.encode(value.inventory, rules)
    del new["service/bursary"]
    endpoint = value.inventory.services[0].endpoints[0]
    service = model.ServiceSpec("bookings", (endpoint._replace(slots=30),))
    new["service/bookings"] = msgspec.json.encode(service)
    assert objects.difference(old, new) == (
        "policy/rules: operations book-seat deadline_ms: 10000 -> 9000",
        "policy/rules: operations cancel-seat: removed",
        "policy/rules: operations: order changed",
        "policy/rules: retry_allowance: 2 -> 1",
        "service/bookings: endpoints bookings-1 slots: 20 -> 30",
        "service/bookings: endpoints bookings-2: removed",
        "service/bookings: endpoints bookings-3: removed",
        "service/bookings: endpoints bookings-4: removed",
        "service/bursary: removed",
    )


@pytest.mark.parametrize(
    "edit",
    [
        pytest.param(lambda name, encoded: {}, id="nothing"),
        pytest.param(
            lambda name, encoded: {
                name: encoded[name].replace(b"0,", b"1,", 1)
            },
            id="slots",
        ),
        pytest.param(
            lambda name, encoded: {
                name: encoded[name].replace(b"0,", b"-1,", 1)
            },
            id="faulty slots",
        ),
        pytest.param(lambda name, encoded: {name: b"["}, id="truncated"),
        pytest.param(
            lambda name, encoded: {
                objects.RULES: encoded[objects.RULES].replace(b"2000", b"1999")
            },
            id="rules",
        ),
        pytest.param(
            lambda name, encoded: {"service/other": encoded[name]},
            id="added under a wrong name",
        ),
    ],
)
def test_decode_change_equals_decode(sources, edit):
    """Decoding only a change gives the same result as decoding all."""
    encoded = objects.encode(*reader.read(*sources).unwrap())
    before = objects.decode(1, "one", encoded).unwrap()
    name = next(n for n in encoded if n.startswith(objects.SERVICE_PREFIX))
    after = {**encoded, **edit(name, encoded)}
    full = objects.decode(2, "two", after)
    incremental = objects.decode_change(before, encoded, 2, "two", after)
    assert incremental.value_or(None) == full.value_or(None)
