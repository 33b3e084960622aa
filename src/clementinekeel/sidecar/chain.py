"""What the requests of a chain of calls share: rank, age and budgets."""

import asyncio
from collections.abc import Callable
import random

from clementinekeel.admission import throttle
from clementinekeel.retries import window
from clementinekeel.routing import table
from clementinekeel.sidecar import exchange as exchange_module
from clementinekeel.sidecar import job as job_module
from clementinekeel.sidecar import settings as settings_module

BUDGET_SHARES = (0.1, 0.15, 0.2, 0.75)
"""Part of the platform's retry ratio that a node uses for a service, by the
depth of the calls to it. A request that is sent twice makes its calls twice,
which counts at each service below, so that the shares of a chain add up."""
EXTRA_SHARE = 0.5
"""Part of the extra repeats, allowed to all nodes together, that is dealt out;
a node may not know all others yet."""
STARVED_REASONS = frozenset(
    ("overload", "displaced", "deadline", "timeout", "throttled")
)
"""Ends that mean lack of room. Endpoints that are unknown, leaving or faulty
are not among them: fewer requests would not help."""


class ChainPolicy:
    """Decides what a request may do as a part of its chain of calls.

    Parameters
    ----------
    find_job : callable
        Returns the request that the backend server is running under an
        identifier, or None.
    count_nodes : callable
        Returns the number of known nodes, this one included.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        find_job: Callable[[str], job_module.Job | None],
        count_nodes: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._find_job = find_job
        self._count_nodes = count_nodes
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._budgets: dict[str, window.WindowedBudget] = {}
        self._depths: dict[str, int] = {}
        self._throttles: dict[str, throttle.RouteThrottle] = {}

    @property
    def admitted_shares(self) -> dict[str, float]:
        """Share of the requests that may begin, for each throttled route."""
        now = self._loop.time()
        return {
            name: limiter.admitted_share(now)
            for name, limiter in self._throttles.items()
        }

    def join(
        self, exchange: exchange_module.Exchange, route: table.Route
    ) -> None:
        """Take rank, age and deadline from the request that makes a call.

        A backend server's calls name the request that makes them by the part
        of their identifier before the last dot. Without that they count as
        requests of their own.
        """
        # Of one rank, requests that may run only once are shed last.
        exchange.rank = 2 * route.rank + int(route.is_idempotent)
        parent_id = exchange.request_id.rpartition(".")[0]
        parent = self._find_job(parent_id) if parent_id else None
        if parent is None:
            return
        offer = parent.offer
        exchange.parent = parent
        exchange.rank = offer.rank
        exchange.depth = offer.depth + 1
        age_s = exchange.started_at - parent.arrived_at
        exchange.age_ms = offer.age_ms + round(age_s * 1000)
        exchange.expires_at = min(exchange.expires_at, parent.expires_at)

    def is_throttled(self, exchange: exchange_module.Exchange) -> bool:
        """Tell whether a request must not begin, for lack of room below."""
        route = exchange.route
        if route is None or exchange.parent is not None:
            return False
        share = self._throttle(route).admitted_share(self._loop.time())
        return self._random.random() >= share

    def on_first_attempt(self, exchange: exchange_module.Exchange) -> None:
        """Count a request for the retry budget of its service."""
        self._budget(exchange.service).on_first_attempt(
            self._loop.time(), exchange.rank == 0
        )

    def may_repeat(
        self,
        exchange: exchange_module.Exchange,
        route: table.Route,
        runs: int = 0,
    ) -> bool:
        """Tell whether a request may arrive at one more endpoint.

        Parameters
        ----------
        runs : int
            Runs that are not counted in the exchange yet.
        """
        if exchange.runs + runs >= route.max_attempts:
            return False
        depth = max(self._depths.get(exchange.service, 0), exchange.depth)
        self._depths[exchange.service] = depth
        share = BUDGET_SHARES[min(depth, len(BUDGET_SHARES) - 1)]
        return self._budget(exchange.service).take(
            self._loop.time(),
            share * self._settings.retry_ratio,
            exchange.rank == 0,
        )

    def on_ended(
        self, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        """Tell the chain whether a request ended for lack of room."""
        answer = exchange.answer
        is_starved = reason in STARVED_REASONS
        if answer is not None:
            is_starved = answer.is_dependency_overloaded
        parent = exchange.parent
        if parent is not None:
            parent.is_starved = parent.is_starved or is_starved
        elif exchange.is_begun and exchange.route is not None:
            self._throttle(exchange.route).on_ended(is_starved)

    def _throttle(self, route: table.Route) -> throttle.RouteThrottle:
        limiter = self._throttles.get(route.name)
        if limiter is None:
            limiter = self._throttles[route.name] = throttle.RouteThrottle()
        return limiter

    def _budget(self, service: str) -> window.WindowedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            nodes = max(1, self._count_nodes())
            budget = self._budgets[service] = window.WindowedBudget(
                self._settings.retry_window_ms / 1000,
                self._settings.retry_extra * EXTRA_SHARE / nodes,
                self._random.random(),
            )
        return budget
