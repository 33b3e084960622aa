"""Messages of membership and failure detection.

Members are named by ``records.MemberId.key`` where the whole record is not
needed, which keeps notices small enough to travel with probes.
"""

import enum
from typing import Any, NamedTuple

from clementinekeel.membership import records as member_records

MAX_PIGGYBACKED = 8
"""Records and notices that travel with one probe or ack."""
MAX_PAYLOAD_BYTES = 1_040
"""1,200 bytes of a datagram less envelope, MAC and frame headers."""
MAX_RECORD_BYTES = 400
"""Larger records are refused, so that a probe always fits a datagram."""


class Status(enum.IntEnum):
    """What a notice says about a member."""

    SUSPECT = 1
    """It did not answer the witnesses."""
    GONE = 2
    """It was removed after a suspicion that it did not refute."""
    REPLACED = 3
    """Another process answered at its address."""
    LEFT = 4
    """It said so itself."""


class Notice(NamedTuple):
    """Suspicion or removal of a member.

    Attributes
    ----------
    key : int
        The member.
    version : int
        Version of its record that the notice applies to; a higher one
        refutes it.
    witnesses : tuple of int
        Keys of members that it did not answer, at most two.
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
        Newest version that the sender knows of.
    configuration_address : str
        A node that has it in force.
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
        Random; the ack repeats it.
    """

    serial: int
    sender: member_records.MemberRecord
    piggyback: Piggyback


class ProbeAck(NamedTuple):
    """Answer a probe.

    Attributes
    ----------
    subject : MemberRecord
        Node that answered; not the sender if a helper passes the ack on.
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
        Zones that the sender, a relay, cannot reach.
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
        Range of keys, ``low <= key < high``, that ``versions`` covers.
    versions : bytes
        Key and version of each member of the sender in that range.
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
    """What one call of ``Membership`` asks for and has changed."""

    messages: list[Outgoing]
    joined: list[member_records.MemberRecord]
    changed: list[member_records.MemberRecord]
    removed: list[member_records.MemberRecord]


def empty_effects() -> Effects:
    """Return effects to be filled."""
    return Effects([], [], [], [])
