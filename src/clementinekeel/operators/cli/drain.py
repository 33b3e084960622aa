"""``clementinekeel drain``: stop new work for an endpoint."""

from clementinekeel.operators import node_client
from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _drains
from clementinekeel.store import changes


class DrainCommand(_drains.DrainingCommand):
    """Stop new work for an endpoint; work in flight is finished."""

    name = "drain"
    description = "Stop new work for an endpoint; work in flight is finished."
    action = changes.DrainAction.DRAIN
    examples = (
        "drain bookings-1 --reason 'VM is replaced'"
        " --node 192.0.2.21:7003 --settings node.ini",
    )

    async def send(
        self, node: node_client.NodeClient, endpoint: str
    ) -> node_status.Status:
        """Send the drain to the node beside the endpoint."""
        return await node.drain(endpoint)
