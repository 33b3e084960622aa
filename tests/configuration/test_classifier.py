"""Requests get the operation, rank and idempotency that the rules state."""

import pytest

from clementinekeel.configuration import classifier
from clementinekeel.configuration import model
from clementinekeel.configuration import objects
from clementinekeel.configuration import reader


@pytest.fixture
def configuration(sources):
    encoded = objects.encode(*reader.read(*sources).unwrap())
    return objects.decode(1, "c", encoded).unwrap()


@pytest.mark.parametrize(
    ("service", "method", "path", "name", "rank", "idempotent"),
    [
        pytest.param(
            "bookings", "POST", "/seats/7", "book-seat", 0, False, id="booking"
        ),
        pytest.param(
            "bookings", "GET", "/seats/7", "look-up-seat", 2, True, id="lookup"
        ),
        pytest.param(
            "bookings",
            "GET",
            "/registry/a/b",
            "look-up-bookings-registry",
            3,
            True,
            id="internal lookup",
        ),
        pytest.param(
            "bookings",
            "POST",
            "/seats/7?x=/registry/1",
            "book-seat",
            0,
            False,
            id="query",
        ),
        pytest.param(
            "bookings", "GET", "/other", "default", 2, False, id="no match"
        ),
        pytest.param(
            "bookings", "PATCH", "/seats/7", "default", 2, False, id="method"
        ),
        pytest.param(
            "bookings", "GET", "x/seats/7", "default", 2, False, id="prefix"
        ),
        pytest.param("other", "GET", "", "default", 2, False, id="service"),
    ],
)
@pytest.mark.parametrize("deployment", ["office"], indirect=True)
def test_classes(configuration, service, method, path, name, rank, idempotent):
    """A request that no rule matches must not count as idempotent."""
    operation = classifier.classify(configuration, service, method, path)
    found = (operation.name, operation.rank, operation.idempotent)
    assert found == (name, rank, idempotent)
    assert operation.service == service


def test_first_match_applies(configuration):
    """Of overlapping patterns, the first one in the rules applies."""
    template = configuration.rules.operations[0]
    operations = tuple(
        template._replace(name=name, methods=methods, path=path)
        for name, methods, path in [
            ("a", ("GET",), "/x/1"),
            ("b", (), "/x/*"),
            ("c", ("GET", "PUT"), "/*"),
        ]
    )
    rules = configuration.rules._replace(operations=operations)
    changed = configuration._replace(rules=rules)
    found = [
        classifier.classify(changed, template.service, method, path).name
        for method, path in [
            ("GET", "/x/1"),
            ("GET", "/x/2"),
            ("PUT", "/x/1"),
            ("PUT", "/y"),
            ("POST", "/y"),
        ]
    ]
    assert found == ["a", "b", "b", "c", "default"]


def test_new_configuration_is_used_at_once(configuration):
    """The cache of compiled rules must not serve another configuration."""
    operation = configuration.rules.operations[0]
    path = operation.path.replace("*", "1")
    request = (operation.service, operation.methods[0], path)
    assert classifier.classify(configuration, *request).rank == 0
    ranks = tuple(
        model.RequestClass(c.name, 5) for c in configuration.rules.classes
    )
    rules = configuration.rules._replace(
        classes=ranks, operations=(operation._replace(rank=5),)
    )
    changed = configuration._replace(version=2, rules=rules)
    assert classifier.classify(changed, *request).rank == 5
    assert classifier.classify(configuration, *request).rank == 0
