"""Errors of requests to the local backend server."""

from clementinekeel.runtime import errors


class BackendError(errors.StepError):
    """A request to the backend server got no complete answer.

    Parameters
    ----------
    step : str
        ``acquire``, ``connect``, ``send``, ``receive head`` or
        ``receive body``.
    peer : str
        Address of the backend server.
    reason : str
        What went wrong.
    was_sent : bool
        False if no byte of the request was sent, so that it certainly did
        not run.
    """

    def __init__(
        self, step: str, peer: str, reason: str, was_sent: bool
    ) -> None:
        super().__init__(step, peer, reason)
        self.was_sent = was_sent
