"""The exchange with a caller: one request and its answer."""

import asyncio
from collections.abc import Callable

from clementinekeel.callers import http1
from clementinekeel.nodes import frames
from clementinekeel.routing import table
from clementinekeel.sidecar import job as job_module
from clementinekeel.sidecar import pending_offer


class Exchange:
    """One request of a caller, with its offers to endpoints and its answer.

    Attributes
    ----------
    expires_at : float
        When the caller stops waiting, in seconds of the runtime's clock.
    fingerprint : int
        Equal for requests that only differ in their identifier.
    pending : dict of int to PendingOffer
        Offers without a result, by stream, in the order in which they were
        made.
    depth : int
        Calls above this request in its call chain.
    parent_job : Job or None
        Request of the local backend server that caused this one.
    is_call_of_retry : bool
        Whether a run that was a retry, or a call below one, made this request.
    is_admitted : bool
        Whether the request was routed and not throttled.
    offers : int
        Number of offers made so far.
    tried_nodes : set of str
        Nodes to which the request is not offered again; reset to
        ``failed_nodes`` when a backend server refuses it.
    waiting_at : list of str
        Nodes whose result was still awaited when the request ended.
    attempt_timeout_at : float
        When an idempotent request is offered to another endpoint.
    backend_arrivals : int
        Offers after which the request arrived, or may have arrived, at a
        backend server.
    stopping_refusals : int
        Offers that stopping nodes have refused.
    has_unused_retry : bool
        Whether a retry that was charged to a budget has not reached a backend
        server.
    possible_runs : int
        Offers after which the request may have run.
    retry_after_ms : int
        Shortest retry delay that a refusal stated; 0 if there was none.
    last_reason : str
        Reason of the last refusal or failure; empty before.
    answer : Answer or None
        First part of the answer that the caller got.
    """

    def __init__(
        self,
        connection: http1.ServerConnection,
        on_cancel: Callable[["Exchange"], None],
    ) -> None:
        self._on_cancel = on_cancel
        self.connection = connection
        self.request_id = ""
        self.route: table.Route | None = None
        self.service = ""
        self.head = b""
        self.body = b""
        self.is_head = False
        self.fingerprint = 0
        self.started_at = 0.0
        self.expires_at = 0.0
        self.has_ended = False
        self.pending: dict[int, pending_offer.PendingOffer] = {}
        self.rank = 0
        self.chain_age_ms = 0
        self.depth = 0
        self.parent_job: job_module.Job | None = None
        self.is_call_of_retry = False
        self.is_admitted = False
        self.offers = 0
        self.tried_nodes: set[str] = set()
        self.waiting_at: list[str] = []
        # Nodes on which the request may have run without an answer.
        self.failed_nodes: set[str] = set()
        self.attempt_timeout_at = float("inf")
        self.backend_arrivals = 0
        self.stopping_refusals = 0
        self.has_unused_retry = False
        self.possible_runs = 0
        self.retry_after_ms = 0
        self.last_reason = ""
        self.answer: frames.Answer | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_retry(self) -> bool:
        """Whether the next offer counts as a retry at its service."""
        return self.is_call_of_retry or self.backend_arrivals > 0

    def cancel(self) -> None:
        """End the request, since its caller has closed the connection."""
        self._on_cancel(self)
