"""What a run consists of: its services, its load and its kinds of faults."""

from collections.abc import Callable
from typing import NamedTuple

from clementinekeel.runtime import registry
from soak import clients as clients_module
from soak import faults as faults_module
from soak import fleet as fleet_module
from soak import planned


class Profile(NamedTuple):
    """Services, load and faults of a run.

    Attributes
    ----------
    probed_service : str
        Service to which the probes of the configuration are sent.
    fault_names : tuple of str
        Faults to draw from; empty for all that are registered.
    """

    services: tuple[fleet_module.Service, ...]
    request_types: list[clients_module.RequestType]
    probed_service: str
    faults: registry.Registry[faults_module.Fault]
    fault_names: tuple[str, ...] = ()


PROFILES: registry.Registry[Callable[[], Profile]] = registry.Registry(
    "profile"
)


@PROFILES.register("mixed")
def mixed() -> Profile:
    """Return short requests under faults of all kinds."""
    request_type = clients_module.RequestType
    return Profile(
        (
            fleet_module.Service("lookups", "ledger", 0.03, 12),
            fleet_module.Service("bookings", "", 0.05, 10),
            fleet_module.Service("ledger", "", 0.02, 12),
        ),
        [
            request_type("look", "GET", "/look/", "lookups", True, 2.0, 25, 0),
            request_type(
                "book", "POST", "/book/", "bookings", False, 2.0, 15, 300
            ),
            request_type(
                "upload",
                "POST",
                "/upload/",
                "bookings",
                False,
                2.0,
                3,
                150_000,
            ),
        ],
        "ledger",
        faults_module.FAULTS,
    )


@PROFILES.register("planned")
def planned_work() -> Profile:
    """Return requests that last for most of a planned stop, and its faults."""
    request_type = clients_module.RequestType
    return Profile(
        (
            fleet_module.Service("reports", "ledger", 3.0, 60, 4.0),
            fleet_module.Service("transfers", "ledger", 1.4, 60, 4.0),
            fleet_module.Service("ledger", "", 0.05, 40),
        ),
        [
            request_type(
                "report", "GET", "/report/", "reports", True, 5.0, 12, 0
            ),
            request_type(
                "order", "POST", "/order/", "reports", False, 5.0, 6, 300
            ),
            request_type(
                "move", "POST", "/move/", "transfers", False, 5.0, 12, 300
            ),
            request_type(
                "upload",
                "POST",
                "/upload/",
                "transfers",
                False,
                5.0,
                2,
                700_000,
            ),
            request_type("look", "GET", "/look/", "ledger", True, 2.0, 15, 0),
        ],
        "ledger",
        planned.PLANNED_FAULTS,
    )
