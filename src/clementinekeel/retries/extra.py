"""Part of a node in the retries that all nodes have in common.

The operators allow some retries in a window beyond a share of the requests,
over all nodes. Nodes divide them without coordination: by the most nodes that
they have known, since a node that is cut off still shares them with the
others, and over time, since a restarted process does not know how many the
process before it has used.
"""


class ExtraRetries:
    """Extra retries of one node in a window.

    Parameters
    ----------
    total : float
        Extra retries in a window that the nodes divide among themselves.
    window_s : float
        Length of the operators' window.
    started_at : float
        When the process started, in seconds of the runtime's clock.
    """

    def __init__(
        self, total: float, window_s: float, started_at: float
    ) -> None:
        self._total = total
        self._window_s = window_s
        self._started_at = started_at
        self._most_nodes = 0

    def part(self, now: float, known_nodes: int) -> float:
        """Return the extra retries of this node in the window that ends now.

        Parameters
        ----------
        known_nodes : int
            Number of nodes known now, this one included; 0 if the list of
            nodes was never read.
        """
        self._most_nodes = max(self._most_nodes, known_nodes)
        if not self._most_nodes:
            return 0.0
        accrued = min(1.0, (now - self._started_at) / self._window_s)
        return self._total * accrued / self._most_nodes
