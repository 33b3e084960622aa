"""Retry budgets of one node by service."""

from clementinekeel.retries import service_budgets

LIMITS = service_budgets.RetryLimits(ratio=0.2, extra=40, window_s=10)


def budgets_after_requests(count):
    budgets = service_budgets.ServiceBudgets(LIMITS, 0.0, 0.0, lambda: 1)
    for index in range(count):
        budgets.on_request("s", 50 + index * 5 / count, False)
    return budgets


def consume(budgets, retries, total, is_urgent=False):
    shares = service_budgets.RetryShares(retries, total)
    return sum(
        budgets.try_consume("s", 55, shares, is_urgent) for _ in range(1_000)
    )


def consume_calls(budgets, total):
    return sum(budgets.try_consume_call("s", 55, total) for _ in range(1_000))


def test_calls_of_retries_have_room_when_retries_have_none():
    """Calls of retries were refused while retries used the whole budget, so
    that the runs above were wasted.
    """
    budgets = budgets_after_requests(1_000)
    used = consume(budgets, 0.7, 0.7)
    assert 139 <= used <= 140
    assert consume(budgets, 0.7, 0.7) == 0
    assert 169 <= used + consume_calls(budgets, 0.85) <= 170


def test_retries_and_calls_of_retries_stay_within_the_total():
    budgets = budgets_after_requests(1_000)
    calls = consume_calls(budgets, 0.5)
    assert 99 <= calls <= 100
    assert 129 <= calls + consume(budgets, 0.6, 0.65) <= 130


def test_calls_of_retries_leave_room_for_retries_that_are_not_urgent():
    """They once used up all that was not reserved for urgent requests, so
    that lookups were not retried where half of the budget was left.
    """
    budgets = budgets_after_requests(750)
    for _ in range(250):
        budgets.on_request("s", 55, True)
    consume_calls(budgets, 0.4)
    assert 29 <= consume(budgets, 0.6, 0.8) <= 36


def test_services_have_budgets_of_their_own():
    budgets = budgets_after_requests(1_000)
    consume(budgets, 1.0, 1.0)
    assert not budgets.try_consume_call("t", 55, 1.0)
    budgets.on_request("t", 55, False)
    assert [service for service, _ in budgets.by_service] == ["s", "t"]
