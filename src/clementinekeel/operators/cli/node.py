"""``clementinekeel node``: run a node."""

import importlib

from cleo.helpers import option

from clementinekeel.operators.cli import _command


class NodeCommand(_command.OperatorCommand):
    """Run a node until it receives a stop signal."""

    name = "node"
    description = "Run a node until it is told to stop."
    options = [
        option("settings", None, "Settings of the node (INI).", flag=False),
        _command.JSON_OPTION,
    ]
    examples = ("node --settings /etc/clementinekeel/node.ini",)

    def handle(self) -> int:
        """Check the settings and run the node."""
        try:
            path = self.required_option("settings")
        except _command.CommandError as error:
            self.emit_error(error)
            return int(error.code)
        # Imported on use, so that the other commands do not load the daemon.
        main = importlib.import_module("clementinekeel.daemon.main")
        return int(main.run_file(path))
