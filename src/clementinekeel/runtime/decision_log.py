"""Bounded, non-blocking writer of log lines to standard output.

Lines are buffered and written together at a fixed interval. When the reader
of the pipe is slow, or when there are too many lines, some lines are left out
and counted. A routine line reports a success or a cancellation. Routine lines
are the first to be left out, so that lines on refusals and failures remain.
"""

import asyncio
import os
import sys
import time
from typing import Any

import msgspec

MAX_BUFFER_BYTES = 256 * 1024
"""Unwritten bytes above which further lines are left out; a few seconds of
refusals."""
MAX_ROUTINE_LINES_PER_FLUSH = 20
"""Enough to show normal operation, at a cost that does not grow with the
load."""
MAX_LINES_PER_FLUSH = 400
"""Lines of any kind, 4,000 a second; beyond them only routine lines are
added, up to their own limit."""
FLUSH_INTERVAL_S = 0.1
"""Time between two writes; one system call writes many lines."""
MAX_INTEGER_BITS = 64
"""Longer integers may have more digits than Python writes out."""

_encoder = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Buffers log lines and writes them at a fixed interval.

    Parameters
    ----------
    node : str
        Name of the node, added to each line.
    descriptor : int or None
        File descriptor to write to, made non-blocking; None for standard
        output.

    Attributes
    ----------
    lines_left_out : dict of str to int
        Number of lines left out, by the rule that dropped them:
        ``"routine"`` and ``"volume"`` for the limits per flush, ``"pipe"``
        for a full buffer.
    """

    def __init__(self, node: str, descriptor: int | None = None) -> None:
        self._node = node
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._pending = b""
        self._routine_count = 0
        self.lines_left_out = {"routine": 0, "volume": 0, "pipe": 0}

    def write(self, event: str, is_routine: bool, **fields: Any) -> None:
        """Add a line, unless a limit leaves it out.

        Parameters
        ----------
        event : str
            Name of the event.
        is_routine : bool
            Whether the line reports a success or a cancellation.
        **fields : object
            Further fields of the line.
        """
        if is_routine:
            if self._routine_count >= MAX_ROUTINE_LINES_PER_FLUSH:
                self.lines_left_out["routine"] += 1
                return
            self._routine_count += 1
        elif len(self._lines) >= MAX_LINES_PER_FLUSH:
            self.lines_left_out["volume"] += 1
            return
        content = {
            "time": round(time.time(), 3),
            "event": event,
            "node": self._node,
            **fields,
        }
        try:
            line = _encoder.encode(content)
        except Exception:
            # A line must not end the task that writes it.
            line = _encoder.encode(
                {name: _encodable(value) for name, value in content.items()}
            )
        self._lines.append(line)

    def write_line(self, line: bytes) -> None:
        """Add an encoded line, unless the limit per flush leaves it out."""
        if len(self._lines) >= MAX_LINES_PER_FLUSH:
            self.lines_left_out["volume"] += 1
            return
        self._lines.append(line)

    def flush(self) -> None:
        """Write as many lines as possible without blocking."""
        self._routine_count = 0
        if self._lines:
            if len(self._pending) > MAX_BUFFER_BYTES:
                self.lines_left_out["pipe"] += len(self._lines)
            else:
                self._pending += b"\n".join(self._lines) + b"\n"
            self._lines.clear()
        if not self._pending:
            return
        try:
            # Other processes with the same pipe may set it to blocking again.
            os.set_blocking(self._descriptor, False)
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the loss cannot be logged.
            self._pending = b""
            return
        self._pending = self._pending[written:]

    async def run(self) -> None:
        """Flush at a fixed interval until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()


def _encodable(value: Any) -> float | str:
    """Return a number or a text with escapes; of others, only the type."""
    if isinstance(value, float):
        return value
    if isinstance(value, int) and value.bit_length() <= MAX_INTEGER_BITS:
        return value
    if isinstance(value, str):
        return value.encode(errors="backslashreplace").decode()
    return type(value).__name__
