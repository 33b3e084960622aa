"""Messages on standard error, with real processes."""

import os
import subprocess
import sys

import pytest

PROGRAM = """
import sys

from clementinekeel.runtime import standard_streams

standard_streams.print_error("message " + "x" * 100_000)
sys.exit(1)
"""


def run(stderr):
    return subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env={"PYTHONPATH": "src"},
        stdin=subprocess.DEVNULL,
        stderr=stderr,
        timeout=60,
        check=False,
    )


def fill(writer):
    """Fill a pipe, which blocks further writes."""
    os.set_blocking(writer, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writer, bytes(4096))
    os.set_blocking(writer, True)


def test_message_is_printed():
    done = run(subprocess.PIPE)
    assert done.returncode == 1
    assert done.stderr.startswith(b"message xxx")


@pytest.mark.parametrize("free_bytes", [0, 4096])
def test_full_standard_error_does_not_keep_a_process(free_bytes):
    """A process that had to end waited for a reader of its message."""
    reader, writer = os.pipe()
    fill(writer)
    os.read(reader, free_bytes)
    assert run(writer).returncode == 1
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("has_reader", [True, False], ids=["full", "closed"])
def test_broken_standard_error_does_not_change_the_exit_code(has_reader):
    """The message that could not be printed made it 120."""
    if has_reader:
        writer = os.open("/dev/full", os.O_WRONLY)
    else:
        reader, writer = os.pipe()
        os.close(reader)
    assert run(writer).returncode == 1
    os.close(writer)
