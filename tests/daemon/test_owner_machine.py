"""One owner and two entry sides with lost, late and repeated messages."""

import functools

import anyio
from hypothesis import stateful
from hypothesis import strategies
import trio.testing

from clementinekeel.runtime import clock
from tests.daemon import world

KEY_COUNT = 8
KEYS = strategies.integers(0, KEY_COUNT - 1)
DURATIONS = strategies.sampled_from([1, 60, 150, 400, 3_000])
MODES = ["answer", "refuse", "reset", "cut", "500", "shed", "error"]


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Checks each answer against what has run and was said before.

    The steps are collected and run at the end of each example, since an
    event loop cannot be suspended between the calls of hypothesis.
    """

    def __init__(self):
        super().__init__()
        self.steps = []

    def add(self, name, *arguments):
        self.steps.append((name, arguments))

    @stateful.rule(
        key=KEYS,
        side=strategies.integers(0, 1),
        timeout_ms=strategies.sampled_from([80, 300, 1_500]),
        mode=strategies.sampled_from(MODES),
        wait_ms=DURATIONS,
    )
    def call(self, key, side, timeout_ms, mode, wait_ms):
        self.add("backend", mode)
        self.add("call", key, side, timeout_ms)
        self.add("wait", wait_ms)

    @stateful.rule(
        fault=strategies.sampled_from(["lose", "late"]),
        message=strategies.sampled_from(
            ["Call", "Answer", "Refused", "Failed", "Cancel", "Record"]
        ),
        side=strategies.integers(0, 1),
    )
    def fault(self, fault, message, side):
        self.add("fault", fault, message, side)

    @stateful.rule(number=strategies.integers(0, 20))
    def repeat(self, number):
        self.add("repeat", number)

    @stateful.rule(key=KEYS)
    def inquire(self, key):
        self.add("inquire", key)

    @stateful.rule(duration_ms=DURATIONS)
    def wait(self, duration_ms):
        self.add("wait", duration_ms)

    @stateful.rule(
        what=strategies.sampled_from(["leave", "freeze", "cut"]),
        duration_ms=DURATIONS,
    )
    def disturb(self, what, duration_ms):
        self.add(what, duration_ms)

    def teardown(self):
        clock_ = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(
            functools.partial(run, self.steps),
            backend="trio",
            backend_options={"clock": clock_},
        )


class Run:
    """Runs the steps and keeps the account."""

    def __init__(self, w, keys, tasks):
        self.w = w
        self.node = w.nodes[0]
        self.keys = keys
        self.tasks = tasks
        self.told = {key: set() for key in keys}
        self.sides = [w.new_entry(), w.new_entry()]
        # Each side has sessions of its own.
        self.links = [{}, {}]
        for entry, links in zip(self.sides, self.links, strict=True):
            entry._sessions = _Sessions(w, links)

    def link(self, side):
        node = self.node.candidate
        return self.sides[side]._sessions.get(
            "", node.node_id, node.incarnation
        )

    async def on_call(self, number, side, timeout_ms):
        self.tasks.start_soon(self._call, number, side, timeout_ms)

    async def _call(self, number, side, timeout_ms):
        key = self.keys[number]
        request = self.w.request(key, "/seats", key, timeout_ms=timeout_ms)
        answer = await self.sides[side].call(request)
        self.note(key, str(answer.outcome))

    def note(self, key, outcome):
        self.told[key].add(outcome)
        if outcome == "refused":
            assert self.w.runs(key) == 0, "refused, and ran"
        if outcome == "completed":
            assert self.w.runs(key) == 1

    async def on_fault(self, fault, message, side):
        getattr(self.link(side), fault)[message] += 1

    async def on_repeat(self, number):
        link = self.link(number % 2)
        if link.calls:
            link.again(number % len(link.calls))

    async def on_backend(self, mode):
        self.node.backend.mode = mode

    async def on_inquire(self, number):
        state = await self.w.inquire(self.keys[number])
        self.note(self.keys[number], state.partition("/")[0])

    async def on_wait(self, duration_ms):
        await clock.sleep_ms(duration_ms)

    async def on_leave(self, duration_ms):
        self.node.owner.set_leaving(True)
        self.tasks.start_soon(self._return, duration_ms)

    async def on_freeze(self, duration_ms):
        self.node.freeze()
        self.tasks.start_soon(self._return, duration_ms)

    async def _return(self, duration_ms):
        await clock.sleep_ms(duration_ms)
        self.node.thaw()
        self.node.owner.set_leaving(False)

    async def on_cut(self, duration_ms):
        self.link(0).close("connection lost")

    async def end(self):
        """Let everything end; the owner then knows each outcome."""
        self.node.thaw()
        await clock.sleep_ms(30_000)
        for key in self.keys:
            for link in self.w.links.values():
                link.lose.clear()
                link.late.clear()
            state = (await self.w.inquire(key)).partition("/")[0]
            assert state in ("completed", "refused", "failed", "unknown")
            runs = self.w.runs(key)
            assert runs <= 1, "ran twice"
            assert not (runs and state == "refused")
            assert not (runs and "refused" in self.told[key])
        leaks = self.w.leaks()
        for links in self.links:
            leaks += [
                link.node_id
                for link in links.values()
                if link._streams or link.served
            ]
        assert leaks == []


class _Sessions:
    def __init__(self, w, links):
        self._world = w
        self._links = links

    def get(self, address, node_id, incarnation):
        kept = self._world.links
        self._world.links = self._links
        try:
            return self._world.link(address, node_id, incarnation)
        finally:
            self._world.links = kept


async def run(steps):
    async with world.make("b1") as w:
        # Announced again after each failed connection.
        w.nodes[0].backend.on_unreachable = lambda connections: None
        keys = [await w.key() for _ in range(KEY_COUNT)]
        async with anyio.create_task_group() as tasks:
            current = Run(w, keys, tasks)
            for name, arguments in steps:
                await getattr(current, f"on_{name}")(*arguments)
            await current.end()


TestOwner = OwnerMachine.TestCase
