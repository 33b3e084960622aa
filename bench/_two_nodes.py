"""A fleet of two nodes in one zone.

The node of ``front-1`` is the entry node, to which the caller sends requests;
the node of ``echo-1`` is the owner node, whose backend server executes them.
"""

from collections.abc import AsyncIterator
import contextlib
import pathlib
import tempfile

from standins import fleet

INVENTORY = """\
[zone here]
region = home
[service front]
[endpoint front-1]
service = front
zone = here
slots = 100
connections = 600
[service echo]
[endpoint echo-1]
service = echo
zone = here
slots = 100
connections = 600
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
[operation look-up]
service = echo
methods = GET
path = /items/*
class = lookup
idempotent = yes
deadline_ms = 5000
[operation book]
service = echo
methods = POST
path = /items/*
class = booking
idempotent = no
deadline_ms = 5000
"""


@contextlib.asynccontextmanager
async def run(
    policies: dict[str, str] | None = None,
) -> AsyncIterator[fleet.Fleet]:
    """Start the fleet; stop it at the end of the context."""
    with tempfile.TemporaryDirectory() as folder:
        inventory = pathlib.Path(folder) / "inventory.ini"
        rules = pathlib.Path(folder) / "rules.ini"
        inventory.write_text(INVENTORY)
        rules.write_text(RULES)
        options = fleet.Options(inventory, rules, policies=policies or {})
        async with fleet.run(options) as running_fleet:
            yield running_fleet
