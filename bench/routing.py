"""Decisions per second of the router, and its memory per endpoint.

Run with ``python -m bench.routing``.
"""

import random
import time
import tracemalloc

from clementinekeel.routing import balancers
from clementinekeel.routing import messages
from clementinekeel.routing import router

SIZES = (10, 100, 1_000, 27_000)
DECISIONS = 5_000
REPETITIONS = 3
NO_NODES: frozenset[tuple[str, int]] = frozenset()


def make_candidates(count: int) -> list[messages.Candidate]:
    """Return endpoints of one service, spread over nine zones."""
    return [
        messages.Candidate(
            f"e{n}", "s", f"z{n % 9}", f"r{n % 3}", f"n{n}", n, f"a{n}"
        )
        for n in range(count)
    ]


def measure_speed(tested_router: router.Router) -> float:
    """Return choices per second, each followed by its observation."""
    observation = messages.Observation(
        messages.Signal.ANSWERED, 255, 0.5, 0, 5.0
    )
    start = time.perf_counter()
    for now_ms in range(DECISIONS):
        target = tested_router.choose("s", 2, now_ms, NO_NODES)
        if isinstance(target, messages.Candidate):
            tested_router.observe(target, observation, now_ms)
    return DECISIONS / (time.perf_counter() - start)


def measure_bytes(candidates: list[messages.Candidate]) -> float:
    """Return the router's bytes per endpoint, without the candidates."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    tested_router = router.Router("z0", "r0", random.Random(1))
    tested_router.update("s", candidates, 0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(candidates)


def main() -> None:
    """Print a line for each size and balancer."""
    print(f"{'endpoints':>9} {'balancer':<12} {'decisions/s':<24} bytes each")
    for count in SIZES:
        candidates = make_candidates(count)
        bytes_per_endpoint = measure_bytes(candidates)
        for balancer in balancers.BALANCERS.names:
            tested_router = router.Router(
                "z0", "r0", random.Random(1), balancer
            )
            tested_router.update("s", candidates, 0)
            rates = sorted(
                measure_speed(tested_router) for _ in range(REPETITIONS)
            )
            rates_text = f"{rates[1]:.0f} ({rates[0]:.0f}-{rates[2]:.0f})"
            print(
                f"{count:>9} {balancer:<12} {rates_text:<24} "
                f"{bytes_per_endpoint:.0f}"
            )


if __name__ == "__main__":
    main()
