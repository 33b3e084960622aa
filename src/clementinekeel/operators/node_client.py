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
    """The node gives no usable answer."""


class RefusalError(errors.StepError):
    """The node answered that it does not do what was asked."""


class NodeClient:
    """Calls to one node.

    Parameters
    ----------
    address : str
        ``ip:port`` of the node's operators port.
    client : httpx.AsyncClient
        Client with that address as its base.
    """

    def __init__(self, address: str, client: httpx.AsyncClient) -> None:
        self._address = address
        self._client = client

    async def status(self) -> node_status.Status:
        """Return the state of the node."""
        return cast(node_status.Status, await self._call("GET", "/v1/status"))

    async def fleet(self, **filters: str) -> node_status.Fleet:
        """Return the endpoints that the node knows."""
        fleet = await self._call("GET", "/v1/fleet", filters)
        return cast(node_status.Fleet, fleet)

    async def request_report(
        self, request_id: str
    ) -> node_status.RequestReport:
        """Return what the node did with a request."""
        path = "/v1/requests/" + urllib.parse.quote(request_id, safe="")
        report = await self._call("GET", path)
        return cast(node_status.RequestReport, report)

    async def drain(self, endpoint: str) -> node_status.Status:
        """Stop new work of the endpoint beside the node."""
        return await self._change("PUT", endpoint)

    async def undrain(self, endpoint: str) -> node_status.Status:
        """Let the endpoint beside the node take new work again."""
        return await self._change("DELETE", endpoint)

    async def _change(self, method: str, endpoint: str) -> node_status.Status:
        status = await self._call(method, "/v1/drain", {"endpoint": endpoint})
        return cast(node_status.Status, status)

    async def _call(
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
    # Proxies of the environment are for other traffic.
    async with httpx.AsyncClient(
        base_url=f"http://{address}", timeout=TIMEOUT_S, trust_env=False
    ) as client:
        yield NodeClient(address, client)
