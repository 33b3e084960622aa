"""Responses of the admin API, in JSON or as problem details."""

import httpx
import pytest

from clementinekeel.operators import metrics
from clementinekeel.operators import status as node_status
from tests.operators import fakes

Sample = node_status.Sample

pytestmark = pytest.mark.anyio


@pytest.fixture
def node():
    return fakes.FakeNode()


@pytest.fixture
async def client(node):
    transport = httpx.ASGITransport(fakes.make_admin(node))
    async with httpx.AsyncClient(
        base_url="http://node", transport=transport
    ) as client:
        yield client


async def test_status_is_complete(client):
    response = await client.get("/v1/status")
    assert response.json() == fakes.make_status()
    assert response.headers["content-type"] == "application/json"
    assert response.headers["cache-control"] == "no-store"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        pytest.param("GET", "/", 404, id="unknown path"),
        pytest.param("GET", "/v1/requests", 404, id="no request"),
        pytest.param("GET", "/v1/requests/", 400, id="empty request id"),
        pytest.param(
            "GET", "/v1/requests/" + "x" * 1025, 400, id="long request id"
        ),
        pytest.param("GET", "/v1/requests/r9", 404, id="unknown request"),
        pytest.param("POST", "/v1/status", 405, id="wrong method"),
        pytest.param("GET", "/v1/fleet?node=n1", 400, id="unknown filter"),
        pytest.param("PUT", "/v1/drain?endpoint=x", 409, id="other endpoint"),
    ],
)
async def test_refusals_are_problem_details(
    client, node, method, path, status
):
    response = await client.request(method, path)
    assert response.status_code == status
    assert response.headers["content-type"] == "application/problem+json"
    problem = response.json()
    assert problem["status"] == status
    assert problem["title"] and problem["detail"]
    assert ("allow" in response.headers) == (status == 405)
    assert node.state["state"] == "ready"


async def test_failed_drain_is_a_problem(client, node):
    node.drain_failure = "the node stops"
    response = await client.delete("/v1/drain")
    assert response.status_code == 409
    assert response.json()["detail"] == "the node stops"


async def test_lifespan_is_answered(node):
    """An ASGI server waits for these answers before it accepts requests."""
    received = iter(
        [{"type": f"lifespan.{s}"} for s in ("startup", "shutdown")]
    )
    sent = []

    async def receive():
        return next(received)

    async def send(message):
        sent.append(message["type"])

    await fakes.make_admin(node)({"type": "lifespan"}, receive, send)
    assert sent == ["lifespan.startup.complete", "lifespan.shutdown.complete"]


async def test_metrics_show_the_current_state(client, node):
    """The metric of a zone without members must not keep its last value."""
    await client.get("/metrics")
    node.members = {"z2": 3}
    response = await client.get("/metrics")
    assert response.headers["content-type"].startswith("text/plain")
    lines = response.text.splitlines()
    assert "clementinekeel_limit 18" in lines
    assert 'clementinekeel_members{state="ready",zone="z1"} 0' in lines
    assert 'clementinekeel_members{state="ready",zone="z2"} 3' in lines


@pytest.mark.parametrize(
    "sample",
    [
        pytest.param(Sample("requests", 1), id="unknown metric"),
        pytest.param(Sample("requests_total", 1), id="label missing"),
        pytest.param(Sample("limit", 1, {"zone": "x"}), id="other label"),
    ],
)
def test_undeclared_metrics_are_rejected(sample):
    """Such a metric would be missing from the reference page."""
    with pytest.raises(LookupError):
        metrics.NodeMetrics().update([sample])
