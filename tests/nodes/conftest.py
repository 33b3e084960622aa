"""Fixtures for tests with real sockets and a paused clock."""

import anyio
import pytest
import trio.testing
import zmq

from tests.nodes import loopback


@pytest.fixture
def paused_clock():
    """Clock that only the test advances."""
    return trio.testing.MockClock(rate=0)


@pytest.fixture
def run_network(paused_clock):
    """Return a function that runs a coroutine with a ``Network``."""

    def run(function):
        async def main():
            with zmq.Context() as context:
                async with anyio.create_task_group() as tasks:
                    network = loopback.Network(context, tasks, paused_clock)
                    try:
                        await function(network)
                    finally:
                        network.close()
                        tasks.cancel_scope.cancel()

        anyio.run(
            main, backend="trio", backend_options={"clock": paused_clock}
        )

    return run
