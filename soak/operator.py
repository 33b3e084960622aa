"""Operator that writes configurations and probes which one is in force."""

import asyncio
from collections.abc import Callable
import json
import random
from typing import Any

from soak import _http
from soak import checker as checker_module
from soak import clients as clients_module
from soak import store as store_module

PROBE_INTERVAL_S = 0.4
HOST = "soak.example"
CALL_TIMEOUT_S = 4.0
"""Time limit of the routes for calls; most callers wait for less."""
IncarnationSource = Callable[[], int]
"""Returns how often a node's process has been started."""
MAX_PROBED_VERSIONS = 4
"""Most versions, from the newest one, that one probe asks a node for."""


def _table(rows: list[dict[str, Any]]) -> dict[str, Any]:
    names = list(rows[0])
    return {
        "columns": names,
        "rows": [[row[name] for name in names] for row in rows],
    }


class Operator:
    """Writes configurations and probes which one each node has in force.

    Each version has a route that no other version has, and a node answers 404
    to requests for a route that its configuration does not have.
    """

    def __init__(
        self,
        store: store_module.Store,
        request_types: list[clients_module.RequestType],
        services: list[str],
        probed_service: str,
        checker: checker_module.Checker,
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._request_types = request_types
        self._services = services
        self._probed_service = probed_service
        self._checker = checker
        self._random = random_source
        self._loop = asyncio.get_running_loop()
        self._versions: list[int] = []

    async def write_configuration(self) -> None:
        """Write a newer version as soon as the store is available."""
        while self._store.faults.outage:
            await asyncio.sleep(0.1)
        last = self._versions[-1] if self._versions else 0
        version = last + self._random.randint(1, 3)
        self._versions.append(version)
        self._store.put(
            store_module.CONFIGURATION_KEY, self._configuration(version)
        )
        self._checker.on_configuration_written(version, self._loop.time())

    def write_again(self) -> None:
        """Write the newest configuration again, which the store has lost."""
        if self._versions:
            content = self._configuration(self._versions[-1])
            self._store.put(store_module.CONFIGURATION_KEY, content)

    async def probe(
        self,
        name: str,
        address: tuple[str, int],
        incarnation: IncarnationSource,
    ) -> None:
        """Probe periodically which version a node has in force."""
        while True:
            await asyncio.sleep(
                PROBE_INTERVAL_S * self._random.uniform(0.5, 1.5)
            )
            for version in reversed(self._versions[-MAX_PROBED_VERSIONS:]):
                incarnation_before, sent_at = incarnation(), self._loop.time()
                status = await self._request_version(name, address, version)
                if status == 200 and incarnation() == incarnation_before:
                    self._checker.on_probe(
                        name, incarnation_before, version, sent_at
                    )
                if status != 404:
                    break

    async def _request_version(
        self, name: str, address: tuple[str, int], version: int
    ) -> int:
        request_id = f"{self._random.getrandbits(64):016x}"
        sent = checker_module.SentRequest(
            self._loop.time(), name, self._probed_service, True, 1.0
        )
        self._checker.on_sent(request_id, sent)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": "1000",
        }
        try:
            async with asyncio.timeout(2):
                connection = await _http.ClientConnection.open(*address)
                try:
                    answer = await connection.request(
                        "GET", f"/p{version}/", headers, b""
                    )
                finally:
                    connection.close()
        except (_http.NoAnswerError, TimeoutError):
            return 0
        seal = answer.headers.get("response-seal", "")
        now = self._loop.time()
        self._checker.on_answer(
            request_id, now, answer.status, seal, answer.body
        )
        return answer.status

    def _configuration(self, version: int) -> bytes:
        routes = [
            self._route(
                request_type.name,
                request_type.path,
                request_type.service,
                request_type.is_idempotent,
                request_type.timeout_s,
            )
            for request_type in self._request_types
        ]
        routes += [
            self._route(f"to-{name}", f"/to-{name}/", name, True)
            for name in self._services
        ]
        probed = self._probed_service
        routes.append(self._route("probe", f"/p{version}/", probed, True))
        content = {
            "version": f"{version:08x}",
            "routes": _table(routes),
            "services": _table(
                [
                    {"name": name, "health_path": "/health"}
                    for name in self._services
                ]
            ),
            "limits": {
                "header_bytes": 16_384,
                "body_bytes": 67_108_864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
        }
        return json.dumps(content).encode()

    def _route(
        self,
        name: str,
        path: str,
        service: str,
        is_idempotent: bool,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": path,
            "route_type": "idempotent" if is_idempotent else "non_idempotent",
            "timeout_s": timeout_s,
            "slo_s": 1.0,
            "priority": 2 if is_idempotent else 0,
            "service": service,
            "max_attempts": 2,
        }
