"""Base error type: each error names its step and its peer."""


class StepError(Exception):
    """An error in one step of handling a request or a message.

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
