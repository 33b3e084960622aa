"""Open-loop load over HTTP, with latency from the intended send time."""

from collections.abc import Awaitable, Callable
import gc
import time
from typing import NamedTuple

import anyio
import hdrh.histogram

from clementinekeel.backends import pool

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class Summary(NamedTuple):
    """Latencies of a run, in milliseconds."""

    count: int
    errors: int
    p50: float
    p99: float
    p999: float
    maximum: float


SendOne = Callable[[], Awaitable[bool]]


async def run(send_one: SendOne, rate_per_s: float, total: int) -> Summary:
    """Send requests at fixed times and return their latencies.

    Parameters
    ----------
    send_one : Callable
        Sends a request; returns whether it succeeded.
    rate_per_s : float
        Requests per second, evenly spaced.
    total : int
        Number of requests.
    """
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    errors = 0

    async def send(intended_s: float) -> None:
        nonlocal errors
        if await send_one():
            latency_us = (time.perf_counter() - intended_s) * 1e6
            histogram.record_value(int(latency_us))
        else:
            errors += 1

    # Full garbage collections in this process would be measured as latency.
    gc.collect()
    gc.freeze()
    start_s = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for number in range(total):
            intended_s = start_s + number / rate_per_s
            await anyio.sleep(max(0.0, intended_s - time.perf_counter()))
            tasks.start_soon(send, intended_s)
    return _summarize(histogram, errors)


def _summarize(histogram: hdrh.histogram.HdrHistogram, errors: int) -> Summary:
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    )
    maximum = histogram.get_max_value() / 1000
    return Summary(
        histogram.get_total_count(), errors, p50, p99, p999, maximum
    )


class HttpSender:
    """Sends one kind of request over persistent connections."""

    def __init__(
        self,
        address: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        host, _, port = address.rpartition(":")
        self._pool = pool.ConnectionPool(host, int(port), 1_000)
        self._method = method
        self._target = target
        self._headers = (("host", address), *headers)

    async def send(self) -> bool:
        """Send the request; return whether the answer is a success."""
        http_connection = await self._pool.acquire()
        await http_connection.send_head(
            self._method, self._target, self._headers, b""
        )
        await http_connection.send_end()
        head = await http_connection.receive_head()
        async for _ in http_connection.receive_body():
            pass
        await self._pool.release(http_connection)
        return head.status < 400
