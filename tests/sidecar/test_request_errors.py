"""Errors that no code expects, in the handling of one request.

The request is answered and frees what it holds, and no other request ends
with it.
"""

import asyncio

import pytest

from tests import memory_loop
from tests.sidecar import harness
from tests.sidecar import test_node

run_node = test_node.run_node


class UnexpectedError(Exception):
    """Takes the place of an error that nobody has thought of."""


def fail_once(monkeypatch, owner, name, applies=lambda *a: True):
    """Make a method fail the first time that it is called."""
    original = getattr(owner, name)
    failed = []

    def call(*arguments, **options):
        if not failed and applies(*arguments):
            failed.append(name)
            raise UnexpectedError(name)
        return original(*arguments, **options)

    monkeypatch.setattr(owner, name, call)
    return failed


class Fleet:
    """Two nodes; the first one has the callers, the second the endpoint."""

    def __init__(self):
        self.errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, c: self.errors.append(c))
        self.first = harness.Member("n1")
        self.second = harness.Member("n2")
        self.held = []
        self.server = harness.BackendServer("n2", self.hold)
        self.second.inbound_proxy.on_heartbeat(
            harness.heartbeat("n2", slots=8)
        )
        self.first.add_peer(self.second)

    def hold(self, connection, headers, request_id):
        self.held.append((connection, request_id))

    def answer_all(self):
        held, self.held = self.held, []
        for connection, request_id in held:
            connection.answer(request_id)

    def assert_nothing_is_held(self):
        assert self.first.outbound_proxy.is_idle
        assert not self.first.outbound_proxy._active
        assert not any(peer.exchanges for peer in self.first.peers.known)
        inbound_proxy = self.second.inbound_proxy
        assert inbound_proxy.is_idle
        assert not inbound_proxy._jobs_by_request_id
        assert inbound_proxy.queue.running == 0
        assert inbound_proxy.queue.queued == 0


def run_fleet(scenario):
    async def main():
        fleet = Fleet()
        await harness.settle()
        await scenario(fleet)
        await harness.settle(3)
        fleet.assert_nothing_is_held()

    memory_loop.run(main)


def statuses(connections):
    return [[status for status, _, _ in c.answers] for c in connections]


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        ("chain", "on_request"),
        ("chain", "is_throttled"),
        ("chain", "inherit"),
        ("outbound_proxy._dispatcher", "offer"),
        ("outbound_proxy._dispatcher", "_send"),
        ("peers", "choose"),
    ],
)
def test_error_before_the_first_offer_refuses_the_request(
    monkeypatch, owner, name
):
    """The caller got no answer, or one at its deadline."""

    async def scenario(fleet):
        target = fleet.first
        for part in owner.split("."):
            target = getattr(target, part)
        failed = fail_once(monkeypatch, target, name)
        first, _ = harness.send(fleet.first)
        second, _ = harness.send(fleet.first)
        await harness.settle(0.01)
        assert failed
        fleet.answer_all()
        await harness.settle(0.01)
        assert statuses([first, second]) == [[503], [200]]
        assert fleet.errors

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        ("outbound_proxy", "on_answer"),
        ("outbound_proxy", "_deliver"),
        ("outbound_proxy._dispatcher", "cancel_others"),
    ],
)
@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
def test_error_in_an_answer_ends_one_request_as_unknown(
    monkeypatch, owner, name, path
):
    """The link was closed, and all requests on it ended with 502."""

    async def scenario(fleet):
        sent = [harness.send(fleet.first, path)[0] for _ in range(3)]
        await harness.settle(0.01)
        target = fleet.first
        for part in owner.split("."):
            target = getattr(target, part)
        fail_once(monkeypatch, target, name)
        fleet.answer_all()
        await harness.settle(0.01)
        assert statuses(sent) == [[502], [200], [200]]

    run_fleet(scenario)


def test_error_in_a_refusal_ends_one_request(monkeypatch):
    async def scenario(fleet):
        sent = [harness.send(fleet.first)[0] for _ in range(3)]
        await harness.settle(0.01)
        fail_once(monkeypatch, fleet.first.outbound_proxy, "on_refusal")
        connection, request_id = fleet.held.pop(0)
        connection.answer(request_id, 503, extra=b"Not-Run: 1\r\n")
        await harness.settle(0.01)
        fleet.answer_all()
        await harness.settle(0.01)
        assert statuses(sent) == [[502], [200], [200]]

    run_fleet(scenario)


def test_error_for_one_request_of_a_lost_link_answers_the_others(monkeypatch):
    """The requests behind it waited until their deadline."""

    async def scenario(fleet):
        sent = [harness.send(fleet.first, b"/b/x")[0] for _ in range(3)]
        await harness.settle(0.01)
        fail_once(monkeypatch, fleet.first.outbound_proxy, "on_failure")
        peer = fleet.first.peers._peers["n2"]
        peer.link.abort()
        await harness.settle(0.01)
        assert statuses(sent) == [[502], [502], [502]]

    run_fleet(scenario)


@pytest.mark.parametrize(
    "name",
    [
        "_accept_or_refuse",
        "_start",
        "_send",
        "_connect",
        "_try_to_connect_and_send",
    ],
)
def test_error_before_a_request_is_sent_refuses_it(monkeypatch, name):
    """It kept its slot for ever, and its caller waited for the deadline."""

    async def scenario(fleet):
        fail_once(monkeypatch, fleet.second.inbound_proxy, name)
        sent = [harness.send(fleet.first)[0] for _ in range(3)]
        await harness.settle(0.01)
        fleet.answer_all()
        await harness.settle(0.01)
        assert sorted(statuses(sent)) == [[200], [200], [503]]

    run_fleet(scenario)


@pytest.mark.parametrize("name", ["_handle_outcome", "_answer", "_observe"])
def test_error_in_the_outcome_of_a_run_fails_it(monkeypatch, name):
    """It kept its slot for ever, and its caller waited for the deadline."""

    async def scenario(fleet):
        fail_once(monkeypatch, fleet.second.inbound_proxy, name)
        sent = [harness.send(fleet.first, b"/b/x")[0] for _ in range(3)]
        await harness.settle(0.01)
        fleet.answer_all()
        await harness.settle(0.01)
        assert sorted(statuses(sent)) == [[200], [200], [502]]

    run_fleet(scenario)


def test_error_in_the_record_of_a_run_frees_its_slot(monkeypatch):
    """The log or the metrics may fail after the answer was sent."""

    async def scenario(fleet):
        fail_once(monkeypatch, fleet.second.metrics, "on_job")
        fail_once(monkeypatch, fleet.first.metrics, "on_request")
        sent = [harness.send(fleet.first, b"/b/x")[0] for _ in range(3)]
        await harness.settle(0.01)
        fleet.answer_all()
        await harness.settle(0.01)
        assert statuses(sent) == [[200], [200], [200]]

    run_fleet(scenario)


def test_endpoint_address_that_raises_frees_the_slots(monkeypatch):
    """A port of 99999 raises OverflowError instead of OSError."""

    async def scenario(fleet):
        pool = fleet.second.inbound_proxy._pool

        async def connect():
            raise OverflowError("port must be 0-65535")

        monkeypatch.setattr(pool, "connect", connect)
        sent = [harness.send(fleet.first)[0] for _ in range(10)]
        await harness.settle(0.01)
        assert statuses(sent) == [[503]] * 10

    run_fleet(scenario)


@pytest.mark.parametrize("is_last", [True, False])
def test_error_in_the_timeout_of_a_request_answers_it(monkeypatch, is_last):
    async def scenario(fleet):
        connection, _ = harness.send(fleet.first)
        await harness.settle(0.01)
        owner = fleet.first if is_last else fleet.second
        if is_last:
            fail_once(monkeypatch, owner.outbound_proxy, "_fail")
        else:
            fail_once(monkeypatch, owner.inbound_proxy, "_fail")
        await harness.settle(1.5)
        ((status, _, _),) = connection.answers
        assert status in (502, 504)

    run_fleet(scenario)


def test_node_whose_dial_raises_is_dialed_again(monkeypatch):
    """It counted as being dialed for ever."""

    async def scenario(fleet):
        third = harness.Member("n3")
        loop = asyncio.get_running_loop()
        connect, failed = loop.create_connection, []

        async def failing_connect(factory, host, *arguments, **options):
            if host == "n3" and not failed:
                failed.append(host)
                raise UnexpectedError
            return await connect(factory, host, *arguments, **options)

        monkeypatch.setattr(loop, "create_connection", failing_connect)
        fleet.first.add_peer(third)
        for _ in range(10):
            await harness.settle(0.25)
            fleet.first.peers.tick()
        assert fleet.first.peers._peers["n3"].link is not None

    run_fleet(scenario)


def test_error_in_a_heartbeat_is_answered_and_logged(run_node, monkeypatch):
    """The connection of the backend server waited without an answer."""

    async def scenario(environment):
        fail_once(monkeypatch, environment.node, "_on_leave")
        monkeypatch.setattr(
            environment.node._backend_verifier,
            "on_heartbeat",
            lambda *_: 1 / 0,
        )
        answer = await environment.heartbeat()
        assert answer.status == 500
        monkeypatch.undo()
        assert (await environment.heartbeat()).status == 200

    lines = run_node(scenario)
    assert b'"event":"internal_error"' in lines
    assert b'"error":"ZeroDivisionError"' in lines


def test_error_in_the_end_of_a_stop_answers_the_other_requests(monkeypatch):
    async def scenario(fleet):
        sent = [harness.send(fleet.first, b"/b/x")[0] for _ in range(3)]
        await harness.settle(0.01)
        fail_once(monkeypatch, fleet.first.outbound_proxy, "_fail")
        fail_once(monkeypatch, fleet.second.inbound_proxy, "_fail")
        fleet.second.inbound_proxy.end_all()
        fleet.first.outbound_proxy.end_all()
        await harness.settle(0.01)
        assert statuses(sent) == [[502], [502], [502]]

    run_fleet(scenario)
