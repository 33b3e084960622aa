"""Gossip and sessions of a node share one port number."""

import pytest

from clementinekeel.daemon import node as node_module
from clementinekeel.nodes import gossip
from clementinekeel.runtime import http_server
from tests.daemon import daemon_settings

pytestmark = pytest.mark.anyio


async def test_port_in_use_ends_the_start(tmp_path):
    """An uncaught zmq error would end the process with a traceback."""
    with http_server.bind("127.0.0.1:0") as listener:
        address = http_server.address_of(listener)
        settings = daemon_settings.load(tmp_path, address)
        with pytest.raises(OSError, match="in use"):
            await node_module.Node.create(settings)


async def test_udp_port_whose_tcp_port_is_in_use(monkeypatch):
    """On a busy VM a node must try another port instead of ending."""
    bind = http_server.bind
    tried = []

    def bind_second(address):
        tried.append(address)
        if len(tried) == 1:
            raise OSError("in use")
        return bind(address)

    monkeypatch.setattr(http_server, "bind", bind_second)
    async with await node_module._bind_gossip("127.0.0.1:0") as gossip_socket:
        # More ports are tried if other processes use them.
        assert len(tried) >= 2
        assert gossip.address_of(gossip_socket) == tried[-1] != tried[0]
