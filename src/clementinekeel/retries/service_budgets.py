"""Retry budgets of one node for the services that it sends requests to."""

from collections.abc import Callable, ItemsView
import random
from typing import NamedTuple

from clementinekeel.retries import extra
from clementinekeel.retries import window


class RetryLimits(NamedTuple):
    """The operators' limits on the retries of a service, over all nodes.

    Attributes
    ----------
    ratio : float
        Retries in a window as a share of the requests.
    extra : int
        Retries in a window beyond that share.
    window_s : float
        Length of the window.
    """

    ratio: float
    extra: int
    window_s: float


class RetryShares(NamedTuple):
    """Parts of the operators' ratio that retries to a service may use.

    Attributes
    ----------
    retries : float
        Part for requests that are offered again; some of it is reserved for
        urgent requests.
    total : float
        Part at which such retries stop, calls of retries included.
    """

    retries: float
    total: float


class ServiceBudgets:
    """Budgets by service, with one part of the extra retries each.

    Parameters
    ----------
    extra_share : float
        Share of the extra retries that the nodes divide among themselves.
    started_at : float
        When the process started, in seconds of the runtime's clock.
    count_nodes : callable
        Returns the number of known nodes, this one included; 0 if the list of
        nodes was never read.
    """

    def __init__(
        self,
        limits: RetryLimits,
        extra_share: float,
        started_at: float,
        count_nodes: Callable[[], int],
    ) -> None:
        self._limits = limits
        self._extra_retries = extra.ExtraRetries(
            limits.extra * extra_share, limits.window_s, started_at
        )
        self._count_nodes = count_nodes
        self._budgets: dict[str, window.WindowedBudget] = {}

    @property
    def by_service(self) -> ItemsView[str, window.WindowedBudget]:
        """The services with their budgets."""
        return self._budgets.items()

    def on_request(self, service: str, now: float, is_urgent: bool) -> None:
        """Count a request; not to be called for retries."""
        self._budget(service).on_first_attempt(now, is_urgent)

    def try_consume(
        self,
        service: str,
        now: float,
        shares: RetryShares,
        is_urgent: bool,
    ) -> bool:
        """Use one retry; return False if the budget has none."""
        ratio = self._limits.ratio
        return self._updated_budget(service, now).try_consume(
            now, shares.retries * ratio, is_urgent, shares.total * ratio
        )

    def try_consume_call(self, service: str, now: float, total: float) -> bool:
        """Use the budget for a call of a retry; return False if it has none.

        Parameters
        ----------
        total : float
            As in ``RetryShares``.
        """
        return self._updated_budget(service, now).try_consume_call(
            now, total * self._limits.ratio
        )

    def _updated_budget(
        self, service: str, now: float
    ) -> window.WindowedBudget:
        budget = self._budget(service)
        budget.extra = self._extra_retries.part(now, self._count_nodes())
        return budget

    def _budget(self, service: str) -> window.WindowedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = window.WindowedBudget(
                self._limits.window_s, rounding=random.random()
            )
        return budget
