"""What the backend server on this VM states about itself.

The statements come with its answers, or from other nodes after a restart of
this node.
"""

import asyncio
from collections.abc import Iterable

from clementinekeel.admission import stated_limit
from clementinekeel.backends import self_report
from clementinekeel.callers import dialect as dialect_module
from clementinekeel.nodes import frames
from clementinekeel.runtime import decision_log


class BackendStatements:
    """Statements of the present incarnation of the backend server.

    Attributes
    ----------
    published_limit_per_s : float or None
        Limit that other nodes know, in requests a second.
    """

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._dialect = dialect
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._report = self_report.SelfReport(None, False)
        self._limit = stated_limit.StatedLimit(self._loop.time())
        self.published_limit_per_s: float | None = None

    @property
    def limit_per_s(self) -> float | None:
        """Limit in force, in requests a second; None for no limit."""
        return self._limit.limit_per_s

    @property
    def has_answered(self) -> bool:
        """Whether an answer of the incarnation has arrived."""
        return self._limit.has_answered

    def begin_incarnation(self) -> None:
        """Forget the statements of the earlier incarnation."""
        self._limit = stated_limit.StatedLimit(self._loop.time())
        self.published_limit_per_s = None

    def on_answer(
        self,
        offer: frames.Offer,
        headers: Iterable[tuple[bytes, bytes]],
        sent_at: float,
    ) -> self_report.SelfReport:
        """Apply and return what an answer states.

        Parameters
        ----------
        sent_at : float
            When the request of the answer was sent.
        """
        report = self_report.decode(
            headers, self._dialect.rate_limit, self._dialect.leaving
        )
        if report.malformed_limit is None:
            self._limit.on_answer(
                report.rate_limit_per_s, sent_at, self._loop.time()
            )
        if report != self._report:
            self._report = report
            self._log_report(offer, report)
        return report

    def on_earlier_statement(
        self, statement: frames.EarlierStatement, node: str
    ) -> None:
        """Apply what was stated before this node started."""
        limit_per_s = statement.rate_limit_per_s
        if limit_per_s is not None:
            self._limit.on_earlier_statement(limit_per_s, self._loop.time())
        self._decisions.write(
            "statement_returned",
            False,
            endpoint=statement.endpoint,
            peer=node,
            stated_per_s=limit_per_s,
            rate_limit_per_s=self.limit_per_s,
            is_leaving=statement.is_leaving,
        )

    def _log_report(
        self, offer: frames.Offer, report: self_report.SelfReport
    ) -> None:
        self._decisions.write(
            "backend_reported",
            False,
            request_id=offer.request_id,
            endpoint=offer.endpoint,
            rate_limit_per_s=report.rate_limit_per_s,
            is_leaving=report.is_leaving,
            malformed_limit=(report.malformed_limit or b"").decode("latin-1"),
        )
