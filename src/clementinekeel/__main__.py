"""Entry point of the command ``clementinekeel``."""

import importlib
import signal
import sys
from typing import Any

_NODE_ARGUMENTS = 3


def main() -> None:
    """Run the command line and exit with its code."""
    arguments = sys.argv[1:]
    if _is_plain_node(arguments):
        # A node stays in memory for long, so it is started without the
        # command line library, which takes 4 MB.
        daemon: Any = importlib.import_module("clementinekeel.daemon.main")
        sys.exit(daemon.run_file(arguments[-1]))
    if arguments == ["node", "--platform"]:
        # Its settings are read after this; a signal that they have changed
        # would otherwise end a process that is still starting.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
