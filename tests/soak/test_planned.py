"""The soak's spoiled settings are faulty, and differ."""

import random
import tomllib

from soak import fleet as fleet_module
from soak import planned

SETTINGS = fleet_module.SETTINGS_TEMPLATE.format(
    name="n",
    host="127.0.0.1",
    zone="z",
    region="r",
    service="s",
    backend_port=1,
    node_port=2,
    outbound_port=3,
    ready_port=4,
    control_port=5,
    store_port=6,
    grace_s=6.0,
)


def test_settings_are_spoiled_in_many_ways():
    # A draw that left the settings as they are would test nothing.
    random_source = random.Random(1)
    spoiled = {planned._spoil(SETTINGS, random_source) for _ in range(400)}
    assert tomllib.loads(SETTINGS)
    assert SETTINGS.encode() not in spoiled
    values = b"\n".join(spoiled)
    for value in planned.SPOILED_VALUES:
        assert b"= " + value.encode() in values
    assert len(spoiled) > 100
