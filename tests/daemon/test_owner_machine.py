"""One owner and two entry nodes with lost, late and repeated messages."""

import functools

import anyio
from hypothesis import stateful
from hypothesis import strategies
import trio.testing

from clementinekeel.runtime import clock
from tests.daemon import simulated_fleet

KEY_COUNT = 8
KEYS = strategies.integers(0, KEY_COUNT - 1)
DURATIONS = strategies.sampled_from([1, 60, 150, 400, 3_000])
MODES = ["answer", "refuse", "reset", "cut", "500", "shed", "error"]


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Checks each answer against the runs and the earlier answers.

    The steps are collected and run at the end of each example, since an
    event loop cannot be suspended between the calls of hypothesis.
    """

    def __init__(self):
        super().__init__()
        self.steps = []

    def add_step(self, name, *arguments):
        self.steps.append((name, arguments))

    @stateful.rule(
        key=KEYS,
        entry_index=strategies.integers(0, 1),
        timeout_ms=strategies.sampled_from([80, 300, 1_500]),
        mode=strategies.sampled_from(MODES),
        wait_ms=DURATIONS,
    )
    def call(self, key, entry_index, timeout_ms, mode, wait_ms):
        self.add_step("backend", mode)
        self.add_step("call", key, entry_index, timeout_ms)
        self.add_step("wait", wait_ms)

    @stateful.rule(
        fault=strategies.sampled_from(["lose", "late"]),
        message=strategies.sampled_from(
            ["Call", "Answer", "Refused", "Failed", "Cancel", "Record"]
        ),
        entry_index=strategies.integers(0, 1),
    )
    def fault(self, fault, message, entry_index):
        self.add_step("fault", fault, message, entry_index)

    @stateful.rule(number=strategies.integers(0, 20))
    def repeat(self, number):
        self.add_step("repeat", number)

    @stateful.rule(key=KEYS)
    def inquire(self, key):
        self.add_step("inquire", key)

    @stateful.rule(duration_ms=DURATIONS)
    def wait(self, duration_ms):
        self.add_step("wait", duration_ms)

    @stateful.rule(
        disturbance=strategies.sampled_from(["leave", "freeze", "cut"]),
        duration_ms=DURATIONS,
    )
    def disturb(self, disturbance, duration_ms):
        self.add_step(disturbance, duration_ms)

    def teardown(self):
        clock_ = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(
            functools.partial(run, self.steps),
            backend="trio",
            backend_options={"clock": clock_},
        )


class StepRunner:
    """Runs the steps and records the outcomes that callers were told."""

    def __init__(self, fleet, keys, tasks):
        self.fleet = fleet
        self.node = fleet.nodes[0]
        self.keys = keys
        self.tasks = tasks
        self.told = {key: set() for key in keys}
        self.entry_nodes = [fleet.new_entry(), fleet.new_entry()]
        # Each entry node has its own sessions.
        self.links = [{}, {}]
        for entry, links in zip(self.entry_nodes, self.links, strict=True):
            entry._sessions = _SessionPool(fleet, links)

    def link(self, entry_index):
        node = self.node.candidate
        return self.entry_nodes[entry_index]._sessions.get(
            "", node.node_id, node.incarnation
        )

    async def on_call(self, number, entry_index, timeout_ms):
        self.tasks.start_soon(self._call, number, entry_index, timeout_ms)

    async def _call(self, number, entry_index, timeout_ms):
        key = self.keys[number]
        request = self.fleet.request(key, "/seats", key, timeout_ms=timeout_ms)
        answer = await self.entry_nodes[entry_index].call(request)
        self.record_outcome(key, str(answer.outcome))

    def record_outcome(self, key, outcome):
        self.told[key].add(outcome)
        if outcome == "refused":
            assert self.fleet.runs(key) == 0, "refused, and ran"
        if outcome == "completed":
            assert self.fleet.runs(key) == 1

    async def on_fault(self, fault, message, entry_index):
        getattr(self.link(entry_index), fault)[message] += 1

    async def on_repeat(self, number):
        link = self.link(number % 2)
        if link.calls:
            link.repeat_call(number % len(link.calls))

    async def on_backend(self, mode):
        self.node.backend.mode = mode

    async def on_inquire(self, number):
        state = await self.fleet.inquire(self.keys[number])
        self.record_outcome(self.keys[number], state.partition("/")[0])

    async def on_wait(self, duration_ms):
        await clock.sleep_ms(duration_ms)

    async def on_leave(self, duration_ms):
        self.node.owner.set_leaving(True)
        self.tasks.start_soon(self._end_disturbance, duration_ms)

    async def on_freeze(self, duration_ms):
        self.node.freeze()
        self.tasks.start_soon(self._end_disturbance, duration_ms)

    async def _end_disturbance(self, duration_ms):
        await clock.sleep_ms(duration_ms)
        self.node.thaw()
        self.node.owner.set_leaving(False)

    async def on_cut(self, duration_ms):
        self.link(0).close("connection lost")

    async def end(self):
        """Let all calls end, and check the outcome of each key."""
        self.node.thaw()
        await clock.sleep_ms(30_000)
        for key in self.keys:
            for link in self.fleet.links.values():
                link.lose.clear()
                link.late.clear()
            state = (await self.fleet.inquire(key)).partition("/")[0]
            assert state in ("completed", "refused", "failed", "unknown")
            runs = self.fleet.runs(key)
            assert runs <= 1, "ran twice"
            assert not (runs and state == "refused")
            assert not (runs and "refused" in self.told[key])
        leaks = self.fleet.leaks()
        for links in self.links:
            leaks += [
                link.node_id
                for link in links.values()
                if link._streams or link.owner_streams
            ]
        assert leaks == []


class _SessionPool:
    def __init__(self, fleet, links):
        self._fleet = fleet
        self._links = links

    def get(self, address, node_id, incarnation):
        fleet_links = self._fleet.links
        self._fleet.links = self._links
        try:
            return self._fleet.link(address, node_id, incarnation)
        finally:
            self._fleet.links = fleet_links


async def run(steps):
    async with simulated_fleet.start("b1") as fleet:
        # As if the backend server announced itself after each failed
        # connection.
        fleet.nodes[0].backend.on_unreachable = lambda connections: None
        keys = [await fleet.issue_key() for _ in range(KEY_COUNT)]
        async with anyio.create_task_group() as tasks:
            runner = StepRunner(fleet, keys, tasks)
            for name, arguments in steps:
                await getattr(runner, f"on_{name}")(*arguments)
            await runner.end()


TestOwner = OwnerMachine.TestCase
