"""The event loop of other tests."""

import asyncio

from tests import memory_loop


class Receiver(asyncio.Protocol):
    """Collects what arrives."""

    def __init__(self):
        self.received = b""

    def data_received(self, data):
        self.received += data


def test_delayed_data_arrive_in_the_order_in_which_they_were_written():
    """Timers for the same time ran in any order, so that the frames of a link
    were mixed up and an answer of several parts never arrived.
    """

    async def main():
        loop = asyncio.get_running_loop()
        receivers = []

        def accept():
            receivers.append(Receiver())
            return receivers[-1]

        await loop.create_server(accept, "n", 1)
        transport, _ = await loop.create_connection(Receiver, "n", 1)
        loop.delay_s = 0.01
        parts = [b"%d." % number for number in range(20)]
        for part in parts:
            transport.write(part)
        await asyncio.sleep(0.02)
        assert receivers[0].received == b"".join(parts)

    memory_loop.run(main)
