"""An end of the backend server, and failures that look like one."""

import asyncio

import pytest

from clementinekeel.backends import local
from clementinekeel.sidecar import crash_detection
from tests import memory_loop
from tests.sidecar import harness


def run_detector(function):
    async def main():
        server = harness.BackendServer("n1")
        crashes = []
        detector = crash_detection.CrashDetector(
            local.LocalPool("n1", 1, b"id"),
            lambda runs: crashes.append(list(runs)),
        )
        await function(detector, server, crashes)

    memory_loop.run(main)


def test_requests_that_ran_at_the_end_are_reported():
    async def scenario(detector, server, crashes):
        server.end()
        for run in (1, 2, 3):
            detector.on_run_failed(run)
        await harness.settle()
        # Closed connections may be noticed later than the refused one.
        detector.on_run_failed(4)
        await harness.settle()
        assert crashes == [[1, 2, 3], [4]]

    run_detector(scenario)


def test_reset_of_single_connections_is_no_end():
    async def scenario(detector, server, crashes):
        for run in range(10):
            detector.on_run_failed(run)
            await harness.settle(0.01)
        assert crashes == []

    run_detector(scenario)


def test_failures_of_a_backend_server_that_lives_are_forgotten():
    """They would fill the memory of the node within days."""

    async def scenario(detector, server, crashes):
        for run in range(1_000):
            detector.on_run_failed(run)
            await harness.settle(0.1)
        assert len(detector._failed_runs) <= 12
        assert crashes == []

    run_detector(scenario)


def test_end_that_a_later_connection_shows_is_reported():
    """The listening socket may be closed later than the connections."""

    async def scenario(detector, server, crashes):
        detector.on_run_failed(1)
        await harness.settle(0.1)
        detector.on_connection_failed(ConnectionRefusedError())
        assert crashes == [[1]]

    run_detector(scenario)


@pytest.mark.parametrize("error", [TimeoutError, ConnectionResetError])
def test_backend_server_that_takes_no_connection_has_not_ended(error):
    """It may be frozen, or have as many connections as it accepts.

    Under overload, requests would be refused that crash nothing.
    """

    async def scenario(detector, server, crashes):
        asyncio.get_running_loop().silent_hosts.add("n1")
        detector.on_run_failed(1)
        await harness.settle(0.6)
        detector.on_run_failed(2)
        detector.on_connection_failed(error())
        assert crashes == []

    run_detector(scenario)


@pytest.mark.parametrize("reason", ["late", "replaced"])
def test_earlier_failures_have_nothing_to_do_with_an_end(reason):
    async def scenario(detector, server, crashes):
        detector.on_run_failed(1)
        if reason == "late":
            await harness.settle(crash_detection.FAILURE_WINDOW_S + 0.1)
        else:
            detector.begin_incarnation()
        server.end()
        detector.on_run_failed(2)
        await harness.settle()
        assert crashes == [[2]]

    run_detector(scenario)
