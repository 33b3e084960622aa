"""Retry budgets of one node by service."""

from clementinekeel.retries import service_budgets

LIMITS = service_budgets.RetryLimits(ratio=0.2, extra=40, window_s=10)


def budgets_after_requests(count):
    budgets = service_budgets.ServiceBudgets(LIMITS, 0.0, 0.0, lambda: 1)
    for index in range(count):
        budgets.on_request("s", 50 + index * 5 / count, False)
    return budgets


def consume(budgets, share):
    return sum(
        budgets.try_consume("s", 55, share, False) for _ in range(1_000)
    )


def test_larger_share_is_left_when_a_smaller_one_is_used_up():
    """Calls of retries were refused while retries used the whole budget, so
    that the runs above were wasted.
    """
    budgets = budgets_after_requests(1_000)
    used = consume(budgets, 0.7)
    assert 139 <= used <= 140
    assert consume(budgets, 0.7) == 0
    assert 169 <= used + consume(budgets, 0.85) <= 170


def test_services_have_budgets_of_their_own():
    budgets = budgets_after_requests(1_000)
    consume(budgets, 1.0)
    assert not budgets.try_consume("t", 55, 1.0, False)
    budgets.on_request("t", 55, False)
    assert [service for service, _ in budgets.by_service] == ["s", "t"]
