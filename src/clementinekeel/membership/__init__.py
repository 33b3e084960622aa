"""Members of the fleet and failure detection."""

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
