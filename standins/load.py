"""Open-loop load on a fleet."""

from collections.abc import Callable
import random
import time

import anyio
import anyio.abc
import httpx

from standins import caller
from standins import fleet

MAX_CONNECTIONS = 400
PROGRESS_INTERVAL_S = 5.0

MakeRequest = Callable[[int], caller.Request]


class Load:
    """Sends requests at a fixed rate and collects their results.

    Attributes
    ----------
    results : list of RequestResult
        Results in the order in which the requests ended.
    excluded_endpoints : set of str
        Endpoints whose nodes callers do not use, because they are stopped.
    """

    def __init__(
        self,
        running_fleet: fleet.Fleet,
        make_request: MakeRequest,
        random_source: random.Random,
    ) -> None:
        self.results: list[caller.RequestResult] = []
        self.excluded_endpoints: set[str] = set()
        self._fleet = running_fleet
        self._make_request = make_request
        self._random = random_source

    async def run(
        self, rate_per_s: float, duration_s: float, end_timeout_s: float
    ) -> int:
        """Send the load, wait for the results; return the requests sent.

        Parameters
        ----------
        end_timeout_s : float
            Longest wait for results after the last request was sent.
        """
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
        total = int(rate_per_s * duration_s)
        async with httpx.AsyncClient(limits=limits) as http:
            sender = caller.Caller(http, self._choose_node, self._random)
            with anyio.move_on_after(duration_s + end_timeout_s):
                async with anyio.create_task_group() as tasks:
                    await self._send_all(sender, tasks, rate_per_s, total)
        return total

    def _choose_node(self) -> str:
        names = sorted(set(self._fleet.vms) - self.excluded_endpoints)
        return self._fleet.vms[self._random.choice(names)].callers_address

    async def _send_all(
        self,
        sender: caller.Caller,
        tasks: anyio.abc.TaskGroup,
        rate_per_s: float,
        total: int,
    ) -> None:
        start_s = time.monotonic()
        progress_s = 0.0
        for number in range(total):
            due_s = number / rate_per_s
            intended_s = start_s + due_s
            await anyio.sleep(max(0.0, intended_s - time.monotonic()))
            request = self._make_request(number)
            tasks.start_soon(self._send_one, sender, request, intended_s)
            if due_s >= progress_s:
                progress_s += PROGRESS_INTERVAL_S
                print(f"{number}/{total} sent", flush=True)

    async def _send_one(
        self, sender: caller.Caller, request: caller.Request, intended_s: float
    ) -> None:
        self.results.append(await sender.run(request, intended_s))
