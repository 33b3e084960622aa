"""Endpoints and nodes as membership sees them, for routing."""

from typing import Protocol

from clementinekeel.outcomes import messages as outcomes
from clementinekeel.routing import messages as routing


class Directory(Protocol):
    """What routing needs to know of the fleet."""

    def candidates(self, service: str) -> list[routing.Candidate]:
        """Return the endpoints of a service that take new work."""

    def owner(self, key: outcomes.IssuedKey) -> routing.Candidate | None:
        """Return the node that owns a key, None if it is gone."""
