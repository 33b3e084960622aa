"""What a caller is told, how often it ran, and what an inquiry then says."""

import anyio
import pytest

from clementinekeel.daemon import backend
from clementinekeel.nodes import streams
from clementinekeel.runtime import clock
from tests.daemon import world

pytestmark = pytest.mark.anyio
LATER_MS = 70_000


class Case:
    """One request under a key, the faults around it and what was told."""

    def __init__(self, w, key):
        self.w = w
        self.key = key
        self.node = w.nodes[0]
        self.link = w.link_to(self.node)
        self.backend = self.node.backend
        self.told = []

    async def call(self, **fields):
        told, _ = await self.w.call(self.key, **fields)
        self.told.append(told)

    async def during(self, delay_ms, *actions, **fields):
        """Call, and act when the request has been sent for a while."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: self.call(**fields))
            await clock.sleep_ms(delay_ms)
            for action in actions:
                result = action()
                if result is not None:
                    await result

    async def abandon(self, after_ms, **fields):
        """Call, and go away."""
        with anyio.move_on_after(after_ms / clock.MS_PER_S):
            await self.call(**fields)
        self.told.append("gone")

    async def occupy(self):
        """Keep the only slot busy for longer than the caller waits."""
        self.backend.work_ms = 2_500
        other = await self.w.key()
        await self.w.call(other, run="other", timeout_ms=200)
        self.backend.work_ms = world.WORK_MS


async def killed_before(c):
    c.link.lose["Call"] = 1
    await c.during(50, c.node.kill)


async def killed_while(c):
    await c.during(50, c.node.kill)


async def killed_after(c):
    await c.call()
    await c.node.kill()


async def frozen_before(c):
    c.node.freeze()
    await c.call()
    c.node.thaw()


async def frozen_while(c):
    await c.during(50, c.node.freeze)
    c.node.thaw()
    await clock.sleep_ms(10)


async def frozen_twice(c):
    await frozen_while(c)
    await frozen_before(c)
    await c.call()


async def call_lost(c):
    c.link.lose["Call"] = 1
    await c.call()


async def call_late(c):
    c.link.late["Call"] = 1
    await c.call()
    await clock.sleep_ms(LATER_MS)


async def call_late_and_again(c):
    # The first copy arrives after the second one has run.
    c.link.late["Call"] = 1
    await c.call()
    await c.call()
    await clock.sleep_ms(10_000)


async def answer_lost(c):
    c.link.lose["Answer"] = 1
    await c.call()
    await c.call()


async def answer_lost_twice(c):
    c.link.lose["Answer"] = 2
    for _ in range(3):
        await c.call()


async def refusal_lost(c):
    c.node.owner.set_leaving(True)
    c.link.lose["Refused"] = 1
    await c.call()
    c.node.owner.set_leaving(False)
    await c.call()


async def queue_full(c):
    # The connection takes no message when the answer is ready.
    await c.during(50, lambda: setattr(c.link, "full", 3))


async def repeated(c):
    await c.during(50, c.call)
    c.link.again()


async def repeated_after_refusal(c):
    c.node.owner.set_leaving(True)
    await c.call()
    c.node.owner.set_leaving(False)
    c.link.again()
    await clock.sleep_ms(500)


async def inquired_first(c):
    await c.w.inquire(c.key)
    await c.call()


async def inquired_while(c):
    await c.during(50, lambda: c.w.inquire(c.key))


async def leaving(c):
    c.node.owner.set_leaving(True)
    await c.call()


async def moved(c):
    c.node.owner.set_leaving(True)
    await c.call()
    await c.call()


async def moved_and_killed(c):
    c.node.owner.set_leaving(True)
    await c.during(60, c.w.nodes[1].kill)


async def moved_not_tried(c):
    # The retry that the successor was issued for is no longer allowed.
    c.node.owner.set_leaving(True)
    c.w.budget.try_consume = lambda service: False
    await c.call()
    del c.w.budget.try_consume
    await c.call()


async def moved_not_tried_but_copied(c):
    c.node.owner.set_leaving(True)
    c.w.budget.try_consume = lambda service: False
    c.link.lose["Refused"] = 1
    await c.call()
    await c.call()


def in_mode(*modes):
    async def run(c):
        c.backend.modes = list(modes)
        await c.call()

    run.__qualname__ = "backend " + " ".join(modes)
    return run


async def paused_before_writing(c):
    c.backend.modes = ["paused"]
    await c.call()


async def mode_twice(c):
    c.backend.modes = ["reset"]
    await c.call()
    await c.call()


async def gone_queued(c):
    await c.occupy()
    await c.abandon(50)


async def gone_queued_copy(c):
    # The caller's connection broke, and it has asked again elsewhere.
    await c.occupy()
    c.w.entry = c.w.new_entry()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: c.abandon(50, timeout_ms=9_000))
        await clock.sleep_ms(20)
        await c.call(timeout_ms=9_000)


async def gone_running(c):
    await c.abandon(50)


async def deadline_queued(c):
    await c.occupy()
    await c.call()


async def deadline_running(c):
    c.backend.work_ms = 2 * world.TIMEOUT_MS
    await c.call()


async def deadline_running_again(c):
    await deadline_running(c)
    await c.call()


async def leaving_while(c):
    """A planned stop: what runs and what is queued still ends."""
    other = Case(c.w, await c.w.key())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: other.call(run="other"))
        await clock.sleep_ms(10)
        tasks.start_soon(c.call)
        await clock.sleep_ms(10)
        c.node.owner.set_leaving(True)
        await c.node.owner.wait_idle()
    assert other.told == ["completed/"]


async def stopped_running(c):
    await c.during(50, c.node.owner.abort_calls)


async def stopped_queued(c):
    await c.occupy()
    await c.during(50, c.node.owner.abort_calls)


async def replaced_hung(c):
    c.backend.work_ms = 10**6
    await c.during(50, c.node.owner.on_new_instance)
    await clock.sleep_ms(20_000)


async def absent(c):
    c.backend.state = backend.BackendState.ABSENT
    await c.call()


async def stale_view(c):
    """An entry side whose record of the owner names no endpoint yet."""
    find = c.w._find_owner
    candidate = find(world.ISSUER.parse(c.key).unwrap())
    c.w._find_owner = lambda key: candidate._replace(
        endpoint=key.endpoint, service=key.service
    )
    c.w.listed = []
    await c.during(50, c.call)


ROWS = [
    (killed_before, "unknown/owner_unreachable", 0, "unknown/owner_lost"),
    (killed_while, "unknown/owner_unreachable", 1, "unknown/owner_lost"),
    (killed_after, "completed/", 1, "unknown/owner_lost"),
    (frozen_before, "unknown/deadline", 0, "refused/deadline"),
    (frozen_while, "unknown/deadline", 1, "completed/"),
    (
        frozen_twice,
        "unknown/deadline unknown/deadline completed/",
        1,
        "completed/",
    ),
    (call_lost, "unknown/deadline", 0, "refused/inquired"),
    (call_late, "unknown/deadline", 0, "refused/deadline"),
    (call_late_and_again, "unknown/deadline completed/", 1, "completed/"),
    (answer_lost, "unknown/deadline completed/", 1, "completed/"),
    (
        answer_lost_twice,
        "unknown/deadline unknown/deadline completed/",
        1,
        "completed/",
    ),
    (refusal_lost, "unknown/deadline refused/leaving", 0, "refused/leaving"),
    (queue_full, "completed/", 1, "completed/"),
    (repeated, "completed/ completed/", 1, "completed/"),
    (repeated_after_refusal, "refused/leaving", 0, "refused/leaving"),
    (inquired_first, "refused/inquired", 0, "refused/inquired"),
    (inquired_while, "completed/", 1, "completed/"),
    (leaving, "refused/leaving", 0, "refused/leaving"),
    (
        in_mode("refuse"),
        "refused/backend_unreachable",
        0,
        "refused/backend_unreachable",
    ),
    (in_mode("reset"), "unknown/backend_lost", 1, "unknown/backend_lost"),
    (in_mode("cut"), "unknown/backend_lost", 1, "unknown/backend_lost"),
    (in_mode("long cut"), "completed/BodyError", 1, "unknown/backend_lost"),
    (in_mode("unframed"), "unknown/backend_lost", 1, "unknown/backend_lost"),
    (in_mode("long"), "completed/", 1, "completed/"),
    (in_mode("500"), "failed/", 1, "failed/backend_failed"),
    (in_mode("shed"), "refused/backend_shed", 0, "refused/backend_shed"),
    (in_mode("error"), "unknown/internal_error", 0, "unknown/internal_error"),
    (
        mode_twice,
        "unknown/backend_lost unknown/backend_lost",
        1,
        "unknown/backend_lost",
    ),
    (gone_queued, "gone", 0, "refused/cancelled"),
    (gone_queued_copy, "gone completed/", 1, "completed/"),
    (gone_running, "gone", 1, "completed/"),
    (deadline_queued, "refused/deadline", 0, "refused/deadline"),
    (deadline_running, "unknown/deadline", 1, "completed/"),
    (deadline_running_again, "unknown/deadline completed/", 1, "completed/"),
    (leaving_while, "completed/", 1, "completed/"),
    (stopped_running, "unknown/stopped", 1, "unknown/stopped"),
    (stopped_queued, "refused/leaving", 0, "refused/leaving"),
    (replaced_hung, "unknown/deadline", 1, "unknown/backend_lost"),
    (
        paused_before_writing,
        "unknown/deadline",
        0,
        "refused/deadline",
    ),
    (absent, "refused/no_backend", 0, "refused/no_backend"),
    (stale_view, "completed/ completed/", 1, "completed/"),
]
MOVES = [
    (moved, "completed/ completed/", 1, "completed/"),
    (moved_and_killed, "unknown/owner_unreachable", 1, "unknown/owner_lost"),
    (
        moved_not_tried,
        "refused/leaving refused/inquired",
        0,
        "refused/inquired",
    ),
    (
        moved_not_tried_but_copied,
        "unknown/deadline completed/",
        1,
        "completed/",
    ),
    # Other fault, same chain: the successor's answer is lost as well.
]


def ids(rows):
    return [
        pytest.param(*row, id=f"{row[0].__qualname__}-{row[1]}")
        for row in rows
    ]


async def check(w, scenario, told, runs, inquiry):
    case = Case(w, await w.key())
    # An answer that never ends would otherwise only hang.
    with anyio.fail_after(600):
        await scenario(case)
    await clock.sleep_ms(5_000)
    found = " ".join(case.told), w.runs(), await w.inquire(case.key)
    assert found == (told, runs, inquiry)
    # An inquiry is final: no later copy runs, and the answer stays.
    for link in w.links.values():
        if link.calls and not link.is_cut:
            link.again(0)
    await clock.sleep_ms(5_000)
    assert w.runs() == runs
    assert await w.inquire(case.key) == inquiry
    assert w.leaks() == []


@pytest.mark.parametrize(("scenario", "told", "runs", "inquiry"), ids(ROWS))
async def test_at_most_once(scenario, told, runs, inquiry):
    async with world.make("b1") as w:
        await check(w, scenario, told, runs, inquiry)


@pytest.mark.parametrize(("scenario", "told", "runs", "inquiry"), ids(MOVES))
async def test_refused_requests_follow_their_successor(
    scenario, told, runs, inquiry
):
    async with world.make("b1", "b2") as w:
        w.budget.on_first_attempt(world.SERVICE)
        w.link_to(w.nodes[1])
        w.listed = [w.nodes[0]]
        key = await w.key()
        w.listed = None

        async def given():
            return key

        w.key = given
        await check(w, scenario, told, runs, inquiry)


async def call_idempotent(w, **fields):
    told, _ = await w.call("", "/lookups", **fields)
    return told


@pytest.mark.parametrize(
    ("modes", "told", "runs"),
    [
        pytest.param(["reset", "refuse"], "unknown/backend_lost", 1, id="ran"),
        pytest.param(["500", "refuse"], "failed/", 1, id="failed"),
        pytest.param(["refuse"] * 2, "refused/no_endpoint", 0, id="no"),
        pytest.param(["500", "answer"], "completed/", 2, id="recovered"),
    ],
)
async def test_retried_lookup_is_not_reported_as_not_run(modes, told, runs):
    """A refused retry must not hide that the first attempt ran."""
    async with world.make("b1", "b2") as w:
        for _ in range(5):
            w.budget.on_first_attempt(world.SERVICE)
        # Each endpoint takes the next mode of one list.
        for node in w.nodes:
            node.backend.modes = modes
        assert (await call_idempotent(w), w.runs()) == (told, runs)
        assert w.leaks() == []


async def test_retried_lookup_without_another_endpoint():
    async with world.make("b1", "b2") as w:
        w.budget.on_first_attempt(world.SERVICE)
        w.nodes[1].owner.set_leaving(True)
        w.nodes[0].backend.mode = "500"
        w.listed = w.nodes[:1]
        assert (await call_idempotent(w), w.runs()) == ("failed/", 1)


@pytest.mark.parametrize("gone", [True, False], ids=["gone", "deadline"])
async def test_idempotent_work_is_cancelled(gone):
    """Nobody waits for it, and it must free its slot."""
    async with world.make("b1") as w:
        w.nodes[0].backend.work_ms = 10**6
        with anyio.move_on_after(0.05 if gone else 10):
            assert await call_idempotent(w) == "unknown/deadline"
        await clock.sleep_ms(10)
        assert w.nodes[0].backend.discarded == 1
        assert w.leaks() == []


async def test_lookup_with_a_key_is_recorded():
    """Else an inquiry would say "not run" of a lookup that ran."""
    async with world.make("b1") as w:
        key = await w.key()
        assert (await w.call(key, "/lookups"))[0] == "completed/"
        assert await w.inquire(key) == "completed/"


async def test_owner_that_was_just_removed_is_asked_again():
    """It may be paused, and its answer may still be known."""
    async with world.make("b1") as w:
        key = await w.key()
        w.nodes[0].incarnation += 1
        w.is_lost = False
        assert await w.inquire(key) == "unknown/owner_unreachable"


async def test_caller_that_stops_reading_frees_the_slot():
    async with world.make("b1") as w:
        node = w.nodes[0]
        node.backend.mode = "long"
        node.backend.long_parts = 3 * streams.WINDOW_CHUNKS
        key = await w.key()
        answer = await w.entry.call(w.request(key, "/seats", "r"))
        await clock.sleep_ms(world.TIMEOUT_MS // 2)
        assert node.admission.running == 1
        await clock.sleep_ms(world.TIMEOUT_MS)
        assert node.admission.running == 0
        assert await w.inquire(key) == "completed/"
        with pytest.raises(streams.BodyError):
            [part async for part in answer.rest]
        assert w.leaks() == []


async def test_cancellation_that_arrives_during_a_reply():
    """Sending handles received messages, here of a call decided meanwhile."""
    async with world.make("b1") as w:
        node = w.nodes[0]
        link = w.link_to(node)
        node.backend.work_ms = 300
        first, late, next_ = [await w.key() for _ in range(3)]
        told = {}

        async def call(key, timeout_ms):
            told[key], _ = await w.call(key, run=key, timeout_ms=timeout_ms)

        def cancel_next(message):
            if getattr(message, "reason", "") == "deadline":
                link.on_reply = lambda message: None
                for stream in list(link.served.values()):
                    if stream.request.key == next_:
                        stream.end("gone", False)

        link.on_reply = cancel_next
        async with anyio.create_task_group() as tasks:
            for key, timeout_ms in ((first, 900), (late, 275), (next_, 900)):
                tasks.start_soon(call, key, timeout_ms)
                await clock.sleep_ms(5)
        assert told[first] == "completed/"
        assert told[late] == "refused/deadline"
        assert w.runs(next_) == (told[next_] == "completed/")
        assert w.leaks() == []


async def test_waiters_are_all_answered():
    """One of them goes away while another one is being answered."""
    async with world.make("b1") as w:
        node = w.nodes[0]
        link = w.link_to(node)
        key = await w.key()
        told = []

        async def call():
            told.append((await w.call(key))[0])

        def cancel_first(message):
            link.on_reply = lambda message: None
            waiting = [s for s in link.served.values() if s.number > 1]
            waiting[0].on_cancel("gone", False)

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(call)
                await clock.sleep_ms(2)
            await clock.sleep_ms(20)
            answered = iter([None, cancel_first])
            link.on_reply = lambda m: (next(answered, None) or (lambda _: 0))(
                m
            )
        assert told == ["completed/"] * 4


@pytest.mark.parametrize(
    ("fields", "rank", "told"),
    [
        pytest.param({}, 2, "completed/", id="rules"),
        pytest.param(
            {"request_class": "booking"}, None, "refused/bad_class", id="class"
        ),
        pytest.param({"context": "t"}, 2, "completed/", id="context"),
    ],
)
async def test_external_caller_cannot_raise_its_rank(fields, rank, told):
    async with world.make("b1") as w:
        context = w.served.open("r", 0, 10**9, 2)
        if "context" in fields:
            fields = {"context": context.token}
        assert await call_idempotent(w, **fields) == told
        ranks = [call.rank for call, _ in w.link_to(w.nodes[0]).calls]
        assert ranks == ([] if rank is None else [rank])


@pytest.mark.parametrize("mode", ["answer", "reset", "error"])
async def test_onward_call_returns_its_draw(mode):
    async with world.make("b1") as w:
        context = w.served.open("r", 0, 10**9, 2)
        w.nodes[0].backend.mode = mode
        fields = {"context": context.token, "is_from_backend": True}
        await call_idempotent(w, **fields)
        assert context.pool._outstanding == {}
        # After a failure nothing is left for the nodes above.
        assert context.pool.remaining == (2 if mode == "answer" else 0)
        call, _ = w.link_to(w.nodes[0]).calls[0]
        assert call.rank == 0


async def test_onward_call_ends_with_its_context():
    async with world.make("b1") as w:
        context = w.served.open("r", 0, 10**9, 2)
        w.nodes[0].backend.work_ms = 10**6
        fields = {"context": context.token, "is_from_backend": True}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clock.sleep_ms, 50)
            tasks.start_soon(_close_later, w, context)
            told = await call_idempotent(w, **fields)
        assert told == "unknown/context_ended"
        await clock.sleep_ms(10)
        assert w.leaks() == []
        assert await call_idempotent(w, **fields) == "refused/context_ended"


async def _close_later(w, context):
    await clock.sleep_ms(50)
    w.served.close(context)


async def test_call_under_a_key_counts_as_in_flight():
    """Else its end would make the endpoint look idle while others run."""
    async with world.make("b1") as w:
        case = Case(w, await w.key())

        def count():
            (state,) = w.router._services[world.SERVICE].endpoints
            assert state.in_flight == 1

        await case.during(50, count)
        assert case.told == ["completed/"]
