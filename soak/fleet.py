"""The nodes as processes, and what stands around each of them."""

import asyncio
import functools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
from typing import NamedTuple

from clementinekeel.nodes import frames
from soak import _http
from soak import endpoint as endpoint_module
from soak import judge as judge_module
from soak import relay as relay_module
from soak import store as store_module

GRACE_S = 6.0
RESTART_S = 0.3
QUESTION_S = 1.0
INTERPRETER_START_S = 1.0
MISSES = 2
NODE_PORT = 7620
BACKEND_PORT = 8301
BEHIND_RELAY_PORT = 8400
OUTBOUND_PORT = 8304
READY_PORT = 8302
CONTROL_PORT = 8306
STORE_PORT = 8309
RELAY_NET_OFFSET = 1

SETTINGS = """\
[self]
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
region = "{region}"
app_addr = "{host}:{backend_port}"
service = "{service}"
[self.limits]
memory_mb = 300
max_fds = 4100
[network]
port_range = [{node_port}, {node_port}]
[network.bind_addrs]
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"
control = "{host}:{control_port}"
[platform.platform]
address = "{host}:{store_port}"
ttl_min_s = 1
[terms.contract_params]
grace_s = {grace_s}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 48
"""


class Service(NamedTuple):
    """A service and what its requests do."""

    name: str
    called: str
    work_s: float
    slots: int


class Place(NamedTuple):
    """Where a node runs and what runs beside it."""

    name: str
    number: int
    zone: str
    region: str
    service: Service


class Network:
    """Loopback addresses of one run; each has a network of its own.

    Parameters
    ----------
    number : int
        Number of the run among those that go on at once, such as its
        process identifier.
    """

    def __init__(self, number: int) -> None:
        self._base = f"127.{16 + number // 120 % 200}.{number % 120 * 2}"
        self._relays = (
            f"127.{16 + number // 120 % 200}."
            f"{number % 120 * 2 + RELAY_NET_OFFSET}"
        )

    def host(self, number: int) -> str:
        """Return the address of a node."""
        return f"{self._base}.{number + 1}"

    def relay_host(self, number: int) -> str:
        """Return the address at which the other nodes reach it."""
        return f"{self._relays}.{number + 1}"


def program(sabotage: str) -> list[str]:
    """Return the arguments that start a node, or one that is sabotaged."""
    if sabotage:
        return [sys.executable, "-m", "soak.sabotage", sabotage]
    return [sys.executable, "-m", "clementinekeel", "node", "--platform"]


class Node:
    """One node: its process, its relays and its backend server."""

    def __init__(
        self,
        place: Place,
        network: Network,
        folder: pathlib.Path,
        arguments: list[str],
    ) -> None:
        self.place = place
        self._arguments = arguments
        self.name = place.name
        self.host = network.host(place.number)
        self.relay_host = network.relay_host(place.number)
        self.incarnation = 0
        self.is_entry = False
        self.stopping_until = 0.0
        self.backend: endpoint_module.Endpoint | None = None
        self.store_faults = relay_module.Faults()
        self.backend_faults = relay_module.Faults()
        self.own_exits = 0
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._was_ended = False
        self._started_at = 0.0
        self._loop = asyncio.get_running_loop()
        self.settings_path = folder / f"{self.name}.toml"
        self.settings_path.write_text(self._settings())
        self.log_path = folder / f"{self.name}.log"

    @property
    def outbound(self) -> relay_module.Address:
        """Where clients send requests."""
        return relay_module.Address(self.host, OUTBOUND_PORT)

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop is under way."""
        return self._loop.time() < self.stopping_until

    def starved_s(self) -> float:
        """Return for how long the process was ready to run and had no core.

        0 where the kernel does not tell, or the process has ended.
        """
        if self._process is None:
            return 0.0
        path = pathlib.Path(f"/proc/{self._process.pid}/schedstat")
        try:
            return int(path.read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._was_ended = True
        if number is signal.SIGKILL:
            self.stopping_until = 0.0
        process.send_signal(number)

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self._started_at = self._loop.time()
        self._was_ended = False
        self.stopping_until = 0.0
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                stdout=log,
                stderr=log,
                env={
                    "CLEMENTINEKEEL_SETTINGS": str(self.settings_path),
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
                },
            )

    async def keep(self, judge: judge_module.Judge) -> None:
        """Start the process again whenever it ends."""
        while True:
            process = self._process
            if process is not None and process.poll() is not None:
                if self._is_interpreter_start(process):
                    judge.counts["ended as the interpreter started"] += 1
                elif not self._was_ended:
                    self.own_exits += 1
                now = self._loop.time()
                judge.disruptions.add(self.name, now, now + RESTART_S)
                await asyncio.sleep(RESTART_S)
                self.start()
            await asyncio.sleep(0.02)

    def _is_interpreter_start(self, process: subprocess.Popen[bytes]) -> bool:
        """Tell whether a SIGHUP met the process before the program's code.

        The interpreter runs for 40 ms before the first line that could
        handle the signal, longer on a busy machine.
        """
        age_s = self._loop.time() - self._started_at
        was_hup = process.returncode == -signal.SIGHUP
        return was_hup and age_s < INTERPRETER_START_S

    async def question(self) -> None:
        """Ask whether the node is ready; clients follow the answers."""
        misses = MISSES
        while True:
            is_ready = await self._is_ready()
            misses = 0 if is_ready else misses + 1
            self.is_entry = misses < MISSES
            await asyncio.sleep(QUESTION_S)

    def end(self) -> None:
        """End the process for good."""
        if self._process is not None and self._process.poll() is None:
            self._was_ended = True
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def internal_errors(self) -> list[str]:
        """Return the faults of the program that the node logged."""
        lines = self.log_path.read_text().splitlines()
        return [
            line
            for line in lines
            if '"internal_error"' in line or line.startswith("Traceback")
        ]

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.9):
                client = await _http.Client.open(self.host, READY_PORT)
                try:
                    answer = await client.ask(
                        "GET",
                        "/clementinekeel/readiness",
                        {"Host": "ready"},
                        b"",
                    )
                finally:
                    client.close()
        except (_http.NoAnswerError, TimeoutError):
            return False
        return answer.status == 200

    def _settings(self) -> str:
        return SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.place.zone,
            region=self.place.region,
            service=self.place.service.name,
            backend_port=BACKEND_PORT,
            node_port=NODE_PORT,
            outbound_port=OUTBOUND_PORT,
            ready_port=READY_PORT,
            control_port=CONTROL_PORT,
            store_port=STORE_PORT,
            grace_s=GRACE_S,
        )


class Fleet:
    """All nodes, the store, and the relays between them."""

    def __init__(
        self,
        places: list[Place],
        network: Network,
        folder: pathlib.Path,
        judge: judge_module.Judge,
        draw: random.Random,
        routes: dict[str, str],
        arguments: list[str],
    ) -> None:
        self.nodes = {
            p.name: Node(p, network, folder, arguments) for p in places
        }
        self.store = store_module.Store(draw, self._view)
        self.judge = judge
        self._draw = draw
        self._routes = routes
        self._links: dict[tuple[str, str], relay_module.Faults] = {}
        self.link_relays: dict[str, relay_module.Relay] = {}
        self.store_relays: dict[str, relay_module.Relay] = {}
        self.backend_relays: dict[str, relay_module.Relay] = {}
        self._numbers = 0

    def link(self, source: str, target: str) -> relay_module.Faults:
        """Return the faults on connections from one node to another."""
        return self._links.setdefault((source, target), relay_module.Faults())

    async def start(self) -> None:
        """Start the relays, the backend servers and the nodes."""
        loop = asyncio.get_running_loop()
        for node in self.nodes.values():
            await loop.create_server(
                functools.partial(self.store.connection, node.name),
                node.host,
                STORE_PORT + 1,
            )
            await self._start_relays(node)
            await self.start_backend(node)
            node.start()

    async def start_backend(self, node: Node, name: str = "") -> None:
        """Start a backend server beside a node, under a new name or not."""
        self._numbers += 1
        service = node.place.service
        address = relay_module.Address
        plan = endpoint_module.Plan(
            node=node.name,
            service=service.name,
            called=service.called,
            work_s=service.work_s,
            slots=service.slots,
            listen=address(node.host, BEHIND_RELAY_PORT),
            announced=address(node.host, BACKEND_PORT),
            control=address(node.host, CONTROL_PORT),
            outbound=node.outbound,
        )
        node.backend = endpoint_module.Endpoint(
            plan,
            name or f"i-{self._numbers:06}",
            self.judge,
            self._draw,
            self._routes,
        )
        await node.backend.start()

    def end(self) -> None:
        """End all processes that were started."""
        for node in self.nodes.values():
            node.end()

    async def _start_relays(self, node: Node) -> None:
        address = relay_module.Address
        store = relay_module.Relay(
            address(node.host, STORE_PORT + 1), lambda _: node.store_faults
        )
        await store.start(address(node.host, STORE_PORT))
        backend = relay_module.Relay(
            address(node.host, BEHIND_RELAY_PORT),
            lambda _: node.backend_faults,
        )
        await backend.start(address(node.host, BACKEND_PORT))
        links = relay_module.Relay(
            address(node.host, NODE_PORT),
            lambda source: self.link(source, node.name),
            self._translate,
        )
        await links.start(address(node.relay_host, NODE_PORT))
        self.store_relays[node.name] = store
        self.backend_relays[node.name] = backend
        self.link_relays[node.name] = links

    def _translate(self, hello: frames.Hello) -> frames.Hello:
        return hello._replace(host=self.nodes[hello.node].relay_host)

    def _view(self, reader: str, key: str, value: bytes) -> bytes:
        """Return an entry with the address at which its reader reaches it."""
        name = key.removeprefix("nodes/")
        if name == reader or name not in self.nodes:
            return value
        entry = json.loads(value)
        entry["host"] = self.nodes[name].relay_host
        return json.dumps(entry).encode()
