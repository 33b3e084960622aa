"""Decisions per second and memory of a node's retry budgets.

Run with ``python -m bench.retry_budget``. Each service has 40 requests a
second over two windows, and a retry is asked for with each of them.
"""

import time
import tracemalloc

from clementinekeel.retries import service_budgets

SERVICE_COUNTS = [1, 10, 100]
REQUESTS = 800
REQUESTS_PER_S = 40
LIMITS = service_budgets.RetryLimits(ratio=0.2, extra=107, window_s=10)
SHARES = service_budgets.RetryShares(retries=0.8, total=0.8)
CALL_SHARE = 0.9
NODES = 79
ROW_FORMAT = "{:>9} {:>15} {:>14}"


def fill(services: int) -> service_budgets.ServiceBudgets:
    """Return budgets that have counted the requests of two windows."""
    budgets = service_budgets.ServiceBudgets(LIMITS, 0.4, 0.0, lambda: NODES)
    for number in range(REQUESTS):
        now = 1_000 + number / REQUESTS_PER_S
        for service in map(str, range(services)):
            budgets.on_request(service, now, number % 4 == 0)
            budgets.try_consume(service, now, SHARES, is_urgent=False)
            budgets.try_consume_call(service, now, CALL_SHARE)
    return budgets


def main() -> None:
    """Print the table."""
    print(ROW_FORMAT.format("services", "us a request", "bytes/service"))
    for services in SERVICE_COUNTS:
        started_s = time.perf_counter()
        fill(services)
        spent_s = time.perf_counter() - started_s
        tracemalloc.start()
        budgets = fill(services)
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        if len(budgets.by_service) != services:
            raise RuntimeError("a service has no budget")
        request_us = spent_s / REQUESTS / services * 1e6
        print(
            ROW_FORMAT.format(
                services,
                f"{request_us:.1f}",
                f"{held_bytes / services:,.0f}",
            )
        )


if __name__ == "__main__":
    main()
