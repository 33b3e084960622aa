"""Endpoints and nodes as membership sees them, for routing."""

from clementinekeel.membership import membership as membership_module
from clementinekeel.membership import records
from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing
from clementinekeel.routing import router as routers
from clementinekeel.runtime import clock


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

    def on_change(self) -> None:
        """Read the endpoints again, since membership has changed."""
        self._fresh.clear()

    def refresh(self, service: str) -> None:
        """Make the router know the present endpoints of a service."""
        if service not in self._fresh:
            self._fresh.add(service)
            candidates = self._membership.endpoints(service)
            self._router.update(service, candidates, clock.now_ms())

    def owner(self, key: outcomes.IssuedKey) -> routing.Candidate | None:
        """Return the node that owns a key, None if it is gone."""
        member_id = records.MemberId(key.node_id, key.incarnation)
        record = self._membership.find(member_id)
        return None if record is None else _candidate(record)

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
