"""Standard streams that are usable however the process was started."""

import io
import os
import select
import sys

MAX_MESSAGE_BYTES = 4_000
"""A pipe that takes a byte takes 4,096 without blocking."""
_STDERR = 2
_MODES = {"stdin": "r", "stdout": "w", "stderr": "w"}


def open_missing() -> None:
    """Open each missing standard stream on the null device.

    Otherwise, the next file or socket to be opened gets the descriptor of the
    stream. It must be called before anything else opens a descriptor for long.
    """
    for descriptor, (name, mode) in enumerate(_MODES.items()):
        if not _is_open(descriptor):
            opened = os.open(os.devnull, os.O_RDWR)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)
        if getattr(sys, name) is None:
            stream = os.fdopen(
                descriptor, mode, encoding="utf-8", closefd=False
            )
            setattr(sys, name, stream)


def print_error(message: str) -> None:
    """Print a message on standard error if it can take it at once.

    A process that has to end must not wait for a reader, and a message that
    cannot be printed leaves nothing to be printed at the end, which would
    change the exit code.
    """
    if not _is_writable(_STDERR):
        return
    encoded = message.encode(errors="backslashreplace")[:MAX_MESSAGE_BYTES]
    try:
        print(encoded.decode(errors="ignore"), file=sys.stderr, flush=True)
    except OSError:
        # No other place is left for the message or for this error.
        sys.stderr = io.StringIO()


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def _is_writable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))
