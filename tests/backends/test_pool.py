"""Pool of connections to the backend server, used by several tasks."""

import anyio
import pytest

from clementinekeel.backends import pool

pytestmark = pytest.mark.anyio


class FakeConnection:
    """Connection whose end takes a while, as with a slow peer."""

    def __init__(self, is_expired=False):
        self.is_expired = is_expired
        self.is_reusable = not is_expired
        self.is_closed = False

    def finish(self):
        return True

    async def close(self):
        await anyio.sleep(0.1)
        self.is_closed = True


async def test_connection_is_released_while_another_task_takes_the_rest():
    """The release looked at the idle connections again after it had awaited
    the end of an expired one; the request then ended as unknown.
    """
    connections = pool.ConnectionPool("127.0.0.1", 1, limit=2)
    expired, used = FakeConnection(), FakeConnection()
    await connections.release(expired)
    expired.is_expired = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connections.release, used)
        await anyio.sleep(0.05)
        taken = await connections.acquire()
    assert taken is used
    assert expired.is_closed
