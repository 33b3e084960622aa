"""Policy for call chains: rank, age, retry budgets and throttling.

A call chain is a caller's request with all calls that backend servers make to
answer it, directly or through other services.
"""

import asyncio
from collections.abc import Callable, Iterator
import random

from clementinekeel.admission import throttle
from clementinekeel.retries import service_budgets
from clementinekeel.routing import table
from clementinekeel.sidecar import exchange as exchange_module
from clementinekeel.sidecar import job as job_module
from clementinekeel.sidecar import metrics as metrics_module
from clementinekeel.sidecar import settings as settings_module

RETRY_SHARES = (
    service_budgets.RetryShares(0.2, 0.25),
    service_budgets.RetryShares(0.25, 0.45),
    service_budgets.RetryShares(0.3, 0.65),
    service_budgets.RetryShares(0.8, 0.8),
)
"""Parts of the platform's retry ratio for retries to a service, by the depth
of the calls to it. A request that is retried makes its calls again, which uses
the budget of each downstream service, so that services above leave some of it
to those below."""
CALL_OF_RETRY_SHARE = 0.9
"""Share of the ratio up to which a node sends calls of runs that are retries;
the nodes beside the backend servers have the rest, for resends."""
EXTRA_RETRY_SHARE = 0.4
"""Share of the extra retries, which all nodes have in common, that they divide
among themselves. A window in which all processes are restarted has up to twice
as many."""
OVERLOAD_REASONS = frozenset(
    ("overload", "displaced", "deadline", "timeout", "throttled")
)
"""Reasons for which a request ended that mean a lack of capacity. Endpoints
that are unknown, leaving or faulty are not among them: fewer requests would
not help."""


class ChainPolicy:
    """Decides how a request is treated as a part of its call chain.

    Parameters
    ----------
    find_job : callable
        Returns the job of the backend server on this VM with a request
        identifier, or None.
    count_nodes : callable
        Returns the number of known nodes, this one included; 0 if the list of
        nodes was never read.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        find_job: Callable[[str], job_module.Job | None],
        count_nodes: Callable[[], int],
        metrics: metrics_module.NodeMetrics,
    ) -> None:
        self._metrics = metrics
        self._find_job = find_job
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._retry_budgets = service_budgets.ServiceBudgets(
            settings.retry_limits,
            EXTRA_RETRY_SHARE,
            self._loop.time(),
            count_nodes,
        )
        self._depths: dict[str, int] = {}
        self._route_throttles: dict[str, throttle.RouteThrottle] = {}

    @property
    def admitted_shares(self) -> dict[str, float]:
        """Share of the requests that is admitted, by throttled route."""
        now = self._loop.time()
        return {
            name: route_throttle.admitted_share(now)
            for name, route_throttle in self._route_throttles.items()
        }

    @property
    def retry_budgets(self) -> service_budgets.ServiceBudgets:
        """Retry budgets of this node."""
        return self._retry_budgets

    @property
    def retry_samples(self) -> Iterator[metrics_module.Sample]:
        """Retries and extra retries of each service in the window."""
        now = self._loop.time()
        for service, budget in self._retry_budgets.by_service:
            labels = {"service": service}
            yield metrics_module.Sample(
                "retries_in_window", labels, budget.retries(now)
            )
            yield metrics_module.Sample("retry_extra", labels, budget.extra)

    def inherit(
        self, exchange: exchange_module.Exchange, route: table.Route
    ) -> None:
        """Inherit rank, age and deadline from the request that caused a call.

        In the request identifier of a backend server's call, the part before
        the last dot is the identifier of the request that caused the call. A
        request without such a parent starts a call chain of its own.
        """
        # Within a rank, requests that are not idempotent are shed last.
        exchange.rank = 2 * route.rank + int(route.is_idempotent)
        parent_id = exchange.request_id.rpartition(".")[0]
        parent = self._find_job(parent_id) if parent_id else None
        if parent is None:
            return
        offer = parent.offer
        exchange.parent_job = parent
        exchange.rank = offer.rank
        exchange.depth = offer.depth + 1
        exchange.is_call_of_retry = parent.is_retry
        age_s = exchange.started_at - parent.arrived_at
        exchange.chain_age_ms = offer.chain_age_ms + round(age_s * 1000)
        exchange.expires_at = min(exchange.expires_at, parent.expires_at)

    def may_begin(self, exchange: exchange_module.Exchange) -> bool:
        """Tell whether a request may be offered for the first time.

        A call of a run that is a retry uses the budget of the service that is
        called.
        """
        if not exchange.is_call_of_retry:
            return True
        is_allowed = self._retry_budgets.try_consume_call(
            exchange.service, self._loop.time(), CALL_OF_RETRY_SHARE
        )
        self._metrics.on_retry(
            exchange.service,
            metrics_module.RetryCause.CALL_OF_RETRY,
            is_allowed,
        )
        return is_allowed

    def is_throttled(self, exchange: exchange_module.Exchange) -> bool:
        """Tell whether a request is to be refused by its route's throttle.

        Only requests that start a call chain are refused, chosen at random.
        """
        route = exchange.route
        if route is None or exchange.parent_job is not None:
            return False
        share = self._route_throttle(route).admitted_share(self._loop.time())
        return self._random.random() >= share

    def on_request(self, exchange: exchange_module.Exchange) -> None:
        """Count a request for the retry budget of its service.

        Requests that the throttle refuses count too, so that the budget does
        not shrink while it acts. Calls of retries are retries themselves.
        """
        if exchange.is_call_of_retry:
            return
        self._retry_budgets.on_request(
            exchange.service, self._loop.time(), exchange.rank == 0
        )

    def try_consume_retry(
        self,
        exchange: exchange_module.Exchange,
        route: table.Route,
        uncounted_runs: int = 0,
    ) -> bool:
        """Use one retry of the service's budget; return False if it has none.

        False also if the request may have run as often as its route allows.

        Parameters
        ----------
        uncounted_runs : int
            Offers after which the request may have run, and which the
            exchange does not count yet.
        """
        if exchange.possible_runs + uncounted_runs >= route.max_attempts:
            return False
        depth = max(self._depths.get(exchange.service, 0), exchange.depth)
        self._depths[exchange.service] = depth
        shares = RETRY_SHARES[min(depth, len(RETRY_SHARES) - 1)]
        is_allowed = self._retry_budgets.try_consume(
            exchange.service, self._loop.time(), shares, exchange.rank == 0
        )
        self._metrics.on_retry(
            exchange.service,
            metrics_module.RetryCause.OFFERED_AGAIN,
            is_allowed,
        )
        return is_allowed

    def on_ended(
        self, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        """Record whether the end of a request was an overload failure."""
        answer = exchange.answer
        is_overload_failure = reason in OVERLOAD_REASONS
        if answer is not None:
            is_overload_failure = answer.is_dependency_overloaded
        parent = exchange.parent_job
        if parent is not None:
            parent.is_dependency_overloaded = (
                parent.is_dependency_overloaded or is_overload_failure
            )
        elif exchange.is_admitted and exchange.route is not None:
            self._route_throttle(exchange.route).on_ended(is_overload_failure)

    def _route_throttle(self, route: table.Route) -> throttle.RouteThrottle:
        route_throttle = self._route_throttles.get(route.name)
        if route_throttle is None:
            route_throttle = self._route_throttles[route.name] = (
                throttle.RouteThrottle()
            )
        return route_throttle
