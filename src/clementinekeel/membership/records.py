"""Records that nodes publish about themselves."""

import enum
import hashlib
from typing import NamedTuple

KEY_BITS = 60
"""In CPython, an integer of 60 bits takes 32 bytes and one of 64 bits 48."""
_KEY_BYTES = 8


class MemberState(enum.StrEnum):
    """State of a member; only a ready one takes new work."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


class MemberId(NamedTuple):
    """Identity of one run of a node's process.

    Attributes
    ----------
    incarnation : int
        64 random bits drawn at process start; not ordered.
    """

    node_id: str
    incarnation: int

    @property
    def key(self) -> int:
        """Hash of the identity, equal at all nodes."""
        digest = hashlib.blake2b(
            b"%d/%s" % (self.incarnation, self.node_id.encode()),
            digest_size=_KEY_BYTES,
        ).digest()
        return int.from_bytes(digest, "big") >> (8 * _KEY_BYTES - KEY_BITS)


class MemberRecord(NamedTuple):
    """What a node publishes about itself.

    Attributes
    ----------
    version : int
        Increases with each change; only the node itself increases it.
    address : str
        ``ip:port`` of the node, for zmq over TCP and for gossip over UDP.
    service, endpoint : str
        Names that the backend server announced; empty before.
    configuration_version : int
        Version of the configuration in force at the node.
    """

    node_id: str
    incarnation: int
    version: int
    zone: str
    region: str
    address: str
    state: MemberState
    service: str
    endpoint: str
    configuration_version: int

    @property
    def member_id(self) -> MemberId:
        """Identity of the process that published the record."""
        return MemberId(self.node_id, self.incarnation)

    @property
    def key(self) -> int:
        """Hash of the identity, the same at all nodes."""
        return self.member_id.key
