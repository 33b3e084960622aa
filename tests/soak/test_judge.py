"""The judge of the soak finds each broken promise, and allows what is allowed.

A judge that overlooks a fault would pass every run.
"""

import pytest

from soak import judge as judge_module

Promise = judge_module.Promise
LOOKUP = judge_module.Sent(10.0, "n1", "s", True, 2.0)
BOOKING = LOOKUP._replace(is_idempotent=False)
RUN = judge_module.Run(10.1, "e1", "n2")
SEAL, BODY = "seal", b"whole"


def observed(sent=LOOKUP, runs=1, deadline_s=1.9):
    judge = judge_module.Judge()
    judge.on_sent("r", sent)
    for _ in range(runs):
        judge.on_arrival(10.1, "r", "s")
        judge.on_run("r", RUN, deadline_s)
    judge.on_made("r", SEAL, 200, BODY)
    return judge


def promises(judge):
    return [broken.promise for broken in judge.verdict()]


def test_kept_promises_are_no_findings():
    judge = observed(BOOKING)
    judge.on_answer("r", 10.3, 200, SEAL, BODY)
    assert promises(judge) == []


def test_second_run_of_a_booking_is_found():
    assert promises(observed(BOOKING, runs=2)) == [Promise.AT_MOST_ONCE]


def test_idempotent_request_may_run_twice():
    assert promises(observed(LOOKUP, runs=2)) == []


def test_false_refusal_is_found():
    judge = observed(BOOKING)
    judge.on_answer("r", 10.3, 503, "", b"")
    assert promises(judge) == [Promise.TRUE_REFUSAL]


def test_refused_request_that_runs_later_is_found():
    judge = observed(BOOKING, runs=0)
    judge.on_answer("r", 10.3, 503, "", b"")
    judge.on_run("r", RUN, 1.0)
    assert promises(judge) == [Promise.TRUE_REFUSAL]


@pytest.mark.parametrize(
    ("status", "seal", "body"),
    [
        (200, SEAL, b"who"),
        (200, "another", BODY),
        (200, "", BODY),
        (502, SEAL, b""),
    ],
    ids=["cut", "another's", "unsealed", "sealed failure"],
)
def test_wrong_answer_is_found(status, seal, body):
    judge = observed()
    judge.on_answer("r", 10.3, status, seal, body)
    assert promises(judge) == [Promise.OWN_ANSWER]


def test_run_that_nobody_asked_for_is_found():
    judge = observed()
    judge.on_run("smuggled", RUN, 1.0)
    assert promises(judge) == [Promise.REQUESTED]


def test_work_after_the_acknowledged_leaving_is_found():
    judge = observed()
    judge.on_leaving("e1", 10.0)
    judge.on_run("r", RUN._replace(at=10.0 + 2.4), 1.0)
    assert promises(judge) == []
    judge.on_run("r", RUN._replace(at=10.0 + 2.6), 1.0)
    assert promises(judge) == [Promise.LEAVING]


def test_older_configuration_is_found():
    judge = judge_module.Judge()
    judge.on_version(4, 10.0)
    judge.on_version(6, 20.0)
    judge.on_probe("n1", 1, 4, 22.4)
    assert promises(judge) == []
    judge.on_probe("n1", 1, 4, 22.6)
    assert promises(judge) == [Promise.CONFIGURATION]


def test_disrupted_node_may_be_late_but_never_goes_back():
    judge = judge_module.Judge()
    judge.disruptions.add("n1", 19.0, 21.0)
    judge.on_version(4, 10.0)
    judge.on_version(6, 20.0)
    judge.on_probe("n1", 1, 4, 24.0)
    judge.on_probe("n1", 1, 6, 24.1)
    judge.on_probe("n1", 2, 4, 24.5)
    assert promises(judge) == []
    judge.on_probe("n1", 1, 4, 24.5)
    assert promises(judge) == [Promise.CONFIGURATION]


def test_request_cut_by_a_planned_stop_is_found():
    judge = observed(BOOKING)
    judge.on_cut("r", 10.15, is_planned=True)
    assert promises(judge) == [Promise.NOT_CUT]


def test_request_that_crosses_a_close_is_allowed():
    judge = observed(BOOKING, runs=0)
    judge.on_cut("r", 10.1, is_planned=True)
    assert promises(judge) == []


def test_too_many_repeats_are_found():
    judge = judge_module.Judge()
    for number in range(60):
        judge.on_sent(f"r{number}", LOOKUP)
        judge.on_arrival(10.0 + number / 100, f"r{number}", "s")
        judge.on_arrival(10.5 + number / 100, f"r{number}", "s")
        if number == 58:
            # 59 repeats of 59 requests; 59 * 0.2 + 48 are allowed.
            assert promises(judge) == []
    assert promises(judge) == []
    for number in range(2):
        judge.on_arrival(11.2, f"r{number}", "s")
    assert promises(judge) == [Promise.RETRY_BUDGET]


def late(judge, promise):
    """Observe four requests that break a bound in time."""
    for number in range(4):
        name = f"late-{number}"
        judge.on_sent(name, LOOKUP)
        if promise == Promise.DEADLINE:
            judge.on_run(name, RUN, 2.5)
        elif promise == Promise.ANSWERED_IN_TIME:
            judge.on_answer(name, 12.6, 504, "", b"")
        elif promise == Promise.CANCELLED:
            judge.on_run(name, RUN, 1.9)
            judge.on_worked_on(name, 11.0, 10.4)
        else:
            judge.on_cut(name, 10.9, is_planned=False)


@pytest.mark.parametrize(
    "promise",
    [
        Promise.DEADLINE,
        Promise.ANSWERED_IN_TIME,
        Promise.CANCELLED,
        Promise.NOT_CUT,
    ],
)
def test_bounds_in_time_hold_for_undisrupted_nodes_only(promise):
    judge = judge_module.Judge()
    late(judge, promise)
    assert promises(judge) == [promise]
    disrupted = judge_module.Judge()
    disrupted.disruptions.add("n1", 7.0, 7.5)
    late(disrupted, promise)
    assert promises(disrupted) == []
