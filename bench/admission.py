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
MIX = {0: 0.2, 2: 0.4, 3: 0.4}
# Recordings (rank 0) take 50 times as long as lookups (rank 2).
UNEVEN_MIX = {0: 0.01, 2: 0.99}
UNEVEN_SERVICE_MS = {0: 500.0, 2: 10.0}
UNEVEN_DEADLINE_MS = {0: 5_000, 2: 500}
BASE_LOAD = 0.6
WARM_MS = 10_000
SURGE_MS = 60_000
TAIL_MS = 30_000
BUCKET_MS = 200
RECOVERED_SHARE = 0.95
# 95% within a window of 200 ms would be noise; 1 s holds 240 requests.
RECOVERY_WINDOW = 5
PROCESSES = 4
LIMITERS = ("fixed", "aimd", "gradient", "hill_climb")


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
    knee : int
        Concurrency above which the service time grows in proportion to it;
        0 for a service time that does not depend on concurrency.
    is_uneven : bool
        Whether the service time and deadline depend on the rank.
    """

    name: str
    limiter: str
    objective: model.Objective
    mix: dict[int, float]
    surge: float = 2.0
    slow: float = 1.0
    slow_tail_ms: int = 0
    is_ranked: bool = True
    slots: int = SLOTS
    knee: int = 0
    is_uneven: bool = False

    def service_ms(self, rank: int) -> float:
        """Return the mean service time of a rank."""
        return UNEVEN_SERVICE_MS[rank] if self.is_uneven else SERVICE_MS

    def deadline_ms(self, rank: int) -> int:
        """Return the time that callers of a rank wait."""
        return UNEVEN_DEADLINE_MS[rank] if self.is_uneven else DEADLINE_MS

    @property
    def capacity(self) -> float:
        """Requests that may usefully run at a time."""
        return float(self.knee or self.slots)

    @property
    def rate(self) -> float:
        """Requests per ms of the mix at capacity."""
        mean_ms = sum(
            share * self.service_ms(rank) for rank, share in self.mix.items()
        )
        return self.capacity / mean_ms


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
            case.slots, case.objective, case.limiter, 0
        )
        self._ends: list[tuple[int, int, int]] = []
        self._requests: dict[int, Request] = {}
        self.good: dict[int, float] = collections.defaultdict(float)
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
        rate = load * self._case.rate / steps
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
        expires_ms = now_ms + self._case.deadline_ms(rank)
        work_ms = self._case.service_ms(rank) * factor
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
                # Requests count by the mean work of their rank, since
                # capacity is slot time.
                work_ms = self._case.service_ms(request.rank)
                self.good[now_ms // BUCKET_MS] += work_ms
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
                if self._case.knee:
                    share = self._control.running / self._case.knee
                    work_ms *= max(1.0, share)
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
        return good / (SURGE_MS * self._case.capacity / self._case.slow)

    def recovery_s(self, start_ms: int) -> float:
        """Return the time from a moment after the surge to normal goodput.

        While the service is slow, its capacity is taken if it is lower.
        """
        first = (WARM_MS // 2) // BUCKET_MS
        last = WARM_MS // BUCKET_MS
        normal = sum(self.good[b] for b in range(first, last)) / (last - first)
        end = start_ms // BUCKET_MS
        last = (WARM_MS + SURGE_MS + TAIL_MS) // BUCKET_MS
        for bucket in range(end, last):
            window = range(bucket, bucket + RECOVERY_WINDOW)
            mean = sum(self.good[b] for b in window) / RECOVERY_WINDOW
            slowness = self._slowness(bucket * BUCKET_MS)
            possible = BUCKET_MS * self._case.capacity / slowness
            if mean >= RECOVERED_SHARE * min(normal, possible):
                return (bucket - end) * BUCKET_MS / 1_000
        return TAIL_MS / 1_000

    def figures(self) -> dict[str, float]:
        """Return the figures of the table."""
        waits = [w for ranked in self.waits.values() for w in ranked]
        mixed = sum(moment in self.admitted_low for moment in self.shed_0_ms)
        end_ms = WARM_MS + SURGE_MS
        return {
            "goodput%": 100 * self.goodput(),
            "ref0%": self._refused(0),
            "ref2%": self._refused(2),
            "ref3%": self._refused(3),
            "shed0+low": float(mixed),
            "late%": 100 * self.late / max(1, self.admitted),
            "p99wait": p99(waits),
            "p99r0": p99(self.totals[0]),
            "recov_s": self.recovery_s(end_ms),
            "slow_end_s": self.recovery_s(end_ms + self._case.slow_tail_ms),
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
    goodput = model.Objective.GOODPUT
    made = [Case("baseline", "fixed", goodput, MIX, is_ranked=False)]
    for limiter in LIMITERS:
        for objective in model.Objective:
            made += limiter_cases(limiter, objective)
    for name, mix, surge in (
        ("r0 alone 0.4", {0: 1.0}, 0.4),
        ("r0 0.4 + r3 1.6", {0: 0.2, 3: 0.8}, 2.0),
        ("r0 1.6 + r3 0.4", {0: 0.8, 3: 0.2}, 2.0),
    ):
        made.append(Case(name, "hill_climb", goodput, mix, surge))
    return made


def limiter_cases(limiter: str, objective: model.Objective) -> list[Case]:
    """Return the cases of one limiter and objective."""
    normal = Case(f"{limiter}/{objective}", limiter, objective, MIX)
    slow = normal._replace(slow=4.0, slow_tail_ms=10_000)
    uneven = slow._replace(mix=UNEVEN_MIX, is_uneven=True, slow=1.0)
    changed = {
        "": normal,
        " slow x1.5": slow._replace(slow=1.5),
        " slow x4": slow,
        " slow x4, 4 slots": slow._replace(slots=4),
        " slow x4, 100 slots": slow._replace(slots=100),
        " knee 8": normal._replace(knee=8),
        " knee 4": normal._replace(knee=4),
        " knee 8, slow x2": slow._replace(knee=8, slow=2.0),
        " knee 20 of 100": normal._replace(slots=100, knee=20),
        " uneven": uneven,
        " uneven, slow x4": uneven._replace(slow=4.0),
        " uneven, 4 slots": uneven._replace(slots=4),
        " uneven, 100 slots": uneven._replace(slots=100),
    }
    return [
        case._replace(name=normal.name + suffix)
        for suffix, case in changed.items()
    ]


def main() -> None:
    """Print one table with median and spread over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="", help="part of a case's name")
    options = parser.parse_args()
    seeds = options.seeds
    chosen = [case for case in cases() if options.only in case.name]
    print("median (min-max) over the seeds; waits and p99 in ms")
    header = False
    pool = concurrent.futures.ProcessPoolExecutor(PROCESSES)
    futures = {
        case.name: [pool.submit(measure, case, n) for n in range(seeds)]
        for case in chosen
    }
    for case in chosen:
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
