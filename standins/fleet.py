"""A fleet of processes on loopback: store, nodes and backend servers.

Used by examples and measurements. The node and the backend server of one
endpoint stand for one VM.
"""

import collections
from collections.abc import AsyncIterator, Callable
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from typing import Any, NamedTuple

import anyio
import anyio.abc
import httpx
import returns.result

from clementinekeel.configuration import model
from clementinekeel.configuration import objects
from clementinekeel.configuration import reader
from clementinekeel.store import changes
from clementinekeel.store import client

LOOPBACK = "127.0.0.1:0"
FLEET_KEY = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
TRACE_DELAY_S = 0.5
SEED_COUNT = 2
"""Number of seed nodes, whose addresses the other nodes get at their start."""

SETTINGS = """\
[node]
id = {node_id}
zone = {zone}
region = {region}
log_level = {log_level}
[nodes]
listen = 127.0.0.1:0
seeds = {seeds}
keys = {key}
[callers]
listen = 127.0.0.1:0
[backend]
listen = 127.0.0.1:0
max_connections = {connections}
[platform]
urls = {store}
[operators]
listen = 127.0.0.1:0
[policies]
{policies}
"""


class FleetError(Exception):
    """The fleet did not start, or did not become ready in time."""


class Process:
    """A child process that prints its addresses as its first line, in JSON.

    Parameters
    ----------
    on_line : Callable
        Called with each further line of the process's standard output.
    """

    def __init__(
        self,
        name: str,
        process: anyio.abc.Process,
        on_line: Callable[[str], None],
    ) -> None:
        self.name = name
        self.addresses: dict[str, str] = {}
        self._process = process
        self._on_line = on_line
        self._started = anyio.Event()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    async def read(self) -> None:
        """Read the process's standard output to the end."""
        assert self._process.stdout is not None
        rest = ""
        async for data in self._process.stdout:
            lines = (rest + data.decode()).split("\n")
            rest = lines.pop()
            for line in lines:
                self._process_line(line)

    async def wait_started(self) -> None:
        """Wait for the line with the process's addresses."""
        with anyio.move_on_after(START_TIMEOUT_S):
            await self._started.wait()
        if not self._started.is_set():
            raise FleetError(f"{self.name} did not start")

    def send_signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit code."""
        return await self._process.wait()

    def _process_line(self, line: str) -> None:
        if self._started.is_set():
            self._on_line(line)
            return
        self.addresses = json.loads(line)
        self._started.set()


class Vm(NamedTuple):
    """The node and the backend server of one endpoint.

    Attributes
    ----------
    backend : Process
        Backend server; the node's process if only the node was started.
    """

    spec: model.EndpointSpec
    node: Process
    backend: Process

    @property
    def callers_address(self) -> str:
        """Address for callers, as ``ip:port``."""
        return self.node.addresses["callers"]

    def send_signal(self, number: int) -> None:
        """Send a signal to both processes."""
        self.node.send_signal(number)
        self.backend.send_signal(number)


class Options(NamedTuple):
    """Input files and settings of a fleet.

    Attributes
    ----------
    log_level : str
        Log level of the nodes.
    policies : dict of str to str
        Options of the section ``[policies]`` of the nodes' settings.
    """

    inventory: pathlib.Path
    rules: pathlib.Path
    log_level: str = "WARNING"
    policies: dict[str, str] = {}


class Fleet:
    """A running fleet, created by ``run``.

    Attributes
    ----------
    vms : dict of str to Vm
        Started VMs by the name of their endpoint.
    runs_started, runs_finished : Counter
        Number of runs that all backend servers reported, for each run ID.
    store_url : str
        Base URL of the store.
    version : int
        Version of the configuration that was last applied.
    configuration : UnversionedConfiguration
        Inventory and rules.
    """

    def __init__(
        self, options: Options, tasks: anyio.abc.TaskGroup, folder: str
    ) -> None:
        self.vms: dict[str, Vm] = {}
        self.runs_started: collections.Counter[str] = collections.Counter()
        self.runs_finished: collections.Counter[str] = collections.Counter()
        self.store_url = ""
        self.version = 0
        self._options = options
        self._tasks = tasks
        self._folder = pathlib.Path(folder)
        self._processes: list[Process] = []
        sources = [
            reader.Source(path.name, path.read_text())
            for path in (options.inventory, options.rules)
        ]
        self.configuration = reader.read(*sources).unwrap()
        self._regions = {
            zone.name: zone.region
            for zone in self.configuration.inventory.zones
        }

    @property
    def specs(self) -> list[model.EndpointSpec]:
        """All endpoints of the inventory."""
        return [
            spec
            for service in self.configuration.inventory.services
            for spec in service.endpoints
        ]

    async def start(self) -> None:
        """Start all processes and wait until all endpoints are ready."""
        await self.start_store()
        # The first nodes are the seeds of the others.
        for spec in self.specs[:SEED_COUNT]:
            await self.start_vm(spec)
        async with anyio.create_task_group() as tasks:
            for spec in self.specs[SEED_COUNT:]:
                tasks.start_soon(self.start_vm, spec)
        await self.apply("first configuration")
        await self.wait_ready(self.specs)

    async def start_store(self) -> None:
        """Start the stand-in for the store."""
        store = await self._spawn(
            "store", "standins.store", "--listen", LOOPBACK
        )
        self.store_url = "http://" + store.addresses["listening"]

    async def start_node(self, spec: model.EndpointSpec) -> None:
        """Start the node of an endpoint without its backend server."""
        node = await self._start_node(spec)
        self.vms[spec.name] = Vm(spec, node, node)

    async def start_vm(self, spec: model.EndpointSpec) -> None:
        """Start the node and the backend server of an endpoint."""
        node = await self._start_node(spec)
        backend = await self._start_backend(spec, node)
        self.vms[spec.name] = Vm(spec, node, backend)

    async def restart_backend(self, name: str) -> None:
        """Start a new backend server beside the node of an endpoint."""
        spec, node, _ = self.vms[name]
        backend = await self._start_backend(spec, node)
        self.vms[name] = Vm(spec, node, backend)

    async def apply(self, reason: str) -> None:
        """Apply the inventory and the rules as a new version."""
        async with client.StoreClient(
            [self.store_url], random.Random()
        ) as store:
            change = changes.Change(
                change_id=f"change-{self.version + 1}",
                author="fleet",
                origin="loopback",
                reason=reason,
                base_version=self.version,
                objects=objects.encode(*self.configuration),
                difference=(),
            )
            applied = await changes.apply(store, change)
            if not isinstance(applied, returns.result.Success):
                raise FleetError(f"apply: {applied.failure()}")
            self.version += 1

    async def wait_ready(self, specs: list[model.EndpointSpec]) -> None:
        """Wait until every node lists all these endpoints as ready."""
        wanted = {spec.name for spec in specs}
        try:
            with anyio.fail_after(START_TIMEOUT_S):
                async with httpx.AsyncClient() as http:
                    for vm in list(self.vms.values()):
                        while not await _lists_as_ready(http, vm, wanted):
                            await anyio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise FleetError("the endpoints did not become ready") from None

    async def wait_for_traces(self) -> None:
        """Allow time to read the runs that backend servers have reported."""
        await anyio.sleep(TRACE_DELAY_S)

    async def stop(self) -> None:
        """End all processes."""
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            await process.wait()

    async def _start_node(self, spec: model.EndpointSpec) -> Process:
        seeds = [
            vm.node.addresses["nodes"]
            for vm in list(self.vms.values())[:SEED_COUNT]
        ]
        policies = "\n".join(
            f"{name} = {value}"
            for name, value in self._options.policies.items()
        )
        path = self._folder / f"{spec.name}-{len(self._processes)}.ini"
        path.write_text(
            SETTINGS.format(
                node_id=f"node-{spec.name}",
                zone=spec.zone,
                region=self._regions[spec.zone],
                log_level=self._options.log_level,
                seeds=", ".join(seeds),
                key=FLEET_KEY,
                connections=spec.connections,
                store=self.store_url,
                policies=policies,
            )
        )
        return await self._spawn(
            f"{spec.name} node",
            "clementinekeel",
            "node",
            "--settings",
            str(path),
        )

    async def _start_backend(
        self, spec: model.EndpointSpec, node: Process
    ) -> Process:
        return await self._spawn(
            f"{spec.name} backend server",
            "standins.backend",
            f"--node={node.addresses['backend']}",
            f"--service={spec.service}",
            f"--endpoint={spec.name}",
            f"--slots={spec.slots}",
            f"--connections={spec.connections}",
            "--trace",
        )

    async def _spawn(self, name: str, module: str, *arguments: str) -> Process:
        child = await anyio.open_process(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=None,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        process = Process(name, child, self._on_trace_line)
        self._processes.append(process)
        self._tasks.start_soon(process.read)
        await process.wait_started()
        return process

    def _on_trace_line(self, line: str) -> None:
        """Count a run that a backend server reports.

        Reports come through a pipe, so that the runs of a killed backend
        server are counted too.
        """
        kind, _, run_id = line.partition(" ")
        if kind == "started":
            self.runs_started[run_id] += 1
        elif kind == "finished":
            self.runs_finished[run_id] += 1


@contextlib.asynccontextmanager
async def run(
    options: Options, with_nodes: bool = True
) -> AsyncIterator[Fleet]:
    """Start a fleet, and stop it at the end of the context.

    Parameters
    ----------
    with_nodes : bool
        Whether to start the VMs; otherwise only the store is started.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(options, tasks, folder)
            try:
                if with_nodes:
                    await fleet.start()
                else:
                    await fleet.start_store()
                yield fleet
            finally:
                with anyio.CancelScope(shield=True):
                    await fleet.stop()
            tasks.cancel_scope.cancel()


async def _lists_as_ready(
    http: httpx.AsyncClient, vm: Vm, wanted: set[str]
) -> bool:
    try:
        answer = await http.get(
            f"http://{vm.node.addresses['operators']}/v1/fleet"
        )
    except httpx.HTTPError:
        return False
    if answer.status_code != 200:
        return False
    content: dict[str, Any] = answer.json()
    ready = {
        item["endpoint"]
        for item in content["endpoints"]
        if item["state"] == "ready"
    }
    return wanted <= ready
