"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """What a command reports to its shell."""

    DONE = 0
    REFUSED = 1
    """Refused, or an input has faults."""
    USAGE = 2
    UNDETERMINED = 3
    """Not known yet; asking again later may tell."""
    UNREACHABLE = 4
    """The store or the node cannot be reached."""


EXPLANATION = """\
<b>Exit codes:</b>
  0  done
  1  refused, or an input has faults
  2  wrong usage
  3  not known yet
  4  the store or the node cannot be reached"""
