"""A whole node: its listeners, heartbeats, readiness and planned stop."""

import asyncio
import json
import os
import signal

import pytest
from returns import result

from clementinekeel.backends import http1
from clementinekeel.membership import heartbeats
from clementinekeel.runtime import errors
from clementinekeel.sidecar import node
from clementinekeel.sidecar import wiring
from tests import memory_loop
from tests.sidecar import test_configuration
from tests.sidecar import test_registration
from tests.sidecar import world


def decode_heartbeat(endpoint, body):
    try:
        fields = json.loads(body)
    except ValueError:
        return result.Failure(errors.StepError("decode", endpoint, "faulty"))
    fields["state"] = heartbeats.EndpointState(fields["state"])
    return result.Success(world.beat("n1")._replace(**fields))


async def call(address, text, timeout_s=5.0):
    """Send one request on a new connection; return what came back."""
    loop = asyncio.get_running_loop()
    answered = loop.create_future()
    _, connection = await loop.create_connection(
        lambda: http1.HttpConnection(b""), *address
    )
    connection.send(text, b"", b"", False, answered.set_result)
    async with asyncio.timeout(timeout_s):
        return await answered


class Stand:
    """A running node with its backend server and store."""

    def __init__(self):
        self.settings = world.SETTINGS._replace(
            backend=world.settings.Address("n1", 1),
            peers=world.settings.Address("n1", 5),
        )
        self.store = test_registration.MemoryStore()
        self.store.put("conf", b"1")
        self.reloaded = self.settings
        self.server = world.BackendServer("n1")
        self.is_healthy = True
        self.instance = b"e-n1"
        self.probes = 0
        self.server.on_request = self.on_request
        self.behave = lambda c, h, i: c.answer(i)
        self.node = node.Node(self.settings, self.wiring())
        self.task = None

    def on_request(self, connection, head, headers, body):
        if head.startswith(b"GET /health"):
            self.probes += 1
            status = 200 if self.is_healthy else 503
            named = b"instance: %s\r\n" % self.instance
            connection.answer(b"", status, extra=named)
            return
        self.server.requests.append((head, headers, body))
        self.behave(connection, headers, headers[b"id"])

    def wiring(self):
        return wiring.Wiring(
            world.DIALECT,
            "conf",
            test_configuration.decode,
            decode_heartbeat,
            lambda connections: self.store,
            lambda: result.Success(self.reloaded),
        )

    async def start(self):
        self.task = asyncio.ensure_future(self.node.run())
        await world.settle(0.2)

    async def beat(self, sequence=1, state="ready"):
        body = json.dumps({"sequence": sequence, "state": state}).encode()
        head = b"PUT /endpoints/e-n1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        return await call(self.settings.announcements, head % len(body) + body)

    async def is_ready(self):
        answer = await call(
            self.settings.health, b"GET /ready HTTP/1.1\r\n\r\n"
        )
        return answer.status == 200

    async def request(self, number, path=b"/a/x"):
        return await call(
            self.settings.outbound,
            b"GET %s HTTP/1.1\r\nHost: h\r\nId: r%d\r\n\r\n" % (path, number),
        )


@pytest.fixture
def run_stand(tmp_path, monkeypatch):
    """Run a scenario with a node whose log goes to a file."""

    def run(scenario):
        async def main():
            stand = Stand()
            await stand.start()
            await scenario(stand)
            if not stand.task.done():
                os.kill(os.getpid(), signal.SIGTERM)
                await stand.task

        with open(tmp_path / "log", "wb") as sink:
            monkeypatch.setattr("sys.stdout", sink)
            memory_loop.run(main)
        return (tmp_path / "log").read_bytes()

    return run


def test_node_serves_its_backend_server(run_stand):
    async def scenario(stand):
        assert await stand.is_ready()
        assert (await stand.beat()).status == 200
        await world.settle(0.1)
        assert (await stand.request(1)).body == b"fine"

    lines = run_stand(scenario)
    assert b'"event":"node_started"' in lines
    assert b'"event":"node_stopped"' in lines
    assert b'"request_id":"r1"' in lines


def test_node_without_configuration_is_not_ready(run_stand):
    async def scenario(stand):
        stand.node._origin._table = None
        assert not await stand.is_ready()
        assert (await stand.request(1)).status == 503

    run_stand(scenario)


def test_faulty_heartbeat_is_rejected(run_stand):
    async def scenario(stand):
        head = b"PUT /endpoints/e-n1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]"
        answer = await call(stand.settings.announcements, head)
        assert answer.status == 400

    assert b"heartbeat_rejected" in run_stand(scenario)


def test_planned_stop_answers_what_was_taken(run_stand):
    """A stop cuts no request, and callers keep sending until they notice."""

    async def scenario(stand):
        await stand.beat()
        await world.settle(0.1)

        def answer_later(connection, headers, request_id):
            loop = asyncio.get_running_loop()
            loop.call_later(0.7, connection.answer, request_id)

        stand.behave = answer_later
        first = asyncio.ensure_future(stand.request(1))
        await world.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await world.settle(0.1)
        assert not await stand.is_ready()
        second = asyncio.ensure_future(stand.request(2))
        assert (await first).status == 200
        assert (await second).status == 200
        async with asyncio.timeout(6):
            await stand.task

    run_stand(scenario)


def test_request_late_in_a_planned_stop_is_refused(run_stand):
    """Requests that were taken 4 s after the signal were cut by the kill."""

    async def scenario(stand):
        await stand.beat()
        await world.settle(0.1)
        stand.behave = lambda c, h, i: None
        os.kill(os.getpid(), signal.SIGTERM)
        await world.settle(1.2)
        held = asyncio.ensure_future(stand.request(1))
        await world.settle(1.5)
        assert (await held).status == 504
        if not stand.task.done():
            answer = await stand.request(2)
            assert answer.status == 503
        async with asyncio.timeout(4):
            await stand.task

    run_stand(scenario)


def test_settings_that_change_without_a_signal_are_reloaded(run_stand):
    async def scenario(stand):
        await stand.beat()
        await world.settle(0.1)
        stand.reloaded = stand.settings._replace(service="other")
        await world.settle(5)
        await stand.request(1)
        assert stand.server.requests[-1][1][b"caller"] == b"other"

    assert b'"event":"reloaded"' in run_stand(scenario)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_during_a_planned_stop_does_not_end_it(run_stand, number):
    """It ended the process at once, with requests in flight."""

    async def scenario(stand):
        await stand.beat()
        waiting = []
        stand.behave = lambda c, h, i: waiting.append((c, i))
        request = asyncio.ensure_future(stand.request(1))
        await world.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await world.settle(0.3)
        assert signal.getsignal(number) is not signal.SIG_DFL
        os.kill(os.getpid(), number)
        await world.settle(0.3)
        connection, request_id = waiting[0]
        connection.answer(request_id)
        assert (await request).status == 200
        await stand.task

    run_stand(scenario)


def test_restarted_node_asks_the_backend_server_of_its_entry(run_stand):
    """After a restart of all nodes the first ones back took all the load
    until the heartbeats of the others came.
    """

    async def scenario(stand):
        await stand.beat()
        await world.settle(3)

        again = node.Node(stand.settings, stand.wiring())
        assert again._gate.backend is None
        again._on_earlier_entry(stand.node._registration._written)
        await world.settle(0.1)
        assert again._gate.backend.endpoint == "e-n1"

    run_stand(scenario)


async def restart_with_new_backend(stand, **changes):
    """Start a node on a VM that had lost power; return it."""
    await stand.beat()
    await world.settle(3)
    stand.instance = b"e-new"
    settings = stand.settings._replace(**changes)
    again = node.Node(settings, stand.wiring())
    again._on_earlier_entry(stand.node._registration._written)
    await world.settle(0.1)
    return again


def test_backend_server_that_started_with_the_node_is_used(run_stand):
    """After a loss of power all backend servers have new identities; for 1.3 s
    until their heartbeats 407 requests found no endpoint.
    """

    async def scenario(stand):
        again = await restart_with_new_backend(stand)
        assert again._gate.backend.endpoint == "e-new"
        assert again._gate.status.is_accepting

    run_stand(scenario)


@pytest.mark.parametrize("is_healthy", [True, False])
def test_one_answer_to_a_health_check_is_enough(run_stand, is_healthy):
    """Health checks take slots of the backend server, and are billed."""

    async def scenario(stand):
        await stand.beat()
        await world.settle(3)
        before = stand.probes
        stand.is_healthy = is_healthy
        again = node.Node(stand.settings, stand.wiring())
        again._on_earlier_entry(stand.node._registration._written)
        await world.settle(1)
        assert stand.probes == before + 1
        assert again._gate.status.is_accepting is is_healthy

    run_stand(scenario)


def test_first_heartbeat_after_that_replaces_no_requests(run_stand):
    """It is the same start of the endpoint, so what waits is kept."""

    async def scenario(stand):
        again = await restart_with_new_backend(stand)
        probed = again._gate.backend
        beat = world.beat("n1", endpoint="e-new", incarnation_ms=99)
        assert beat.is_same_start(probed)
        again._on_heartbeat(beat)
        assert again._gate.backend == beat
        later = beat._replace(incarnation_ms=100)
        assert not later.is_same_start(beat)

    run_stand(scenario)


def test_late_heartbeat_of_the_one_before_is_refused(run_stand):
    async def scenario(stand):
        again = await restart_with_new_backend(stand)
        again._on_heartbeat(world.beat("n1", sequence=9))
        assert again._gate.backend.endpoint == "e-new"

    run_stand(scenario)


def test_probed_backend_server_that_left_is_not_brought_back(run_stand):
    async def scenario(stand):
        again = await restart_with_new_backend(stand)
        again._on_leave("e-new")
        beat = world.beat("n1", endpoint="e-new", incarnation_ms=99)
        again._on_heartbeat(beat)
        again._on_heartbeat(beat._replace(sequence=2))
        await world.settle(0.1)
        assert not again._gate.status.is_accepting

    run_stand(scenario)


def test_backend_server_of_another_service_waits_for_its_heartbeat(run_stand):
    """Its slots and its routes are not those of the entry."""

    async def scenario(stand):
        again = await restart_with_new_backend(stand, service="other")
        assert again._gate.backend is None

    run_stand(scenario)


@pytest.mark.parametrize("is_healthy", [True, False])
def test_first_heartbeat_is_confirmed(run_stand, is_healthy):
    """A node that had just started acknowledged that an endpoint left; a
    delayed heartbeat brought it back, and requests reached it.
    """

    async def scenario(stand):
        stand.is_healthy = is_healthy
        await stand.beat(1)
        await world.settle(0.1)
        assert (stand.node._gate.backend is not None) is is_healthy
        await stand.beat(2)
        assert stand.node._gate.backend is not None

    run_stand(scenario)


def test_endpoint_that_left_unknown_is_not_brought_back(run_stand):
    async def scenario(stand):
        await call(
            stand.settings.announcements,
            b"DELETE /endpoints/e-n1 HTTP/1.1\r\n\r\n",
        )
        await world.settle(3)
        await stand.beat(7)
        await stand.beat(8)
        await world.settle(0.1)
        assert stand.node._gate.backend is None

    run_stand(scenario)


def test_fault_in_a_callback_is_logged(run_stand):
    """It would otherwise go to standard error in a form of its own."""

    async def scenario(stand):
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: 1 / 0)
        await world.settle(0.3)

    assert b'"event":"internal_error"' in run_stand(scenario)


def test_metrics_are_served(run_stand):
    async def scenario(stand):
        await stand.beat()
        await world.settle(0.1)
        await stand.request(1)
        answer = await call(
            stand.settings.metrics, b"GET /metrics HTTP/1.1\r\n\r\n"
        )
        text = answer.body.decode()
        assert 'reason="answered",status="200"' in text
        assert "clementinekeel_slots 2" in text

    run_stand(scenario)
