"""The entry point of the command."""

import itertools
import os
import signal
import subprocess
import sys

import pytest

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

SERVER = """
import asyncio
import sys

sys.argv = ["clementinekeel"]
import clementinekeel.__main__
import uvloop

async def main():
    server = await asyncio.get_running_loop().create_server(
        asyncio.Protocol, "127.0.0.1", 0
    )
    assert server.sockets[0].fileno() > 2
    server.close()

uvloop.run(main())
assert sys.stdin.read() == ""
print("out", flush=True)
print("error", file=sys.stderr, flush=True)
"""
MASK = """
import signal
import sys

sys.argv = ["clementinekeel"]
import clementinekeel.__main__

assert not signal.pthread_sigmask(signal.SIG_BLOCK, ())
"""
STREAMS = (0, 1, 2)


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


@pytest.mark.parametrize(
    "closed",
    [
        closed
        for count in range(len(STREAMS) + 1)
        for closed in itertools.combinations(STREAMS, count)
    ],
    ids=lambda closed: "closed_" + "_".join(map(str, closed)),
)
def test_closed_standard_streams_do_not_end_a_process(closed):
    """A socket got the descriptor of standard output, and libuv aborted."""
    null = [
        (os.POSIX_SPAWN_OPEN, stream, os.devnull, os.O_RDWR, 0)
        for stream in STREAMS
        if stream not in closed
    ]
    process = os.posix_spawn(
        sys.executable,
        [sys.executable, "-c", SERVER],
        {"PYTHONPATH": "src"},
        file_actions=[(os.POSIX_SPAWN_CLOSE, stream) for stream in closed]
        + null,
    )
    _, status = os.waitpid(process, 0)
    assert os.waitstatus_to_exitcode(status) == 0


def test_signals_that_the_starter_blocks_reach_a_process():
    """A node never saw SIGTERM, and was killed at the end of its grace."""
    process = os.posix_spawn(
        sys.executable,
        [sys.executable, "-c", MASK],
        {"PYTHONPATH": "src"},
        setsigmask=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
    )
    _, status = os.waitpid(process, 0)
    assert os.waitstatus_to_exitcode(status) == 0
