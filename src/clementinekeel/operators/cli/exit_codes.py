"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    """Refused, or an input has faults."""
    USAGE = 2
    UNDETERMINED = 3
    """Not known yet; a later query may give the outcome."""
    UNREACHABLE = 4
    """The store or the node cannot be reached, or gives no usable answer."""


EXPLANATION = """\
<b>Exit codes:</b>
  0  done
  1  refused, or an input has faults
  2  wrong usage
  3  not known yet
  4  the store or the node cannot be reached"""
