"""Decisions per second and memory of an owner's outcome records.

Run with ``python -m bench.outcomes``. For each row, a table is filled with
finished records. In the column "moved b/rec", every record holds the text of
a successor key.
"""

import gc
import time
import tracemalloc

from clementinekeel.nodes import codec
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import messages
from clementinekeel.outcomes import records

SIZES = [100, 1_000, 10_000, 50_000]
REPETITIONS = 5
INCARNATION = 2**63 + 11
LIFETIME_MS = 60_000
ROW_FORMAT = "{:>9} {:>12} {:>12} {:>12} {:>12} {:>12}"
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
    """Return keys that expire at a rate of 833 keys per second."""
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
    table: records.OutcomeRecords, issued_keys: list[messages.IssuedKey]
) -> None:
    """Begin and finish the record of every key."""
    completed = messages.Outcome.COMPLETED
    for key in issued_keys:
        table.begin(key, 0)
        table.finish(key, completed, "", None, 0)


def make_table(size: int) -> records.OutcomeRecords:
    """Return an empty table with room for ``size`` records."""
    return records.OutcomeRecords(INCARNATION, records.Limits(records=size))


def rate_per_s(count: int, started_s: float) -> float:
    """Return a count per second since a start."""
    return count / (time.perf_counter() - started_s)


def measure_speed(issuer: keys.KeyIssuer, size: int) -> list[float]:
    """Return the best rates of filling, evicting and inquiring."""
    first_keys = make_keys(issuer, size)
    second_keys = make_keys(issuer, size, size)
    best_rates = [0.0, 0.0, 0.0]
    for _ in range(REPETITIONS):
        table = make_table(size)
        started_s = time.perf_counter()
        fill(table, first_keys)
        fill_rate = rate_per_s(size, started_s)
        started_s = time.perf_counter()
        fill(table, second_keys)
        evict_rate = rate_per_s(size, started_s)
        started_s = time.perf_counter()
        for key in second_keys:
            table.inquire(key, 0)
        inquire_rate = rate_per_s(size, started_s)
        rates = (fill_rate, evict_rate, inquire_rate)
        best_rates = list(map(max, best_rates, rates))
    return best_rates


def measure_bytes(
    issuer: keys.KeyIssuer, size: int, has_successor: bool
) -> float:
    """Return the bytes per record, including the serial of its key."""
    gc.collect()
    tracemalloc.start()
    table = make_table(size)
    before, _ = tracemalloc.get_traced_memory()
    for start in range(0, size, 100):
        issued_keys = make_keys(issuer, 100, start)
        if not has_successor:
            fill(table, issued_keys)
            continue
        for key in issued_keys:
            successor = issuer.issue(*key[:5])
            table.refuse(key, 0, "overload", successor)
    del issued_keys
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if table.statistics.records != size:
        raise RuntimeError("the table does not hold all records")
    return (after - before) / size


def main() -> None:
    """Print the table."""
    issuer = keys.KeyIssuer(codec.Keyring([b"k" * 32]))
    print(ROW_FORMAT.format(*HEADINGS))
    for size in SIZES:
        figures = measure_speed(issuer, size)
        figures.append(measure_bytes(issuer, size, has_successor=False))
        figures.append(measure_bytes(issuer, size, has_successor=True))
        print(
            ROW_FORMAT.format(size, *(f"{figure:,.0f}" for figure in figures))
        )
    count = 20_000
    started_s = time.perf_counter()
    key_texts = [issuer.issue("s", "e", "n", 1, 1) for _ in range(count)]
    print(f"issue: {rate_per_s(count, started_s):,.0f} keys/s")
    started_s = time.perf_counter()
    for key_text in key_texts:
        issuer.parse(key_text)
    print(f"parse: {rate_per_s(count, started_s):,.0f} keys/s")


if __name__ == "__main__":
    main()
