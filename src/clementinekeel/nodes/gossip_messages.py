"""Registration of the gossip messages, which are sent as datagrams."""

from clementinekeel.membership import messages as gossip
from clementinekeel.nodes import messages

MAX_DATAGRAM_BYTES = 1_200
"""Fits the smallest common path MTU, so that datagrams are not fragmented."""

TYPES = {
    "probe": gossip.Probe,
    "probe_ack": gossip.ProbeAck,
    "probe_request": gossip.ProbeRequest,
    "join": gossip.Join,
    "members": gossip.Members,
    "digest": gossip.Digest,
    "delta": gossip.Delta,
}

for _kind, _type in TYPES.items():
    messages.KINDS.register(_kind)(_type)
