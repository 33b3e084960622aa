"""``clementinekeel undrain``: let a drained endpoint accept new work again."""

from clementinekeel.operators import node_client
from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _drains
from clementinekeel.store import changes


class UndrainCommand(_drains.DrainingCommand):
    """Let a drained endpoint accept new work again."""

    name = "undrain"
    description = "Let a drained endpoint accept new work again."
    action = changes.DrainAction.UNDRAIN
    examples = (
        "undrain bookings-1 --reason 'VM is back'"
        " --node 192.0.2.21:7003 --settings node.ini",
    )

    async def send(
        self, node: node_client.NodeClient, endpoint: str
    ) -> node_status.Status:
        """Send the end of the drain to the node beside the endpoint."""
        return await node.undrain(endpoint)
