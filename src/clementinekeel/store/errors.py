"""Errors of calls to the store."""

from clementinekeel.runtime import errors


class StoreError(errors.StepError):
    """A call to the store failed or its answer is unusable."""


class Unavailable(StoreError):
    """No answer to a read, or a write that was certainly not sent."""


class AnswerTooLarge(StoreError):
    """The answer to a read exceeds the size that the client accepts."""


class Undetermined(StoreError):
    """A write was sent but not confirmed; it may have taken effect."""


class Rejected(StoreError):
    """The request was refused and has had no effect."""


class RateLimited(Rejected):
    """The request was refused because of the store's rate limit."""


class Compacted(Rejected):
    """The requested revision has been compacted."""
