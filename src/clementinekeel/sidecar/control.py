"""HTTP servers for readiness checks, heartbeats and metrics."""

from collections.abc import Callable

from clementinekeel.callers import http1
from clementinekeel.membership import heartbeats
from clementinekeel.routing import table
from clementinekeel.runtime import decision_log
from clementinekeel.sidecar import adapter as adapter_module


class ControlServer:
    """Handles readiness checks of the platform and heartbeats.

    Parameters
    ----------
    may_serve : callable
        Tells whether the backend server may be of a service.
    """

    is_stopping = False
    limits = table.CallerLimits(body_bytes=64 * 1024)

    def __init__(
        self,
        adapter: adapter_module.PlatformAdapter,
        on_heartbeat: Callable[[heartbeats.Heartbeat], None],
        on_leave: Callable[[str], None],
        is_ready: Callable[[], bool],
        decisions: decision_log.DecisionLog,
        backend_address: str,
        may_serve: Callable[[str], bool],
    ) -> None:
        self._may_serve = may_serve
        self._adapter = adapter
        self._on_heartbeat = on_heartbeat
        self._on_leave = on_leave
        self._is_ready = is_ready
        self._decisions = decisions
        self._backend_address = backend_address

    def has_memory_for(self, size: int) -> bool:
        """Return true: heartbeats are small and always accepted."""
        return True

    def handle(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Answer a readiness check, a heartbeat or a departure."""
        dialect = self._adapter.dialect
        path = request.target.partition(b"?")[0]
        if request.method == b"GET" and path == dialect.ready_path:
            if self._is_ready():
                self._respond(connection, 200, "ready")
            else:
                self._respond(connection, 503, "not_ready")
        elif path.startswith(dialect.endpoint_path):
            endpoint = path[len(dialect.endpoint_path) :].decode("latin-1")
            if request.method == b"PUT":
                self._handle_heartbeat(connection, endpoint, request.body)
            elif request.method == b"DELETE":
                self._on_leave(endpoint)
                self._respond(connection, 200, "left")
            else:
                self._respond(connection, 400, "method")
        else:
            self._respond(connection, 404, "path")

    def _handle_heartbeat(
        self, connection: http1.ServerConnection, endpoint: str, body: bytes
    ) -> None:
        decoded = self._adapter.decode_heartbeat(endpoint, body)
        heartbeat: heartbeats.Heartbeat | None = decoded.value_or(None)
        reason = ""
        if heartbeat is None:
            reason = str(decoded.failure())
        elif heartbeat.address != self._backend_address:
            reason = "address"
        elif not self._may_serve(heartbeat.service):
            reason = "service"
        if heartbeat is None or reason:
            self._decisions.write(
                "heartbeat_rejected", False, endpoint=endpoint, reason=reason
            )
            self._respond(connection, 400, "heartbeat")
            return
        self._on_heartbeat(heartbeat)
        self._respond(connection, 200, "ok")

    def _respond(
        self, connection: http1.ServerConnection, status: int, reason: str
    ) -> None:
        if status == 200:
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            connection.respond(head, b"{}")
        else:
            connection.respond(*http1.error_answer(status, reason))


class MetricsServer:
    """Serves the metrics."""

    is_stopping = False
    limits = table.CallerLimits(body_bytes=1024)

    def __init__(self, path: bytes, render: Callable[[], bytes]) -> None:
        self._path = path
        self._render = render

    def has_memory_for(self, size: int) -> bool:
        """Return true: requests for the metrics have no body."""
        return True

    def handle(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Answer a request for the metrics."""
        if request.target.partition(b"?")[0] != self._path:
            connection.respond(*http1.error_answer(404, "path"))
            return
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
        )
        connection.respond(head, self._render())
