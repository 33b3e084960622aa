"""The operator's configurations, and what each node shows of them."""

import asyncio
from collections.abc import Callable
import json
import random
from typing import Any

from soak import _http
from soak import clients as clients_module
from soak import judge as judge_module
from soak import store as store_module

PROBE_S = 0.4
HOST = "soak.example"
Incarnation = Callable[[], int]
"""Returns how often a node's process has been started."""
PROBED_VERSIONS = 4


def _columns(rows: list[dict[str, Any]]) -> dict[str, Any]:
    names = list(rows[0])
    return {
        "columns": names,
        "rows": [[row[name] for name in names] for row in rows],
    }


class Operator:
    """Writes configurations and asks the nodes for the one in force.

    Each version has one route that no other version has, so that a node shows
    its version by the routes that it knows.
    """

    def __init__(
        self,
        store: store_module.Store,
        kinds: list[clients_module.Kind],
        services: list[str],
        probed_service: str,
        judge: judge_module.Judge,
        draw: random.Random,
    ) -> None:
        self._store = store
        self._kinds = kinds
        self._services = services
        self._probed_service = probed_service
        self._judge = judge
        self._draw = draw
        self._loop = asyncio.get_running_loop()
        self._sent: list[int] = []

    async def change(self) -> None:
        """Write a newer version once the store takes it."""
        while self._store.faults.down:
            await asyncio.sleep(0.1)
        last = self._sent[-1] if self._sent else 0
        version = last + self._draw.randint(1, 3)
        self._sent.append(version)
        self._store.put(store_module.CONFIGURATION_KEY, self._body(version))
        self._judge.on_version(version, self._loop.time())

    async def probe(
        self, name: str, address: tuple[str, int], incarnation: Incarnation
    ) -> None:
        """Ask a node again and again which version it has in force."""
        while True:
            await asyncio.sleep(PROBE_S * self._draw.uniform(0.5, 1.5))
            for version in reversed(self._sent[-PROBED_VERSIONS:]):
                before, sent_at = incarnation(), self._loop.time()
                status = await self._ask(name, address, version)
                if status == 200 and incarnation() == before:
                    self._judge.on_probe(name, before, version, sent_at)
                if status != 404:
                    break

    async def _ask(
        self, name: str, address: tuple[str, int], version: int
    ) -> int:
        request_id = f"{self._draw.getrandbits(64):016x}"
        sent = judge_module.Sent(
            self._loop.time(), name, self._probed_service, True, 1.0
        )
        self._judge.on_sent(request_id, sent)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": "1000",
        }
        try:
            async with asyncio.timeout(2):
                client = await _http.Client.open(*address)
                try:
                    answer = await client.ask(
                        "GET", f"/p{version}/", headers, b""
                    )
                finally:
                    client.close()
        except (_http.NoAnswerError, TimeoutError):
            return 0
        seal = answer.headers.get("response-seal", "")
        now = self._loop.time()
        self._judge.on_answer(
            request_id, now, answer.status, seal, answer.body
        )
        return answer.status

    def _body(self, version: int) -> bytes:
        routes = [
            self._route(kind.name, kind.path, kind.service, kind.is_idempotent)
            for kind in self._kinds
        ]
        routes += [
            self._route(f"to-{name}", f"/to-{name}/", name, True)
            for name in self._services
        ]
        probed = self._probed_service
        routes.append(self._route("probe", f"/p{version}/", probed, True))
        content = {
            "version": f"{version:08x}",
            "routes": _columns(routes),
            "services": _columns(
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
        self, name: str, path: str, service: str, is_idempotent: bool
    ) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": path,
            "route_type": "idempotent" if is_idempotent else "non_idempotent",
            "timeout_s": 2.0,
            "slo_s": 1.0,
            "priority": 2 if is_idempotent else 0,
            "service": service,
            "max_attempts": 2,
        }
