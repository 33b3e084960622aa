"""Entry point of the command ``clementinekeel``."""

import signal
import sys

_PLATFORM_NODE = ["node", "--platform"]

if sys.argv[1:] == _PLATFORM_NODE:
    # A SIGHUP would end a process that is still starting. It has no settings
    # to read again yet, so that the signal can be ignored. No import that
    # takes time comes before.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The mask is inherited. A node that does not get SIGTERM has no planned stop
# and is killed with its requests.
signal.pthread_sigmask(
    signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
)

from clementinekeel.runtime import standard_streams  # noqa: E402

# Before the other imports, since a library may keep a descriptor open.
standard_streams.open_missing()

import importlib  # noqa: E402
from typing import Any  # noqa: E402

_NODE_ARGUMENTS = 3


def main() -> None:
    """Run the command line and exit with its code."""
    arguments = sys.argv[1:]
    if _is_plain_node(arguments):
        # A node stays in memory for long, so it is started without the
        # command line library, which takes 4 MB.
        daemon: Any = importlib.import_module("clementinekeel.daemon.main")
        sys.exit(daemon.run_file(arguments[-1]))
    if arguments == _PLATFORM_NODE:
        platform: Any = importlib.import_module("clementinekeel.platform.main")
        sys.exit(platform.run())
    application: Any = importlib.import_module(
        "clementinekeel.operators.cli.application"
    )
    sys.exit(application.build().run())


def _is_plain_node(arguments: list[str]) -> bool:
    if len(arguments) != _NODE_ARGUMENTS:
        return False
    return arguments[:2] == ["node", "--settings"]


if __name__ == "__main__":
    main()
