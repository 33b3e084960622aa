"""Simulation of the admission controller during a surge, in discrete time.

One endpoint with synthetic arrivals and service times, without a network.
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
RANK_SHARES = {0: 0.2, 2: 0.4, 3: 0.4}
# Recordings (rank 0) take 50 times as long as lookups (rank 2).
UNEVEN_RANK_SHARES = {0: 0.01, 2: 0.99}
UNEVEN_SERVICE_MS = {0: 500.0, 2: 10.0}
UNEVEN_DEADLINE_MS = {0: 5_000, 2: 500}
BASE_LOAD = 0.6
WARMUP_MS = 10_000
SURGE_MS = 60_000
AFTER_SURGE_MS = 30_000
BUCKET_MS = 200
RECOVERED_SHARE = 0.95
# 1 s, which holds 240 requests; over one bucket of 200 ms, random variation
# would exceed the 5% that RECOVERED_SHARE allows.
RECOVERY_WINDOW_BUCKETS = 5
PROCESSES = 4
LIMITERS = ("fixed", "aimd", "gradient", "hill_climb")


class Case(NamedTuple):
    """Parameters of a simulated run.

    Attributes
    ----------
    rank_shares : dict of int to float
        Share of each rank among the requests.
    surge_load : float
        Offered load during the surge, as a multiple of capacity.
    slowdown : float
        Service time during the surge and for ``slow_after_surge_ms`` after
        it, as a multiple of the normal one.
    is_ranked : bool
        Whether requests are offered with their ranks; otherwise all have rank
        0, as in a queue without ranks.
    knee : int
        Concurrency above which the service time grows in proportion to it;
        0 for a service time that does not depend on concurrency.
    is_uneven : bool
        Whether the service time and deadline depend on the rank.
    """

    name: str
    limiter: str
    objective: model.Objective
    rank_shares: dict[int, float]
    surge_load: float = 2.0
    slowdown: float = 1.0
    slow_after_surge_ms: int = 0
    is_ranked: bool = True
    slots: int = SLOTS
    knee: int = 0
    is_uneven: bool = False

    def service_ms(self, rank: int) -> float:
        """Return the mean service time of a rank."""
        return UNEVEN_SERVICE_MS[rank] if self.is_uneven else SERVICE_MS

    def deadline_ms(self, rank: int) -> int:
        """Return the time for which callers of a rank wait."""
        return UNEVEN_DEADLINE_MS[rank] if self.is_uneven else DEADLINE_MS

    @property
    def usable_slots(self) -> float:
        """Concurrency above which the goodput does not increase."""
        return float(self.knee or self.slots)

    @property
    def rate_per_ms(self) -> float:
        """Arrivals of all ranks per millisecond at capacity."""
        mean_ms = sum(
            share * self.service_ms(rank)
            for rank, share in self.rank_shares.items()
        )
        return self.usable_slots / mean_ms


class Request(NamedTuple):
    """An arrival."""

    rank: int
    arrival_ms: int
    expires_ms: int
    work_ms: float


class Run:
    """State of one run of a case.

    Attributes
    ----------
    good_work_ms : dict of int to float
        Service time of timely answers, for each bucket of ``BUCKET_MS``.
    offered, refused : Counter
        Requests of the surge, for each rank.
    waits, latencies : dict of int to list of int
        Time in the queue and total time of the surge's requests in
        milliseconds, for each rank.
    late, admitted : int
        Requests of the surge that ended late, and that were admitted.
    rank_0_shed_intervals : list of int
        Interval of 100 ms of each refusal of a request of rank 0.
    low_rank_admit_intervals : set of int
        Intervals of 100 ms in which a request of another rank was admitted.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._random = random.Random(seed)
        self._controller = controller.AdmissionController(
            case.slots, case.objective, case.limiter, 0
        )
        self._completions: list[tuple[int, int, int]] = []
        self._requests: dict[int, Request] = {}
        self.good_work_ms: dict[int, float] = collections.defaultdict(float)
        self.offered: collections.Counter[int] = collections.Counter()
        self.refused: collections.Counter[int] = collections.Counter()
        self.waits: dict[int, list[int]] = collections.defaultdict(list)
        self.latencies: dict[int, list[int]] = collections.defaultdict(list)
        self.late = 0
        self.admitted = 0
        self.rank_0_shed_intervals: list[int] = []
        self.low_rank_admit_intervals: set[int] = set()

    def run(self) -> None:
        """Advance 1 ms at a time."""
        for now_ms in range(WARMUP_MS + SURGE_MS + AFTER_SURGE_MS):
            self._finish(now_ms)
            due_ms = (
                self._controller.next_expiry_ms if now_ms % 10 == 0 else None
            )
            if due_ms is not None and due_ms <= now_ms:
                self._apply(self._controller.expire(now_ms), now_ms)
            for _ in range(self._draw_arrivals(now_ms)):
                self._offer(now_ms)

    def _is_surge(self, now_ms: int) -> bool:
        return WARMUP_MS <= now_ms < WARMUP_MS + SURGE_MS

    def _draw_arrivals(self, now_ms: int) -> int:
        load = self._case.surge_load if self._is_surge(now_ms) else BASE_LOAD
        # A binomial distribution with many steps approximates Poisson
        # arrivals.
        steps = 10
        probability = load * self._case.rate_per_ms / steps
        return sum(self._random.random() < probability for _ in range(steps))

    def _slowdown_at(self, now_ms: int) -> float:
        end_ms = WARMUP_MS + SURGE_MS + self._case.slow_after_surge_ms
        return self._case.slowdown if WARMUP_MS <= now_ms < end_ms else 1.0

    def _offer(self, now_ms: int) -> None:
        rank_shares = self._case.rank_shares
        rank = self._random.choices(
            list(rank_shares), list(rank_shares.values())
        )[0]
        mean = -(SERVICE_SIGMA**2) / 2
        factor = self._random.lognormvariate(mean, SERVICE_SIGMA)
        stream = len(self._requests)
        expires_ms = now_ms + self._case.deadline_ms(rank)
        work_ms = self._case.service_ms(rank) * factor
        self._requests[stream] = Request(rank, now_ms, expires_ms, work_ms)
        if self._is_surge(now_ms):
            self.offered[rank] += 1
        offered_rank = rank if self._case.is_ranked else 0
        offer = messages.Offer(stream, offered_rank, expires_ms)
        self._apply(self._controller.offer(offer, now_ms), now_ms)

    def _finish(self, now_ms: int) -> None:
        while self._completions and self._completions[0][0] <= now_ms:
            _, stream, start_ms = heapq.heappop(self._completions)
            request = self._requests[stream]
            is_good = now_ms <= request.expires_ms
            if is_good:
                # Requests are weighted by the mean service time of their
                # rank, since capacity is a time of slots.
                work_ms = self._case.service_ms(request.rank)
                self.good_work_ms[now_ms // BUCKET_MS] += work_ms
            if self._is_surge(request.arrival_ms):
                self.latencies[request.rank].append(
                    now_ms - request.arrival_ms
                )
                self.late += not is_good
            took_ms = float(now_ms - start_ms)
            decisions = self._controller.release(
                stream, now_ms, is_good, took_ms
            )
            self._apply(decisions, now_ms)

    def _apply(self, decisions: list[messages.Decision], now_ms: int) -> None:
        for decision in decisions:
            request = self._requests[decision.stream]
            is_surge = self._is_surge(request.arrival_ms)
            if isinstance(decision, messages.Admit):
                work_ms = request.work_ms * self._slowdown_at(now_ms)
                if self._case.knee:
                    share = self._controller.running / self._case.knee
                    work_ms *= max(1.0, share)
                end_ms = now_ms + max(1, round(work_ms))
                heapq.heappush(
                    self._completions, (end_ms, decision.stream, now_ms)
                )
                if is_surge:
                    self.admitted += 1
                    wait_ms = now_ms - request.arrival_ms
                    self.waits[request.rank].append(wait_ms)
                    if request.rank > 0:
                        self.low_rank_admit_intervals.add(now_ms // 100)
            elif isinstance(decision, messages.Refuse) and is_surge:
                self.refused[request.rank] += 1
                if request.rank == 0:
                    self.rank_0_shed_intervals.append(now_ms // 100)

    def goodput(self) -> float:
        """Return timely answers in the surge, as a share of capacity."""
        first = WARMUP_MS // BUCKET_MS
        last = (WARMUP_MS + SURGE_MS) // BUCKET_MS
        good = sum(self.good_work_ms[bucket] for bucket in range(first, last))
        return good / (
            SURGE_MS * self._case.usable_slots / self._case.slowdown
        )

    def recovery_s(self, start_ms: int) -> float:
        """Return the time from a start after the surge to normal goodput.

        Normal is the goodput of the second half of the warm-up, or the
        capacity of the service while it is slow, if that is lower.
        """
        first = (WARMUP_MS // 2) // BUCKET_MS
        last = WARMUP_MS // BUCKET_MS
        normal = sum(self.good_work_ms[b] for b in range(first, last)) / (
            last - first
        )
        end = start_ms // BUCKET_MS
        last = (WARMUP_MS + SURGE_MS + AFTER_SURGE_MS) // BUCKET_MS
        for bucket in range(end, last):
            window = range(bucket, bucket + RECOVERY_WINDOW_BUCKETS)
            mean = (
                sum(self.good_work_ms[b] for b in window)
                / RECOVERY_WINDOW_BUCKETS
            )
            slowdown = self._slowdown_at(bucket * BUCKET_MS)
            possible = BUCKET_MS * self._case.usable_slots / slowdown
            if mean >= RECOVERED_SHARE * min(normal, possible):
                return (bucket - end) * BUCKET_MS / 1_000
        return AFTER_SURGE_MS / 1_000

    def figures(self) -> dict[str, float]:
        """Return the figures of the table."""
        waits = [w for ranked in self.waits.values() for w in ranked]
        priority_inversions = sum(
            interval in self.low_rank_admit_intervals
            for interval in self.rank_0_shed_intervals
        )
        end_ms = WARMUP_MS + SURGE_MS
        return {
            "goodput%": 100 * self.goodput(),
            "ref0%": self._refused(0),
            "ref2%": self._refused(2),
            "ref3%": self._refused(3),
            "shed0+low": float(priority_inversions),
            "late%": 100 * self.late / max(1, self.admitted),
            "p99wait": p99(waits),
            "p99r0": p99(self.latencies[0]),
            "recov_s": self.recovery_s(end_ms),
            "slow_end_s": self.recovery_s(
                end_ms + self._case.slow_after_surge_ms
            ),
        }

    def _refused(self, rank: int) -> float:
        return 100 * self.refused[rank] / max(1, self.offered[rank])


def measure(case: Case, seed: int) -> dict[str, float]:
    """Run a case and return its figures."""
    run = Run(case, seed)
    run.run()
    return run.figures()


def p99(values: list[int]) -> float:
    """Return the 99th percentile; 0 without values."""
    if not values:
        return 0.0
    return float(sorted(values)[int(0.99 * (len(values) - 1))])


def make_cases() -> list[Case]:
    """Return the cases of the table."""
    goodput = model.Objective.GOODPUT
    cases = [Case("baseline", "fixed", goodput, RANK_SHARES, is_ranked=False)]
    for limiter in LIMITERS:
        for objective in model.Objective:
            cases += make_limiter_cases(limiter, objective)
    for name, rank_shares, surge_load in (
        ("r0 alone 0.4", {0: 1.0}, 0.4),
        ("r0 0.4 + r3 1.6", {0: 0.2, 3: 0.8}, 2.0),
        ("r0 1.6 + r3 0.4", {0: 0.8, 3: 0.2}, 2.0),
    ):
        cases.append(
            Case(name, "hill_climb", goodput, rank_shares, surge_load)
        )
    return cases


def make_limiter_cases(limiter: str, objective: model.Objective) -> list[Case]:
    """Return the cases of one limiter and objective."""
    normal = Case(f"{limiter}/{objective}", limiter, objective, RANK_SHARES)
    slow = normal._replace(slowdown=4.0, slow_after_surge_ms=10_000)
    uneven = slow._replace(
        rank_shares=UNEVEN_RANK_SHARES, is_uneven=True, slowdown=1.0
    )
    variants = {
        "": normal,
        " slow x1.5": slow._replace(slowdown=1.5),
        " slow x4": slow,
        " slow x4, 4 slots": slow._replace(slots=4),
        " slow x4, 100 slots": slow._replace(slots=100),
        " knee 8": normal._replace(knee=8),
        " knee 4": normal._replace(knee=4),
        " knee 8, slow x2": slow._replace(knee=8, slowdown=2.0),
        " knee 20 of 100": normal._replace(slots=100, knee=20),
        " uneven": uneven,
        " uneven, slow x4": uneven._replace(slowdown=4.0),
        " uneven, 4 slots": uneven._replace(slots=4),
        " uneven, 100 slots": uneven._replace(slots=100),
    }
    return [
        case._replace(name=normal.name + suffix)
        for suffix, case in variants.items()
    ]


def main() -> None:
    """Print a table of medians and ranges over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="", help="part of a case's name")
    options = parser.parse_args()
    seeds = options.seeds
    selected = [case for case in make_cases() if options.only in case.name]
    print("median (min-max) over the seeds; waits and p99 in ms")
    is_header_printed = False
    pool = concurrent.futures.ProcessPoolExecutor(PROCESSES)
    futures = {
        case.name: [pool.submit(measure, case, n) for n in range(seeds)]
        for case in selected
    }
    for case in selected:
        runs = [pending.result() for pending in futures[case.name]]
        if not is_header_printed:
            names = "".join(f"{name:>21}" for name in runs[0])
            print(f"{'case':<32}{names}")
            is_header_printed = True
        cells = "".join(f"{format_spread(runs, name):>21}" for name in runs[0])
        print(f"{case.name:<32}{cells}", flush=True)


def format_spread(runs: list[dict[str, float]], name: str) -> str:
    """Return median, minimum and maximum of a figure."""
    values = [run[name] for run in runs]
    median = statistics.median(values)
    return f"{median:.1f} ({min(values):.1f}-{max(values):.1f})"


if __name__ == "__main__":
    main()
