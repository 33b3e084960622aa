"""Messages of membership and failure detection.

Where the whole record is not needed, a message names a member by its
``records.MemberId.key``, so that notices are small enough to travel with
probes.
"""

import enum
from typing import Any, NamedTuple

from clementinekeel.membership import records as member_records

MAX_PIGGYBACKED = 8
"""Records and notices that travel with one probe or ack."""
MAX_PAYLOAD_BYTES = 1_040
"""Datagrams of 1,200 bytes without envelope, MAC and frame headers."""
MAX_RECORD_BYTES = 400
"""Larger records are rejected, so that a probe always fits a datagram."""


class Status(enum.IntEnum):
    """What a notice says about a member."""

    SUSPECT = 1
    """The member did not answer the witnesses."""
    GONE = 2
    """The member was removed after a suspicion that it did not refute."""
    REPLACED = 3
    """Another process answered at the member's address."""
    LEFT = 4
    """The member announced its exit."""


class Notice(NamedTuple):
    """Suspicion or removal of a member.

    Attributes
    ----------
    key : int
        Key of the member.
    version : int
        Version of the member's record that the notice applies to; a record
        with a higher version refutes the notice.
    witnesses : tuple of int
        Keys of the nodes that the member did not answer, at most two.
    """

    key: int
    version: int
    status: Status
    witnesses: tuple[int, ...]


class Piggyback(NamedTuple):
    """Recent changes that travel with another message.

    Attributes
    ----------
    configuration_version : int
        Newest configuration version that the sender knows of.
    configuration_address : str
        Address of a node that has it in force.
    """

    records: tuple[member_records.MemberRecord, ...]
    notices: tuple[Notice, ...]
    configuration_version: int
    configuration_address: str


class Probe(NamedTuple):
    """Ask a node whether it is alive.

    Attributes
    ----------
    serial : int
        Random number that the ack repeats.
    """

    serial: int
    sender: member_records.MemberRecord
    piggyback: Piggyback


class ProbeAck(NamedTuple):
    """Answer a probe.

    Attributes
    ----------
    subject : MemberRecord
        Node that answered; not the sender if a helper forwards the ack.
    """

    serial: int
    subject: member_records.MemberRecord
    piggyback: Piggyback


class ProbeRequest(NamedTuple):
    """Ask a helper to probe a member that did not answer the sender."""

    serial: int
    sender: member_records.MemberRecord
    target: int
    address: str
    piggyback: Piggyback


class Join(NamedTuple):
    """Ask an entry point for members."""

    sender: member_records.MemberRecord


class Members(NamedTuple):
    """Part of the answer to a join."""

    sender: member_records.MemberRecord
    records: tuple[member_records.MemberRecord, ...]


class Digest(NamedTuple):
    """Hashes of the sender's view.

    Attributes
    ----------
    zones : tuple of (str, int)
        Hash of each zone's members, in the first step of an exchange.
    unreachable : tuple of str
        Zones that the sender cannot reach, if it is a relay.
    zone, buckets : str, bytes
        Hashes of one zone's buckets, in the second step.
    """

    sender: member_records.MemberRecord
    zones: tuple[tuple[str, int], ...]
    unreachable: tuple[str, ...]
    zone: str
    buckets: bytes


class Delta(NamedTuple):
    """Differences between two views.

    Attributes
    ----------
    zone, low, high : str, int, int
        Zone and range of keys, ``low <= key < high``, of ``versions``.
    versions : bytes
        Key and version of each member in that range in the sender's view.
    records : tuple of MemberRecord
        Records that the receiver lacks.
    notices : tuple of Notice
        Removals that the receiver lacks.
    wanted : tuple of int
        Keys whose records the sender lacks.
    """

    zone: str
    low: int
    high: int
    versions: bytes
    records: tuple[member_records.MemberRecord, ...]
    notices: tuple[Notice, ...]
    wanted: tuple[int, ...]


class Outgoing(NamedTuple):
    """A message to send."""

    address: str
    payload: Any


class Effects(NamedTuple):
    """Messages to send and changes of the view after a call."""

    messages: list[Outgoing]
    joined: list[member_records.MemberRecord]
    changed: list[member_records.MemberRecord]
    removed: list[member_records.MemberRecord]


def empty_effects() -> Effects:
    """Return effects that are still empty."""
    return Effects([], [], [], [])
