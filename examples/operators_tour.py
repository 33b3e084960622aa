"""Tour of the operators' commands against the Office's fleet.

Starts the fleet as processes on loopback, runs each command as an operator
would, and compares exit code and report with docs/operators.md. Exits with 1
if one differs.
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

FOLDER = pathlib.Path(__file__).parent / "office"
DRAINED = "bookings-1"
COMMAND_TIMEOUT_S = 60.0
HELD = {"hold_writes": 100}


class Ran(NamedTuple):
    """How a command ended."""

    code: int
    output: str
    errors: str


class Tour:
    """Runs commands and keeps a list of what differs.

    Parameters
    ----------
    running : fleet.Fleet
        The Office's fleet, at version 1.
    folder : pathlib.Path
        Where input files are written.
    """

    def __init__(self, running: fleet.Fleet, folder: pathlib.Path) -> None:
        self.faults: list[str] = []
        self.steps = 0
        self._fleet = running
        self._folder = folder
        self._store = f"--store={running.store}"
        vm = running.vms[DRAINED]
        self._node = f"--node={vm.node.addresses['operators']}"
        other = running.vms["timetable-1"]
        self._other = f"--node={other.node.addresses['operators']}"
        self._rules = FOLDER / "rules.ini"
        self._drawn = folder / "inventory.ini"

    async def run(self) -> None:
        """Run all commands, in the order of the operators' guide."""
        await self._offline()
        await self._read()
        await self._change()
        await self._conflict()
        await self._lost_answer()
        await self._drain()
        await self._why()
        await self._metrics()
        await self._store_away()

    async def _offline(self) -> None:
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
                store=self._fleet.store,
                policies="",
            )
        )
        assets = FOLDER / "assets.csv"
        await self._expect(
            0, "16 endpoints", "draw", assets, f"--output={self._drawn}"
        )
        await self._expect(0, "no faults", "check", f"--settings={settings}")
        files = self._files(self._drawn)
        await self._expect(0, "no faults", "check", *files)
        faulty = self._folder / "faulty.ini"
        faulty.write_text("[limits]\n")
        files = self._files(self._drawn, faulty)
        await self._expect(1, "faulty.ini", "check", *files)
        await self._expect(2, "usage:", "check")
        await self._expect(0, "version 1,", "show", f"--settings={settings}")

    async def _read(self) -> None:
        await self._expect(0, "book-seat", "show", self._store)
        files = self._files(self._drawn)
        await self._expect(0, "no difference", "diff", *files, self._store)
        await self._expect(0, "as seen by", "fleet", self._node)
        await self._expect(0, "slots: 20", "endpoint", DRAINED, self._node)
        await self._expect(1, "knows no", "endpoint", "none-1", self._node)
        listed = await self._json("fleet", self._node, "--service=bookings")
        self._check(len(listed["endpoints"]) == 4, "fleet: not 4 endpoints")

    async def _change(self) -> None:
        files = self._files(self._changed(21))
        await self._expect(0, "slots: 20 -> 21", "diff", *files, self._store)
        await self._expect(
            0,
            "in force at 16 endpoints",
            *self._apply(files, "more slots", "--base-version=1"),
            "--wait",
            self._node,
        )
        await self._expect(0, "slots: 21", "endpoint", DRAINED, self._node)
        await self._expect(
            0, "already holds this", *self._apply(files, "again")
        )
        await self._expect(0, "more slots", "history", self._store)

    async def _conflict(self) -> None:
        arguments = [
            [
                *self._apply(
                    self._files(self._changed(slots)),
                    f"slots {slots}",
                    "--base-version=2",
                ),
                f"--author=operator-{slots}",
            ]
            for slots in (22, 23)
        ]
        ended: dict[int, Ran] = {}

        async def operate(index: int) -> None:
            ended[index] = await self._execute(*arguments[index])

        async with anyio.create_task_group() as tasks:
            for index in (0, 1):
                tasks.start_soon(operate, index)
        codes = sorted(ran.code for ran in ended.values())
        self._check(codes == [0, 1], f"two operators: {ended}")
        for index, ran in ended.items():
            if ran.code == 1:
                winner = f"by operator-{23 - index}"
                self._check(winner in ran.errors, f"conflict: {ran}")
                self._check("slots" in ran.errors, f"conflict: {ran}")
        self._report("two operators at one moment")

    async def _lost_answer(self) -> None:
        files = self._files(self._changed(24))
        apply = self._apply(files, "lost", "--change-id=lost-1")
        # All writes, since the relays' leases are written at any time.
        await self._set_faults(HELD)
        await self._expect(3, "clementinekeel change lost-1", *apply)
        change = ("change", "lost-1", self._store)
        await self._expect(3, "not known yet", *change)
        await self._set_faults({"release": True})
        await self._expect(3, "may still arrive", *change)
        await self._expect(0, "accepted as version 4", *apply)
        await self._expect(0, "was accepted as 4", *change)
        await self._expect(0, "accepted as version 4", *apply)

    async def _drain(self) -> None:
        order = (DRAINED, self._node, self._store, "--reason=rack")
        await self._expect(2, "usage:", "drain", *order[:3])
        await self._expect(
            1, "serves", "drain", DRAINED, self._other, *order[2:]
        )
        await self._expect(0, "is leaving", "drain", *order)
        await self._expect(
            0, "state: leaving", "endpoint", DRAINED, self._node
        )
        await self._expect(0, "entry 2 of drains", "undrain", *order)
        await self._expect(0, "state: ready", "endpoint", DRAINED, self._node)
        found = await self._json("history", self._store, "--limit=3")
        actions = [entry.get("action") for entry in found["entries"]]
        expected = ["undrain", "drain", None]
        self._check(actions == expected, f"history: {actions}")

    async def _why(self) -> None:
        vm = self._fleet.vms[DRAINED]
        request = workload.make_request(
            workload.OFFICE, 1, random.Random(1), 5_000
        )
        async with httpx.AsyncClient(trust_env=False) as http:
            sent = caller.Caller(http, lambda: vm.callers, random.Random(1))
            ending = await sent.run(request, time.monotonic())
            self._check(ending.outcome == "completed", f"{ending}")
            answer = await http.get(
                f"http://{vm.callers}/services/none/x",
                headers={"clementinekeel-request-id": "tour-1"},
            )
            self._check(answer.status_code == 404, f"{answer}")
            await http.get(
                f"http://{vm.callers}/services/timetable/lessons/1",
                headers={"clementinekeel-request-id": "tour-2"},
            )
        await self._expect(0, "look-up-lesson", "why", "tour-2", self._node)
        await self._expect(1, "does not know", "why", "tour-3", self._node)

    async def _metrics(self) -> None:
        address = self._node.removeprefix("--node=")
        async with httpx.AsyncClient(trust_env=False) as http:
            answer = await http.get(f"http://{address}/metrics")
        for line in (
            'clementinekeel_requests_total{outcome="completed"} 2',
            'clementinekeel_problems_total{reason="unknown_service"} 1',
            "clementinekeel_configuration_version 4",
            'clementinekeel_state{state="ready"} 1',
        ):
            self._check(line in answer.text, f"metrics: no {line}")
        self._report("GET /metrics")

    async def _store_away(self) -> None:
        await self._set_faults({"down": "503"})
        await self._expect(4, "no leader", "show", self._store)
        await self._expect(3, "not known yet", "change", "x", self._store)
        files = self._files(self._changed(25))
        await self._expect(4, "no leader", *self._apply(files, "away"))
        order = (DRAINED, self._node, self._store, "--reason=rack")
        await self._expect(4, "--unrecorded", "drain", *order)
        await self._expect(
            0, "is not in the audit trail", "drain", *order, "--unrecorded"
        )
        await self._set_faults(HELD)
        await self._expect(3, "may be in the audit", "undrain", *order)
        await self._set_faults({})
        await self._expect(0, "is ready", "undrain", *order)
        await self._expect(4, "", "fleet", "--node=127.0.0.1:1")

    def _files(
        self, inventory: pathlib.Path, rules: pathlib.Path | None = None
    ) -> list[str]:
        return [
            f"--inventory={inventory}",
            f"--rules={rules or self._rules}",
        ]

    def _changed(self, slots: int) -> pathlib.Path:
        """Write the inventory with other slots of one endpoint."""
        text = self._drawn.read_text()
        head, section, tail = text.partition(f"[endpoint {DRAINED}]")
        path = self._folder / f"inventory-{slots}.ini"
        changed = tail.replace("slots = 20", f"slots = {slots}", 1)
        path.write_text(head + section + changed)
        return path

    def _apply(
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
            await http.put(f"{self._fleet.store}/faults", json=faults)

    async def _expect(
        self, code: int, text: str, *arguments: str | pathlib.Path
    ) -> None:
        """Run a command that must end with a code and say a text."""
        ran = await self._execute(*arguments)
        is_right = ran.code == code and text in ran.output + ran.errors
        shown = " ".join(map(str, arguments))
        self._check(is_right, f"{shown}: wanted {code} {text!r}: {ran}")
        self._report(f"{arguments[0]}, exit code {ran.code}")

    async def _json(self, *arguments: str) -> dict[str, Any]:
        ran = await self._execute(*arguments, "--json")
        self._report(f"{arguments[0]} --json, exit code {ran.code}")
        try:
            value: dict[str, Any] = json.loads(ran.output)
        except ValueError:
            self._check(False, f"{arguments[0]}: no JSON: {ran}")
            return {"endpoints": [], "entries": []}
        return value

    async def _execute(self, *arguments: str | pathlib.Path) -> Ran:
        with anyio.fail_after(COMMAND_TIMEOUT_S):
            ran = await anyio.run_process(
                [sys.executable, "-m", "clementinekeel", *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                check=False,
                env=dict(os.environ),
            )
        return Ran(ran.returncode, ran.stdout.decode(), ran.stderr.decode())

    def _check(self, holds: bool, fault: str) -> None:
        if not holds:
            self.faults.append(fault)
            print(f"DIFFERS: {fault}", flush=True)

    def _report(self, step: str) -> None:
        self.steps += 1
        print(f"{self.steps:3}  {step}", flush=True)


async def run() -> int:
    """Run the tour; return the exit code."""
    # Warnings of the nodes about the store are expected here.
    options = fleet.Options(
        FOLDER / "inventory.ini", FOLDER / "rules.ini", log_level="ERROR"
    )
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.run(options) as running:
            print(f"{len(running.vms)} nodes ready", flush=True)
            tour = Tour(running, pathlib.Path(folder))
            await tour.run()
    elapsed_s = time.monotonic() - started_s
    print(f"{tour.steps} steps, {len(tour.faults)} differ, {elapsed_s:.0f} s")
    return 1 if tour.faults else 0


def main() -> None:
    """Run the tour from the command line."""
    sys.exit(anyio.run(run))


if __name__ == "__main__":
    main()
