"""The soak's checker finds each violation and reports no permitted behaviour.

A checker that overlooks a fault would pass every run.
"""

import pytest

from soak import checker as checker_module

Guarantee = checker_module.Guarantee
LOOKUP = checker_module.SentRequest(10.0, "n1", "s", True, 2.0)
BOOKING = LOOKUP._replace(is_idempotent=False)
RUN = checker_module.Run(10.1, "e1", "n2")
SEAL, BODY = "seal", b"whole"


def checker_after_request(sent=LOOKUP, runs=1, deadline_s=1.9):
    checker = checker_module.Checker()
    checker.on_sent("r", sent)
    for _ in range(runs):
        checker.on_arrival(10.1, "r", "s")
        checker.on_run("r", RUN, deadline_s)
    checker.on_backend_answer("r", SEAL, 200, BODY)
    return checker


def violated_guarantees(checker):
    return [violation.guarantee for violation in checker.violations()]


def test_correct_answer_is_no_violation():
    checker = checker_after_request(BOOKING)
    checker.on_answer("r", 10.3, 200, SEAL, BODY)
    assert violated_guarantees(checker) == []


def test_second_run_of_a_booking_is_found():
    assert violated_guarantees(checker_after_request(BOOKING, runs=2)) == [
        Guarantee.AT_MOST_ONCE
    ]


def test_idempotent_request_may_run_twice():
    assert violated_guarantees(checker_after_request(LOOKUP, runs=2)) == []


def test_false_refusal_is_found():
    checker = checker_after_request(BOOKING)
    checker.on_answer("r", 10.3, 503, "", b"")
    assert violated_guarantees(checker) == [Guarantee.REFUSED_HAS_NOT_RUN]


def test_refused_request_that_runs_later_is_found():
    checker = checker_after_request(BOOKING, runs=0)
    checker.on_answer("r", 10.3, 503, "", b"")
    checker.on_run("r", RUN, 1.0)
    assert violated_guarantees(checker) == [Guarantee.REFUSED_HAS_NOT_RUN]


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
    checker = checker_after_request()
    checker.on_answer("r", 10.3, status, seal, body)
    assert violated_guarantees(checker) == [Guarantee.OWN_ANSWER]


def test_run_of_an_unsent_request_is_found():
    checker = checker_after_request()
    checker.on_run("smuggled", RUN, 1.0)
    assert violated_guarantees(checker) == [Guarantee.ONLY_REQUESTED]


def test_run_after_the_acknowledged_leaving_is_found():
    checker = checker_after_request()
    checker.on_leaving("e1", 10.0)
    checker.on_run("r", RUN._replace(at=10.0 + 2.4), 1.0)
    assert violated_guarantees(checker) == []
    checker.on_run("r", RUN._replace(at=10.0 + 2.6), 1.0)
    assert violated_guarantees(checker) == [Guarantee.NOTHING_NEW_WHEN_LEAVING]


def test_older_configuration_is_found():
    checker = checker_module.Checker()
    checker.on_configuration_written(4, 10.0)
    checker.on_configuration_written(6, 20.0)
    checker.on_probe("n1", 1, 4, 22.4)
    assert violated_guarantees(checker) == []
    checker.on_probe("n1", 1, 4, 22.6)
    assert violated_guarantees(checker) == [Guarantee.CONFIGURATION_IN_FORCE]


def test_disrupted_node_may_be_late_but_never_reverts():
    checker = checker_module.Checker()
    checker.disruptions.add("n1", 19.0, 21.0)
    checker.on_configuration_written(4, 10.0)
    checker.on_configuration_written(6, 20.0)
    checker.on_probe("n1", 1, 4, 24.0)
    checker.on_probe("n1", 1, 6, 24.1)
    checker.on_probe("n1", 2, 4, 24.5)
    assert violated_guarantees(checker) == []
    checker.on_probe("n1", 1, 4, 24.5)
    assert violated_guarantees(checker) == [Guarantee.CONFIGURATION_IN_FORCE]


def test_request_cut_by_a_planned_stop_is_found():
    checker = checker_after_request(BOOKING)
    checker.on_cut("r", 10.15, is_planned=True)
    assert violated_guarantees(checker) == [Guarantee.NOT_CUT]


def test_request_sent_as_the_connection_closes_is_allowed():
    checker = checker_after_request(BOOKING, runs=0)
    checker.on_cut("r", 10.1, is_planned=True)
    assert violated_guarantees(checker) == []


def test_too_many_repeats_are_found():
    checker = checker_module.Checker()
    for number in range(60):
        checker.on_sent(f"r{number}", LOOKUP)
        checker.on_arrival(10.0 + number / 100, f"r{number}", "s")
        checker.on_arrival(10.5 + number / 100, f"r{number}", "s")
        if number == 58:
            # 59 repeats of 59 requests; 59 * 0.2 + 48 are allowed.
            assert violated_guarantees(checker) == []
    assert violated_guarantees(checker) == []
    for number in range(2):
        checker.on_arrival(11.2, f"r{number}", "s")
    assert violated_guarantees(checker) == [Guarantee.RETRY_BUDGET]


def observe_late_requests(checker, guarantee):
    """Observe four requests that violate a guarantee with a time bound."""
    for number in range(4):
        name = f"late-{number}"
        checker.on_sent(name, LOOKUP)
        if guarantee == Guarantee.DEADLINE:
            checker.on_run(name, RUN, 2.5)
        elif guarantee == Guarantee.ANSWERED_IN_TIME:
            checker.on_answer(name, 12.6, 504, "", b"")
        elif guarantee == Guarantee.CANCELLED_WITH_CALLER:
            checker.on_run(name, RUN, 1.9)
            checker.on_work_after_disconnect(name, 11.0, 10.4)
        else:
            checker.on_cut(name, 10.9, is_planned=False)


@pytest.mark.parametrize(
    "guarantee",
    [
        Guarantee.DEADLINE,
        Guarantee.ANSWERED_IN_TIME,
        Guarantee.CANCELLED_WITH_CALLER,
        Guarantee.NOT_CUT,
    ],
)
def test_time_bounds_hold_for_undisrupted_nodes_only(guarantee):
    checker = checker_module.Checker()
    observe_late_requests(checker, guarantee)
    assert violated_guarantees(checker) == [guarantee]
    disrupted = checker_module.Checker()
    disrupted.disruptions.add("n1", 7.0, 7.5)
    observe_late_requests(disrupted, guarantee)
    assert violated_guarantees(disrupted) == []
