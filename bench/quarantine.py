"""Cost and memory of recognising requests that crash backend servers.

Run with ``python -m bench.quarantine``. A fingerprint is taken from each
request of a caller; the table is filled up to its bounds.
"""

import random
import time
import tracemalloc

from clementinekeel.admission import fingerprint
from clementinekeel.admission import quarantine
from clementinekeel.membership import statements
from clementinekeel.nodes import frames

ROUNDS = 20_000
BODY_SIZES = [0, 1_024, 102_400]
RUNS = [10, 100, quarantine.MAX_RUNS_PER_CRASH]


def fingerprint_us(body: bytes) -> float:
    """Return the time for one fingerprint."""
    started_s = time.perf_counter()
    for number in range(ROUNDS):
        target = b"/lookups/%d" % number
        fingerprint.fingerprint(b"GET", b"host", target, b"service", body)
    return (time.perf_counter() - started_s) / ROUNDS * 1e6


def fill(runs: int) -> quarantine.Quarantine:
    """Return a quarantine with as many crashes as it remembers."""
    filled = quarantine.Quarantine(random.Random(1))
    draw = random.Random(2)
    for number in range(quarantine.MAX_ANSWERED):
        filled.on_answer(number)
    for number in range(quarantine.MAX_CRASHES):
        incarnation = statements.Incarnation(f"endpoint-{number}", number)
        fingerprints = tuple(draw.getrandbits(64) for _ in range(runs))
        filled.record(quarantine.Crash(incarnation, fingerprints), 0.0)
    return filled


def decision_us(filled: quarantine.Quarantine) -> float:
    """Return the time that a request which is answered costs."""
    started_s = time.perf_counter()
    for number in range(ROUNDS):
        filled.remaining_s(number, 0.0)
        filled.on_start(number, 0.0)
        filled.on_answer(number)
    return (time.perf_counter() - started_s) / ROUNDS * 1e6


def main() -> None:
    """Print the tables."""
    print("{:>10} {:>15}".format("body bytes", "us a request"))
    for size in BODY_SIZES:
        print(f"{size:>10} {fingerprint_us(bytes(size)):>15.1f}")
    print(
        "{:>13} {:>12} {:>9} {:>13}".format(
            "runs a crash", "us a request", "KiB held", "KiB reported"
        )
    )
    for runs in RUNS:
        tracemalloc.start()
        filled = fill(runs)
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        reported = sum(
            len(
                frames.encode(
                    frames.CrashReport(*c.incarnation, c.fingerprints)
                )
            )
            for c in filled.crashes(0.0)
        )
        print(
            f"{runs:>13} {decision_us(filled):>12.2f}"
            f" {held_bytes / 1024:>9,.0f} {reported / 1024:>13,.1f}"
        )


if __name__ == "__main__":
    main()
