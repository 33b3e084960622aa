"""Growth of the nodes' memory while they forward long bodies.

Measures request bodies and answer bodies; exits with 1 if the growth exceeds
the limit.
"""

import json
import sys
import time

import anyio
import httpx
import uvloop

from bench import _process
from bench import _two_nodes
from standins import fleet

BODY_BYTES = 50 * 1024 * 1024
MAX_GROWTH_MIB = 8.0
"""Growth of a node's memory that the design allows."""
REPETITIONS = 3
SAMPLE_INTERVAL_S = 0.02


class MemoryPeak:
    """Highest resident memory of some processes during a transfer."""

    def __init__(self, processes: tuple[fleet.Process, ...]) -> None:
        self._processes = processes
        self._before = [_process.rss_mib(item) for item in processes]
        self._highest = list(self._before)

    @property
    def growth(self) -> list[float]:
        """Growth of each process, in MiB."""
        return [
            high - low
            for high, low in zip(self._highest, self._before, strict=True)
        ]

    async def sample(self) -> None:
        """Sample the memory until cancelled."""
        while True:
            now = [_process.rss_mib(item) for item in self._processes]
            self._highest = list(map(max, self._highest, now))
            await anyio.sleep(SAMPLE_INTERVAL_S)


async def transfer(front: fleet.Vm, body: bytes, answer_bytes: int) -> None:
    """Send one request with a long body or a long answer."""
    plan = json.dumps({"work_ms": 1, "answer_bytes": answer_bytes})
    async with httpx.AsyncClient(timeout=60) as http:
        answer = await http.post(
            f"http://{front.callers_address}/services/echo/items/1",
            content=body,
            headers={"standin-plan": plan, "standin-run": "long"},
        )
        answer.raise_for_status()
        if len(answer.content) < answer_bytes:
            raise RuntimeError("the answer is too short")
        if answer.json()["received_bytes"] != len(body):
            raise RuntimeError("the body is too short")


async def measure() -> bool:
    """Print the table; return whether the growth is within the limit."""
    is_within = True
    print("direction  MiB    seconds  entry MiB  owner MiB")
    async with _two_nodes.run() as running_fleet:
        front, echo = running_fleet.vms["front-1"], running_fleet.vms["echo-1"]
        await transfer(front, b"x", 1)
        for direction, body, answer_bytes in (
            ("request", bytes(BODY_BYTES), 0),
            ("answer", b"", BODY_BYTES),
        ):
            for _ in range(REPETITIONS):
                peak = MemoryPeak((front.node, echo.node))
                started_s = time.monotonic()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(peak.sample)
                    await transfer(front, body, answer_bytes)
                    tasks.cancel_scope.cancel()
                seconds = time.monotonic() - started_s
                entry, owner = peak.growth
                is_within = is_within and max(entry, owner) < MAX_GROWTH_MIB
                print(
                    f"{direction:<10}{BODY_BYTES >> 20:>4}{seconds:>11.2f}"
                    f"{entry:>11.1f}{owner:>11.1f}",
                    flush=True,
                )
    return is_within


def main() -> None:
    """Run the measurement from the command line."""
    uvloop.install()
    sys.exit(0 if anyio.run(measure) else 1)


if __name__ == "__main__":
    main()
