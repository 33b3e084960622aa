"""Faulty asset registers are rejected, with all faults at once."""

import pytest

from clementinekeel.configuration import assets
from clementinekeel.configuration import reader

REGISTER = """\
asset_tag,type,host_name,service,endpoint,region,zone,peer_region,slots,\
connections,bits_per_s,status
A1,vm,vm-1,bookings,bookings-1,north,z1,,20,230,,active
A2,vm,vm-2,bookings,bookings-2,south,z2,,20,230,,maintenance
A3,circuit,,,,north,,south,,,30000000,active
,,,,,,,,x,,,retired
"""


def read_inventory(text):
    return assets.read_inventory(reader.Source("assets.csv", text))


def test_example_inventory_matches_its_register(register, sources):
    """The committed inventory is the output for the committed register."""
    written = reader.write_inventory(assets.read_inventory(register).unwrap())
    assert written == sources[0].text


def test_retired_rows_are_ignored():
    inventory = read_inventory(REGISTER).unwrap()
    assert [e.name for e in inventory.services[0].endpoints] == [
        "bookings-1",
        "bookings-2",
    ]
    assert inventory.links[0].regions == ("north", "south")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            "host_name,",
            "",
            "assets.csv:1 host_name: missing column",
            id="missing column",
        ),
        pytest.param(
            "z2,,20",
            "z2,,lots",
            "assets.csv:3 slots: 'lots' is no integer",
            id="text for a number",
        ),
        pytest.param(
            "vm-2",
            "vm-1",
            "assets.csv:3 host_name: 'vm-1' is already in line 2",
            id="host name twice",
        ),
        pytest.param(
            "bookings-2",
            "bookings-1",
            "assets.csv:3 endpoint: 'bookings-1' is already in line 2",
            id="endpoint twice",
        ),
        pytest.param(
            "south,z2",
            "south,z1",
            "assets.csv:3 region: zone 'z1' is in region 'north'"
            " in an earlier row",
            id="zone in two regions",
        ),
        pytest.param(
            "maintenance",
            "gone",
            "assets.csv:3 status: 'gone' is none of:"
            " active, maintenance, retired",
            id="unknown status",
        ),
        pytest.param(
            "A1,vm",
            "A1,switch",
            "assets.csv:2 type: 'switch' is none of: vm, circuit",
            id="unknown type",
        ),
        pytest.param(
            "south,,,3",
            "west,,,3",
            "assets.csv:4: no zone is in region 'west'",
            id="circuit to an unknown region",
        ),
        pytest.param(
            "A1,vm",
            "A1,vm,vm",
            "assets.csv:2: 13 cells, expected 12",
            id="extra cell",
        ),
        pytest.param(
            "A2,vm",
            'A2,"vm"x',
            "assets.csv:3: no CSV: ',' expected after '\"'",
            id="broken quotes",
        ),
        pytest.param(
            REGISTER,
            "",
            "assets.csv:1 asset_tag: missing column",
            id="empty file",
        ),
    ],
)
def test_faulty_register(old, new, expected):
    faults = read_inventory(REGISTER.replace(old, new)).failure()
    assert expected in [str(fault) for fault in faults]


def test_all_faults_are_reported():
    text = REGISTER.replace("20,230", "0,x").replace("A3,", ",")
    lines = [fault.line for fault in read_inventory(text).failure()]
    assert lines == [2, 2, 3, 3, 4]
