"""Outcome told to the caller, number of runs, and outcome by inquiry."""

import anyio
import pytest

from clementinekeel.daemon import backend
from clementinekeel.nodes import streams
from clementinekeel.runtime import clock
from tests.daemon import simulated_fleet

pytestmark = pytest.mark.anyio
LATE_CALL_WAIT_MS = 70_000


class Case:
    """One request under a key, and the outcomes that the caller was told."""

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.node = fleet.nodes[0]
        self.link = fleet.link_to(self.node)
        self.backend = self.node.backend
        self.told = []

    async def call(self, **fields):
        told, _ = await self.fleet.call(self.key, **fields)
        self.told.append(told)

    async def during(self, delay_ms, *actions, **fields):
        """Call, and run the actions after a delay."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: self.call(**fields))
            await clock.sleep_ms(delay_ms)
            for action in actions:
                result = action()
                if result is not None:
                    await result

    async def call_and_leave(self, after_ms, **fields):
        """Call, and disconnect before the answer."""
        with anyio.move_on_after(after_ms / clock.MS_PER_S):
            await self.call(**fields)
        self.told.append("gone")

    async def occupy(self):
        """Occupy the only slot for longer than the caller waits."""
        self.backend.work_ms = 2_500
        other = await self.fleet.issue_key()
        await self.fleet.call(other, run="other", timeout_ms=200)
        self.backend.work_ms = simulated_fleet.WORK_MS


async def killed_before(case):
    case.link.lose["Call"] = 1
    await case.during(50, case.node.kill)


async def killed_during(case):
    await case.during(50, case.node.kill)


async def killed_after(case):
    await case.call()
    await case.node.kill()


async def frozen_before(case):
    case.node.freeze()
    await case.call()
    case.node.thaw()


async def frozen_during(case):
    await case.during(50, case.node.freeze)
    case.node.thaw()
    await clock.sleep_ms(10)


async def frozen_during_and_before(case):
    await frozen_during(case)
    await frozen_before(case)
    await case.call()


async def call_lost(case):
    case.link.lose["Call"] = 1
    await case.call()


async def call_late(case):
    case.link.late["Call"] = 1
    await case.call()
    await clock.sleep_ms(LATE_CALL_WAIT_MS)


async def call_late_and_again(case):
    # The first copy arrives after the second one has run.
    case.link.late["Call"] = 1
    await case.call()
    await case.call()
    await clock.sleep_ms(10_000)


async def answer_lost(case):
    case.link.lose["Answer"] = 1
    await case.call()
    await case.call()


async def answer_lost_twice(case):
    case.link.lose["Answer"] = 2
    for _ in range(3):
        await case.call()


async def refusal_lost(case):
    case.node.owner.set_leaving(True)
    case.link.lose["Refused"] = 1
    await case.call()
    case.node.owner.set_leaving(False)
    await case.call()


async def send_queue_full(case):
    # The connection's queue is full when the answer is ready.
    await case.during(50, lambda: setattr(case.link, "replies_to_reject", 3))


async def repeated(case):
    await case.during(50, case.call)
    case.link.repeat_call()


async def repeated_after_refusal(case):
    case.node.owner.set_leaving(True)
    await case.call()
    case.node.owner.set_leaving(False)
    case.link.repeat_call()
    await clock.sleep_ms(500)


async def inquired_first(case):
    await case.fleet.inquire(case.key)
    await case.call()


async def inquired_during(case):
    await case.during(50, lambda: case.fleet.inquire(case.key))


async def leaving(case):
    case.node.owner.set_leaving(True)
    await case.call()


async def run_under_successor(case):
    case.node.owner.set_leaving(True)
    await case.call()
    await case.call()


async def successor_owner_killed(case):
    case.node.owner.set_leaving(True)
    await case.during(60, case.fleet.nodes[1].kill)


async def successor_not_tried(case):
    # The retry budget no longer allows the retry for which the successor was
    # issued.
    case.node.owner.set_leaving(True)
    case.fleet.budget.try_consume = lambda service: False
    await case.call()
    del case.fleet.budget.try_consume
    await case.call()


async def successor_tried_by_copy(case):
    case.node.owner.set_leaving(True)
    case.fleet.budget.try_consume = lambda service: False
    case.link.lose["Refused"] = 1
    await case.call()
    await case.call()


def in_backend_mode(*modes):
    async def run(case):
        case.backend.modes = list(modes)
        await case.call()

    run.__qualname__ = "backend " + " ".join(modes)
    return run


async def paused_before_writing(case):
    case.backend.modes = ["paused"]
    await case.call()


async def reset_and_repeated(case):
    case.backend.modes = ["reset"]
    await case.call()
    await case.call()


async def caller_gone_while_queued(case):
    await case.occupy()
    await case.call_and_leave(50)


async def copy_of_queued_call_of_gone_caller(case):
    # The caller's connection broke, and it has asked again at another node.
    await case.occupy()
    case.fleet.entry = case.fleet.new_entry()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: case.call_and_leave(50, timeout_ms=9_000))
        await clock.sleep_ms(20)
        await case.call(timeout_ms=9_000)


async def caller_gone_while_running(case):
    await case.call_and_leave(50)


async def deadline_queued(case):
    await case.occupy()
    await case.call()


async def deadline_running(case):
    case.backend.work_ms = 2 * simulated_fleet.TIMEOUT_MS
    await case.call()


async def deadline_running_again(case):
    await deadline_running(case)
    await case.call()


async def leaving_during_calls(case):
    """At a planned stop, running and queued calls still complete."""
    other = Case(case.fleet, await case.fleet.issue_key())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: other.call(run="other"))
        await clock.sleep_ms(10)
        tasks.start_soon(case.call)
        await clock.sleep_ms(10)
        case.node.owner.set_leaving(True)
        await case.node.owner.wait_idle()
    assert other.told == ["completed/"]


async def stopped_running(case):
    await case.during(50, case.node.owner.abort_calls)


async def stopped_queued(case):
    await case.occupy()
    await case.during(50, case.node.owner.abort_calls)


async def replaced_instance_hangs(case):
    case.backend.work_ms = 10**6
    await case.during(50, case.node.owner.on_new_instance)
    await clock.sleep_ms(20_000)


async def backend_absent(case):
    case.backend.state = backend.BackendState.ABSENT
    await case.call()


async def outdated_member_record(case):
    """The entry node's record of the owner names no endpoint yet."""
    find = case.fleet._owner_of
    candidate = find(simulated_fleet.ISSUER.parse(case.key).unwrap())
    case.fleet._owner_of = lambda key: candidate._replace(
        endpoint=key.endpoint, service=key.service
    )
    case.fleet.listed = []
    await case.during(50, case.call)


SCENARIOS = [
    (killed_before, "unknown/owner_unreachable", 0, "unknown/owner_lost"),
    (killed_during, "unknown/owner_unreachable", 1, "unknown/owner_lost"),
    (killed_after, "completed/", 1, "unknown/owner_lost"),
    (frozen_before, "unknown/deadline", 0, "refused/deadline"),
    (frozen_during, "unknown/deadline", 1, "completed/"),
    (
        frozen_during_and_before,
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
    (send_queue_full, "completed/", 1, "completed/"),
    (repeated, "completed/ completed/", 1, "completed/"),
    (repeated_after_refusal, "refused/leaving", 0, "refused/leaving"),
    (inquired_first, "refused/inquired", 0, "refused/inquired"),
    (inquired_during, "completed/", 1, "completed/"),
    (leaving, "refused/leaving", 0, "refused/leaving"),
    (
        in_backend_mode("refuse"),
        "refused/backend_unreachable",
        0,
        "refused/backend_unreachable",
    ),
    (
        in_backend_mode("reset"),
        "unknown/backend_lost",
        1,
        "unknown/backend_lost",
    ),
    (
        in_backend_mode("cut"),
        "unknown/backend_lost",
        1,
        "unknown/backend_lost",
    ),
    (
        in_backend_mode("long cut"),
        "completed/BodyError",
        1,
        "unknown/backend_lost",
    ),
    (
        in_backend_mode("unframed"),
        "unknown/backend_lost",
        1,
        "unknown/backend_lost",
    ),
    (in_backend_mode("long"), "completed/", 1, "completed/"),
    (in_backend_mode("500"), "failed/", 1, "failed/backend_failed"),
    (
        in_backend_mode("shed"),
        "refused/backend_shed",
        0,
        "refused/backend_shed",
    ),
    (
        in_backend_mode("error"),
        "unknown/internal_error",
        0,
        "unknown/internal_error",
    ),
    (
        reset_and_repeated,
        "unknown/backend_lost unknown/backend_lost",
        1,
        "unknown/backend_lost",
    ),
    (caller_gone_while_queued, "gone", 0, "refused/cancelled"),
    (copy_of_queued_call_of_gone_caller, "gone completed/", 1, "completed/"),
    (caller_gone_while_running, "gone", 1, "completed/"),
    (deadline_queued, "refused/deadline", 0, "refused/deadline"),
    (deadline_running, "unknown/deadline", 1, "completed/"),
    (deadline_running_again, "unknown/deadline completed/", 1, "completed/"),
    (leaving_during_calls, "completed/", 1, "completed/"),
    (stopped_running, "unknown/stopped", 1, "unknown/stopped"),
    (stopped_queued, "refused/leaving", 0, "refused/leaving"),
    (replaced_instance_hangs, "unknown/deadline", 1, "unknown/backend_lost"),
    (
        paused_before_writing,
        "unknown/deadline",
        0,
        "refused/deadline",
    ),
    (backend_absent, "refused/no_backend", 0, "refused/no_backend"),
    (outdated_member_record, "completed/ completed/", 1, "completed/"),
]
SUCCESSOR_SCENARIOS = [
    (run_under_successor, "completed/ completed/", 1, "completed/"),
    (
        successor_owner_killed,
        "unknown/owner_unreachable",
        1,
        "unknown/owner_lost",
    ),
    (
        successor_not_tried,
        "refused/leaving refused/inquired",
        0,
        "refused/inquired",
    ),
    (
        successor_tried_by_copy,
        "unknown/deadline completed/",
        1,
        "completed/",
    ),
    # Other fault, same chain: the successor's answer is lost as well.
]


def params(scenarios):
    return [
        pytest.param(*row, id=f"{row[0].__qualname__}-{row[1]}")
        for row in scenarios
    ]


async def check(fleet, scenario, told, runs, inquiry):
    case = Case(fleet, await fleet.issue_key())
    # Without a limit, an answer that never ends would block the test.
    with anyio.fail_after(600):
        await scenario(case)
    await clock.sleep_ms(5_000)
    found = " ".join(case.told), fleet.runs(), await fleet.inquire(case.key)
    assert found == (told, runs, inquiry)
    # An inquiry is final: no later copy runs, and the outcome stays.
    for link in fleet.links.values():
        if link.calls and not link.is_cut:
            link.repeat_call(0)
    await clock.sleep_ms(5_000)
    assert fleet.runs() == runs
    assert await fleet.inquire(case.key) == inquiry
    assert fleet.leaks() == []


@pytest.mark.parametrize(
    ("scenario", "told", "runs", "inquiry"), params(SCENARIOS)
)
async def test_at_most_once(scenario, told, runs, inquiry):
    async with simulated_fleet.start("b1") as fleet:
        await check(fleet, scenario, told, runs, inquiry)


@pytest.mark.parametrize(
    ("scenario", "told", "runs", "inquiry"), params(SUCCESSOR_SCENARIOS)
)
async def test_refused_requests_follow_their_successor(
    scenario, told, runs, inquiry
):
    async with simulated_fleet.start("b1", "b2") as fleet:
        fleet.budget.on_first_attempt(simulated_fleet.SERVICE)
        fleet.link_to(fleet.nodes[1])
        fleet.listed = [fleet.nodes[0]]
        key = await fleet.issue_key()
        fleet.listed = None

        async def issued_key():
            return key

        fleet.issue_key = issued_key
        await check(fleet, scenario, told, runs, inquiry)


async def call_idempotent(fleet, **fields):
    told, _ = await fleet.call("", "/lookups", **fields)
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
    async with simulated_fleet.start("b1", "b2") as fleet:
        for _ in range(5):
            fleet.budget.on_first_attempt(simulated_fleet.SERVICE)
        # Each endpoint takes the next mode of one list.
        for node in fleet.nodes:
            node.backend.modes = modes
        assert (await call_idempotent(fleet), fleet.runs()) == (told, runs)
        assert fleet.leaks() == []


async def test_retried_lookup_without_another_endpoint():
    async with simulated_fleet.start("b1", "b2") as fleet:
        fleet.budget.on_first_attempt(simulated_fleet.SERVICE)
        fleet.nodes[1].owner.set_leaving(True)
        fleet.nodes[0].backend.mode = "500"
        fleet.listed = fleet.nodes[:1]
        assert (await call_idempotent(fleet), fleet.runs()) == ("failed/", 1)


@pytest.mark.parametrize("gone", [True, False], ids=["gone", "deadline"])
async def test_idempotent_call_is_cancelled(gone):
    """It must free its slot when its caller is gone or its deadline passes."""
    async with simulated_fleet.start("b1") as fleet:
        fleet.nodes[0].backend.work_ms = 10**6
        with anyio.move_on_after(0.05 if gone else 10):
            assert await call_idempotent(fleet) == "unknown/deadline"
        await clock.sleep_ms(10)
        assert fleet.nodes[0].backend.discarded == 1
        assert fleet.leaks() == []


async def test_lookup_with_a_key_is_recorded():
    """Otherwise an inquiry would report a lookup that ran as not run."""
    async with simulated_fleet.start("b1") as fleet:
        key = await fleet.issue_key()
        assert (await fleet.call(key, "/lookups"))[0] == "completed/"
        assert await fleet.inquire(key) == "completed/"


async def test_recently_removed_owner_counts_as_unreachable():
    """It may be paused and still know the outcome."""
    async with simulated_fleet.start("b1") as fleet:
        key = await fleet.issue_key()
        fleet.nodes[0].incarnation += 1
        fleet.is_lost = False
        assert await fleet.inquire(key) == "unknown/owner_unreachable"


async def test_caller_that_stops_reading_frees_the_slot():
    async with simulated_fleet.start("b1") as fleet:
        node = fleet.nodes[0]
        node.backend.mode = "long"
        node.backend.long_parts = 3 * streams.WINDOW_CHUNKS
        key = await fleet.issue_key()
        answer = await fleet.entry.call(fleet.request(key, "/seats", "r"))
        await clock.sleep_ms(simulated_fleet.TIMEOUT_MS // 2)
        assert node.admission.running == 1
        await clock.sleep_ms(simulated_fleet.TIMEOUT_MS)
        assert node.admission.running == 0
        assert await fleet.inquire(key) == "completed/"
        with pytest.raises(streams.BodyError):
            [part async for part in answer.rest]
        assert fleet.leaks() == []


async def test_cancellation_that_arrives_during_a_reply():
    """Sending a reply handles received messages, even for the same decisions.

    A queued call is cancelled while the refusal of another one is sent.
    """
    async with simulated_fleet.start("b1") as fleet:
        node = fleet.nodes[0]
        link = fleet.link_to(node)
        node.backend.work_ms = 300
        first, late, next_ = [await fleet.issue_key() for _ in range(3)]
        told = {}

        async def call(key, timeout_ms):
            told[key], _ = await fleet.call(
                key, run=key, timeout_ms=timeout_ms
            )

        def cancel_next(message):
            if getattr(message, "reason", "") == "deadline":
                link.on_reply = lambda message: None
                for stream in list(link.owner_streams.values()):
                    if stream.request.key == next_:
                        stream.end("gone", False)

        link.on_reply = cancel_next
        async with anyio.create_task_group() as tasks:
            for key, timeout_ms in ((first, 900), (late, 275), (next_, 900)):
                tasks.start_soon(call, key, timeout_ms)
                await clock.sleep_ms(5)
        assert told[first] == "completed/"
        assert told[late] == "refused/deadline"
        assert fleet.runs(next_) == (told[next_] == "completed/")
        assert fleet.leaks() == []


async def test_waiters_are_all_answered():
    """A waiter's caller leaves while another waiter is being answered."""
    async with simulated_fleet.start("b1") as fleet:
        node = fleet.nodes[0]
        link = fleet.link_to(node)
        key = await fleet.issue_key()
        told = []

        async def call():
            told.append((await fleet.call(key))[0])

        def cancel_first(message):
            link.on_reply = lambda message: None
            waiting = [s for s in link.owner_streams.values() if s.number > 1]
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
    async with simulated_fleet.start("b1") as fleet:
        context = fleet.served_contexts.open("r", 0, 10**9, 2)
        if "context" in fields:
            fields = {"context": context.token}
        assert await call_idempotent(fleet, **fields) == told
        ranks = [call.rank for call, _ in fleet.link_to(fleet.nodes[0]).calls]
        assert ranks == ([] if rank is None else [rank])


@pytest.mark.parametrize("mode", ["answer", "reset", "error"])
async def test_downstream_call_releases_its_reservation(mode):
    async with simulated_fleet.start("b1") as fleet:
        context = fleet.served_contexts.open("r", 0, 10**9, 2)
        fleet.nodes[0].backend.mode = mode
        fields = {"context": context.token, "is_from_backend": True}
        await call_idempotent(fleet, **fields)
        assert context.pool._outstanding == {}
        # After a failure no allowance is left for the nodes upstream.
        assert context.pool.remaining == (2 if mode == "answer" else 0)
        call, _ = fleet.link_to(fleet.nodes[0]).calls[0]
        assert call.rank == 0


async def test_downstream_call_ends_with_its_context():
    async with simulated_fleet.start("b1") as fleet:
        context = fleet.served_contexts.open("r", 0, 10**9, 2)
        fleet.nodes[0].backend.work_ms = 10**6
        fields = {"context": context.token, "is_from_backend": True}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clock.sleep_ms, 50)
            tasks.start_soon(_close_context_later, fleet, context)
            told = await call_idempotent(fleet, **fields)
        assert told == "unknown/context_ended"
        await clock.sleep_ms(10)
        assert fleet.leaks() == []
        assert (
            await call_idempotent(fleet, **fields) == "refused/context_ended"
        )


async def _close_context_later(fleet, context):
    await clock.sleep_ms(50)
    fleet.served_contexts.close(context)


async def test_call_under_a_key_counts_as_in_flight():
    """Otherwise its end would make a busy endpoint look idle."""
    async with simulated_fleet.start("b1") as fleet:
        case = Case(fleet, await fleet.issue_key())

        def count():
            (state,) = fleet.router._services[
                simulated_fleet.SERVICE
            ].endpoints
            assert state.in_flight == 1

        await case.during(50, count)
        assert case.told == ["completed/"]
