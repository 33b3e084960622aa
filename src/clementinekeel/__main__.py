"""Entry point of the command ``clementinekeel``."""

import sys

from clementinekeel.operators.cli import application


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(application.build().run())


if __name__ == "__main__":
    main()
