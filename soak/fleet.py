"""The nodes as processes, each with its relays and backend server."""

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
from soak import backend as backend_module
from soak import checker as checker_module
from soak import relay as relay_module
from soak import stops as stops_module
from soak import store as store_module

STOP_POLL_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.3
READINESS_INTERVAL_S = 1.0
INTERPRETER_START_S = 1.0
"""A SIGHUP this soon after the start may come before the program runs."""
UNREADY_THRESHOLD = 2
"""Consecutive failed readiness checks after which clients avoid a node."""
NODE_PORT = 7620
BACKEND_PORT = 8301
"""Port of the relay to the backend server."""
BACKEND_RESTART_S = (1.0, 3.0)
"""Shortest and longest time after which a crashed backend server is back."""
BACKEND_DIRECT_PORT = 8400
"""Port of the backend server itself."""
OUTBOUND_PORT = 8304
READY_PORT = 8302
CONTROL_PORT = 8306
STORE_PORT = 8309
"""Port of the relay to the store; the store itself listens on the next one."""
RELAY_NET_OFFSET = 1
"""Distance of the relays' network from that of the nodes, in the third byte of
the address."""

SETTINGS_TEMPLATE = """\
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
    """A service and the work of its requests.

    Attributes
    ----------
    called_service : str
        Service that each request calls; empty for none.
    work_s : float
        Mean duration of the work on a request.
    call_timeout_s : float
        Longest time for a call.
    """

    name: str
    called_service: str
    work_s: float
    slots: int
    call_timeout_s: float = 1.0


class NodeSpec(NamedTuple):
    """A node, its place and the service of its backend server."""

    name: str
    number: int
    zone: str
    region: str
    service: Service


class LoopbackAddresses:
    """Loopback addresses of one run; each run has networks of its own.

    Parameters
    ----------
    number : int
        Number that differs among concurrent runs, such as the process
        identifier.
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
        """Return the address at which the other nodes reach a node."""
        return f"{self._relays}.{number + 1}"


def node_command(sabotage: str) -> list[str]:
    """Return the command that starts a node, sabotaged if a name is given."""
    if sabotage:
        return [sys.executable, "-m", "soak.sabotage", sabotage]
    return [sys.executable, "-m", "clementinekeel", "node", "--platform"]


class NodeProcess:
    """A process of a node, and the signals that explain its end."""

    def __init__(
        self, process: subprocess.Popen[bytes], started_at: float
    ) -> None:
        self._process = process
        self.started_at = started_at
        self.was_killed = False
        self.stop_requested = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for the number of a signal."""
        return self._process.poll()

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if not self.is_running:
            return
        self.was_killed |= number is signal.SIGKILL
        self.stop_requested |= number in (signal.SIGTERM, signal.SIGINT)
        self._process.send_signal(number)

    def has_ended_by_itself(self) -> bool:
        """Tell whether no signal explains the end of the process.

        Before the program has set its handlers, SIGTERM ends it at once.
        """
        if self.was_killed:
            return False
        if self.stop_requested:
            return self.exit_code not in (0, -signal.SIGTERM, -signal.SIGINT)
        return True

    def wait(self) -> None:
        """Wait for the end."""
        self._process.wait()


def _close_streams(streams: tuple[int, ...]) -> None:
    for descriptor in streams:
        os.close(descriptor)


class Node:
    """One node: its processes, its relays and its backend server.

    Attributes
    ----------
    closed_streams : tuple of int
        Standard streams without which the next process starts.
    """

    def __init__(
        self,
        spec: NodeSpec,
        addresses: LoopbackAddresses,
        folder: pathlib.Path,
        command: list[str],
    ) -> None:
        self.spec = spec
        self._command = command
        self.name = spec.name
        self.host = addresses.host(spec.number)
        self.relay_host = addresses.relay_host(spec.number)
        self.incarnation = 0
        self.is_in_rotation = False
        self.stopping_until = 0.0
        self.backend: backend_module.BackendServer | None = None
        self.store_faults = relay_module.Faults()
        self.backend_faults = relay_module.Faults()
        self.closed_streams: tuple[int, ...] = ()
        self.unexpected_exits: list[str] = []
        self._folder = folder
        self._process: NodeProcess | None = None
        self._processes: list[NodeProcess] = []
        self._loop = asyncio.get_running_loop()
        self.settings_path = folder / f"{self.name}.toml"
        self.write_settings(self.settings.encode())
        self.log_path = folder / f"{self.name}.log"

    @property
    def outbound(self) -> relay_module.Address:
        """Address to which clients send requests."""
        return relay_module.Address(self.host, OUTBOUND_PORT)

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop is under way."""
        return self._loop.time() < self.stopping_until

    @property
    def age_s(self) -> float:
        """Time since the start of the process."""
        started_at = self._process.started_at if self._process else 0.0
        return self._loop.time() - started_at

    @property
    def settings(self) -> str:
        """Content of the settings file."""
        return SETTINGS_TEMPLATE.format(
            name=self.name,
            host=self.host,
            zone=self.spec.zone,
            region=self.spec.region,
            service=self.spec.service.name,
            backend_port=BACKEND_PORT,
            node_port=NODE_PORT,
            outbound_port=OUTBOUND_PORT,
            ready_port=READY_PORT,
            control_port=CONTROL_PORT,
            store_port=STORE_PORT,
            grace_s=stops_module.GRACE_S,
        )

    def write_settings(self, content: bytes) -> None:
        """Replace the settings file."""
        self.settings_path.write_bytes(content)

    def cpu_wait_s(self) -> float:
        """Return how long the process was runnable but waited for a core.

        0 if the kernel does not tell or the process has ended.
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
        if self._process is None:
            return
        if number is signal.SIGKILL:
            self.stopping_until = 0.0
        self._process.signal(number)

    async def stop(self, checker: checker_module.Checker) -> None:
        """Stop the process as planned; kill it after the grace time."""
        process = self._process
        if process is None or not process.is_running:
            return
        now = self._loop.time()
        self.stopping_until = now + stops_module.COUNTED_S
        checker.stops.on_stop(self.name, now)
        process.signal(signal.SIGTERM)
        while process.is_running:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            if self._loop.time() >= now + stops_module.GRACE_S:
                checker.counts["killed after grace"] += 1
                process.signal(signal.SIGKILL)
                return

    def start(self) -> None:
        """Start a process, also while an earlier one still stops."""
        self.incarnation += 1
        self.write_settings(self.settings.encode())
        if not any(process.is_running for process in self._processes):
            self.stopping_until = 0.0
        with self.log_path.open("ab") as log:
            process = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                preexec_fn=functools.partial(
                    _close_streams, self.closed_streams
                )
                if self.closed_streams
                else None,
                env={
                    "CLEMENTINEKEEL_SETTINGS": str(self.settings_path),
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
                },
            )
        self.closed_streams = ()
        self._process = NodeProcess(process, self._loop.time())
        self._processes.append(self._process)

    async def supervise(self, checker: checker_module.Checker) -> None:
        """Restart the process whenever it ends."""
        while True:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            for process in [p for p in self._processes if not p.is_running]:
                self._processes.remove(process)
                self._record_exit(process, checker)
                if process is not self._process:
                    continue
                now = self._loop.time()
                is_planned = process.stop_requested and not process.exit_code
                checker.disruptions.add(
                    self.name, now, now + RESTART_DELAY_S, is_planned
                )
                await asyncio.sleep(RESTART_DELAY_S)
                if process is self._process:
                    self.start()

    def _record_exit(
        self, process: NodeProcess, checker: checker_module.Checker
    ) -> None:
        if self._ended_during_interpreter_start(process):
            checker.counts["ended as the interpreter started"] += 1
        elif process.has_ended_by_itself():
            age_s = self._loop.time() - process.started_at
            self.unexpected_exits.append(
                f"{self.name} exited with {process.exit_code}, {age_s:.1f} s "
                "after its start"
            )

    def _ended_during_interpreter_start(self, process: NodeProcess) -> bool:
        """Tell whether a SIGHUP ended the process before the program ran.

        The interpreter takes 40 ms until the first line that could handle
        the signal, longer on a busy machine.
        """
        age_s = self._loop.time() - process.started_at
        ended_by_hup = process.exit_code == -signal.SIGHUP
        return ended_by_hup and age_s < INTERPRETER_START_S

    async def poll_readiness(self) -> None:
        """Check the node's readiness periodically, for the use of clients."""
        failures = UNREADY_THRESHOLD
        while True:
            is_ready = await self._is_ready()
            failures = 0 if is_ready else failures + 1
            self.is_in_rotation = failures < UNREADY_THRESHOLD
            await asyncio.sleep(READINESS_INTERVAL_S)

    def kill(self) -> None:
        """Kill the processes, also if they are suspended."""
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
            process.wait()

    def internal_errors(self) -> list[str]:
        """Return the internal errors and tracebacks that the node logged."""
        lines = self.log_path.read_text().splitlines()
        return [
            line
            for line in lines
            if '"internal_error"' in line or line.startswith("Traceback")
        ]

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.9):
                connection = await _http.ClientConnection.open(
                    self.host, READY_PORT
                )
                try:
                    answer = await connection.request(
                        "GET",
                        "/clementinekeel/readiness",
                        {"Host": "ready"},
                        b"",
                    )
                finally:
                    connection.close()
        except (_http.NoAnswerError, TimeoutError):
            return False
        return answer.status == 200


class Fleet:
    """All nodes, the store, and the relays between them."""

    def __init__(
        self,
        specs: list[NodeSpec],
        addresses: LoopbackAddresses,
        folder: pathlib.Path,
        checker: checker_module.Checker,
        random_source: random.Random,
        routes: dict[str, str],
        command: list[str],
    ) -> None:
        self.nodes = {
            spec.name: Node(spec, addresses, folder, command) for spec in specs
        }
        self.store = store_module.Store(random_source, self._translate_entry)
        self.checker = checker
        self._random = random_source
        self._routes = routes
        self._link_faults: dict[tuple[str, str], relay_module.Faults] = {}
        self.link_relays: dict[str, relay_module.Relay] = {}
        self.store_relays: dict[str, relay_module.Relay] = {}
        self.backend_relays: dict[str, relay_module.Relay] = {}
        self._backends_started = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def link_faults(self, source: str, target: str) -> relay_module.Faults:
        """Return the faults on connections from one node to another."""
        return self._link_faults.setdefault(
            (source, target), relay_module.Faults()
        )

    async def start(self) -> None:
        """Start the relays, the backend servers and the nodes."""
        loop = asyncio.get_running_loop()
        for node in self.nodes.values():
            await loop.create_server(
                functools.partial(self.store.create_connection, node.name),
                node.host,
                STORE_PORT + 1,
            )
            await self._start_relays(node)
            await self.start_backend(node)
            node.start()

    async def start_backend(self, node: Node, name: str = "") -> None:
        """Start a backend server beside a node; its name is new by default."""
        self._backends_started += 1
        service = node.spec.service
        address = relay_module.Address
        backend_spec = backend_module.BackendSpec(
            node=node.name,
            service=service.name,
            called_service=service.called_service,
            call_timeout_s=service.call_timeout_s,
            work_s=service.work_s,
            slots=service.slots,
            listen=address(node.host, BACKEND_DIRECT_PORT),
            advertised=address(node.host, BACKEND_PORT),
            control=address(node.host, CONTROL_PORT),
            outbound=node.outbound,
        )
        node.backend = backend_module.BackendServer(
            backend_spec,
            name or f"i-{self._backends_started:06}",
            self.checker,
            self._random,
            self._routes,
            lambda: self.crash_backend(node),
        )
        await node.backend.start()
        relay = self.backend_relays.get(node.name)
        if relay is not None and not relay.is_listening:
            await relay.start(address(node.host, BACKEND_PORT))

    def crash_backend(self, node: Node) -> bool:
        """Crash a backend server; it starts again after a while.

        Returns false if the node has none, or one that is leaving.
        """
        backend, node.backend = node.backend, None
        if backend is None:
            return False
        task = asyncio.ensure_future(self._restart_backend(node, backend.name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.backend_relays[node.name].stop()
        backend.crash()
        return True

    async def _restart_backend(self, node: Node, name: str) -> None:
        disruptions = self.checker.disruptions
        loop = asyncio.get_running_loop()
        disruption = disruptions.begin(node.name, loop.time())
        await asyncio.sleep(self._random.uniform(*BACKEND_RESTART_S))
        await self.start_backend(node, self._random.choice((name, "")))
        disruptions.end(disruption, loop.time())

    def kill_all(self) -> None:
        """Kill the processes of all nodes."""
        for node in self.nodes.values():
            node.kill()

    async def _start_relays(self, node: Node) -> None:
        address = relay_module.Address
        store = relay_module.Relay(
            address(node.host, STORE_PORT + 1), lambda _: node.store_faults
        )
        await store.start(address(node.host, STORE_PORT))
        backend = relay_module.Relay(
            address(node.host, BACKEND_DIRECT_PORT),
            lambda _: node.backend_faults,
        )
        await backend.start(address(node.host, BACKEND_PORT))
        links = relay_module.Relay(
            address(node.host, NODE_PORT),
            lambda source: self.link_faults(source, node.name),
            self._translate_hello,
        )
        await links.start(address(node.relay_host, NODE_PORT))
        self.store_relays[node.name] = store
        self.backend_relays[node.name] = backend
        self.link_relays[node.name] = links

    def _translate_hello(self, hello: frames.Hello) -> frames.Hello:
        return hello._replace(host=self.nodes[hello.node].relay_host)

    def _translate_entry(
        self, reading_node: str, key: str, value: bytes
    ) -> bytes:
        """Return a node's entry with its relay's address in place of its own.

        Other entries, and a node's own entry, are returned as they are.
        """
        name = key.removeprefix("nodes/")
        if name == reading_node or name not in self.nodes:
            return value
        entry = json.loads(value)
        entry["host"] = self.nodes[name].relay_host
        return json.dumps(entry).encode()
