"""Standard streams that are usable however the process was started."""

import os
import sys

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


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
