"""Mixed requests to the example deployments.

Each request causes a chain of downstream calls, so that three to four
services take part in it.
"""

import random
from typing import Any, NamedTuple

from standins import caller


class Kind(NamedTuple):
    """A kind of request.

    Attributes
    ----------
    share : float
        Share of this kind among all requests.
    body_bytes : int
        Size of the request body.
    """

    name: str
    share: float
    service: str
    method: str
    path: str
    idempotent: bool
    body_bytes: int


class Workload(NamedTuple):
    """Requests to one deployment.

    Attributes
    ----------
    lookups : tuple
        Service and path of the downstream lookups, outermost first.
    """

    kinds: tuple[Kind, ...]
    lookups: tuple[tuple[str, str], ...]


OFFICE = Workload(
    (
        Kind("lookup", 0.5, "timetable", "GET", "/lessons/7", True, 0),
        Kind("internal", 0.1, "bursary", "GET", "/registry/9", True, 0),
        Kind("booking", 0.2, "bookings", "POST", "/seats/4", False, 200),
        Kind("settlement", 0.17, "bursary", "POST", "/settlements", False, 9),
        Kind(
            "recording",
            0.03,
            "recordings",
            "POST",
            "/recordings",
            False,
            3_000_000,
        ),
    ),
    (
        ("timetable", "/repertoire/1"),
        ("recordings", "/recordings/2"),
        ("bursary", "/accounts/3"),
    ),
)
DEPTHS = (2, 3)
"""Lengths of the chain of downstream calls below the first service."""


def make_request(
    workload: Workload,
    number: int,
    random_source: random.Random,
    timeout_ms: int,
) -> caller.Request:
    """Return a request of a kind that is drawn by share.

    Parameters
    ----------
    number : int
        Number of the request, which makes its run ID unique.
    """
    shares = [kind.share for kind in workload.kinds]
    (kind,) = random_source.choices(workload.kinds, shares)
    return caller.Request(
        run_id=f"{kind.name}-{number}",
        kind=kind.name,
        service=kind.service,
        method=kind.method,
        path=kind.path,
        idempotent=kind.idempotent,
        plan={
            "work_ms": random_source.uniform(2, 10),
            "calls": _lookup_chain(workload, random_source.choice(DEPTHS)),
            "answer_bytes": 500,
        },
        body_bytes=kind.body_bytes,
        timeout_ms=timeout_ms,
    )


def _lookup_chain(workload: Workload, depth: int) -> list[dict[str, Any]]:
    calls: list[dict[str, Any]] = []
    for service, path in workload.lookups[:depth][::-1]:
        call = {
            "service": service,
            "method": "GET",
            "path": path,
            "plan": {"work_ms": 2, "calls": calls},
        }
        calls = [call]
    return calls
