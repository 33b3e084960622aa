"""Memory and time that a configuration takes at a node.

Each service has ten endpoints and three operations, as in a fleet of full
size.
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


def make_service(number: int) -> model.ServiceSpec:
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


def make_rules(services: int) -> model.Rules:
    """Return rules with three operations for each service."""
    operations = []
    for number in range(services):
        name = f"service-{number:04}"
        for methods, path, request_class in (
            (("POST",), "/items/*", CLASSES[0]),
            (("GET",), "/items/*", CLASSES[1]),
            (("GET",), "/registry/*", CLASSES[2]),
        ):
            operations.append(
                model.Operation(
                    f"{name}-{request_class.name}",
                    name,
                    methods,
                    path,
                    request_class.name,
                    request_class.rank,
                    request_class.rank > 0,
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
        ZONES, (), tuple(make_service(number) for number in range(services))
    )
    encoded = objects.encode(inventory, make_rules(services))
    size = sum(map(len, encoded.values()))
    started_s = time.perf_counter()
    configuration = objects.decode(1, "one", encoded).unwrap()
    decode_ms = (time.perf_counter() - started_s) * 1e3
    changed = {
        **encoded,
        "service/service-0000": change_first_service(encoded),
    }
    started_s = time.perf_counter()
    objects.decode_change(configuration, encoded, 2, "two", changed).unwrap()
    change_ms = (time.perf_counter() - started_s) * 1e3
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    decoded = objects.decode(1, "one", encoded).unwrap()
    memory = tracemalloc.get_traced_memory()[0] - before + size
    tracemalloc.stop()
    del decoded
    change_bytes = measure_change_bytes(encoded)
    print(
        f"{services:>8}{size / 1e3:>12.1f}{memory / MIB:>10.2f}"
        f"{decode_ms:>10.2f}{change_ms:>11.2f}{change_bytes:>10}"
        f"{measure_classify_us(configuration, services):>12.2f}",
        flush=True,
    )


def change_first_service(encoded: dict[str, bytes]) -> bytes:
    """Return the first service with one more slot at an endpoint."""
    return encoded["service/service-0000"].replace(b"90,630", b"91,630", 1)


def measure_change_bytes(encoded: dict[str, bytes]) -> int:
    """Return the bytes sent to a node for a change of one service."""
    old = snapshots.Snapshot(1, "one", encoded)
    changed = {"service/service-0000": change_first_service(encoded)}
    new = snapshots.Snapshot(2, "two", {**encoded, **changed})
    history = deltas.History()
    history.record(old, new)
    return sum(map(len, deltas.to_parts(history.delta(new, 1))))


def measure_classify_us(
    configuration: model.Configuration, services: int
) -> float:
    """Return the time to classify a request, in microseconds."""
    random_source = random.Random(1)
    names = [
        f"service-{random_source.randrange(services):04}" for _ in range(CALLS)
    ]
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
