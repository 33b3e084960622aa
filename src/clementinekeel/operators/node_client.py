"""Client of a node's admin API."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any, cast
import urllib.parse

import httpx
import msgspec

from clementinekeel.operators import status as node_status
from clementinekeel.runtime import errors

TIMEOUT_S = 10.0


class UnreachableError(errors.StepError):
    """The node cannot be reached or gives no usable answer."""


class RefusalError(errors.StepError):
    """The node refused the request."""


class NodeClient:
    """Calls to one node.

    Parameters
    ----------
    address : str
        ``ip:port`` of the node's operators port.
    client : httpx.AsyncClient
        HTTP client with that address as its base URL.
    """

    def __init__(self, address: str, client: httpx.AsyncClient) -> None:
        self._address = address
        self._client = client

    async def status(self) -> node_status.Status:
        """Return the state of the node."""
        return cast(
            node_status.Status, await self._request("GET", "/v1/status")
        )

    async def fleet(self, **filters: str) -> node_status.Fleet:
        """Return the endpoints that the node knows."""
        fleet = await self._request("GET", "/v1/fleet", filters)
        return cast(node_status.Fleet, fleet)

    async def request_report(
        self, request_id: str
    ) -> node_status.RequestReport:
        """Return the decisions of the node about a request."""
        path = "/v1/requests/" + urllib.parse.quote(request_id, safe="")
        report = await self._request("GET", path)
        return cast(node_status.RequestReport, report)

    async def drain(self, endpoint: str) -> node_status.Status:
        """Stop new work for the endpoint beside the node."""
        return await self._change_drain("PUT", endpoint)

    async def undrain(self, endpoint: str) -> node_status.Status:
        """Let the endpoint beside the node accept new work again."""
        return await self._change_drain("DELETE", endpoint)

    async def _change_drain(
        self, method: str, endpoint: str
    ) -> node_status.Status:
        status = await self._request(
            method, "/v1/drain", {"endpoint": endpoint}
        )
        return cast(node_status.Status, status)

    async def _request(
        self, method: str, path: str, query: dict[str, str] | None = None
    ) -> Any:
        step = f"{method} {path}"
        try:
            response = await self._client.request(method, path, params=query)
            value = msgspec.json.decode(response.content)
        except httpx.HTTPError as error:
            reason = str(error) or type(error).__name__
            raise UnreachableError(step, self._address, reason) from error
        except msgspec.DecodeError as error:
            reason = f"no JSON in the answer ({response.status_code})"
            raise UnreachableError(step, self._address, reason) from error
        if response.is_success:
            return value
        detail = value.get("detail") if isinstance(value, dict) else None
        reason = str(detail or response.reason_phrase)
        raise RefusalError(step, self._address, reason)


@contextlib.asynccontextmanager
async def connect(address: str) -> AsyncIterator[NodeClient]:
    """Open a client of the node at ``ip:port``."""
    # Proxies set in the environment must not carry traffic to nodes.
    async with httpx.AsyncClient(
        base_url=f"http://{address}", timeout=TIMEOUT_S, trust_env=False
    ) as client:
        yield NodeClient(address, client)
