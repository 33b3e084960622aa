"""Membership of the fleet by gossip, and failure detection.

The protocol is a variant of SWIM. Nodes probe the members of their own zone;
if a probe is not answered, *helpers* probe the member for the node. A member
that still does not answer is *suspected*, and the nodes that it did not
answer are the *witnesses*. It is removed unless it refutes the suspicion in
time. Changes travel as piggybacks of probes and acks; anti-entropy finds the
changes that were missed. Three *relays* of each zone exchange changes with the
other zones. *Entry points* are addresses that a node asks for members. A node
is *confirmed*, and may call itself ready, once enough members have answered.
"""

from clementinekeel.membership.membership import Membership
from clementinekeel.membership.messages import Effects
from clementinekeel.membership.messages import Outgoing
from clementinekeel.membership.records import MemberId
from clementinekeel.membership.records import MemberRecord
from clementinekeel.membership.records import MemberState

__all__ = [
    "Effects",
    "MemberId",
    "MemberRecord",
    "MemberState",
    "Membership",
    "Outgoing",
]
