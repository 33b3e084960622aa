"""Errors of task groups."""


def first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error in a group that is not a group itself.

    Raise it in an ``except`` clause: what an ``except*`` clause raises is
    wrapped into a group again.
    """
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
