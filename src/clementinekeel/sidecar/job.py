"""A request that was offered to the inbound proxy of a node.

The log and the metrics call such a request a job (``job_ended``,
``jobs_total``).
"""

import asyncio
from typing import Any, Protocol

from clementinekeel.backends import http1
from clementinekeel.nodes import frames
from clementinekeel.nodes import result_memory
from clementinekeel.nodes import transit as transit_module


class Sender(Protocol):
    """Link or loopback that delivered an offer."""

    streams: dict[int, Any]
    last_stream: int
    transit: transit_module.DelayEstimator

    def send_result(self, frame: result_memory.Result) -> None:
        """Send a part of a result to the node that made the offer."""


class Job:
    """One offered request and its progress.

    Attributes
    ----------
    sender : Sender
        Where the answer, the refusal or the failure is sent.
    expires_at : float
        When the caller stops waiting, in seconds of the runtime's clock.
    is_own : bool
        Whether this node took the request from its caller.
    missing_bytes : int
        Bytes of the body that have not arrived.
    number : int
        Number of its request in the slot queue; 0 before the job is queued.
    started_at : float
        When the job was admitted to a slot; 0 before.
    sent_at : float
        When the request was last sent to the backend server; 0 before.
    is_resent : bool
        Whether the request was sent again after a stale connection.
    is_dependency_overloaded : bool
        Whether a call that the backend server made for this request ended
        for lack of capacity.
    """

    def __init__(
        self,
        sender: Sender,
        offer: frames.Offer,
        expires_at: float,
        arrived_at: float,
        is_own: bool = False,
    ) -> None:
        self.sender = sender
        self.offer = offer
        self.expires_at = expires_at
        self.arrived_at = arrived_at
        self.is_own = is_own
        self.body_parts = [offer.body]
        self.missing_bytes = offer.body_bytes - len(offer.body)
        self.number = 0
        self.connection: http1.HttpConnection | None = None
        self.started_at = 0.0
        self.sent_at = 0.0
        self.has_ended = False
        self.is_resent = False
        self.is_dependency_overloaded = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_retry(self) -> bool:
        """Whether the calls made for the request count as retries."""
        return self.offer.is_retry or self.is_resent
