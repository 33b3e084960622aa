"""The soak finds requests that a planned stop breaks off.

A judge that excuses too much would pass a product that answers in place of
running requests.
"""

import pytest

from soak import checker as checker_module
from soak import stops as stops_module

Guarantee = checker_module.Guarantee
SENT = checker_module.SentRequest(11.0, "taking", "s", False, 5.0)
RUN = checker_module.Run(11.1, "e1", "beside")
STOPPED_AT = 10.0
IN_LAST_SIXTH = STOPPED_AT + 5.1


def violations(
    at,
    stopping="taking",
    status=502,
    seal="",
    sent=SENT,
    work=None,
    disruption=None,
):
    """Return what is found of one request that got an answer at a time."""
    checker = checker_module.Checker()
    checker.stops.on_stop(stopping, STOPPED_AT)
    if disruption is not None:
        checker.disruptions.add(*disruption)
    checker.on_sent("r", sent)
    checker.on_run("r", RUN, 4.9)
    if work is not None:
        checker.stops.on_run_end("r", "e1", stops_module.Work(*work))
    checker.on_backend_answer("r", "seal", status, b"")
    checker.on_answer("r", at, status, seal, b"")
    return [violation.guarantee for violation in checker.violations()]


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({}, id="still at work"),
        pytest.param({"work": (11.1, 13.9, False)}, id="broken off before"),
        pytest.param({"work": (11.1, 14.3, False)}, id="broken off after"),
        pytest.param({"work": (11.1, 14.3, True)}, id="finished after"),
        pytest.param({"stopping": "beside"}, id="stop of the other node"),
        pytest.param(
            {"stopping": "beside", "at": IN_LAST_SIXTH},
            id="end of the other node's stop",
        ),
        pytest.param(
            {"at": IN_LAST_SIXTH, "sent": SENT._replace(at=13.1)},
            id="sent late in the stop",
        ),
        pytest.param(
            {"disruption": ("taking", 9.0, 9.5, True)}, id="planned restart"
        ),
    ],
)
def test_answer_in_place_of_a_running_request_is_found(fields):
    assert violations(**{"at": 14.0, **fields}) == [Guarantee.NOT_BROKEN_OFF]


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"at": IN_LAST_SIXTH}, id="last sixth of the grace"),
        pytest.param({"at": 16.0, "status": 504}, id="deadline"),
        pytest.param({"seal": "seal"}, id="the backend server's answer"),
        pytest.param({"work": (11.1, 13.9, True)}, id="finished before"),
        pytest.param({"work": (11.1, 12.0, False)}, id="broken off earlier"),
        pytest.param({"stopping": "another"}, id="no stop on its way"),
        pytest.param(
            {"disruption": ("beside", 9.0, 9.5, False)}, id="disrupted"
        ),
    ],
)
def test_permitted_answer_in_a_stop_is_not_found(fields):
    assert violations(**{"at": 14.0, **fields}) == []


def test_cut_by_a_stop_is_found_after_a_planned_restart():
    # Restarts follow each other in a series of stops; they excuse no cut.
    for is_planned, expected in ((True, [Guarantee.NOT_CUT]), (False, [])):
        checker = checker_module.Checker()
        checker.disruptions.add("beside", 9.0, 9.5, is_planned)
        checker.on_sent("r", SENT)
        checker.on_run("r", RUN, 4.9)
        checker.on_cut("r", 12.0, is_planned=True)
        assert [v.guarantee for v in checker.violations()] == expected
