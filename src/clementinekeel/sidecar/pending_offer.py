"""An offer of a request to an endpoint, while it has no result."""

from clementinekeel.nodes import frames
from clementinekeel.sidecar import peer as peer_module


class PendingOffer:
    """One offer, and the part of its answer that has arrived.

    Attributes
    ----------
    peer : Peer
        Node to which the request is offered.
    offered_at : float
        When the offer was made, in seconds of the runtime's clock.
    has_used_budget : bool
        Whether the offer was charged to a retry budget.
    has_changed_link : bool
        Whether the link of the offer has been replaced.
    is_overdue : bool
        Whether the request was offered elsewhere for want of an answer, and
        this offer counts as a possible run.
    answer : Answer or None
        Its first part, once that has arrived.
    missing_bytes : int
        Bytes of the answer's body that have not arrived.
    """

    def __init__(
        self,
        peer: peer_module.Peer,
        offered_at: float,
        has_used_budget: bool = False,
    ) -> None:
        self.peer = peer
        self.offered_at = offered_at
        self.has_used_budget = has_used_budget
        self.has_changed_link = False
        self.is_overdue = False
        self.answer: frames.Answer | None = None
        self.missing_bytes = 0
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Body of the answer, as far as it has arrived."""
        return b"".join(self._parts)

    def on_answer(self, answer: frames.Answer) -> None:
        """Begin an answer."""
        self.answer = answer
        self._parts = [answer.body]
        self.missing_bytes = answer.body_bytes - len(answer.body)

    def on_part(self, data: bytes) -> None:
        """Add a further part of the answer's body."""
        self._parts.append(data)
        self.missing_bytes -= len(data)

    def on_link_replaced(self) -> None:
        """Discard a partial answer: all of it comes again."""
        self.has_changed_link = True
        self.answer = None
        self._parts = []
        self.missing_bytes = 0
