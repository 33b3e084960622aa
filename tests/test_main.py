"""The entry point of the command."""

import subprocess
import sys

PROGRAM = """
import signal
import sys

before = set(sys.modules)

def record(number, action):
    assert (number, action) == (signal.SIGHUP, signal.SIG_IGN)
    print(*sorted(set(sys.modules) - before))
    raise SystemExit

signal.signal = record
sys.argv = ["clementinekeel", "node", "--platform"]
import clementinekeel.__main__
"""


def test_platform_node_ignores_sighup_before_other_imports():
    """A SIGHUP in the first tens of milliseconds ended the process."""
    done = subprocess.run(
        [sys.executable, "-S", "-c", PROGRAM],
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.split() == [
        "clementinekeel",
        "clementinekeel.__main__",
        "clementinekeel._version",
    ]
