"""Endpoints of services and owners of keys, read from the membership."""

from clementinekeel.membership import membership as membership_module
from clementinekeel.membership import records
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing
from clementinekeel.routing import router as routers
from clementinekeel.runtime import clock

LOST_AFTER_MS = 60_000
"""Time after which a removed node counts as lost. Until then it may only be
paused or cut off, and may still report the outcomes of its keys."""
MAX_REMOVED_MEMBERS = 4_096


class Directory:
    """Finds owners of keys, and keeps the router's endpoints up to date.

    Parameters
    ----------
    membership : Membership
        Members of the cluster; only read here.
    router : Router
        Updated with the endpoints of a service when they may have changed.
    """

    def __init__(
        self,
        membership: membership_module.Membership,
        router: routers.Router,
    ) -> None:
        self._membership = membership
        self._router = router
        self._refreshed: set[str] = set()
        self._removed_at_ms: dict[tuple[str, int], int] = {}
        self._leaving_versions: dict[routing.Candidate, int] = {}

    def on_change(self) -> None:
        """Have each service refreshed again after a membership change."""
        self._refreshed.clear()

    def on_removed(self, record: records.MemberRecord) -> None:
        """Record when a node was removed."""
        member = (record.node_id, record.incarnation)
        self._removed_at_ms.pop(member, None)
        self._removed_at_ms[member] = clock.now_ms()
        if len(self._removed_at_ms) > MAX_REMOVED_MEMBERS:
            del self._removed_at_ms[next(iter(self._removed_at_ms))]

    def on_leaving(self, candidate: routing.Candidate) -> None:
        """Record that an endpoint has refused a call because it leaves.

        The router does not choose it again until it is listed anew. After a
        short drain, the membership may never show the endpoint as leaving, so
        ``refresh`` lists it anew when a later record of the node has arrived.
        """
        record = self._find(candidate.node_id, candidate.incarnation)
        if record is not None:
            self._leaving_versions[candidate] = record.version

    def refresh(self, service: str) -> None:
        """Update the router with the current endpoints of a service."""
        if service not in self._refreshed:
            self._refreshed.add(service)
            candidates = self._membership.endpoints(service)
            to_relist = self._pop_to_relist(service)
            if to_relist:
                others = [item for item in candidates if item not in to_relist]
                self._router.update(service, others, clock.now_ms())
            self._router.update(service, candidates, clock.now_ms())

    def owner(self, key: outcomes.IssuedKey) -> routing.Candidate | None:
        """Return the owner of a key, None if it is no member."""
        record = self._find(key.node_id, key.incarnation)
        if record is None:
            return None
        # The record may be older than the key and name no endpoint yet.
        return _candidate(record)._replace(
            service=key.service, endpoint=key.endpoint
        )

    def is_lost(self, key: outcomes.IssuedKey) -> bool:
        """Tell whether an owner that is no member counts as lost.

        It does if its removal is not known or long ago, or if a later
        incarnation of the node is a member.
        """
        removed_at_ms = self._removed_at_ms.get((key.node_id, key.incarnation))
        if removed_at_ms is None:
            return True
        if clock.now_ms() - removed_at_ms > LOST_AFTER_MS:
            return True
        return any(
            record.node_id == key.node_id
            for record in self._membership.members
        )

    def _find(
        self, node_id: str, incarnation: int
    ) -> records.MemberRecord | None:
        return self._membership.find(records.MemberId(node_id, incarnation))

    def _pop_to_relist(self, service: str) -> list[routing.Candidate]:
        """Remove and return leaving endpoints that have a later record."""
        to_relist = []
        for candidate, version in list(self._leaving_versions.items()):
            record = self._find(candidate.node_id, candidate.incarnation)
            if record is None:
                del self._leaving_versions[candidate]
            elif candidate.service == service and record.version > version:
                del self._leaving_versions[candidate]
                to_relist.append(candidate)
        return to_relist

    @property
    def newest_version(self) -> int:
        """Newest configuration version that a member has announced."""
        return self._membership.newest_configuration()[0]

    def newest_source(self) -> routing.Candidate | None:
        """Return a node that has the newest configuration."""
        _, address = self._membership.newest_configuration()
        for record in self._membership.members:
            if record.address == address:
                return _candidate(record)
        return None


def _candidate(record: records.MemberRecord) -> routing.Candidate:
    return routing.Candidate(
        record.endpoint,
        record.service,
        record.zone,
        record.region,
        record.node_id,
        record.incarnation,
        record.address,
    )
