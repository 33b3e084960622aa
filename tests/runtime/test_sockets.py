"""Options by which the kernel notices a silent peer."""

import socket

from clementinekeel.runtime import sockets


class Transport:
    def __init__(self, sock):
        self._socket = sock

    def get_extra_info(self, name):
        return self._socket if name == "socket" else None


def option(sock, name):
    return sock.getsockopt(socket.IPPROTO_TCP, name)


def test_idle_connection_is_probed():
    """A watch on a silent connection waited for 28 s."""
    with socket.socket() as sock:
        limits = sockets.SilenceLimits(unacknowledged_ms=2_500, probes=2)
        sockets.limit_silence(Transport(sock), limits)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert option(sock, socket.TCP_KEEPIDLE) == 1
        assert option(sock, socket.TCP_KEEPINTVL) == 1
        assert option(sock, socket.TCP_KEEPCNT) == 2
        assert option(sock, socket.TCP_USER_TIMEOUT) == 2_500


def test_probes_can_be_left_out():
    with socket.socket() as sock:
        limits = sockets.SilenceLimits(unacknowledged_ms=3_000, probes=0)
        sockets.limit_silence(Transport(sock), limits)
        assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)


def test_transport_without_a_socket_is_left_alone():
    sockets.limit_silence(Transport(None), sockets.SilenceLimits(3_000, 1))
