"""Faulty inventory and rules are rejected, with all faults at once."""

import pytest
from returns import result

from clementinekeel.configuration import reader

INVENTORY = """\
[zone z1]
region = north
[zone z2]
region = south
[link north south]
bits_per_s = 30000000
[service bookings]
[endpoint bookings-1]
service = bookings
zone = z1
slots = 20
connections = 230
"""
RULES = """\
[limits]
default_class = lookup
default_deadline_ms = 10000
retry_allowance = 2
retry_budget_share = 0.1
objective = goodput
[class booking]
rank = 0
[class lookup]
rank = 2
[operation book]
service = bookings
methods = POST
path = /seats/*
class = booking
idempotent = no
deadline_ms = 10000
"""


def read(inventory=INVENTORY, rules=RULES):
    return reader.read(
        reader.Source("inv.ini", inventory), reader.Source("rules.ini", rules)
    )


def faults_of(outcome):
    assert isinstance(outcome, result.Failure), outcome
    return [str(fault) for fault in outcome.failure()]


def test_valid_input_is_read():
    value = read().unwrap()
    assert value.inventory.services[0].endpoints[0].connections == 230
    assert value.rules.operations[0].methods == ("POST",)
    assert value.rules.operations[0].idempotent is False


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            "slots = 20",
            "slots = many",
            "inv.ini:11 [endpoint bookings-1] slots: 'many' is no integer",
            id="text for a number",
        ),
        pytest.param(
            "slots = 20",
            "slots = 0",
            "inv.ini:11 [endpoint bookings-1] slots:"
            " 0 is not within 1 to 10000",
            id="no slots",
        ),
        pytest.param(
            "connections = 230",
            "connections = 19",
            "inv.ini:12 [endpoint bookings-1] connections:"
            " 19 is less than the 20 slots",
            id="fewer connections than slots",
        ),
        pytest.param(
            "slots = 20\n",
            "",
            "inv.ini:8 [endpoint bookings-1] slots: missing",
            id="missing option",
        ),
        pytest.param(
            "slots = 20",
            "slots = 20\nSlots = 20",
            "inv.ini:12 [endpoint bookings-1] Slots: unknown option"
            " (known: service, zone, slots, connections)",
            id="unknown option",
        ),
        pytest.param(
            "slots = 20",
            "slots = 20\nslots = 30",
            "inv.ini:12 [endpoint bookings-1] slots:"
            " duplicate option, first in line 11",
            id="duplicate option",
        ),
        pytest.param(
            "slots = 20",
            "slots",
            "inv.ini:11: neither a section nor an option with '='",
            id="option without value",
        ),
        pytest.param(
            "[service bookings]",
            "[service bookings]\n[service bookings]",
            "inv.ini:8 [service bookings]: duplicate section, first in line 7",
            id="duplicate service",
        ),
        pytest.param(
            "[service bookings]",
            "[service bookings]\n[service  bookings]",
            "inv.ini:7 [service bookings]: duplicate service",
            id="duplicate service in another spelling",
        ),
        pytest.param(
            "zone = z1",
            "zone = z9",
            "inv.ini:10 [endpoint bookings-1] zone: unknown zone 'z9'",
            id="unknown zone",
        ),
        pytest.param(
            "service = bookings",
            "service = sales",
            "inv.ini:9 [endpoint bookings-1] service: unknown service 'sales'",
            id="unknown service",
        ),
        pytest.param(
            "[link north south]",
            "[link north west]",
            "inv.ini:5 [link north west]: no zone is in region 'west'",
            id="link to an unknown region",
        ),
        pytest.param(
            "[link north south]",
            "[link north]",
            "inv.ini:5 [link north]: needs the names of two regions",
            id="link of one region",
        ),
        pytest.param(
            "[service bookings]",
            "[DEFAULT]\nslots = 1\n[service bookings]",
            "inv.ini:7 [DEFAULT]: unknown section"
            " (known: zone, link, service, endpoint)",
            id="default section",
        ),
        pytest.param(
            "[zone z1]",
            "stray = 1\n[zone z1]",
            "inv.ini:1: text before the first section",
            id="text before a section",
        ),
    ],
)
def test_faulty_inventory(old, new, expected):
    """Each fault is reported at its line, once."""
    assert expected in faults_of(read(INVENTORY.replace(old, new)))


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            "rank = 2",
            "rank = 10",
            "rules.ini:10 [class lookup] rank: 10 is not within 0 to 9",
            id="rank out of bounds",
        ),
        pytest.param(
            "class = booking",
            "class = buying",
            "rules.ini:15 [operation book] class: unknown class 'buying'",
            id="unknown class",
        ),
        pytest.param(
            "service = bookings",
            "service = sales",
            "rules.ini:12 [operation book] service: unknown service 'sales'",
            id="unknown service",
        ),
        pytest.param(
            "methods = POST",
            "methods = post",
            "rules.ini:13 [operation book] methods: 'post' is none of:"
            " DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT",
            id="method in lower case",
        ),
        pytest.param(
            "path = /seats/*",
            "path = seats/*",
            "rules.ini:14 [operation book] path:"
            " 'seats/*' does not start with '/' or is too long",
            id="relative path",
        ),
        pytest.param(
            "idempotent = no",
            "idempotent = maybe",
            "rules.ini:16 [operation book] idempotent:"
            " 'maybe' is neither yes nor no",
            id="neither yes nor no",
        ),
        pytest.param(
            "default_deadline_ms = 10000",
            "default_deadline_ms = 120000",
            "rules.ini:3 [limits] default_deadline_ms:"
            " 120000 is not within 1 to 110000",
            id="deadline above the stop limit",
        ),
        pytest.param(
            "retry_budget_share = 0.1",
            "retry_budget_share = nan",
            "rules.ini:5 [limits] retry_budget_share:"
            " nan is not within 0 to 1",
            id="share that is no number",
        ),
        pytest.param(
            "objective = goodput",
            "objective = speed",
            "rules.ini:6 [limits] objective:"
            " 'speed' is none of: goodput, recovery_time",
            id="unknown objective",
        ),
        pytest.param(
            "default_class = lookup",
            "default_class = none",
            "rules.ini:2 [limits] default_class: unknown class 'none'",
            id="unknown default class",
        ),
    ],
)
def test_faulty_rules(old, new, expected):
    """Each fault is reported at its line, once."""
    assert expected in faults_of(read(rules=RULES.replace(old, new)))


def test_operation_that_never_matches_is_reported():
    """A rule that an earlier rule shadows would never apply."""
    operation = RULES[RULES.index("[operation book]") :]
    hidden = operation.replace("[operation book]", "[operation hidden]")
    assert faults_of(read(rules=RULES + hidden)) == [
        "rules.ini:21 [operation hidden] path:"
        " operation 'book' matches the same requests"
    ]


def test_all_faults_of_both_files_are_reported():
    """An operator sees all faults in one run, not one fault per run."""
    faults = faults_of(
        read(
            INVENTORY.replace("z1]", "Z1]").replace("= 230", "= x"),
            RULES.replace("rank = 2", "rank = x").replace("= no", "= 7"),
        )
    )
    assert [fault.partition(" ")[0] for fault in faults] == [
        "inv.ini:1",
        "inv.ini:12",
        "rules.ini:10",
        "rules.ini:16",
    ]


def test_example_sizes(deployment, sources):
    """The examples have the sizes that the design page states."""
    inventory = reader.read(*sources).unwrap().inventory
    sizes = {
        service.name: [
            *{(e.slots, e.connections) for e in service.endpoints},
            len(service.endpoints),
        ]
        for service in inventory.services
    }
    expected = {
        "office": {
            "timetable": [(90, 630), 4],
            "bursary": [(90, 630), 4],
            "recordings": [(90, 630), 4],
            "bookings": [(20, 230), 4],
        },
        "mill": {
            "gradebook": [(80, 570), 5],
            "sales": [(100, 690), 4],
            "scanner": [(100, 690), 4],
            "binyard": [(30, 280), 4],
        },
    }
    assert sizes == expected[deployment]
    for service in inventory.services:
        assert len({e.zone for e in service.endpoints}) == 4


def test_written_inventory_is_read_back(sources):
    inventory = reader.read_inventory(sources[0]).unwrap()
    text = reader.write_inventory(inventory)
    assert text == sources[0].text
    read_back = reader.read_inventory(reader.Source("again", text)).unwrap()
    assert read_back == inventory


def test_missing_limits_cause_no_further_faults():
    """Missing options are reported without errors that follow from them."""
    faults = faults_of(read(rules="[limits]\n"))
    assert len(faults) == 5
    assert all(fault.endswith("missing") for fault in faults)
