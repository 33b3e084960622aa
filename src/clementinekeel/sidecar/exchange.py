"""A request of a caller, from its arrival to its answer."""

import asyncio
from collections.abc import Callable

from clementinekeel.callers import http1
from clementinekeel.nodes import frames
from clementinekeel.routing import table
from clementinekeel.sidecar import job as job_module
from clementinekeel.sidecar import peer as peer_module


class Exchange:
    """One request of a caller."""

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
        self.started_at = 0.0
        self.expires_at = 0.0
        self.has_ended = False
        self.peer: peer_module.Peer | None = None
        self.stream = 0
        self.rank = 0
        self.age_ms = 0
        self.depth = 0
        self.parent_job: job_module.Job | None = None
        self.has_begun = False
        self.offers = 0
        self.tried_nodes: set[str] = set()
        # Nodes where the request may have run and gave no answer.
        self.failed_nodes: set[str] = set()
        self.attempt_timeout_at = float("inf")
        self.backend_arrivals = 0
        self.possible_runs = 0
        self.retry_after_ms = 0
        self.last_reason = ""
        self.offered_at = 0.0
        self.answer: frames.Answer | None = None
        self.answer_parts: list[bytes] = []
        self.missing_answer_bytes = 0
        self.timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """End the request: its caller has left."""
        self._on_cancel(self)

    def discard_partial_answer(self) -> None:
        """Forget the parts of an answer that did not arrive whole."""
        self.answer = None
        self.answer_parts = []
        self.missing_answer_bytes = 0
