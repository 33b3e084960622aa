"""Drive the admission controller through a surge in discrete time.

One endpoint, synthetic arrivals and service times; no network, no cluster.
Run with ``python -m bench.admission``.
"""

import argparse
import collections
import concurrent.futures
import heapq
import random
import statistics
from typing import NamedTuple

from clementinekeel.admission import controller
from clementinekeel.admission import messages
from clementinekeel.configuration import model

SLOTS = 20
SERVICE_MS = 50.0
SERVICE_SIGMA = 0.4
DEADLINE_MS = 500
# Capacity in requests per ms.
CAPACITY = SLOTS / SERVICE_MS
MIX = {0: 0.2, 2: 0.4, 3: 0.4}
BASE_LOAD = 0.6
WARM_MS = 10_000
SURGE_MS = 60_000
TAIL_MS = 30_000
BUCKET_MS = 200
RECOVERED_SHARE = 0.95
# 95% within a window of 200 ms would be noise; 1 s holds 240 requests.
RECOVERY_WINDOW = 5
PROCESSES = 4


class Case(NamedTuple):
    """One run.

    Attributes
    ----------
    surge : float
        Offered load during the surge, as a multiple of capacity.
    slow : float
        Service time during the surge and ``slow_tail_ms`` after it, as a
        multiple of the normal one.
    is_ranked : bool
        False offers every request with rank 0: a queue without ranks.
    """

    name: str
    limiter: str
    objective: model.Objective
    mix: dict[int, float]
    surge: float = 2.0
    slow: float = 1.0
    slow_tail_ms: int = 0
    is_ranked: bool = True


class Request(NamedTuple):
    """An arrival."""

    rank: int
    arrival_ms: int
    expires_ms: int
    work_ms: float


class Run:
    """State of one run of a case."""

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._random = random.Random(seed)
        self._control = controller.AdmissionController(
            SLOTS, case.objective, case.limiter, 0
        )
        self._ends: list[tuple[int, int, int]] = []
        self._requests: dict[int, Request] = {}
        self.good: collections.Counter[int] = collections.Counter()
        self.offered: collections.Counter[int] = collections.Counter()
        self.refused: collections.Counter[int] = collections.Counter()
        self.waits: dict[int, list[int]] = collections.defaultdict(list)
        self.totals: dict[int, list[int]] = collections.defaultdict(list)
        self.late = 0
        self.admitted = 0
        self.shed_0_ms: list[int] = []
        self.admitted_low: set[int] = set()

    def run(self) -> None:
        """Advance 1 ms at a time."""
        for now_ms in range(WARM_MS + SURGE_MS + TAIL_MS):
            self._finish(now_ms)
            due_ms = self._control.next_expiry_ms if now_ms % 10 == 0 else None
            if due_ms is not None and due_ms <= now_ms:
                self._apply(self._control.expire(now_ms), now_ms)
            for _ in range(self._arrivals(now_ms)):
                self._offer(now_ms)

    def _is_surge(self, now_ms: int) -> bool:
        return WARM_MS <= now_ms < WARM_MS + SURGE_MS

    def _arrivals(self, now_ms: int) -> int:
        load = self._case.surge if self._is_surge(now_ms) else BASE_LOAD
        # Binomial with a small step approximates Poisson arrivals.
        steps = 10
        rate = load * CAPACITY / steps
        return sum(self._random.random() < rate for _ in range(steps))

    def _slowness(self, now_ms: int) -> float:
        end_ms = WARM_MS + SURGE_MS + self._case.slow_tail_ms
        return self._case.slow if WARM_MS <= now_ms < end_ms else 1.0

    def _offer(self, now_ms: int) -> None:
        mix = self._case.mix
        rank = self._random.choices(list(mix), list(mix.values()))[0]
        mean = -(SERVICE_SIGMA**2) / 2
        factor = self._random.lognormvariate(mean, SERVICE_SIGMA)
        stream = len(self._requests)
        expires_ms = now_ms + DEADLINE_MS
        work_ms = SERVICE_MS * factor
        self._requests[stream] = Request(rank, now_ms, expires_ms, work_ms)
        if self._is_surge(now_ms):
            self.offered[rank] += 1
        shown = rank if self._case.is_ranked else 0
        offer = messages.Offer(stream, shown, expires_ms)
        self._apply(self._control.offer(offer, now_ms), now_ms)

    def _finish(self, now_ms: int) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _, stream, start_ms = heapq.heappop(self._ends)
            request = self._requests[stream]
            is_good = now_ms <= request.expires_ms
            if is_good:
                self.good[now_ms // BUCKET_MS] += 1
            if self._is_surge(request.arrival_ms):
                self.totals[request.rank].append(now_ms - request.arrival_ms)
                self.late += not is_good
            took_ms = float(now_ms - start_ms)
            decisions = self._control.release(stream, now_ms, is_good, took_ms)
            self._apply(decisions, now_ms)

    def _apply(self, decisions: list[messages.Decision], now_ms: int) -> None:
        for decision in decisions:
            request = self._requests[decision.stream]
            is_surge = self._is_surge(request.arrival_ms)
            if isinstance(decision, messages.Admit):
                work_ms = request.work_ms * self._slowness(now_ms)
                end_ms = now_ms + max(1, round(work_ms))
                heapq.heappush(self._ends, (end_ms, decision.stream, now_ms))
                if is_surge:
                    self.admitted += 1
                    wait_ms = now_ms - request.arrival_ms
                    self.waits[request.rank].append(wait_ms)
                    if request.rank > 0:
                        self.admitted_low.add(now_ms // 100)
            elif isinstance(decision, messages.Refuse) and is_surge:
                self.refused[request.rank] += 1
                if request.rank == 0:
                    self.shed_0_ms.append(now_ms // 100)

    def goodput(self) -> float:
        """Return timely answers in the surge, as a share of capacity."""
        first = WARM_MS // BUCKET_MS
        last = (WARM_MS + SURGE_MS) // BUCKET_MS
        good = sum(self.good[bucket] for bucket in range(first, last))
        return good / (SURGE_MS * CAPACITY / self._case.slow)

    def recovery_s(self) -> float:
        """Return the time from the surge's end to normal goodput."""
        first = (WARM_MS // 2) // BUCKET_MS
        last = WARM_MS // BUCKET_MS
        normal = sum(self.good[b] for b in range(first, last)) / (last - first)
        end = (WARM_MS + SURGE_MS) // BUCKET_MS
        for bucket in range(end, end + TAIL_MS // BUCKET_MS):
            window = range(bucket, bucket + RECOVERY_WINDOW)
            mean = sum(self.good[b] for b in window) / RECOVERY_WINDOW
            if mean >= RECOVERED_SHARE * normal:
                return (bucket - end) * BUCKET_MS / 1_000
        return TAIL_MS / 1_000

    def figures(self) -> dict[str, float]:
        """Return the figures of the table."""
        waits = [w for ranked in self.waits.values() for w in ranked]
        mixed = sum(moment in self.admitted_low for moment in self.shed_0_ms)
        return {
            "goodput%": 100 * self.goodput(),
            "ref0%": self._refused(0),
            "ref2%": self._refused(2),
            "ref3%": self._refused(3),
            "shed0+low": float(mixed),
            "late%": 100 * self.late / max(1, self.admitted),
            "p99wait": p99(waits),
            "p99r0": p99(self.totals[0]),
            "recov_s": self.recovery_s(),
        }

    def _refused(self, rank: int) -> float:
        return 100 * self.refused[rank] / max(1, self.offered[rank])


def measure(case: Case, seed: int) -> dict[str, float]:
    """Run a case and return its figures."""
    run = Run(case, seed)
    run.run()
    return run.figures()


def p99(values: list[int]) -> float:
    """Return the 99th percentile, 0 without values."""
    if not values:
        return 0.0
    return float(sorted(values)[int(0.99 * (len(values) - 1))])


def cases() -> list[Case]:
    """Return the cases of the table."""
    made = []
    goodput = model.Objective.GOODPUT
    made.append(Case("baseline", "fixed", goodput, MIX, is_ranked=False))
    for limiter in ("aimd", "gradient"):
        for objective in model.Objective:
            name = f"{limiter}/{objective}"
            made.append(Case(name, limiter, objective, MIX))
            made.append(
                Case(
                    f"{name} slow x1.5",
                    limiter,
                    objective,
                    MIX,
                    2.0,
                    1.5,
                    10_000,
                )
            )
            made.append(
                Case(
                    f"{name} slow x4",
                    limiter,
                    objective,
                    MIX,
                    2.0,
                    4.0,
                    10_000,
                )
            )
    for name, mix, surge in (
        ("r0 alone 0.4", {0: 1.0}, 0.4),
        ("r0 0.4 + r3 1.6", {0: 0.2, 3: 0.8}, 2.0),
        ("r0 1.6 + r3 0.4", {0: 0.8, 3: 0.2}, 2.0),
    ):
        made.append(Case(name, "gradient", goodput, mix, surge))
    return made


def main() -> None:
    """Print one table with median and spread over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = parser.parse_args().seeds
    print("median (min-max) over the seeds; waits and p99 in ms")
    header = False
    pool = concurrent.futures.ProcessPoolExecutor(PROCESSES)
    futures = {
        case.name: [pool.submit(measure, case, n) for n in range(seeds)]
        for case in cases()
    }
    for case in cases():
        runs = [pending.result() for pending in futures[case.name]]
        if not header:
            names = "".join(f"{name:>21}" for name in runs[0])
            print(f"{'case':<32}{names}")
            header = True
        cells = "".join(f"{summary(runs, name):>21}" for name in runs[0])
        print(f"{case.name:<32}{cells}", flush=True)


def summary(runs: list[dict[str, float]], name: str) -> str:
    """Return median, minimum and maximum of a figure."""
    values = [run[name] for run in runs]
    middle = statistics.median(values)
    return f"{middle:.1f} ({min(values):.1f}-{max(values):.1f})"


if __name__ == "__main__":
    main()
