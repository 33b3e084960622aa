"""Errors of calls to the backend server."""

from clementinekeel.runtime import errors


class BackendError(errors.StepError):
    """A call to the backend server gave no whole answer.

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
        False if no byte of the request was written, so that it certainly
        did not run.
    """

    def __init__(
        self, step: str, peer: str, reason: str, was_sent: bool
    ) -> None:
        super().__init__(step, peer, reason)
        self.was_sent = was_sent
