"""A whole node: its listeners, heartbeats, readiness and planned stop."""

import asyncio
import errno
import json
import os
import signal

import pytest
from returns import result

from clementinekeel.backends import http1
from clementinekeel.membership import heartbeats
from clementinekeel.platform import settings as platform_settings
from clementinekeel.runtime import errors
from clementinekeel.sidecar import adapter as adapter_module
from clementinekeel.sidecar import listening
from clementinekeel.sidecar import node
from tests import memory_loop
from tests.platform import test_settings
from tests.sidecar import harness
from tests.sidecar import test_configuration
from tests.sidecar import test_registration


def decode_heartbeat(endpoint, body):
    try:
        fields = json.loads(body)
    except ValueError:
        return result.Failure(errors.StepError("decode", endpoint, "faulty"))
    fields["state"] = heartbeats.EndpointState(fields["state"])
    return result.Success(harness.heartbeat("n1")._replace(**fields))


async def call(address, text, timeout_s=5.0):
    """Send one request on a new connection; return the outcome."""
    loop = asyncio.get_running_loop()
    answered = loop.create_future()
    _, connection = await loop.create_connection(
        lambda: http1.HttpConnection(b""), *address
    )
    connection.send(text, b"", b"", False, answered.set_result)
    async with asyncio.timeout(timeout_s):
        return await answered


class NodeEnvironment:
    """A running node with its backend server and store."""

    def __init__(self):
        self.settings = harness.SETTINGS._replace(
            backend=harness.settings.Address("n1", 1),
            peers=harness.settings.Address("n1", 5),
        )
        self.store = test_registration.MemoryStore()
        self.store.put("conf", b"1")
        self.reloaded = self.settings
        self.server = harness.BackendServer("n1")
        self.is_healthy = True
        self.instance = b"e-n1"
        self.health_checks = 0
        self.health_headers = b""
        self.server.on_request = self.on_request
        self.behave = lambda c, h, i: c.answer(i)
        self.node = node.Node(self.settings, self.adapter())
        self.task = None

    def on_request(self, connection, head, headers, body):
        if head.startswith(b"GET /health"):
            self.health_checks += 1
            status = 200 if self.is_healthy else 503
            named = b"instance: %s\r\n" % self.instance
            named += self.health_headers
            connection.answer(b"", status, extra=named)
            return
        self.server.requests.append((head, headers, body))
        self.behave(connection, headers, headers[b"id"])

    def adapter(self):
        return adapter_module.PlatformAdapter(
            harness.DIALECT,
            "conf",
            test_configuration.decode,
            decode_heartbeat,
            lambda connections: self.store,
            lambda: result.Success(self.reloaded),
        )

    async def start(self):
        self.task = asyncio.ensure_future(self.node.run())
        await harness.settle(0.2)

    async def heartbeat(self, sequence=1, state="ready", **fields):
        fields = {"sequence": sequence, "state": state, **fields}
        body = json.dumps(fields).encode()
        head = b"PUT /endpoints/e-n1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        return await call(self.settings.heartbeats, head % len(body) + body)

    async def leave(self):
        head = b"DELETE /endpoints/e-n1 HTTP/1.1\r\n\r\n"
        return await call(self.settings.heartbeats, head)

    async def is_ready(self):
        answer = await call(
            self.settings.readiness, b"GET /ready HTTP/1.1\r\n\r\n"
        )
        return answer.status == 200

    async def request(self, number, path=b"/a/x", timeout_s=5.0):
        return await call(
            self.settings.outbound,
            b"GET %s HTTP/1.1\r\nHost: h\r\nId: r%d\r\n\r\n" % (path, number),
            timeout_s,
        )


@pytest.fixture
def run_node(tmp_path, monkeypatch):
    """Run a scenario with a node; return the lines of its log."""

    def run(scenario):
        async def main():
            environment = NodeEnvironment()
            await environment.start()
            await scenario(environment)
            if not environment.task.done():
                os.kill(os.getpid(), signal.SIGTERM)
                await environment.task

        with open(tmp_path / "log", "wb") as sink:
            monkeypatch.setattr("sys.stdout", sink)
            memory_loop.run(main)
        return (tmp_path / "log").read_bytes()

    return run


def test_node_serves_its_backend_server(run_node):
    async def scenario(environment):
        assert await environment.is_ready()
        assert (await environment.heartbeat()).status == 200
        await harness.settle(0.1)
        assert (await environment.request(1)).body == b"fine"

    lines = run_node(scenario)
    assert b'"event":"node_started"' in lines
    assert b'"event":"node_stopped"' in lines
    assert b'"request_id":"r1"' in lines


def test_node_without_configuration_is_not_ready(run_node):
    async def scenario(environment):
        environment.node._outbound_proxy._table = None
        assert not await environment.is_ready()
        assert (await environment.request(1)).status == 503

    run_node(scenario)


def test_faulty_heartbeat_is_rejected(run_node):
    async def scenario(environment):
        head = b"PUT /endpoints/e-n1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]"
        answer = await call(environment.settings.heartbeats, head)
        assert answer.status == 400

    assert b"heartbeat_rejected" in run_node(scenario)


@pytest.mark.parametrize(
    ("service", "status"), [("s", 200), ("s2", 200), ("unknown", 400)]
)
def test_heartbeat_of_an_unknown_service_changes_nothing(
    run_node, service, status
):
    """Another writer's heartbeat took the endpoint out of its service."""

    async def scenario(environment):
        assert (await environment.heartbeat()).status == 200
        await harness.settle(0.1)
        outbound_proxy = environment.node._outbound_proxy
        outbound_proxy._table.health_paths["s2"] = "/health"
        answer = await environment.heartbeat(2, service=service)
        assert answer.status == status
        latest = environment.node._inbound_proxy.latest_heartbeat
        assert latest.service == (service if status == 200 else "s")

    run_node(scenario)


def test_planned_stop_answers_accepted_requests(run_node):
    """Callers send requests until they see that the node is not ready."""

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)

        def answer_later(connection, headers, request_id):
            loop = asyncio.get_running_loop()
            loop.call_later(0.7, connection.answer, request_id)

        environment.behave = answer_later
        first = asyncio.ensure_future(environment.request(1))
        await harness.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(0.1)
        assert not await environment.is_ready()
        second = asyncio.ensure_future(environment.request(2))
        assert (await first).status == 200
        assert (await second).status == 200
        async with asyncio.timeout(6):
            await environment.task

    run_node(scenario)


def test_request_late_in_a_planned_stop_is_refused(run_node):
    """A request accepted 4 s after the signal is cut off by the kill."""

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        environment.behave = lambda c, h, i: None
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(1.2)
        held = asyncio.ensure_future(environment.request(1))
        await harness.settle(1.5)
        assert (await held).status == 504
        if not environment.task.done():
            answer = await environment.request(2)
            assert answer.status == 503
        async with asyncio.timeout(4):
            await environment.task

    run_node(scenario)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
@pytest.mark.parametrize("sent_s", [0.5, 2.5, 3.9, 4.05, 4.15, 4.5, 5.1])
def test_every_request_of_a_planned_stop_is_answered(run_node, sent_s, path):
    """Some were cut at the end of the grace, with no answer.

    The endpoint is silent, so that each request lasts until its timeout; an
    earlier one keeps the node from stopping sooner.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        environment.behave = lambda c, h, i: None
        environment.node._outbound_proxy.activate(
            harness.routing_table(
                2,
                (
                    harness.ROUTE,
                    harness.NON_IDEMPOTENT_ROUTE,
                    harness.ROUTE._replace(prefix="/long/", timeout_ms=30_000),
                ),
            )
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(0.2)
        long_request = asyncio.ensure_future(
            environment.request(1, b"/long/x", timeout_s=10.0)
        )
        await harness.settle(sent_s - 0.2)
        assert not environment.task.done()
        answer = await environment.request(2, path)
        assert isinstance(answer, http1.Answer)
        has_run = len(environment.server.requests) > 1
        assert answer.status == (504 if has_run else 503)
        long_answer = await long_request
        assert isinstance(long_answer, http1.Answer)
        assert long_answer.status == 502
        async with asyncio.timeout(6):
            await environment.task

    run_node(scenario)


@pytest.mark.parametrize("sent_s", [0.5, 2.5, 3.9, 4.05, 4.15, 4.5, 5.1])
def test_call_late_in_a_planned_stop_is_not_broken_off(run_node, sent_s):
    """Each call of a running request was taken, and those that were still at
    work at the end of the stop were answered 502.

    Their endpoint is silent, so that each call lasts until its timeout.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        environment.behave = lambda c, h, i: None
        other = harness.Member("n2", service="t")
        called = harness.BackendServer("n2", lambda c, h, i: None)
        other.inbound_proxy.on_heartbeat(harness.heartbeat("n2", service="t"))
        environment.node._peers.add_or_update("n2", "n2", 5, "z1", "r1", True)
        parent_route = harness.ROUTE._replace(timeout_ms=30_000)
        call_route = harness.ROUTE._replace(
            prefix="/call/", shares=(harness.table.Share("t", 1),)
        )
        environment.node._outbound_proxy.activate(
            harness.routing_table(2, (parent_route, call_route))
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(0.2)
        parent = asyncio.ensure_future(environment.request(1, timeout_s=10.0))
        await harness.settle(sent_s - 0.2)
        answer = await call(
            environment.settings.outbound,
            b"GET /call/x HTTP/1.1\r\nHost: h\r\nId: r1.1\r\n\r\n",
        )
        assert isinstance(answer, http1.Answer)
        assert answer.status == (504 if called.requests else 503)
        # A call that is sure to end in time is passed on.
        assert bool(called.requests) is (sent_s < 4.0)
        await parent
        async with asyncio.timeout(6):
            await environment.task

    run_node(scenario)


@pytest.mark.parametrize(
    ("known", "work_s", "status"),
    [
        pytest.param(20, 0.05, 200, id="short"),
        pytest.param(20, 1.9, 504, id="longer than usual"),
        pytest.param(0, 0.05, 503, id="route not measured"),
    ],
)
def test_short_call_late_in_a_planned_stop_is_served(
    run_node, known, work_s, status
):
    """A call of 50 ms was refused since its deadline of 4 s was after the end
    of the stop, and the request that made it failed.

    The endpoint stops at the deadline that it gets.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        loop = asyncio.get_running_loop()
        usual, worked = [0.05], []

        def work(connection, headers, request_id):
            remaining_s = int(headers[b"deadline"]) / 1000
            worked.append(loop.time() + remaining_s)
            lasts_s = usual[0] if usual else work_s
            is_done = lasts_s <= remaining_s
            loop.call_later(
                min(lasts_s, remaining_s),
                connection.answer,
                request_id,
                200 if is_done else 504,
            )

        environment.behave = lambda c, h, i: None
        other = harness.Member("n2", service="t")
        harness.BackendServer("n2", work)
        other.inbound_proxy.on_heartbeat(harness.heartbeat("n2", service="t"))
        node_under_test = environment.node
        node_under_test._peers.add_or_update("n2", "n2", 5, "z1", "r1", True)
        call_route = harness.ROUTE._replace(
            prefix="/call/",
            name="call",
            shares=(harness.table.Share("t", 1),),
            timeout_ms=4_000,
        )
        parent_route = harness.ROUTE._replace(timeout_ms=5_500)
        node_under_test._outbound_proxy.activate(
            harness.routing_table(2, (parent_route, call_route))
        )
        await harness.settle(0.1)
        for number in range(known):
            answer = await environment.request(100 + number, b"/call/x")
            assert answer.status == 200
        usual.clear()
        worked.clear()
        parent = asyncio.ensure_future(environment.request(1, timeout_s=10.0))
        await harness.settle(0.1)
        signalled_at = loop.time()
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(3.5)
        answer = await call(
            environment.settings.outbound,
            b"GET /call/x HTTP/1.1\r\nHost: h\r\nId: r1.1\r\n\r\n",
        )
        assert answer.status == status
        assert all(until <= signalled_at + 5.2 for until in worked)
        await parent
        await environment.task

    run_node(scenario)


@pytest.mark.parametrize("path", [b"/a/x", b"/b/x"])
@pytest.mark.parametrize("sent_s", [0.5, 1.3, 1.5])
def test_planned_stop_breaks_off_no_request_of_another_node(
    run_node, sent_s, path
):
    """For the first 1.4 s each request was taken. One of 4 s was broken off
    at the end, and answered 502 by a node that was not stopping.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        loop = asyncio.get_running_loop()
        environment.behave = lambda c, h, i: loop.call_later(4.5, c.answer, i)
        sender = harness.Member("n2")
        routes = [
            route._replace(timeout_ms=5_000)
            for route in (harness.ROUTE, harness.NON_IDEMPOTENT_ROUTE)
        ]
        sender.outbound_proxy.activate(harness.routing_table(2, routes))
        sender.peers.add_or_update("n1", "n1", 5, "z1", "r1", True)
        await harness.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(sent_s)
        connection, _ = harness.send(sender, path)
        await harness.settle(6)
        ((status, _, _),) = connection.answers
        # There is no other endpoint: the caller is told that it has not run.
        assert (status, environment.server.requests) == (503, [])
        await environment.task

    run_node(scenario)


def test_planned_stop_leaves_new_connections_open(run_node):
    """Idle connections are closed every 50 ms. One that had just been opened
    for a call was closed before its request was read, and the request that
    made the call failed.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        waiting = []
        environment.behave = lambda c, h, i: waiting.append((c, i))
        environment.node._outbound_proxy.activate(
            harness.routing_table(
                2, (harness.ROUTE._replace(timeout_ms=5_000),)
            )
        )
        parent = asyncio.ensure_future(environment.request(1))
        await harness.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(3)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: http1.HttpConnection(b""), *environment.settings.outbound
        )
        _, unused = await loop.create_connection(
            lambda: http1.HttpConnection(b""), *environment.settings.outbound
        )
        await harness.settle(0.1)
        answered = loop.create_future()
        connection.send(
            b"GET /a/x HTTP/1.1\r\nHost: h\r\nId: r1.1\r\n\r\n",
            b"",
            b"",
            False,
            answered.set_result,
        )
        answer = await answered
        # It is read; the only endpoint is the one that the stop concerns.
        assert answer.status == 503
        await harness.settle(0.6)
        assert unused._transport.is_closing()
        waiting[0][0].answer(waiting[0][1])
        assert (await parent).status == 200
        await environment.task

    run_node(scenario)


async def reload_settings(environment):
    environment.reloaded = environment.settings._replace(service="other")
    os.kill(os.getpid(), signal.SIGHUP)


async def remove_route(environment):
    environment.node._outbound_proxy.activate(harness.routing_table(3, ()))


async def let_endpoint_leave(environment):
    await environment.leave()


async def let_endpoint_drain(environment):
    await environment.heartbeat(2, "draining")


async def replace_endpoint(environment):
    await environment.heartbeat(2, endpoint="e-new", incarnation_ms=2)


async def lose_store(environment):
    environment.store.fail(test_registration.K.UNANSWERED)


async def stop_again(environment):
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGINT)


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 6.0, 10.0, 30.0])
@pytest.mark.parametrize(
    "change",
    [
        reload_settings,
        remove_route,
        let_endpoint_leave,
        let_endpoint_drain,
        replace_endpoint,
        lose_store,
        stop_again,
    ],
)
def test_change_in_a_planned_stop_breaks_off_no_request(
    run_node, change, grace_s
):
    """A request in flight must be answered whatever else happens."""

    async def scenario(environment):
        environment.node = node.Node(
            environment.settings._replace(
                stop_timeout_ms=round(grace_s * 1000)
            ),
            environment.adapter(),
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await environment.task
        await environment.start()
        await environment.heartbeat()
        await environment.heartbeat(2)
        await harness.settle(0.1)
        waiting = []
        environment.behave = lambda c, h, i: waiting.append((c, i))
        environment.node._outbound_proxy.activate(
            harness.routing_table(
                2, (harness.ROUTE._replace(timeout_ms=60_000),)
            )
        )
        request = asyncio.ensure_future(environment.request(1, timeout_s=60.0))
        await harness.settle(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(grace_s * 0.4)
        await change(environment)
        await harness.settle(grace_s * 0.4)
        ((connection, request_id),) = waiting
        connection.answer(request_id)
        answer = await request
        assert (answer.status, answer.body) == (200, b"fine")
        await environment.task

    run_node(scenario)


@pytest.mark.parametrize("who", ["own", "other"])
def test_log_tells_which_stop_broke_off_a_request(run_node, who):
    """The same reason stood for the stop of the node that took the request
    and of the one beside its endpoint, whenever it was offered.
    """
    ended = []

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        environment.behave = lambda c, h, i: None
        table = harness.routing_table(
            2, (harness.ROUTE._replace(timeout_ms=30_000),)
        )
        sender = harness.Member("n2")
        for proxy in (
            sender.outbound_proxy,
            environment.node._outbound_proxy,
        ):
            proxy.activate(table)
        sender.peers.add_or_update("n1", "n1", 5, "z1", "r1", True)
        await harness.settle(0.1)
        if who == "own":
            request = asyncio.ensure_future(environment.request(1, b"/a/x", 9))
        else:
            harness.send(sender, request_id=b"r1")
        await harness.settle(0.5)
        os.kill(os.getpid(), signal.SIGTERM)
        await environment.task
        if who == "own":
            assert (await request).status == 502
        ended.extend(f for e, f in sender.log.events if e == "request_ended")

    lines = [json.loads(line) for line in run_node(scenario).splitlines()]
    (job,) = (line for line in lines if line["event"] == "job_ended")
    if who == "own":
        ended.extend(x for x in lines if x["event"] == "request_ended")
    (request,) = ended
    assert request["reason"] == "stopping"
    assert request["waiting_at"] == ("n1" if who == "own" else "")
    assert request["failed_at"] == ("" if who == "own" else "n1")
    assert (request["since_stop_ms"] is not None) is (who == "own")
    assert -600 < job["since_stop_ms"] < -400
    assert job["service_ms"] > 5_000


@pytest.mark.parametrize("where", ["link", "caller"])
@pytest.mark.parametrize("read_s", [4.0, 5.4, 20.0])
def test_planned_stop_waits_until_its_answers_are_sent(
    run_node, where, read_s
):
    """The process ended when the last request was answered, and dropped what
    slow links and callers had not taken of the answers.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        sender = harness.Member("n2")
        sender.peers.add_or_update("n1", "n1", 5, "z1", "r1", True)
        await harness.settle(0.1)
        loop = asyncio.get_running_loop()
        known = len(loop.transports)
        waiting = []
        environment.behave = lambda c, h, i: waiting.append((c, i))
        request = None
        if where == "link":
            harness.send(sender, b"/b/x")
            address = environment.settings.peers
        else:
            request = asyncio.ensure_future(
                environment.request(1, timeout_s=60.0)
            )
            address = environment.settings.outbound
        await harness.settle(0.01)
        (transport,) = (
            t
            for t in loop.transports[0 if where == "link" else known :]
            if t.local == tuple(address) and not t.is_closing()
        )
        transport.stall()
        signalled_at = loop.time()
        os.kill(os.getpid(), signal.SIGTERM)
        connection, request_id = waiting[0]
        connection.answer(request_id)
        loop.call_later(read_s, transport.go_on)
        await environment.task
        lasted_s = loop.time() - signalled_at
        # The operators kill the process after 6 s.
        assert min(read_s, 5.5) <= lasted_s <= min(read_s + 0.1, 5.6)
        if request is not None:
            assert (await request).body == b"fine"

    run_node(scenario)


def test_settings_that_change_without_a_signal_are_reloaded(run_node):
    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        environment.reloaded = environment.settings._replace(service="other")
        await harness.settle(5)
        await environment.request(1)
        assert environment.server.requests[-1][1][b"caller"] == b"other"

    assert b'"event":"reloaded"' in run_node(scenario)


def test_planned_stop_lets_other_nodes_end_their_links(run_node, monkeypatch):
    """The node closed them. If another node then sent a frame, for example a
    ping, the link was reset, and the part of an answer that it had not read
    was lost.
    """
    closed = []
    close = memory_loop.MemoryTransport.close

    def record(transport):
        if not transport.is_closing():
            closed.append((transport.local, transport.remote))
        close(transport)

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        other = harness.Member("n2")
        other.peers.add_or_update("n1", "n1", 5, "z1", "r1", True)
        await harness.settle(0.5)
        assert environment.node._peers.inbound_links == 1
        monkeypatch.setattr(memory_loop.MemoryTransport, "close", record)
        os.kill(os.getpid(), signal.SIGTERM)
        await environment.task
        links = [
            ends for ends in closed if ("n1", 5) in ends or ("n2", 5) in ends
        ]
        assert sorted(links) == [
            (("caller", 1), ("n1", 5)),
            (("n2", 5), ("caller", 1)),
        ]

    run_node(scenario)


def test_connections_of_callers_leave_room_for_readiness_checks(
    run_node, monkeypatch
):
    """A node with as many idle callers as it takes was not ready, and its own
    sockets got no descriptor where the system's limit was lower still.
    """
    monkeypatch.setattr(node.descriptors, "limit", lambda allowed: 40)

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        loop = asyncio.get_running_loop()
        idle = [
            await loop.create_connection(
                asyncio.Protocol, *environment.settings.outbound
            )
            for _ in range(30)
        ]
        await harness.settle(0.1)
        assert await environment.is_ready()
        assert (await environment.heartbeat(2)).status == 200
        assert await metric(environment, "caller_connections") <= 30
        for transport, _ in idle:
            transport.close()

    assert b'"event":"connection_refused"' in run_node(scenario)


async def metric(environment, name):
    """Return the line of a metric without labels."""
    answer = await call(
        environment.settings.metrics, b"GET /metrics HTTP/1.1\r\n\r\n"
    )
    (line,) = (
        line
        for line in answer.body.decode().splitlines()
        if line.startswith(f"clementinekeel_{name} ")
    )
    return float(line.split()[1])


@pytest.mark.parametrize("is_signalled", [True, False], ids=["hup", "poll"])
@pytest.mark.parametrize(
    "fault",
    [
        "budget_extra = 1e400",
        "grace_s = inf",
        "new = " + "[" * 3_000 + "]" * 3_000,
        "budget_window_s = 0",
    ],
    ids=["infinite", "infinite_time", "nested", "zero"],
)
def test_faulty_settings_do_not_end_a_running_node(
    run_node, tmp_path, fault, is_signalled
):
    """An exception of the reader ended the node with all its requests; a
    refused reload must leave all settings as they were.
    """
    path = tmp_path / "settings.toml"
    good = test_settings.FILE.replace('service = "s"', 'service = "other"')

    async def reload(environment, text):
        path.write_text(text)
        if is_signalled:
            os.kill(os.getpid(), signal.SIGHUP)
        await harness.settle(5)

    async def scenario(environment):
        environment.node._adapter.reload_settings = lambda: (
            platform_settings.load_settings(str(path))
        )
        await environment.heartbeat()
        await reload(environment, good.replace("grace_s = 5", fault))
        await environment.request(1)
        assert environment.server.requests[-1][1][b"caller"] == b"s"
        assert await metric(environment, "refused_reloads") == 1
        await reload(environment, good)
        await environment.request(2)
        assert environment.server.requests[-1][1][b"caller"] == b"other"
        assert await metric(environment, "refused_reloads") == 1

    log = run_node(scenario)
    assert log.count(b'"event":"reload_failed"') == 1
    assert b'"event":"internal_error"' not in log


def test_planned_stop_keeps_to_the_grace_time_of_a_reload(run_node):
    """It kept to the one at the start, and a node whose grace time had become
    shorter was killed with its requests.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        environment.node._outbound_proxy.activate(
            harness.routing_table(
                2, (harness.ROUTE._replace(timeout_ms=30_000),)
            )
        )
        environment.behave = lambda c, h, i: None
        request = asyncio.ensure_future(environment.request(1, timeout_s=30))
        environment.reloaded = environment.settings._replace(
            stop_timeout_ms=2_000
        )
        os.kill(os.getpid(), signal.SIGHUP)
        await harness.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(1.6)
        assert not environment.task.done()
        await harness.settle(0.3)
        assert environment.task.done()
        assert (await request).status == 502

    run_node(scenario)


@pytest.mark.parametrize("max_descriptors", [100, 400, 501])
def test_callers_may_connect_under_a_low_limit_on_descriptors(
    run_node, monkeypatch, max_descriptors
):
    """All connections were refused, also those of the readiness checks."""
    monkeypatch.setattr(
        harness,
        "SETTINGS",
        harness.SETTINGS._replace(max_descriptors=max_descriptors),
    )

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        assert await environment.is_ready()
        answers = await asyncio.gather(*map(environment.request, range(6)))
        assert [answer.status for answer in answers] == [200] * 6

    assert b'"event":"connection_refused"' not in run_node(scenario)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_second_signal_does_not_end_a_planned_stop(run_node, number):
    """Without a handler it ends the process with requests in flight."""

    async def scenario(environment):
        await environment.heartbeat()
        waiting = []
        environment.behave = lambda c, h, i: waiting.append((c, i))
        request = asyncio.ensure_future(environment.request(1))
        await harness.settle(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(0.3)
        assert signal.getsignal(number) is not signal.SIG_DFL
        os.kill(os.getpid(), number)
        await harness.settle(0.3)
        connection, request_id = waiting[0]
        connection.answer(request_id)
        assert (await request).status == 200
        await environment.task

    run_node(scenario)


def test_restarted_node_checks_the_backend_server_of_its_entry(run_node):
    """After a restart of all nodes, the first ones must not take all the load
    until the heartbeats of the others arrive.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)

        restarted = node.Node(environment.settings, environment.adapter())
        assert restarted._inbound_proxy.latest_heartbeat is None
        restarted._on_earlier_entry(
            environment.node._registration._written_entry
        )
        await harness.settle(0.1)
        assert restarted._inbound_proxy.latest_heartbeat.endpoint == "e-n1"

    run_node(scenario)


@pytest.mark.parametrize("how", ["draining", "left"])
def test_backend_server_that_leaves_is_not_used_after_a_restart(run_node, how):
    """A server that leaves may still answer its health check, and one of its
    heartbeats may be late. Both brought it back in use.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        if how == "left":
            await environment.leave()
        else:
            await environment.heartbeat(2, "draining")
        await harness.settle(1)
        restarted = node.Node(environment.settings, environment.adapter())
        (item,) = (
            await environment.store.read(environment.node._registration._key)
        ).items
        entry = restarted._registration._decode_earlier(item)
        restarted._on_earlier_entry(entry)
        await harness.settle(2)
        assert not restarted._inbound_proxy.status.is_accepting
        for sequence in (1, 3):
            restarted._on_heartbeat(harness.heartbeat("n1", sequence))
            await harness.settle(0.5)
            assert not restarted._inbound_proxy.status.is_accepting
        successor = harness.heartbeat("n1", incarnation_ms=2)
        restarted._on_heartbeat(successor)
        restarted._on_heartbeat(successor._replace(sequence=2))
        assert restarted._inbound_proxy.status.is_accepting

    run_node(scenario)


def test_server_that_replaced_one_that_left_is_used(run_node):
    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        await environment.leave()
        await harness.settle(1)
        environment.instance = b"e-new"
        restarted = node.Node(environment.settings, environment.adapter())
        restarted._on_earlier_entry(
            environment.node._registration._written_entry
        )
        await harness.settle(0.1)
        assert restarted._inbound_proxy.latest_heartbeat.endpoint == "e-new"
        assert restarted._inbound_proxy.status.is_accepting

    run_node(scenario)


async def restart_with_new_backend_server(environment, **changes):
    """Start a node and a backend server as after a loss of power.

    Returns the node; the backend server has a new identity.
    """
    await environment.heartbeat()
    await harness.settle(3)
    environment.instance = b"e-new"
    settings = environment.settings._replace(**changes)
    restarted = node.Node(settings, environment.adapter())
    restarted._on_earlier_entry(environment.node._registration._written_entry)
    await harness.settle(0.1)
    return restarted


def test_backend_server_that_started_with_the_node_is_used(run_node):
    """After a loss of power all backend servers have new identities. Without
    the health check, 407 requests found no endpoint in the 1.3 s before the
    first heartbeats.
    """

    async def scenario(environment):
        restarted = await restart_with_new_backend_server(environment)
        assert restarted._inbound_proxy.latest_heartbeat.endpoint == "e-new"
        assert restarted._inbound_proxy.status.is_accepting

    run_node(scenario)


@pytest.mark.parametrize("is_healthy", [True, False])
def test_one_answer_to_a_health_check_is_enough(run_node, is_healthy):
    """Each health check takes a slot of the backend server and is billed."""

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        before = environment.health_checks
        environment.is_healthy = is_healthy
        restarted = node.Node(environment.settings, environment.adapter())
        restarted._on_earlier_entry(
            environment.node._registration._written_entry
        )
        await harness.settle(1)
        assert environment.health_checks == before + 1
        assert restarted._inbound_proxy.status.is_accepting is is_healthy

    run_node(scenario)


def test_first_heartbeat_after_a_health_check_keeps_queued_requests(run_node):
    """It is of the same start of the endpoint as the health check."""

    async def scenario(environment):
        restarted = await restart_with_new_backend_server(environment)
        found = restarted._inbound_proxy.latest_heartbeat
        heartbeat = harness.heartbeat(
            "n1", endpoint="e-new", incarnation_ms=99
        )
        assert heartbeat.is_same_incarnation(found)
        restarted._on_heartbeat(heartbeat)
        assert restarted._inbound_proxy.latest_heartbeat == heartbeat
        later = heartbeat._replace(incarnation_ms=100)
        assert not later.is_same_incarnation(heartbeat)

    run_node(scenario)


def test_delayed_heartbeat_of_the_earlier_backend_server_is_ignored(run_node):
    async def scenario(environment):
        restarted = await restart_with_new_backend_server(environment)
        restarted._on_heartbeat(harness.heartbeat("n1", sequence=9))
        assert restarted._inbound_proxy.latest_heartbeat.endpoint == "e-new"

    run_node(scenario)


def test_delayed_heartbeats_do_not_restore_a_server_found_by_a_check(run_node):
    async def scenario(environment):
        restarted = await restart_with_new_backend_server(environment)
        restarted._on_leave("e-new")
        heartbeat = harness.heartbeat(
            "n1", endpoint="e-new", incarnation_ms=99
        )
        restarted._on_heartbeat(heartbeat)
        restarted._on_heartbeat(heartbeat._replace(sequence=2))
        await harness.settle(0.1)
        assert not restarted._inbound_proxy.status.is_accepting

    run_node(scenario)


def test_backend_server_of_another_service_waits_for_its_heartbeat(run_node):
    """The slots and routes of the entry are not those of this server."""

    async def scenario(environment):
        restarted = await restart_with_new_backend_server(
            environment, service="other"
        )
        assert restarted._inbound_proxy.latest_heartbeat is None

    run_node(scenario)


@pytest.mark.parametrize("is_healthy", [True, False])
def test_first_heartbeat_is_verified(run_node, is_healthy):
    """A delayed heartbeat must not bring back an endpoint whose departure was
    acknowledged before the node started.
    """

    async def scenario(environment):
        environment.is_healthy = is_healthy
        await environment.heartbeat(1)
        await harness.settle(0.1)
        assert (
            environment.node._inbound_proxy.latest_heartbeat is not None
        ) is is_healthy
        await environment.heartbeat(2)
        assert environment.node._inbound_proxy.latest_heartbeat is not None

    run_node(scenario)


def restart(environment):
    """Return a second process of the node, with the entry of the first."""
    restarted = node.Node(environment.settings, environment.adapter())
    restarted._on_earlier_entry(environment.node._registration._written_entry)
    return restarted


@pytest.mark.parametrize("is_named", [True, False])
def test_delayed_heartbeats_do_not_outweigh_a_failing_health_check(
    run_node, is_named
):
    """All nodes are killed after a departure that the store does not have.
    The health check tells it, but one delayed heartbeat that was newer than
    the entry brought the backend server back in use.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        environment.is_healthy = False
        if not is_named:
            environment.instance = b""
        restarted = restart(environment)
        for sequence in (2, 3, 4):
            if sequence == 4:
                # A check without an answer does not undo the failure.
                environment.server.end()
            await harness.settle(1)
            restarted._on_heartbeat(harness.heartbeat("n1", sequence))
            await harness.settle(0.1)
            assert restarted._inbound_proxy.latest_heartbeat is None

    run_node(scenario)


def test_delayed_heartbeat_alone_does_not_confirm_an_entry(run_node):
    """The health check finds no answer; the heartbeat may be older than the
    departure, like the entry.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        environment.server.end()
        restarted = restart(environment)
        await harness.settle(0.1)
        restarted._on_heartbeat(harness.heartbeat("n1", 2))
        await harness.settle(0.1)
        assert restarted._inbound_proxy.latest_heartbeat is None
        restarted._on_heartbeat(harness.heartbeat("n1", 3))
        assert restarted._inbound_proxy.latest_heartbeat is not None

    run_node(scenario)


def test_backend_server_whose_health_check_fails_is_used_later(run_node):
    """Its health check may be wrong. A heartbeat that arrives long after the
    restart was not sent before a departure.
    """

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        environment.is_healthy = False
        restarted = restart(environment)
        await harness.settle(heartbeats.LATE_HEARTBEAT_S)
        for sequence in (2, 3):
            restarted._on_heartbeat(harness.heartbeat("n1", sequence))
            await harness.settle(0.1)
        assert restarted._inbound_proxy.latest_heartbeat.sequence == 3

    run_node(scenario)


def test_health_check_that_did_not_run_does_not_deny(run_node):
    """A full backend server rejects its health check like any request."""

    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(3)
        environment.is_healthy = False
        environment.health_headers = b"Not-Run: 1\r\n"
        restarted = restart(environment)
        await harness.settle(0.2)
        assert restarted._inbound_proxy.latest_heartbeat is None
        environment.is_healthy = True
        environment.health_headers = b""
        await harness.settle(0.2)
        assert restarted._inbound_proxy.latest_heartbeat is not None

    run_node(scenario)


def test_endpoint_that_left_before_its_first_heartbeat_is_not_used(run_node):
    async def scenario(environment):
        await call(
            environment.settings.heartbeats,
            b"DELETE /endpoints/e-n1 HTTP/1.1\r\n\r\n",
        )
        await harness.settle(3)
        await environment.heartbeat(7)
        await environment.heartbeat(8)
        await harness.settle(0.1)
        assert environment.node._inbound_proxy.latest_heartbeat is None

    run_node(scenario)


def test_exception_in_a_callback_is_logged(run_node):
    """By default asyncio writes it to standard error in another format."""

    async def scenario(environment):
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: 1 / 0)
        await harness.settle(0.3)

    assert b'"event":"internal_error"' in run_node(scenario)


def test_signals_are_handled_before_requests_are_accepted(
    run_node, monkeypatch
):
    """A SIGTERM between the two ended the process without a planned stop."""
    handlers = []

    async def scenario(environment):
        assert handlers
        assert signal.SIG_DFL not in handlers

    listen = node.Node._listen

    async def recording_listen(self, address, make_protocol):
        handlers.append(signal.getsignal(signal.SIGTERM))
        return await listen(self, address, make_protocol)

    monkeypatch.setattr(node.Node, "_listen", recording_listen)
    run_node(scenario)


@pytest.mark.parametrize("name", ["outbound", "peers", "metrics"])
def test_address_in_use_does_not_end_a_start(run_node, monkeypatch, name):
    """An earlier process that had not ended yet, or a program of the
    operators at the port for the metrics, ended a node at its start.
    """

    async def scenario(environment):
        address = getattr(environment.settings, name)
        loop = asyncio.get_running_loop()
        create_server, refused = loop.create_server, []

        async def create(factory, host, port, **options):
            if (host, port) == address and len(refused) < 5:
                refused.append(port)
                raise OSError(errno.EADDRINUSE, "in use")
            return await create_server(factory, host, port, **options)

        os.kill(os.getpid(), signal.SIGTERM)
        await environment.task
        monkeypatch.setattr(loop, "create_server", create)
        environment.node = node.Node(
            environment.settings, environment.adapter()
        )
        await environment.start()
        await harness.settle(0.6)
        assert len(refused) == 5
        assert await environment.is_ready()
        answer = await call(
            environment.settings.metrics, b"GET /metrics HTTP/1.1\r\n\r\n"
        )
        assert answer.status == 200

    assert b'"event":"address_in_use"' in run_node(scenario)


def test_address_that_stays_in_use_ends_a_start(run_node, monkeypatch):
    async def scenario(environment):
        os.kill(os.getpid(), signal.SIGTERM)
        await environment.task

        async def refuse(factory, host, port, **options):
            raise OSError(errno.EADDRINUSE, "in use")

        monkeypatch.setattr(
            asyncio.get_running_loop(), "create_server", refuse
        )
        environment.node = node.Node(
            environment.settings, environment.adapter()
        )
        await environment.start()
        await harness.settle(10)
        assert environment.task.done()
        assert environment.task.exception() is not None

    run_node(scenario)


@pytest.mark.parametrize("name", ["outbound", "peers"])
@pytest.mark.parametrize("held_s", [5.2, 8.5])
@pytest.mark.parametrize(
    "error",
    [errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE],
    ids=errno.errorcode.get,
)
def test_start_waits_for_the_planned_stop_of_an_earlier_process(
    run_node, monkeypatch, name, held_s, error
):
    """A start gave up after 3 s; the earlier process may live for its grace
    time of 6 s.
    """

    async def scenario(environment):
        await restart_without_address(
            environment, monkeypatch, name, error, held_s
        )
        await harness.settle(held_s + 0.5)
        assert await environment.is_ready()

    run_node(scenario)


def test_wait_for_an_address_does_not_shorten_the_first_deadlines(
    run_node, monkeypatch
):
    """Requests of the first 50 ms had seconds less for their endpoint."""

    async def scenario(environment):
        held_s = 3
        began_at = asyncio.get_running_loop().time()
        await restart_without_address(
            environment, monkeypatch, "outbound", errno.EADDRINUSE, held_s
        )
        environment.node._outbound_proxy.activate(harness.routing_table(2))
        await environment.heartbeat(2)
        waited_s = asyncio.get_running_loop().time() - began_at
        await harness.settle(held_s - waited_s)
        while True:
            try:
                answer = await environment.request(1)
                break
            except ConnectionRefusedError:
                await harness.settle(0.005)
        assert answer.status == 200
        ((_, headers, _),) = environment.server.requests
        assert int(headers[b"deadline"]) > 900

    run_node(scenario)


@pytest.mark.parametrize("name", ["outbound", "peers"])
def test_signal_to_stop_ends_a_start_that_waits(run_node, monkeypatch, name):
    """The signal was only noticed once the node listened everywhere."""

    async def scenario(environment):
        await restart_without_address(
            environment, monkeypatch, name, errno.EADDRINUSE, 8
        )
        await harness.settle(1)
        assert not environment.task.done()
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.settle(0.2)
        assert environment.task.done()
        assert environment.task.exception() is None

    lines = run_node(scenario).splitlines()
    assert b'"event":"node_stopped"' in lines[-1]
    assert not any(b'"event":"start_failed"' in line for line in lines)


@pytest.mark.parametrize(
    ("error", "waited_s"),
    [(errno.EADDRINUSE, 9.0), (errno.EACCES, 0.0)],
    ids=["transient", "permanent"],
)
def test_start_that_fails_ends_with_one_error_and_one_line(
    run_node, monkeypatch, error, waited_s
):
    """It ended with the traceback of a group of exceptions."""

    async def scenario(environment):
        await restart_without_address(
            environment, monkeypatch, "outbound", error, 60
        )
        await harness.settle(waited_s - 0.5)
        assert environment.task.done() is (waited_s == 0)
        await harness.settle(1)
        failure = environment.task.exception()
        assert isinstance(failure, listening.ListenError)
        assert failure.peer == "vm1:2"

    log = run_node(scenario)
    assert log.count(b'"event":"start_failed"') == 1


async def restart_without_address(
    environment, monkeypatch, name, error, held_s
):
    """Start a node again while it can't listen on one address."""
    os.kill(os.getpid(), signal.SIGTERM)
    await environment.task
    address = getattr(environment.settings, name)
    loop = asyncio.get_running_loop()
    create_server, free_at = loop.create_server, loop.time() + held_s

    async def create(factory, host, port, **options):
        if (host, port) == address and loop.time() < free_at:
            raise OSError(error, "refused")
        return await create_server(factory, host, port, **options)

    monkeypatch.setattr(loop, "create_server", create)
    environment.node = node.Node(environment.settings, environment.adapter())
    await environment.start()


def test_metrics_are_served(run_node):
    async def scenario(environment):
        await environment.heartbeat()
        await harness.settle(0.1)
        await environment.request(1)
        answer = await call(
            environment.settings.metrics, b"GET /metrics HTTP/1.1\r\n\r\n"
        )
        text = answer.body.decode()
        assert 'reason="answered",status="200"' in text
        assert "clementinekeel_slots 2" in text

    run_node(scenario)
