"""Options of TCP sockets that let the kernel notice a silent peer."""

import asyncio
import socket
from typing import NamedTuple

PROBE_INTERVAL_S = 1
"""Idle time before the first probe, and between probes; the shortest that the
kernel takes."""


class SilenceLimits(NamedTuple):
    """When the kernel ends a connection whose peer acknowledges nothing.

    Attributes
    ----------
    unacknowledged_ms : int
        Time for which sent data may stay unacknowledged.
    probes : int
        Unacknowledged probes after which an idle connection ends; 0 to send
        none.
    """

    unacknowledged_ms: int
    probes: int


def limit_silence(
    transport: asyncio.BaseTransport, limits: SilenceLimits
) -> None:
    """Let the kernel end a connection on which the peer is silent.

    A connection that has gone silent without a reset looks like an idle one:
    without probes a call that waits on it ends only at its own timeout.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, limits.unacknowledged_ms)
    if limits.probes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, limits.probes)
