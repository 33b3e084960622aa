"""Restarts of tasks after errors that they don't expect."""

import itertools

import anyio
import pytest

from clementinekeel.runtime import supervision

pytestmark = pytest.mark.anyio


class UpperBound:
    """Draws the longest delays."""

    def uniform(self, _low, high):
        return high


class Task:
    """Runs for some time, then raises the next of its errors."""

    def __init__(self, *errors, runs_s=0.0):
        self.errors = list(errors)
        self.runs_s = runs_s
        self.started_at = []

    async def run(self):
        self.started_at.append(anyio.current_time())
        if not self.errors:
            await anyio.sleep_forever()
        await anyio.sleep(self.runs_s)
        raise self.errors.pop(0)

    @property
    def pauses_s(self):
        starts = self.started_at
        return [
            round(later - earlier - self.runs_s, 3)
            for earlier, later in itertools.pairwise(starts)
        ]


async def run_for(task, duration_s, failures=None):
    on_failure = failures.append if failures is not None else lambda f: None
    supervisor = supervision.Supervisor(on_failure, UpperBound())
    with anyio.move_on_after(duration_s):
        await supervisor.keep_running("t", task.run)
    return supervisor


@pytest.mark.parametrize(
    ("error", "name"),
    [
        (OverflowError("x"), "OverflowError"),
        (RecursionError(), "RecursionError"),
        (ExceptionGroup("g", [KeyError(1), ValueError()]), "KeyError"),
    ],
)
async def test_error_is_reported_once_and_the_task_runs_again(error, name):
    """It ended the process and all requests on it."""
    failures = []
    task = Task(error)
    await run_for(task, 5, failures)
    assert len(task.started_at) == 2
    ((reported_task, reported_error, trace),) = failures
    assert (reported_task, reported_error) == ("t", name)
    assert "keep_running" in trace or name == "KeyError"


async def test_delay_grows_to_its_bound():
    """A task that always fails must not use the processor."""
    task = Task(*[ValueError()] * 6)
    await run_for(task, 20)
    assert task.pauses_s == [0.2, 0.4, 0.8, 1.6, 2.0, 2.0]


async def test_delay_is_short_again_after_a_good_run():
    task = Task(*[ValueError()] * 3, runs_s=supervision.RESET_AFTER_S)
    await run_for(task, 60)
    assert task.pauses_s == [0.2, 0.2, 0.2]


async def test_delays_differ_between_processes():
    """Many nodes with the same error would call the store at once."""
    pauses_s = set()
    for _ in range(5):
        task = Task(ValueError())
        supervisor = supervision.Supervisor(lambda failure: None)
        with anyio.move_on_after(5):
            await supervisor.keep_running("t", task.run)
        pauses_s.update(task.pauses_s)
    assert len(pauses_s) > 1


async def test_cancellation_ends_the_task():
    task = Task()
    async with anyio.create_task_group() as tasks:
        supervisor = supervision.Supervisor(lambda failure: None)
        tasks.start_soon(supervisor.keep_running, "t", task.run)
        await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    assert len(task.started_at) == 1


async def test_error_while_a_task_is_cancelled_does_not_start_it_again():
    starts, failures = [], []

    async def run():
        starts.append(1)
        try:
            await anyio.sleep_forever()
        finally:
            raise ValueError

    async with anyio.create_task_group() as tasks:
        supervisor = supervision.Supervisor(failures.append)
        tasks.start_soon(supervisor.keep_running, "t", run)
        await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    assert len(starts) == 1
    assert len(failures) == 1


async def test_task_that_returns_is_not_started_again():
    starts = []

    async def run():
        starts.append(1)

    supervisor = supervision.Supervisor(lambda failure: None)
    await supervisor.keep_running("t", run)
    assert len(starts) == 1


async def test_failing_report_does_not_end_the_task():
    """The log may be what fails."""

    def fail(_failure):
        raise OSError

    task = Task(ValueError())
    supervisor = supervision.Supervisor(fail)
    with anyio.move_on_after(5):
        await supervisor.keep_running("t", task.run)
    assert len(task.started_at) == 2
    assert supervisor.unreported == 1


async def test_failing_step_is_reported_and_the_next_ones_run():
    failures, done = [], []
    supervisor = supervision.Supervisor(failures.append)
    assert supervisor.attempt("t", lambda: 1 / 0) is None
    assert supervisor.attempt("t", lambda: done.append(1) or 7) == 7
    assert [failure.error for failure in failures] == ["ZeroDivisionError"]
    assert done == [1]


async def test_trace_of_a_deep_recursion_is_bounded():
    """A line of a thousand calls would displace others."""

    def recurse():
        recurse()

    failures = []
    supervisor = supervision.Supervisor(failures.append)
    supervisor.attempt("t", recurse)
    (failure,) = failures
    assert failure.error == "RecursionError"
    assert len(failure.trace) <= supervision.MAX_TRACE_LENGTH
    assert "recurse" in failure.trace
