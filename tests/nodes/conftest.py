"""Fixtures for tests with real sockets and a paused clock."""

import anyio
import pytest
import trio.testing
import zmq

from tests.nodes import loopback


@pytest.fixture
def paused_clock():
    """Clock that stands still until the test moves it."""
    return trio.testing.MockClock(rate=0)


@pytest.fixture
def run_net(paused_clock):
    """Run a coroutine function with a ``Net`` on the paused clock."""

    def run(function):
        async def main():
            with zmq.Context() as context:
                async with anyio.create_task_group() as tasks:
                    net = loopback.Net(context, tasks, paused_clock)
                    try:
                        await function(net)
                    finally:
                        net.close()
                        tasks.cancel_scope.cancel()

        anyio.run(
            main, backend="trio", backend_options={"clock": paused_clock}
        )

    return run
