"""Endpoints and nodes as membership sees them, for routing."""

from clementinekeel.membership import membership as membership_module
from clementinekeel.membership import records
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing
from clementinekeel.routing import router as routers
from clementinekeel.runtime import clock

LOST_AFTER_MS = 60_000
"""Time after which a node that was removed is taken as gone. Until then it may
have been paused or cut off, and may still tell what became of its keys."""
MAX_REMOVED = 4_096


class Directory:
    """Feeds the router with the endpoints of the services in use.

    Parameters
    ----------
    membership : Membership
        Members of the fleet; only read here.
    router : Router
        Told of the endpoints of a service when they have changed.
    """

    def __init__(
        self,
        membership: membership_module.Membership,
        router: routers.Router,
    ) -> None:
        self._membership = membership
        self._router = router
        self._fresh: set[str] = set()
        self._removed: dict[tuple[str, int], int] = {}
        self._leaving: dict[routing.Candidate, int] = {}

    def on_change(self) -> None:
        """Read the endpoints again, since membership has changed."""
        self._fresh.clear()

    def on_removed(self, record: records.MemberRecord) -> None:
        """Note when a node was removed."""
        member = (record.node_id, record.incarnation)
        self._removed.pop(member, None)
        self._removed[member] = clock.now_ms()
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def on_leaving(self, candidate: routing.Candidate) -> None:
        """Note that an endpoint has refused a call because it leaves.

        The router does not use it again in this incarnation. When a later
        record says that it takes new work, it is announced to the router
        anew: after a short drain the state in between may never arrive.
        """
        record = self._find(candidate.node_id, candidate.incarnation)
        if record is not None:
            self._leaving[candidate] = record.version

    def refresh(self, service: str) -> None:
        """Make the router know the present endpoints of a service."""
        if service not in self._fresh:
            self._fresh.add(service)
            candidates = self._membership.endpoints(service)
            returned = self._returned(service)
            if returned:
                others = [item for item in candidates if item not in returned]
                self._router.update(service, others, clock.now_ms())
            self._router.update(service, candidates, clock.now_ms())

    def owner(self, key: outcomes.IssuedKey) -> routing.Candidate | None:
        """Return the node that owns a key, None if it is gone."""
        record = self._find(key.node_id, key.incarnation)
        if record is None:
            return None
        # The record may be older than the key and name no endpoint yet.
        return _candidate(record)._replace(
            service=key.service, endpoint=key.endpoint
        )

    def is_lost(self, key: outcomes.IssuedKey) -> bool:
        """Tell whether an owner that is not in the view will not return."""
        removed_ms = self._removed.get((key.node_id, key.incarnation))
        if removed_ms is None:
            return True
        if clock.now_ms() - removed_ms > LOST_AFTER_MS:
            return True
        return any(
            record.node_id == key.node_id
            for record in self._membership.members
        )

    def _find(
        self, node_id: str, incarnation: int
    ) -> records.MemberRecord | None:
        return self._membership.find(records.MemberId(node_id, incarnation))

    def _returned(self, service: str) -> list[routing.Candidate]:
        """Take out the endpoints that have left and take work again."""
        returned = []
        for candidate, version in list(self._leaving.items()):
            record = self._find(candidate.node_id, candidate.incarnation)
            if record is None:
                del self._leaving[candidate]
            elif candidate.service == service and record.version > version:
                del self._leaving[candidate]
                returned.append(candidate)
        return returned

    @property
    def newest_version(self) -> int:
        """Newest version of the configuration heard of."""
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
