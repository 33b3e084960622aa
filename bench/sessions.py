"""Memory and processor time of idle sessions between nodes.

One process holds both ends of each session, so that the figures are for a
pair of ends.
"""

import gc
import time
from typing import Any, NamedTuple

import anyio
import uvloop
import zmq

from clementinekeel.nodes import codec
from clementinekeel.nodes import drops
from clementinekeel.nodes import pool
from clementinekeel.nodes import server
from clementinekeel.nodes import session

COUNTS = (10, 100, 400)
IDLE_S = 10.0
SESSION_IDLE_MS = 3_600_000
KEY = b"k" * 32
MAX_SOCKETS = 4_096
KIB = 1024


class IgnoringHandler(NamedTuple):
    """Ignores all requests."""

    def on_call(self, stream: server.ServerStream) -> None:
        """Ignore a call."""

    def on_inquire(self, stream: server.ServerStream) -> None:
        """Ignore an inquiry."""

    def on_configuration_request(self, stream: server.ServerStream) -> None:
        """Ignore a request for the configuration."""


def rss_kib() -> int:
    """Return the resident memory of this process, in KiB."""
    gc.collect()
    with open("/proc/self/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


async def measure(count: int) -> None:
    """Print the line for a number of sessions."""
    context: zmq.Context[Any] = zmq.Context()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    drop_log = drops.DropLog()
    keyring = codec.Keyring([KEY])
    node_server = server.Server(
        context, codec.Codec(keyring, "b", 1), IgnoringHandler(), drop_log
    )
    node_server.bind("127.0.0.1:0")
    sessions = pool.SessionPool(
        context, codec.Codec(keyring, "a", 2), drop_log, SESSION_IDLE_MS
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node_server.run)
        tasks.start_soon(sessions.run)
        await anyio.sleep(0.1)
        before_kib = rss_kib()
        opened: list[session.Session] = []
        for number in range(count):
            # The pool opens a separate session for each node ID.
            opened.append(sessions.get(node_server.endpoint, f"b{number}", 1))
        for opened_session in opened:
            await opened_session.wait_open()
        memory_kib = (rss_kib() - before_kib) / count
        before_s = time.process_time()
        await anyio.sleep(IDLE_S)
        used_s = time.process_time() - before_s
        print(
            f"{count:>6}{memory_kib:>14.1f}"
            f"{used_s / IDLE_S / count * 1e6:>22.1f}"
            f"{used_s / IDLE_S * 100:>12.2f}",
            flush=True,
        )
        tasks.cancel_scope.cancel()
    context.destroy(linger=0)


def main() -> None:
    """Run the measurement from the command line."""
    print("sessions  KiB a pair  idle us/s of CPU a pair    % of a core")
    uvloop.install()
    for count in COUNTS:
        anyio.run(measure, count)


if __name__ == "__main__":
    main()
