"""Report that drain and undrain share."""

from clementinekeel.operators import status as node_status


def report(status: node_status.Status) -> list[str]:
    """Return the state of an endpoint after a change of its drain."""
    return [
        f"{status['endpoint']} at {status['node']} is {status['state']}:"
        f" {status['running']} running, {status['queued']} queued"
    ]
