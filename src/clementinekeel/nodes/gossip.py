"""Gossip over UDP: sends and receives the messages of a membership."""

import collections
from collections.abc import Callable, Iterable
import socket as socket_module
from typing import Any

import anyio
import anyio.abc
import msgspec

from clementinekeel.membership import membership as membership_module
from clementinekeel.membership import messages as member_messages
from clementinekeel.nodes import _datagram_filter
from clementinekeel.nodes import codec as codec_module
from clementinekeel.nodes import gossip_messages
from clementinekeel.runtime import clock
from clementinekeel.runtime import log

MAX_QUEUED_DATAGRAMS = 1_024
"""Datagrams that wait to be sent. More are dropped, which gossip tolerates as
it does packet loss."""
_MIN_SLEEP_MS = 1

ChangeHandler = Callable[[member_messages.Effects], None]

_encoder = msgspec.msgpack.Encoder()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port`` or ``[ip]:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    """Return ``ip:port``, with brackets for IPv6."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


async def bind(address: str) -> anyio.abc.UDPSocket:
    """Return a UDP socket bound to ``ip:port``; port 0 picks a free one."""
    host, port = split_address(address)
    while True:
        bound = await anyio.create_udp_socket(local_host=host, local_port=port)
        if port or _is_tcp_free(bound):
            return bound
        await bound.aclose()


def _is_tcp_free(bound: anyio.abc.UDPSocket) -> bool:
    # zmq listens on the TCP port of the same number, which a connection may
    # already use.
    host = bound.extra(anyio.abc.SocketAttribute.local_address)[0]
    port = bound.extra(anyio.abc.SocketAttribute.local_port)
    family = bound.extra(anyio.abc.SocketAttribute.family)
    with socket_module.socket(family) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def address_of(socket: anyio.abc.UDPSocket) -> str:
    """Return the address that a socket is bound to."""
    host = socket.extra(anyio.abc.SocketAttribute.local_address)[0]
    port = socket.extra(anyio.abc.SocketAttribute.local_port)
    return join_address(host, port)


class Gossip:
    """Runs a ``Membership`` on a UDP socket.

    Parameters
    ----------
    socket : anyio.abc.UDPSocket
        Returned by ``bind``; closed when ``run`` ends.
    membership : Membership
        Changed only by this object from now on; others may read it.
    codec : Codec
        Encoder and decoder of this node.
    on_change : Callable
        Called with effects in which members have joined, changed or been
        removed. Must not block.
    """

    def __init__(
        self,
        socket: anyio.abc.UDPSocket,
        membership: membership_module.Membership,
        codec: codec_module.Codec,
        on_change: ChangeHandler,
    ) -> None:
        self._socket = socket
        self._membership = membership
        self._codec = codec
        self._on_change = on_change
        self.counters = _datagram_filter.TrafficCounters()
        own_id = membership.own.member_id
        self._filter = _datagram_filter.DatagramFilter(
            codec, own_id, self.counters
        )
        self._sequence = 0
        self._send_queue: collections.deque[member_messages.Outgoing] = (
            collections.deque()
        )
        self._queue_filled = anyio.Event()
        self._is_oversized_logged = False

    @property
    def membership(self) -> membership_module.Membership:
        """The membership, for reading only."""
        return self._membership

    async def run(self) -> None:
        """Send, receive and run timers until cancelled."""
        async with self._socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._send)

    def update_own(self, **changes: Any) -> None:
        """Change fields of this node's record; see ``Membership``."""
        self._handle(self._membership.update_own(clock.now_ms(), **changes))

    def confirm(self) -> None:
        """Confirm that the newest configuration was read from the store."""
        self._handle(self._membership.confirm_by_store(clock.now_ms()))

    def leave(self) -> None:
        """Announce that the node accepts no new work."""
        self._handle(self._membership.leave(clock.now_ms()))

    def add_entry_points(self, addresses: Iterable[str]) -> None:
        """Add addresses of nodes to ask for the members."""
        self._membership.add_entry_points(addresses)

    async def _receive(self) -> None:
        async for data, (host, port) in self._socket:
            address = join_address(host, port)
            now_ms = clock.now_ms()
            payload = self._filter.accept(data, address, now_ms)
            if payload is not None:
                effects = self._membership.receive(address, payload, now_ms)
                self._handle(effects)

    async def _tick(self) -> None:
        due_ms = clock.now_ms()
        while True:
            now_ms = clock.now_ms()
            self._handle(self._membership.tick(now_ms))
            due_ms += membership_module.TICK_INTERVAL_MS
            # Ticks missed during a pause of the process are skipped.
            due_ms = max(due_ms, now_ms)
            wait_ms = max(_MIN_SLEEP_MS, due_ms - clock.now_ms())
            await clock.sleep_ms(wait_ms)

    async def _send(self) -> None:
        while True:
            while self._send_queue:
                await self._send_one(self._send_queue.popleft())
            self._queue_filled = anyio.Event()
            await self._queue_filled.wait()

    async def _send_one(self, outgoing: member_messages.Outgoing) -> None:
        data = self._encode(outgoing.payload)
        if len(data) > gossip_messages.MAX_DATAGRAM_BYTES:
            self._drop_oversized(outgoing, len(data))
            return
        try:
            host, port = split_address(outgoing.address)
            await self._socket.sendto(data, host, port)
        except (OSError, ValueError, anyio.BrokenResourceError):
            # For example without a route, or with a wrong address in a
            # record. The failure detector treats the peer as silent.
            self.counters.dropped["send"] += 1
            return
        self.counters.messages_out += 1
        self.counters.bytes_out += len(data)

    def _encode(self, payload: Any) -> bytes:
        self._sequence += 1
        frames = self._codec.encode(
            payload,
            b"",
            _datagram_filter.GOSSIP_SESSION,
            self._sequence,
            clock.now_ms(),
        )
        return _encoder.encode(frames)

    def _drop_oversized(
        self, outgoing: member_messages.Outgoing, size: int
    ) -> None:
        self.counters.dropped["send_size"] += 1
        if not self._is_oversized_logged:
            self._is_oversized_logged = True
            log.event(
                "gossip_message_too_large",
                level="WARNING",
                peer=outgoing.address,
                kind=type(outgoing.payload).__name__,
                bytes=size,
            )

    def _handle(self, effects: member_messages.Effects) -> None:
        for outgoing in effects.messages:
            if len(self._send_queue) >= MAX_QUEUED_DATAGRAMS:
                self.counters.dropped["send_queue"] += 1
                continue
            self._send_queue.append(outgoing)
        if effects.messages:
            self._queue_filled.set()
        if effects.joined or effects.changed or effects.removed:
            self._on_change(effects)
