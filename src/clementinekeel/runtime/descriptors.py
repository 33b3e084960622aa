"""Limit of the operating system on open file descriptors."""

import resource


def raise_limit(wanted: int) -> None:
    """Raise this process's own limit to a number, or as far as allowed."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError):
        # The lower limit stays in force; ``limit`` returns it.
        return


def limit(allowed: int) -> int:
    """Return how many of an allowed number this process can have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return allowed
    return min(allowed, soft)
