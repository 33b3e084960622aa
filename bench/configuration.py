"""Cost of holding and changing a configuration at a node.

Each service has ten endpoints and three operations, as at full size.
"""

import random
import time
import tracemalloc

from clementinekeel.configuration import classifier
from clementinekeel.configuration import deltas
from clementinekeel.configuration import model
from clementinekeel.configuration import objects
from clementinekeel.configuration import snapshot as snapshots

SERVICES = (4, 16, 200, 2_700)
ENDPOINTS_PER_SERVICE = 10
ZONES = tuple(
    model.Zone(f"zone-{number}", f"region-{number // 3}")
    for number in range(9)
)
CLASSES = (
    model.RequestClass("booking", 0),
    model.RequestClass("lookup", 2),
    model.RequestClass("internal", 3),
)
CALLS = 20_000
MIB = 1024 * 1024


def service(number: int) -> model.ServiceSpec:
    """Return a service with its endpoints."""
    name = f"service-{number:04}"
    return model.ServiceSpec(
        name,
        tuple(
            model.EndpointSpec(
                f"{name}-{index}", name, ZONES[index % 9].name, 90, 630
            )
            for index in range(ENDPOINTS_PER_SERVICE)
        ),
    )


def rules(services: int) -> model.Rules:
    """Return rules with three operations a service."""
    operations = []
    for number in range(services):
        name = f"service-{number:04}"
        for methods, path, chosen in (
            (("POST",), "/items/*", CLASSES[0]),
            (("GET",), "/items/*", CLASSES[1]),
            (("GET",), "/registry/*", CLASSES[2]),
        ):
            operations.append(
                model.Operation(
                    f"{name}-{chosen.name}",
                    name,
                    methods,
                    path,
                    chosen.name,
                    chosen.rank,
                    chosen.rank > 0,
                    5_000,
                )
            )
    return model.Rules(
        CLASSES,
        tuple(operations),
        "lookup",
        10_000,
        2,
        0.1,
        model.Objective.GOODPUT,
    )


def measure(services: int) -> None:
    """Print the line for a number of services."""
    inventory = model.Inventory(
        ZONES, (), tuple(service(number) for number in range(services))
    )
    parts = objects.encode(inventory, rules(services))
    size = sum(map(len, parts.values()))
    started_s = time.perf_counter()
    configuration = objects.decode(1, "one", parts).unwrap()
    join_ms = (time.perf_counter() - started_s) * 1e3
    changed = {**parts, "service/service-0000": changed_service(parts)}
    started_s = time.perf_counter()
    objects.decode_change(configuration, parts, 2, "two", changed).unwrap()
    change_ms = (time.perf_counter() - started_s) * 1e3
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = objects.decode(1, "one", parts).unwrap()
    memory = tracemalloc.get_traced_memory()[0] - before + size
    tracemalloc.stop()
    del held
    change_bytes = size_of_change(parts)
    print(
        f"{services:>8}{size / 1e3:>12.1f}{memory / MIB:>10.2f}"
        f"{join_ms:>10.2f}{change_ms:>11.2f}{change_bytes:>10}"
        f"{classify_us(configuration, services):>12.2f}",
        flush=True,
    )


def changed_service(parts: dict[str, bytes]) -> bytes:
    """Return the first service with one slot more."""
    return parts["service/service-0000"].replace(b"90,630", b"91,630", 1)


def size_of_change(parts: dict[str, bytes]) -> int:
    """Return the bytes that a change of one service moves to a node."""
    old = snapshots.Snapshot(1, "one", parts)
    changed = {"service/service-0000": changed_service(parts)}
    new = snapshots.Snapshot(2, "two", {**parts, **changed})
    history = deltas.History()
    history.record(old, new)
    return sum(map(len, deltas.to_parts(history.delta(new, 1))))


def classify_us(configuration: model.Configuration, services: int) -> float:
    """Return the time to find the operation of a request."""
    source = random.Random(1)
    names = [f"service-{source.randrange(services):04}" for _ in range(CALLS)]
    classifier.classify(configuration, names[0], "GET", "/items/1")
    started_s = time.perf_counter()
    for name in names:
        classifier.classify(configuration, name, "GET", "/items/1")
    return (time.perf_counter() - started_s) / CALLS * 1e6


def main() -> None:
    """Run the measurement from the command line."""
    print(
        "services  objects KB  held MiB   join ms  change ms  change B"
        "  classify us"
    )
    for services in SERVICES:
        measure(services)


if __name__ == "__main__":
    main()
