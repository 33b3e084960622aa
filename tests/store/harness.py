"""Harness of the store's tests: the in-process stand-in and its clients."""

import contextlib
import random

import anyio

from clementinekeel.store import client
from standins import store as standin
from standins import transport


class Platform:
    """The in-process stand-in of the store, and clients connected to it."""

    def __init__(self, tasks):
        # High rates, so that only the tests of the rate limit reach it.
        self.store = standin.StoreApplication(100_000, 100_000)
        self.tasks = tasks
        self.transports = []

    def client(self, seed=0, urls=("http://store",)):
        connection = transport.StreamingTransport(self.store, self.tasks)
        self.transports.append(connection)
        return client.StoreClient(urls, random.Random(seed), connection)


@contextlib.asynccontextmanager
async def open_platform():
    async with anyio.create_task_group() as tasks:
        yield Platform(tasks)
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_client(urls=("http://store",)):
    async with open_platform() as platform, platform.client(0, urls) as store:
        yield platform, store
