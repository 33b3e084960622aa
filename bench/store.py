"""Calls and bytes between clients and the store, for changes and relays.

``python -m bench.store`` uses the in-process stand-in and a simulated clock,
so that the counts do not depend on the machine.
"""

import json
import random
from typing import NamedTuple

import anyio
import anyio.abc
import trio.testing

from clementinekeel.runtime import log
from clementinekeel.store import changes
from clementinekeel.store import client
from clementinekeel.store import relay
from standins import store as standin
from standins import transport

SERVICES = (16, 200, 2_700)
ENDPOINTS_PER_SERVICE = 10
CHANGES = 5
RELAYS = 27
OUTAGE_S = 120
QUIET_DURATION_S = 600
RECOVERY_DURATION_S = 10


class Row(NamedTuple):
    """One line of the table: figures per unit that ``name`` states."""

    name: str
    calls: float
    bytes_sent: float
    bytes_received: float


def make_objects(services: int, extra_slots: int) -> dict[str, bytes]:
    """Return an inventory; the first service gets the extra slots."""
    objects = {}
    for number in range(services):
        slots = 90 + (extra_slots if number == 0 else 0)
        endpoints = [
            {"name": f"e{number}-{i}", "zone": f"z{i % 9}", "slots": slots}
            for i in range(ENDPOINTS_PER_SERVICE)
        ]
        value = json.dumps({"endpoints": endpoints}).encode()
        objects[f"service/name-of-service-{number:05}"] = value
    return objects


def make_change(services: int, base_version: int) -> changes.Change:
    """Return a change of one service, or the first import for version 0."""
    change_id = random.Random(base_version).randbytes(8).hex()
    return changes.Change(
        change_id,
        "operator",
        "host",
        "bench",
        base_version,
        make_objects(services, base_version),
        ("slots of one service",),
    )


def open_client(
    application: standin.StoreApplication,
    tasks: anyio.abc.TaskGroup,
    seed: int = 0,
) -> client.StoreClient:
    """Return a client connected to the stand-in."""
    connection = transport.StreamingTransport(application, tasks)
    generator = random.Random(seed)
    return client.StoreClient(["http://store"], generator, connection)


def pop_counts(store: client.StoreClient, name: str, count: int = 1) -> Row:
    """Return a client's counts divided by ``count``, and reset them."""
    row = Row(
        name,
        store.calls / count,
        store.bytes_sent / count,
        store.bytes_received / count,
    )
    store.calls = store.bytes_sent = store.bytes_received = 0
    return row


async def measure_changes(services: int) -> list[Row]:
    """Measure an import and small changes, and the loads after each."""
    rows = []
    async with anyio.create_task_group() as tasks:
        application = standin.StoreApplication()
        operator = open_client(application, tasks)
        reader = open_client(application, tasks)
        size = f"{services} services"
        async with operator, reader:
            (await changes.apply(operator, make_change(services, 0))).unwrap()
            rows.append(pop_counts(operator, f"{size}: import"))
            snapshot = (await changes.load(reader, None)).unwrap()
            rows.append(pop_counts(reader, f"{size}: first load"))
            for base_version in range(1, CHANGES + 1):
                change = make_change(services, base_version)
                (await changes.apply(operator, change)).unwrap()
                snapshot = (await changes.load(reader, snapshot)).unwrap()
            rows.append(
                pop_counts(operator, f"{size}: change of one", CHANGES)
            )
            rows.append(pop_counts(reader, f"{size}: load of one", CHANGES))
        tasks.cancel_scope.cancel()
    return rows


async def measure_relays() -> list[Row]:
    """Measure one relay without changes, and all relays after an outage."""
    async with anyio.create_task_group() as tasks:
        application = standin.StoreApplication()
        clients = [open_client(application, tasks, s) for s in range(RELAYS)]
        operator = open_client(application, tasks)
        (await changes.apply(operator, make_change(200, 0))).unwrap()
        for number, store in enumerate(clients):
            task = relay.RelayTask(
                store,
                lambda snapshot: None,
                "10.0.0.1:7000",
                f"z{number % 9}",
                f"n{number}",
                random.Random(number),
            )
            task.set_active(True)
            tasks.start_soon(task.run)
        await anyio.sleep(60)
        pop_counts(clients[0], "")
        await anyio.sleep(QUIET_DURATION_S)
        quiet = pop_counts(
            clients[0], "one quiet relay, per second", QUIET_DURATION_S
        )
        application.set_faults(down="closed")
        await anyio.sleep(OUTAGE_S)
        application.set_faults()
        peak, total = 0, 0
        for _ in range(RECOVERY_DURATION_S):
            for store in clients:
                pop_counts(store, "")
            await anyio.sleep(1)
            calls = sum(store.calls for store in clients)
            peak, total = max(peak, calls), total + calls
        tasks.cancel_scope.cancel()
    name = f"{RELAYS} relays, first {RECOVERY_DURATION_S} s after an outage"
    return [
        quiet,
        Row(f"{name}, per second", total / RECOVERY_DURATION_S, 0, 0),
        Row(f"{name}, highest second", peak, 0, 0),
    ]


async def measure() -> list[Row]:
    """Run all measurements."""
    rows: list[Row] = []
    for services in SERVICES:
        rows += await measure_changes(services)
    return rows + await measure_relays()


def main() -> None:
    """Print the table."""
    log.configure("ERROR", "bench")
    clock = trio.testing.MockClock(autojump_threshold=0)
    options = {"clock": clock}
    rows = anyio.run(measure, backend="trio", backend_options=options)
    print(f"{'':52} {'calls':>8} {'sent B':>11} {'received B':>11}")
    for row in rows:
        print(
            f"{row.name:52} {row.calls:8.2f} {row.bytes_sent:11,.0f}"
            f" {row.bytes_received:11,.0f}"
        )


if __name__ == "__main__":
    main()
