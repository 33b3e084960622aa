"""Bounded, non-blocking writer of log lines to standard output.

Lines are collected and written together. When the reader of the pipe is slow
or there are too many lines, some are left out and counted; lines on refusals
and failures are kept longer than those on successes.
"""

import asyncio
import os
import sys
import time
from typing import Any

import msgspec

MAX_BUFFER_BYTES = 256 * 1024
"""Lines held while the pipe is full; a few seconds of refusals."""
MAX_ROUTINE_LINES = 20
"""Lines on successes for each flush; enough to see the usual course without
a cost that grows with the load."""
MAX_LINES = 400
"""Lines of any kind for each flush, 4,000 a second."""
FLUSH_S = 0.1
"""Time between two writes; one system call for many lines."""

_encoder = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Collects lines and writes them in a cycle.

    Parameters
    ----------
    node : str
        Added to each line.
    descriptor : int
        Where lines go; it is made non-blocking.
    """

    def __init__(self, node: str, descriptor: int | None = None) -> None:
        self._node = node
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._pending = b""
        self._routine = 0
        self.lines_left_out = {"routine": 0, "volume": 0, "pipe": 0}

    def write(self, event: str, is_routine: bool, **fields: Any) -> None:
        """Add a line; a routine one is the first to be left out."""
        if is_routine:
            if self._routine >= MAX_ROUTINE_LINES:
                self.lines_left_out["routine"] += 1
                return
            self._routine += 1
        elif len(self._lines) >= MAX_LINES:
            self.lines_left_out["volume"] += 1
            return
        self._lines.append(
            _encoder.encode(
                {
                    "time": round(time.time(), 3),
                    "event": event,
                    "node": self._node,
                    **fields,
                }
            )
        )

    def write_line(self, line: bytes) -> None:
        """Add a line that is encoded already."""
        if len(self._lines) >= MAX_LINES:
            self.lines_left_out["volume"] += 1
            return
        self._lines.append(line)

    def flush(self) -> None:
        """Write what can be written without waiting."""
        self._routine = 0
        if self._lines:
            if len(self._pending) > MAX_BUFFER_BYTES:
                self.lines_left_out["pipe"] += len(self._lines)
            else:
                self._pending += b"\n".join(self._lines) + b"\n"
            self._lines.clear()
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; nothing can be reported either.
            self._pending = b""
            return
        self._pending = self._pending[written:]

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        try:
            while True:
                await asyncio.sleep(FLUSH_S)
                self.flush()
        finally:
            self.flush()
