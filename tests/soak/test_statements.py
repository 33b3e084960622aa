"""The soak finds requests that exceed what a backend server has stated."""

import pytest

from soak import checker as checker_module

Guarantee = checker_module.Guarantee
LOOKUP = checker_module.SentRequest(10.0, "n1", "s", True, 2.0)
RUN = checker_module.Run(10.1, "e1", "n2")
LIMIT = 5.0
ALLOWED = 35


def run_request(checker, number, at, is_told=False):
    request_id = f"r{number}"
    checker.on_sent(request_id, LOOKUP._replace(at=at))
    checker.on_arrival(at, request_id, "s", "e1")
    checker.on_run(request_id, RUN._replace(at=at), 2.0)
    if is_told:
        checker.on_backend_answer(request_id, "seal", 200, b"")
        checker.on_answer(request_id, at, 200, "seal", b"")


def limited_checker(at=10.0):
    checker = checker_module.Checker()
    checker.statements.state_limit("e1", LIMIT, at)
    run_request(checker, 0, at, is_told=True)
    return checker


def violated_guarantees(checker):
    return [violation.guarantee for violation in checker.violations()]


@pytest.mark.parametrize("excess", [0, 1])
def test_more_requests_than_the_limit_are_found(excess):
    checker = limited_checker()
    for number in range(1, ALLOWED + 1 + excess):
        run_request(checker, number, 15.0 + number * 0.05)
    assert violated_guarantees(checker) == [Guarantee.RATE_LIMIT] * excess


def test_limit_binds_after_it_was_stated_for_a_while():
    checker = limited_checker()
    for number in range(1, 100):
        run_request(checker, number, 13.9)
    assert violated_guarantees(checker) == []


def test_requests_of_nodes_that_were_not_told_do_not_count():
    checker = checker_module.Checker()
    checker.statements.state_limit("e1", LIMIT, 10.0)
    for number in range(1, 100):
        run_request(checker, number, 15.0)
    assert violated_guarantees(checker) == []


def test_requests_after_the_end_of_a_limit_do_not_count():
    checker = limited_checker()
    checker.statements.state_limit("e1", None, 14.5)
    for number in range(1, 100):
        run_request(checker, number, 15.0)
    assert violated_guarantees(checker) == []


@pytest.mark.parametrize(("sent_at", "is_broken"), [(12.4, 0), (12.6, 1)])
def test_request_to_a_backend_server_that_stated_its_leaving(
    sent_at, is_broken
):
    checker = checker_module.Checker()
    checker.statements.state_leaving("e1")
    run_request(checker, 1, 10.0, is_told=True)
    run_request(checker, 2, sent_at)
    assert violated_guarantees(checker) == (
        [Guarantee.NOTHING_NEW_WHEN_LEAVING] * is_broken
    )


def test_limits_that_change_bind_without_a_pause():
    checker = limited_checker()
    checker.statements.state_limit("e1", 1.0, 13.0)
    for number in range(1, 13):
        run_request(checker, number, 14.5)
    assert violated_guarantees(checker) == [Guarantee.RATE_LIMIT]
