"""Keeps long-lived tasks running after errors that they don't expect.

All tasks of a process share one task group, in which an error of one task
cancels all others. A supervised task is started again instead.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import random
import types
from typing import NamedTuple, TypeVar

import anyio

from clementinekeel.runtime import exception_groups

MIN_RESTART_DELAY_S = 0.2
"""An error that occurs once stops a task for this time at most."""
MAX_RESTART_DELAY_S = 2.0
"""A task whose errors end resumes soon enough to renew a lease of 9 s."""
RESET_AFTER_S = 10.0
"""Time after which a task counts as running well: its next restart has the
shortest delay again."""
MAX_TRACE_ENTRIES = 6
"""Innermost calls in a trace; a recursion may have a thousand."""
MAX_TRACE_LENGTH = 400
"""Characters of a trace in a log line."""


T = TypeVar("T")


class Failure(NamedTuple):
    """Unexpected error of a task.

    Attributes
    ----------
    error : str
        Type of the error; the first one of an exception group.
    trace : str
        Innermost calls, the last one first, without values.
    """

    task: str
    error: str
    trace: str


def describe(task: str, error: BaseException) -> Failure:
    """Return what a log line tells of an error, bounded in length."""
    if isinstance(error, BaseExceptionGroup):
        error = exception_groups.first_error(error)
    return Failure(task, type(error).__name__, _trace(error.__traceback__))


def report_error(
    loop: asyncio.AbstractEventLoop, step: str, error: Exception
) -> None:
    """Report an unexpected error whose consequences the caller handles.

    Never raises, and needs no log, so that it can be used anywhere.
    """
    loop.call_exception_handler({"message": step, "exception": error})


class Supervisor:
    """Starts tasks again after unexpected errors.

    Parameters
    ----------
    on_failure : callable
        Called with each failure, to log and to count it.
    randomness : Random or None
        Spreads the restarts of many processes with the same error.

    Attributes
    ----------
    unreported : int
        Failures for which ``on_failure`` failed as well.
    """

    def __init__(
        self,
        on_failure: Callable[[Failure], None],
        randomness: random.Random | None = None,
    ) -> None:
        self._on_failure = on_failure
        self._random = randomness or random.Random()
        self.unreported = 0

    async def keep_running(
        self, task: str, function: Callable[[], Awaitable[object]]
    ) -> None:
        """Run a task until it returns or is cancelled.

        Parameters
        ----------
        task : str
            Name for the log and the metrics.
        function : callable
            Called without arguments at each start.
        """
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = anyio.current_time()
            try:
                await function()
                return
            except asyncio.CancelledError as error:
                if _is_being_cancelled():
                    raise
                self.report(task, error)
            except Exception as error:
                self.report(task, error)
            if anyio.current_time() - started_at >= RESET_AFTER_S:
                delay_s = MIN_RESTART_DELAY_S
            await anyio.sleep(delay_s * self._random.uniform(0.5, 1))
            delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)

    def attempt(self, task: str, step: Callable[[], T]) -> T | None:
        """Return the result of one step of a task; None if it fails."""
        try:
            return step()
        except Exception as error:
            self.report(task, error)
            return None

    def report(self, task: str, error: BaseException) -> None:
        """Log and count an unexpected error that the caller has caught."""
        try:
            self._on_failure(describe(task, error))
        except Exception:
            # The log itself may be what fails; a task must not end for it.
            self.unreported += 1


def _is_being_cancelled() -> bool:
    """Tell whether the end of the current task has been requested.

    A task that waits for a future which is cancelled raises the same error,
    and a task group would then cancel all its tasks.
    """
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


def _trace(traceback: types.TracebackType | None) -> str:
    entries: collections.deque[str] = collections.deque(
        maxlen=MAX_TRACE_ENTRIES
    )
    while traceback is not None:
        code = traceback.tb_frame.f_code
        module = traceback.tb_frame.f_globals.get("__name__", "")
        entries.appendleft(f"{module}.{code.co_name}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return " < ".join(entries)[:MAX_TRACE_LENGTH]
