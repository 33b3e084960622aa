"""Decisions a second and memory of the records of a key's owner.

Run with ``python -m bench.outcomes``. Each row fills a table with finished
records; "moved" holds the text of a successor key for every record.
"""

import gc
import time
import tracemalloc

from clementinekeel.nodes import codec
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import messages
from clementinekeel.outcomes import records

SIZES = [100, 1_000, 10_000, 50_000]
ROUNDS = 5
INCARNATION = 2**63 + 11
LIFETIME_MS = 60_000
ROW = "{:>9} {:>12} {:>12} {:>12} {:>12} {:>12}"
HEADINGS = (
    "records",
    "begin+end/s",
    "full: b+e/s",
    "inquire/s",
    "bytes/rec",
    "moved b/rec",
)


def make_keys(
    issuer: keys.KeyIssuer, count: int, start: int = 0
) -> list[messages.IssuedKey]:
    """Return keys whose expiries are spread as at 833 keys a second."""
    return [
        issuer.parse(
            issuer.issue(
                "bookings",
                "bookings-1",
                "vm-0001",
                INCARNATION,
                LIFETIME_MS + (start + number) * 1_000 // 833,
            )
        ).unwrap()
        for number in range(count)
    ]


def fill(
    table: records.OutcomeRecords, some: list[messages.IssuedKey]
) -> None:
    """Begin and finish every key."""
    completed = messages.Outcome.COMPLETED
    for key in some:
        table.begin(key, 0)
        table.finish(key, completed, "", None, 0)


def make_table(size: int) -> records.OutcomeRecords:
    """Return an empty table that holds ``size`` records."""
    return records.OutcomeRecords(INCARNATION, records.Limits(records=size))


def rate(count: int, started: float) -> float:
    """Return a count a second since a start."""
    return count / (time.perf_counter() - started)


def measure_speed(issuer: keys.KeyIssuer, size: int) -> list[float]:
    """Return the best rates of filling, evicting and inquiring."""
    first = make_keys(issuer, size)
    second = make_keys(issuer, size, size)
    best = [0.0, 0.0, 0.0]
    for _ in range(ROUNDS):
        table = make_table(size)
        started = time.perf_counter()
        fill(table, first)
        filling = rate(size, started)
        started = time.perf_counter()
        fill(table, second)
        evicting = rate(size, started)
        started = time.perf_counter()
        for key in second:
            table.inquire(key, 0)
        inquiring = rate(size, started)
        seen = (filling, evicting, inquiring)
        best = list(map(max, best, seen))
    return best


def measure_bytes(issuer: keys.KeyIssuer, size: int, moved: bool) -> float:
    """Return the bytes that a record takes, with its key's serial."""
    gc.collect()
    tracemalloc.start()
    table = make_table(size)
    before, _ = tracemalloc.get_traced_memory()
    for start in range(0, size, 100):
        some = make_keys(issuer, 100, start)
        if not moved:
            fill(table, some)
            continue
        for key in some:
            successor = issuer.issue(*key[:5])
            table.refuse(key, 0, "overload", successor)
    del some
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if table.statistics.records != size:
        raise RuntimeError("the table does not hold all records")
    return (after - before) / size


def main() -> None:
    """Print the table."""
    issuer = keys.KeyIssuer(codec.Keyring([b"k" * 32]))
    print(ROW.format(*HEADINGS))
    for size in SIZES:
        figures = measure_speed(issuer, size)
        figures.append(measure_bytes(issuer, size, moved=False))
        figures.append(measure_bytes(issuer, size, moved=True))
        print(ROW.format(size, *(f"{figure:,.0f}" for figure in figures)))
    count = 20_000
    started = time.perf_counter()
    text = [issuer.issue("s", "e", "n", 1, 1) for _ in range(count)]
    print(f"issue: {rate(count, started):,.0f} keys/s")
    started = time.perf_counter()
    for each in text:
        issuer.parse(each)
    print(f"parse: {rate(count, started):,.0f} keys/s")


if __name__ == "__main__":
    main()
