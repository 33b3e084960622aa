"""Measure the router: decisions a second and bytes an endpoint.

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
ROUNDS = 3
NONE: frozenset[tuple[str, int]] = frozenset()


def make_candidates(count: int) -> list[messages.Candidate]:
    """Return endpoints of one service, spread over nine zones."""
    return [
        messages.Candidate(
            f"e{n}", "s", f"z{n % 9}", f"r{n % 3}", f"n{n}", n, f"a{n}"
        )
        for n in range(count)
    ]


def measure_speed(made: router.Router) -> float:
    """Return choices with their observation per second."""
    seen = messages.Observation(messages.Signal.ANSWERED, 255, 0.5, 0, 5.0)
    start = time.perf_counter()
    for now_ms in range(DECISIONS):
        target = made.choose("s", 2, now_ms, NONE)
        if isinstance(target, messages.Candidate):
            made.observe(target, seen, now_ms)
    return DECISIONS / (time.perf_counter() - start)


def measure_bytes(candidates: list[messages.Candidate]) -> float:
    """Return the router's own memory per endpoint, without candidates."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = router.Router("z0", "r0", random.Random(1))
    made.update("s", candidates, 0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(candidates)


def main() -> None:
    """Print one line a size and balancer."""
    print(f"{'endpoints':>9} {'balancer':<12} {'decisions/s':<24} bytes each")
    for count in SIZES:
        candidates = make_candidates(count)
        size = measure_bytes(candidates)
        for balancer in balancers.BALANCERS.names:
            made = router.Router("z0", "r0", random.Random(1), balancer)
            made.update("s", candidates, 0)
            rates = sorted(measure_speed(made) for _ in range(ROUNDS))
            text = f"{rates[1]:.0f} ({rates[0]:.0f}-{rates[2]:.0f})"
            print(f"{count:>9} {balancer:<12} {text:<24} {size:.0f}")


if __name__ == "__main__":
    main()
