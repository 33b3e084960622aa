"""Connections to the backend server that go silent without a reset."""

import asyncio

from clementinekeel.backends import http1
from clementinekeel.backends import local
from tests import memory_loop
from tests.sidecar import harness

SILENCE_BOUND_S = 2.5


def run_pool(function):
    async def main():
        server = harness.BackendServer("vm")
        pool = local.LocalPool("vm", 1, b"id")
        await function(pool, server, asyncio.get_running_loop())

    memory_loop.run(main)


def send(connection, request_id=b"r"):
    outcome = asyncio.get_running_loop().create_future()
    head = b"GET / HTTP/1.1\r\nid: %s\r\n\r\n" % request_id
    connection.send(head, b"", request_id, False, outcome.set_result)
    return outcome


def test_run_on_a_silent_connection_fails_before_its_timeout():
    """An idempotent one can then run elsewhere in time."""

    async def scenario(pool, server, loop):
        server.behave = lambda c, h, i: None
        outcome = send(await pool.connect())
        await harness.settle()
        loop.silence("vm", 1)
        async with asyncio.timeout(SILENCE_BOUND_S):
            assert isinstance(await outcome, http1.Failure)

    run_pool(scenario)


def test_silent_idle_connection_is_not_used_again():
    async def scenario(pool, server, loop):
        keep_alive = b"Keep-Alive: timeout=60\r\n"
        server.behave = lambda c, h, i: c.answer(i, extra=keep_alive)
        connection = await pool.connect()
        await send(connection)
        pool.release(connection)
        loop.silence("vm", 1)
        await harness.settle(SILENCE_BOUND_S)
        assert pool.acquire_idle(True, b"r2") is None
        answer = await send(await pool.connect(), b"r2")
        assert answer.body == b"fine"

    run_pool(scenario)
