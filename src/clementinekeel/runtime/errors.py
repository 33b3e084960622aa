"""Base class of errors that name the failed step and the peer."""


class StepError(Exception):
    """Failure of one step in handling a request or a message.

    Parameters
    ----------
    step : str
        Step that failed, for example ``"decode"`` or ``"connect"``.
    peer : str
        Party at the other end, for example a node id or an address.
    reason : str
        What went wrong.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} ({peer}): {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
