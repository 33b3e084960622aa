"""Tour of the operators' commands on the fleet of ``examples/office``.

Starts the fleet as processes on loopback, runs each command as an operator
would, and compares its exit code and output with docs/operators.md. Exits
with 1 if one differs.
"""

import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

import anyio
import httpx

from standins import caller
from standins import fleet
from standins import workload

OFFICE_FOLDER = pathlib.Path(__file__).parent / "office"
DRAINED_ENDPOINT = "bookings-1"
COMMAND_TIMEOUT_S = 60.0
HOLD_WRITES = {"hold_writes": 100}


class CommandResult(NamedTuple):
    """How a command ended."""

    code: int
    output: str
    errors: str


class Tour:
    """Runs commands and collects the differences from the operators' guide.

    Parameters
    ----------
    running_fleet : fleet.Fleet
        The fleet of ``examples/office``, at configuration version 1.
    folder : pathlib.Path
        Folder for the commands' input files.
    """

    def __init__(
        self, running_fleet: fleet.Fleet, folder: pathlib.Path
    ) -> None:
        self.differences: list[str] = []
        self.steps = 0
        self._fleet = running_fleet
        self._folder = folder
        self._store = f"--store={running_fleet.store_url}"
        vm = running_fleet.vms[DRAINED_ENDPOINT]
        self._node = f"--node={vm.node.addresses['operators']}"
        other = running_fleet.vms["timetable-1"]
        self._other_node = f"--node={other.node.addresses['operators']}"
        self._rules = OFFICE_FOLDER / "rules.ini"
        self._inventory = folder / "inventory.ini"

    async def run(self) -> None:
        """Run all commands, in the order of the operators' guide."""
        await self._run_offline_commands()
        await self._run_read_commands()
        await self._run_apply()
        await self._apply_concurrently()
        await self._lose_answer()
        await self._run_drain_commands()
        await self._run_why()
        await self._check_metrics()
        await self._run_without_store()

    async def _run_offline_commands(self) -> None:
        settings = self._folder / "node.ini"
        settings.write_text(
            fleet.SETTINGS.format(
                node_id="n",
                zone="pamplemousses",
                region="north-isle",
                log_level="INFO",
                seeds="",
                key=fleet.FLEET_KEY,
                connections=10,
                store=self._fleet.store_url,
                policies="",
            )
        )
        assets = OFFICE_FOLDER / "assets.csv"
        await self._expect(
            0, "16 endpoints", "draw", assets, f"--output={self._inventory}"
        )
        await self._expect(0, "no faults", "check", f"--settings={settings}")
        files = self._file_arguments(self._inventory)
        await self._expect(0, "no faults", "check", *files)
        faulty = self._folder / "faulty.ini"
        faulty.write_text("[limits]\n")
        files = self._file_arguments(self._inventory, faulty)
        await self._expect(1, "faulty.ini", "check", *files)
        await self._expect(2, "usage:", "check")
        await self._expect(0, "version 1,", "show", f"--settings={settings}")

    async def _run_read_commands(self) -> None:
        await self._expect(0, "book-seat", "show", self._store)
        files = self._file_arguments(self._inventory)
        await self._expect(0, "no difference", "diff", *files, self._store)
        await self._expect(0, "as seen by", "fleet", self._node)
        await self._expect(
            0, "slots: 20", "endpoint", DRAINED_ENDPOINT, self._node
        )
        await self._expect(1, "knows no", "endpoint", "none-1", self._node)
        fleet_status = await self._execute_json(
            "fleet", self._node, "--service=bookings"
        )
        self._check(
            len(fleet_status["endpoints"]) == 4, "fleet: not 4 endpoints"
        )

    async def _run_apply(self) -> None:
        files = self._file_arguments(self._write_changed_inventory(21))
        await self._expect(0, "slots: 20 -> 21", "diff", *files, self._store)
        await self._expect(
            0,
            "in force at 16 endpoints",
            *self._apply_arguments(files, "more slots", "--base-version=1"),
            "--wait",
            self._node,
        )
        await self._expect(
            0, "slots: 21", "endpoint", DRAINED_ENDPOINT, self._node
        )
        await self._expect(
            0, "already holds this", *self._apply_arguments(files, "again")
        )
        await self._expect(0, "more slots", "history", self._store)

    async def _apply_concurrently(self) -> None:
        arguments = [
            [
                *self._apply_arguments(
                    self._file_arguments(self._write_changed_inventory(slots)),
                    f"slots {slots}",
                    "--base-version=2",
                ),
                f"--author=operator-{slots}",
            ]
            for slots in (22, 23)
        ]
        results: dict[int, CommandResult] = {}

        async def operate(index: int) -> None:
            results[index] = await self._execute(*arguments[index])

        async with anyio.create_task_group() as tasks:
            for index in (0, 1):
                tasks.start_soon(operate, index)
        codes = sorted(result.code for result in results.values())
        self._check(codes == [0, 1], f"two operators: {results}")
        for index, result in results.items():
            if result.code == 1:
                winner = f"by operator-{23 - index}"
                self._check(winner in result.errors, f"conflict: {result}")
                self._check("slots" in result.errors, f"conflict: {result}")
        self._print_step("two operators at the same time")

    async def _lose_answer(self) -> None:
        files = self._file_arguments(self._write_changed_inventory(24))
        apply = self._apply_arguments(files, "lost", "--change-id=lost-1")
        # Hold all writes, not just the next one, since relays write leases at
        # any time.
        await self._set_faults(HOLD_WRITES)
        await self._expect(3, "clementinekeel change lost-1", *apply)
        change = ("change", "lost-1", self._store)
        await self._expect(3, "not known yet", *change)
        await self._set_faults({"release": True})
        await self._expect(3, "may still arrive", *change)
        await self._expect(0, "accepted as version 4", *apply)
        await self._expect(0, "was accepted as 4", *change)
        await self._expect(0, "accepted as version 4", *apply)

    async def _run_drain_commands(self) -> None:
        arguments = (
            DRAINED_ENDPOINT,
            self._node,
            self._store,
            "--reason=rack",
        )
        await self._expect(2, "usage:", "drain", *arguments[:3])
        await self._expect(
            1,
            "serves",
            "drain",
            DRAINED_ENDPOINT,
            self._other_node,
            *arguments[2:],
        )
        await self._expect(0, "is leaving", "drain", *arguments)
        await self._expect(
            0, "state: leaving", "endpoint", DRAINED_ENDPOINT, self._node
        )
        await self._expect(0, "entry 2 of drains", "undrain", *arguments)
        await self._expect(
            0, "state: ready", "endpoint", DRAINED_ENDPOINT, self._node
        )
        history = await self._execute_json("history", self._store, "--limit=3")
        actions = [entry.get("action") for entry in history["entries"]]
        expected = ["undrain", "drain", None]
        self._check(actions == expected, f"history: {actions}")

    async def _run_why(self) -> None:
        vm = self._fleet.vms[DRAINED_ENDPOINT]
        request = workload.make_request(
            workload.OFFICE, 1, random.Random(1), 5_000
        )
        async with httpx.AsyncClient(trust_env=False) as http:
            sender = caller.Caller(
                http, lambda: vm.callers_address, random.Random(1)
            )
            result = await sender.run(request, time.monotonic())
            self._check(result.outcome == "completed", f"{result}")
            response = await http.get(
                f"http://{vm.callers_address}/services/none/x",
                headers={"clementinekeel-request-id": "tour-1"},
            )
            self._check(response.status_code == 404, f"{response}")
            await http.get(
                f"http://{vm.callers_address}/services/timetable/lessons/1",
                headers={"clementinekeel-request-id": "tour-2"},
            )
        await self._expect(0, "look-up-lesson", "why", "tour-2", self._node)
        await self._expect(1, "does not know", "why", "tour-3", self._node)

    async def _check_metrics(self) -> None:
        address = self._node.removeprefix("--node=")
        async with httpx.AsyncClient(trust_env=False) as http:
            response = await http.get(f"http://{address}/metrics")
        for line in (
            'clementinekeel_requests_total{outcome="completed"} 2',
            'clementinekeel_problems_total{reason="unknown_service"} 1',
            "clementinekeel_configuration_version 4",
            'clementinekeel_state{state="ready"} 1',
        ):
            self._check(line in response.text, f"metrics: no {line}")
        self._print_step("GET /metrics")

    async def _run_without_store(self) -> None:
        await self._set_faults({"down": "503"})
        await self._expect(4, "no leader", "show", self._store)
        await self._expect(3, "not known yet", "change", "x", self._store)
        files = self._file_arguments(self._write_changed_inventory(25))
        await self._expect(
            4, "no leader", *self._apply_arguments(files, "away")
        )
        arguments = (
            DRAINED_ENDPOINT,
            self._node,
            self._store,
            "--reason=rack",
        )
        await self._expect(4, "--unrecorded", "drain", *arguments)
        await self._expect(
            0, "is not in the audit trail", "drain", *arguments, "--unrecorded"
        )
        await self._set_faults(HOLD_WRITES)
        await self._expect(3, "may be in the audit", "undrain", *arguments)
        await self._set_faults({})
        await self._expect(0, "is ready", "undrain", *arguments)
        await self._expect(4, "", "fleet", "--node=127.0.0.1:1")

    def _file_arguments(
        self, inventory: pathlib.Path, rules: pathlib.Path | None = None
    ) -> list[str]:
        return [
            f"--inventory={inventory}",
            f"--rules={rules or self._rules}",
        ]

    def _write_changed_inventory(self, slots: int) -> pathlib.Path:
        """Write the inventory with a different number of slots."""
        text = self._inventory.read_text()
        head, section, tail = text.partition(f"[endpoint {DRAINED_ENDPOINT}]")
        path = self._folder / f"inventory-{slots}.ini"
        changed = tail.replace("slots = 20", f"slots = {slots}", 1)
        path.write_text(head + section + changed)
        return path

    def _apply_arguments(
        self, files: list[str], reason: str, *arguments: str
    ) -> list[str]:
        return [
            "apply",
            *files,
            f"--reason={reason}",
            self._store,
            *arguments,
        ]

    async def _set_faults(self, faults: dict[str, Any]) -> None:
        async with httpx.AsyncClient(trust_env=False) as http:
            await http.put(f"{self._fleet.store_url}/faults", json=faults)

    async def _expect(
        self, code: int, text: str, *arguments: str | pathlib.Path
    ) -> None:
        """Run a command and check its exit code and a text in its output."""
        result = await self._execute(*arguments)
        is_expected = (
            result.code == code and text in result.output + result.errors
        )
        command_line = " ".join(map(str, arguments))
        self._check(
            is_expected, f"{command_line}: wanted {code} {text!r}: {result}"
        )
        self._print_step(f"{arguments[0]}, exit code {result.code}")

    async def _execute_json(self, *arguments: str) -> dict[str, Any]:
        result = await self._execute(*arguments, "--json")
        self._print_step(f"{arguments[0]} --json, exit code {result.code}")
        try:
            value: dict[str, Any] = json.loads(result.output)
        except ValueError:
            self._check(False, f"{arguments[0]}: no JSON: {result}")
            return {"endpoints": [], "entries": []}
        return value

    async def _execute(self, *arguments: str | pathlib.Path) -> CommandResult:
        with anyio.fail_after(COMMAND_TIMEOUT_S):
            result = await anyio.run_process(
                [sys.executable, "-m", "clementinekeel", *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                check=False,
                env=dict(os.environ),
            )
        return CommandResult(
            result.returncode, result.stdout.decode(), result.stderr.decode()
        )

    def _check(self, is_as_expected: bool, difference: str) -> None:
        if not is_as_expected:
            self.differences.append(difference)
            print(f"DIFFERS: {difference}", flush=True)

    def _print_step(self, step: str) -> None:
        self.steps += 1
        print(f"{self.steps:3}  {step}", flush=True)


async def run() -> int:
    """Run the tour; return the exit code."""
    # Nodes log warnings during the store faults of the tour.
    options = fleet.Options(
        OFFICE_FOLDER / "inventory.ini",
        OFFICE_FOLDER / "rules.ini",
        log_level="ERROR",
    )
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.run(options) as running_fleet:
            print(f"{len(running_fleet.vms)} nodes ready", flush=True)
            tour = Tour(running_fleet, pathlib.Path(folder))
            await tour.run()
    elapsed_s = time.monotonic() - started_s
    print(
        f"{tour.steps} steps, {len(tour.differences)} differ, "
        f"{elapsed_s:.0f} s"
    )
    return 1 if tour.differences else 0


def main() -> None:
    """Run the tour from the command line."""
    sys.exit(anyio.run(run))


if __name__ == "__main__":
    main()
