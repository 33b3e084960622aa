"""Owners, entry nodes and fake backend servers, connected by lossy links."""

import collections
import contextlib
import random
import types

import anyio

from clementinekeel.admission import controller
from clementinekeel.backends import connection
from clementinekeel.backends import errors as backend_errors
from clementinekeel.callers import messages as callers
from clementinekeel.configuration import model
from clementinekeel.daemon import backend
from clementinekeel.daemon import contexts
from clementinekeel.daemon import entry
from clementinekeel.daemon import owner
from clementinekeel.nodes import codec
from clementinekeel.nodes import messages
from clementinekeel.nodes import server
from clementinekeel.nodes import session
from clementinekeel.outcomes import keys
from clementinekeel.outcomes import records
from clementinekeel.retries import budget
from clementinekeel.routing import messages as routing
from clementinekeel.routing import router
from clementinekeel.runtime import clock
from clementinekeel.runtime import trail

WORK_MS = 100
TIMEOUT_MS = 1_000
PART_BYTES = 50_000
SERVICE = "bookings"
ISSUER = keys.KeyIssuer(codec.Keyring([b"k" * 32]))


def configuration():
    def operation(name, path, rank, idempotent):
        return model.Operation(
            name, SERVICE, (), path, name, rank, idempotent, 60_000
        )

    rules = model.Rules(
        (model.RequestClass("booking", 0), model.RequestClass("lookup", 2)),
        (
            operation("booking", "/seats*", 0, False),
            operation("lookup", "/lookups*", 2, True),
        ),
        "lookup",
        60_000,
        2,
        1.0,
        model.Objective.GOODPUT,
    )
    inventory = model.Inventory((), (), (model.ServiceSpec(SERVICE, ()),))
    return model.Configuration(1, "c", inventory, rules)


class FakeBackend:
    """Fake backend server and its connection pool; counts the runs."""

    address = "backend"
    limit = 9
    open_count = 0

    def __init__(self):
        self.runs = collections.Counter()
        self.discarded = 0
        self.released = 0
        self.mode = "answer"
        self.modes = []
        self.work_ms = WORK_MS
        self.long_parts = 4
        # Attributes that the owner reads.
        self.state = backend.BackendState.READY
        self.endpoint = ""
        self.connections = self

    def on_unreachable(self, connections):
        self.state = backend.BackendState.ABSENT

    async def acquire(self):
        mode = self.modes.pop(0) if self.modes else self.mode
        if mode == "refuse":
            raise backend_errors.BackendError("connect", "b", "refused", False)
        if mode == "paused":
            await clock.sleep_ms(2 * TIMEOUT_MS)
        if mode == "error":
            raise ZeroDivisionError
        return FakeConnection(self, mode)

    async def release(self, used):
        self.released += 1

    async def discard(self, used):
        self.discarded += 1


class FakeConnection:
    """One request at the fake backend server."""

    peer = "backend"

    def __init__(self, backend_server, mode):
        self._backend = backend_server
        self._mode = mode
        self._run = ""

    async def send_head(self, method, target, headers, body):
        self._run = dict(headers)["run"]

    async def send_body(self, data):
        pass

    async def send_end(self):
        if self._mode != "shed":
            self._backend.runs[self._run] += 1

    async def receive_head(self):
        await clock.sleep_ms(self._backend.work_ms)
        if self._mode == "reset":
            raise self._reset("receive head")
        headers = (("content-length", "3"),)
        if self._mode.startswith("long"):
            length = self._backend.long_parts * PART_BYTES
            headers = (("content-length", str(length)),)
        if self._mode == "unframed":
            headers = ()
        if self._mode == "shed":
            headers = (*headers, ("clementinekeel-outcome", "refused"))
        status = {"500": 500, "shed": 503}.get(self._mode, 200)
        return connection.Head(status, headers)

    async def receive_body(self):
        if not self._mode.startswith("long"):
            yield b"a"
        else:
            for _ in range(self._backend.long_parts - 1):
                yield bytes(PART_BYTES)
        await clock.sleep_ms(1)
        if self._mode in ("cut", "long cut"):
            raise self._reset("receive body")
        yield bytes(PART_BYTES if self._mode.startswith("long") else 2)

    def _reset(self, step):
        return backend_errors.BackendError(step, "b", "reset", True)


class OwnerNode:
    """Owner of one endpoint; can be killed, frozen, thawed and stopped."""

    def __init__(self, fleet, name, slots=1):
        self.name = name
        self.incarnation = 7
        self.is_frozen = False
        self.pending_deliveries = []
        self._fleet = fleet
        self._slots = slots
        self.backend = FakeBackend()
        self.start()

    def start(self):
        self.links = []
        self.incarnation += 1
        self.backend.endpoint = self.name
        self.contexts = contexts.Contexts()
        self.records = records.OutcomeRecords(self.incarnation)
        self.owner = owner.Owner(
            f"node-{self.name}",
            self.backend,
            ISSUER,
            self.records,
            self.contexts,
            trail.DecisionTrail(),
            lambda version: (0, []),
        )
        self.admission = controller.AdmissionController(
            self._slots, model.Objective.GOODPUT, "fixed", clock.now_ms()
        )
        self.owner.set_admission(self.admission)
        self._scope = anyio.CancelScope()
        self._fleet.tasks.start_soon(self._run, self._scope)

    @property
    def candidate(self):
        node_id = f"node-{self.name}"
        return routing.Candidate(
            self.name, SERVICE, "z", "r", node_id, self.incarnation, "a"
        )

    async def kill(self):
        """End the process; its memory and connections are lost."""
        links = self.links
        for link in links:
            link.is_cut = True
        self._scope.cancel()
        self.start()
        # The cut links deliver nothing that the old process still sends.
        await anyio.lowlevel.checkpoint()
        for link in links:
            link.close("connection lost")

    def freeze(self):
        self.is_frozen = True

    def thaw(self):
        self.is_frozen = False
        pending_deliveries, self.pending_deliveries = (
            self.pending_deliveries,
            [],
        )
        for deliver in pending_deliveries:
            deliver()

    def deliver_when_thawed(self, deliver):
        if self.is_frozen:
            self.pending_deliveries.append(deliver)
        else:
            deliver()

    async def _run(self, scope):
        with scope:
            await self.owner.run()


class Link(session.Session):
    """Session of an entry node without sockets, with its end at the owner.

    Attributes
    ----------
    lose, late : Counter
        Number of next messages, by type, that do not arrive or arrive after
        ``late_ms``.
    replies_to_reject : int
        Number of next replies for which the owner's queue is full.
    calls : list
        Calls that the entry node has sent.
    owner_streams : dict
        Open streams at the owner.
    """

    def __init__(self, node):
        self.node = node
        self.node_id = f"node-{node.name}"
        self.incarnation = node.incarnation
        self.last_used_ms = 0
        self.lose = collections.Counter()
        self.late = collections.Counter()
        self.repeat = collections.Counter()
        self.late_ms = 5_000
        self.replies_to_reject = 0
        self.is_cut = False
        self.on_reply = lambda message: None
        self.calls = []
        self.owner_streams = {}
        self._ordered_deliveries = []
        self._state = session.State.OPEN
        self._close_reason = ""
        self._streams = {}
        self._next_stream = 1
        self._last_heard_ms = 0
        self._silent_since_ms = 0
        self._call_started = None
        node.links.append(self)

    @property
    def peer_clock_ms(self):
        return clock.now_ms()

    async def wait_open(self):
        return self._state is session.State.OPEN

    def send(self, payload, body=b""):
        if self._state is session.State.CLOSED:
            return False
        if isinstance(payload, messages.Call):
            self.calls.append((payload, body))
        self._transmit(payload, lambda: self._deliver_to_owner(payload, body))
        return True

    def close(self, reason):
        self._state = session.State.CLOSED
        self._close_reason = reason
        for stream in list(self._streams.values()):
            stream.on_lost(reason, was_sent=True)
        for stream in list(self.owner_streams.values()):
            if not self.is_cut:
                stream.end(reason, True)
        self.owner_streams.clear()
        self.is_cut = True

    def repeat_call(self, number=-1):
        """Deliver a copy of an earlier call on a separate stream."""
        call, body = self.calls[number]
        copy = call._replace(stream=1_000 + self._next_stream)
        self._next_stream += 1
        self._deliver_to_owner(copy, body)

    def _transmit(self, payload, deliver):
        name = type(payload).__name__
        if self.lose[name] or self.is_cut:
            self.lose[name] -= 1
            return
        start = self.node._fleet.tasks.start_soon
        if self.late[name]:
            self.late[name] -= 1
            start(self._deliver_later, self.late_ms, [deliver])
        else:
            self._ordered_deliveries.append(deliver)
            start(self._deliver_later, 1, self._ordered_deliveries)

    async def _deliver_later(self, delay_ms, queue):
        await clock.sleep_ms(delay_ms)
        deliver = queue.pop(0)
        if not self.is_cut:
            self.node.deliver_when_thawed(deliver)

    def _deliver_to_owner(self, payload, body):
        if self.is_cut:
            return
        if isinstance(payload, messages.Call | messages.Inquire):
            stream = server.ServerStream(OwnerSession(self), payload, body)
            self.owner_streams[stream.number] = stream
            if isinstance(payload, messages.Call):
                self.node.owner.on_call(stream)
            else:
                self.node.owner.on_inquire(stream)
            return
        stream = self.owner_streams.get(payload.stream)
        if stream is None:
            return
        if isinstance(payload, messages.Cancel):
            del self.owner_streams[payload.stream]
            stream.end(payload.reason, False)
        elif isinstance(payload, messages.Credit):
            stream.outgoing_body.on_credit(payload)
        else:
            stream.incoming_body.on_chunk(payload, body)

    def deliver_to_entry_node(self, payload, body):
        stream = self._streams.get(payload.stream)
        if stream is None:
            return
        if isinstance(payload, messages.Chunk):
            stream.incoming_body.on_chunk(payload, body)
        elif isinstance(payload, messages.Credit):
            stream.outgoing_body.on_credit(payload)
        else:
            stream.on_reply(payload, body)


class OwnerSession:
    """The owner's end of a link."""

    node_id = "node-entry"

    def __init__(self, link):
        self._link = link

    def send(self, payload, body=b""):
        if self._link.replies_to_reject:
            self._link.replies_to_reject -= 1
            return False
        self._link.on_reply(payload)
        self._link._transmit(
            payload, lambda: self._link.deliver_to_entry_node(payload, body)
        )
        return True

    def remove_stream(self, number):
        self._link.owner_streams.pop(number, None)


class SimulatedFleet:
    """Owners of endpoints, and one or more entry nodes.

    Attributes
    ----------
    listed : list of OwnerNode or None
        Owners whose endpoints the router is told, None for all of them.
    is_lost : bool
        Whether an owner that is no member counts as lost.
    """

    def __init__(self, tasks):
        self.tasks = tasks
        self.nodes = []
        self.listed = None
        self.is_leaving = False
        self.served_contexts = contexts.Contexts()
        self.configuration = configuration()
        self.links = {}
        self.router = router.Router("z", "r", random.Random(1))
        self.budget = budget.RetryBudget(1.0)
        self.is_lost = True
        self.entry = self.new_entry()

    def new_entry(self):
        return entry.Entry(
            lambda: self.configuration,
            lambda: self.is_leaving,
            types.SimpleNamespace(
                refresh=self._refresh,
                owner=self._owner_of,
                is_lost=lambda key: self.is_lost,
                on_leaving=lambda candidate: None,
            ),
            self.router,
            types.SimpleNamespace(get=self.link),
            ISSUER,
            self.budget,
            self.served_contexts,
            entry.Policies("bounded", 60_000),
            trail.DecisionTrail(),
            random.Random(1),
        )

    def add_owner(self, name, slots=1):
        node = OwnerNode(self, name, slots)
        self.nodes.append(node)
        return node

    def link(self, address, node_id, incarnation):
        peer = (node_id, incarnation)
        found = self.links.get(peer)
        if found is None or found.state is session.State.CLOSED:
            (node,) = (n for n in self.nodes if n.candidate.node_id == node_id)
            self.links[peer] = Link(node)
        return self.links[peer]

    def link_to(self, node):
        return self.link("", node.candidate.node_id, node.incarnation)

    async def issue_key(self):
        return (await self.entry.issue_key(SERVICE)).key

    async def call(self, key="", path="/seats", run="r", **fields):
        """Return outcome and reason that the caller is told, and the body.

        With a problem, the key in it is returned instead of the body.
        """
        answer = await self.entry.call(self.request(key, path, run, **fields))
        if isinstance(answer, callers.CallerProblem):
            return f"{answer.outcome}/{answer.reason}", answer.key
        body = answer.body
        try:
            if answer.rest is not None:
                async for part in answer.rest:
                    body += part
        except Exception as error:
            return f"{answer.outcome}/{type(error).__name__}", body
        return f"{answer.outcome}/", body

    def request(self, key, path, run, **fields):
        values = {
            "request_id": run,
            "service": SERVICE,
            "method": "POST",
            "path": path,
            "headers": (("run", run),),
            "body": callers.Body(b"x", True, 1, None),
            "key": key,
            "timeout_ms": TIMEOUT_MS,
            "request_class": "",
            "context": "",
            "is_from_backend": False,
        }
        return callers.CallerRequest(**{**values, **fields})

    async def inquire(self, key):
        state = await self.entry.inquire(key)
        if isinstance(state, callers.CallerProblem):
            return f"{state.outcome}/{state.reason}"
        return f"{state.state}/{state.reason}"

    def runs(self, run="r"):
        return sum(node.backend.runs[run] for node in self.nodes)

    def leaks(self):
        """Return state that is left although nothing is in flight."""
        found = []
        for node in self.nodes:
            if node.contexts._contexts or node.owner._active:
                found.append(f"{node.name}: contexts or calls")
            if not node.admission.is_idle or node.owner._waiters:
                found.append(f"{node.name}: slots or waiters")
        for link in self.links.values():
            if link._streams or link.owner_streams:
                found.append(f"{link.node_id}: streams")
        for service in self.router._services.values():
            if any(state.in_flight for state in service.endpoints):
                found.append("router: in-flight counts")
        return found

    def _refresh(self, service):
        nodes = self.nodes if self.listed is None else self.listed
        self.router.update(
            service, [node.candidate for node in nodes], clock.now_ms()
        )

    def _owner_of(self, key):
        for node in self.nodes:
            found = node.candidate
            if found[4:6] == (key.node_id, key.incarnation):
                return found
        return None


@contextlib.asynccontextmanager
async def start(*names, slots=1):
    async with anyio.create_task_group() as tasks:
        fleet = SimulatedFleet(tasks)
        for name in names:
            fleet.add_owner(name, slots)
        await anyio.lowlevel.checkpoint()
        yield fleet
        tasks.cancel_scope.cancel()
