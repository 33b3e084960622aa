"""Settings of a forwarding node, independent of the platform's format."""

from typing import NamedTuple

from clementinekeel.retries import service_budgets

MIB = 1024 * 1024


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class SidecarSettings(NamedTuple):
    """Settings that a node reads at its start and at each reload.

    Attributes
    ----------
    service : str
        Service of the backend server on this VM.
    backend : Address
        Where that backend server listens for requests.
    outbound : Address
        Where callers on this VM and the backend server send requests.
    readiness : Address
        Where the platform checks whether the node accepts requests.
    heartbeats : Address
        Where the backend server sends its heartbeats.
    peers : Address
        Where other nodes connect.
    metrics : Address
        Where the metrics are served.
    store : Address
        The platform's metadata store.
    lease_min_ms : int
        Shortest lease that the store grants.
    memory_mb : int
        Memory above which the platform kills the process.
    max_descriptors : int
        File descriptors that the process may have open.
    stop_timeout_ms : int
        Time between the signal to stop and the kill.
    retry_ratio : float
        Retries that arrive at a service, as a share of its requests, over all
        nodes.
    extra_retries : int
        Retries beyond that share in a window, over all nodes.
    retry_window_ms : int
        Length of the window for the share and the extra retries.
    """

    node: str
    zone: str
    region: str
    service: str
    backend: Address
    outbound: Address
    readiness: Address
    heartbeats: Address
    peers: Address
    metrics: Address
    store: Address
    lease_min_ms: int
    memory_mb: int
    max_descriptors: int
    stop_timeout_ms: int
    retry_ratio: float
    extra_retries: int
    retry_window_ms: int

    @property
    def retry_limits(self) -> service_budgets.RetryLimits:
        """Limits on the retries of a service."""
        return service_budgets.RetryLimits(
            self.retry_ratio, self.extra_retries, self.retry_window_ms / 1000
        )
