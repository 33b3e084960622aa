"""Exception groups that task groups raise."""


def first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error of a group, looking inside nested groups.

    Raise this error from an ``except`` clause: Python wraps an exception that
    an ``except*`` clause raises in a new group.
    """
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
