"""A request that was offered to a gate."""

import asyncio
from typing import Any, Protocol

from clementinekeel.backends import http1
from clementinekeel.nodes import frames
from clementinekeel.nodes import transit as transit_module


class Sender(Protocol):
    """Link or loopback on which an offer came."""

    streams: dict[int, Any]
    transit: transit_module.DelayEstimator

    def send(self, frame: frames.Frame) -> None:
        """Send a frame back."""


class Job:
    """One offered request."""

    def __init__(
        self,
        sender: Sender,
        offer: frames.Offer,
        expires_at: float,
        arrived_at: float,
    ) -> None:
        self.sender = sender
        self.offer = offer
        self.expires_at = expires_at
        self.arrived_at = arrived_at
        self.parts = [offer.body]
        self.missing = offer.body_bytes - len(offer.body)
        self.number = 0
        self.connection: http1.HttpConnection | None = None
        self.started_at = 0.0
        self.sent_at = 0.0
        self.is_over = False
        self.is_resent = False
        self.is_starved = False
        self.timer: asyncio.TimerHandle | None = None
