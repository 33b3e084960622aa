"""Errors that a node does not expect, in each of its tasks.

Any of them ended the process, and with it the requests of all its callers.
"""

import asyncio
import os
import signal

import pytest

from clementinekeel.backends import http1
from clementinekeel.runtime import pauses
from clementinekeel.sidecar import registration
from tests.sidecar import harness
from tests.sidecar import test_node

run_node = test_node.run_node


class UnexpectedError(Exception):
    """Takes the place of an error that nobody has thought of."""


class FailingCalls:
    """Makes a method of an object fail while ``is_failing``.

    It fails at most ``limit`` times, if there is a limit.
    """

    def __init__(
        self, monkeypatch, owner, name, applies=lambda *a: True, limit=None
    ):
        self.is_failing = True
        self.count = 0
        original = getattr(owner, name)

        def call(*arguments, **options):
            if self.is_failing and applies(*arguments):
                self.count += 1
                self.is_failing = self.count != limit
                raise UnexpectedError(name)
            return original(*arguments, **options)

        monkeypatch.setattr(owner, name, call)


def send_signal(number):
    """Send a signal to the node; without its handler it ends the tests."""
    assert signal.getsignal(number) is not signal.SIG_DFL
    os.kill(os.getpid(), number)


async def begin_request(environment, number=1):
    """Begin a request that the backend server does not answer yet."""
    held = []
    environment.behave = lambda c, h, i: held.append((c, i))
    request = asyncio.ensure_future(
        environment.request(number, b"/long/x", timeout_s=30.0)
    )
    await harness.settle(0.1)
    environment.behave = lambda c, h, i: c.answer(i)
    ((connection, request_id),) = held
    return request, lambda: connection.answer(request_id)


async def prepare(environment):
    await environment.heartbeat()
    long_route = harness.ROUTE._replace(prefix="/long/", timeout_ms=30_000)
    environment.node._outbound_proxy.activate(
        harness.routing_table(2, (harness.ROUTE, long_route))
    )
    await harness.settle(0.1)


def patch_log(monkeypatch, environment):
    return FailingCalls(monkeypatch, environment.node._decisions, "flush")


async def log_works(environment):
    environment.node._decisions.write("store_regained", False, marker=1)
    await harness.settle(0.3)
    assert not environment.node._decisions._lines


def patch_configuration(monkeypatch, environment):
    faults = FailingCalls(
        monkeypatch, environment.store, "watch", lambda key, *_: key == "conf"
    )
    environment.store.put("conf", b"3")
    return faults


async def configuration_works(environment):
    environment.store.put("conf", b"4")
    await harness.settle(0.1)
    assert environment.node._outbound_proxy.version == 4


def patch_decoder(monkeypatch, environment):
    faults = FailingCalls(
        monkeypatch, environment.node._configuration, "_decode"
    )
    environment.store.put("conf", b"3")
    return faults


def patch_registration(monkeypatch, environment):
    return FailingCalls(monkeypatch, environment.store, "renew")


async def registration_works(environment):
    key = environment.node._registration._key
    environment.store.remove(key)
    await harness.settle(registration.RENEWAL_INTERVAL_S)
    assert key in environment.store.items


def patch_node_list(monkeypatch, environment):
    faults = FailingCalls(
        monkeypatch, environment.node._registration, "_apply"
    )
    put_node(environment, "n7")
    return faults


def put_node(environment, name):
    entry = b'{"host":"%s","port":5,"zone":"z1","region":"r1"}'
    environment.store.put(f"nodes/{name}", entry % name.encode())


async def node_list_works(environment):
    put_node(environment, "n8")
    await harness.settle(registration.WATCH_PAUSE_S + 0.1)
    assert {"n7", "n8"} <= set(environment.node._peers._peers)


def patch_settings(monkeypatch, environment):
    environment.reloaded = environment.settings._replace(service="other")
    return FailingCalls(
        monkeypatch, environment.node._adapter, "reload_settings"
    )


async def settings_work(environment):
    assert environment.node._outbound_proxy.service == "other"
    environment.reloaded = environment.settings._replace(service="third")
    await harness.settle(5)
    assert environment.node._outbound_proxy.service == "third"


async def metrics_work(environment):
    answer = await test_node.call(
        environment.settings.metrics, b"GET /metrics HTTP/1.1\r\n\r\n"
    )
    assert isinstance(answer, http1.Answer)
    assert answer.status == 200


@pytest.mark.parametrize(
    ("patch", "works"),
    [
        pytest.param(patch_log, log_works, id="log"),
        pytest.param(
            patch_configuration, configuration_works, id="configuration"
        ),
        pytest.param(
            patch_decoder, configuration_works, id="configuration_decoder"
        ),
        pytest.param(
            patch_registration, registration_works, id="registration"
        ),
        pytest.param(patch_node_list, node_list_works, id="node_list"),
        pytest.param(patch_settings, settings_work, id="settings"),
    ],
)
def test_node_serves_while_a_task_fails_and_recovers(
    run_node, monkeypatch, patch, works
):
    async def scenario(environment):
        await prepare(environment)
        request, answer = await begin_request(environment)
        faults = patch(monkeypatch, environment)
        await harness.settle(8)
        assert faults.count >= 3
        assert not environment.task.done()
        assert (await environment.request(2)).status == 200
        answer()
        assert (await request).status == 200
        faults.is_failing = False
        await harness.settle(5)
        await works(environment)

    assert b'"event":"task_failed"' in run_node(scenario)


def test_cancellation_that_nobody_asked_for_does_not_end_a_node(
    run_node, monkeypatch
):
    """A task that waits for a cancelled future raises the error by which
    tasks are cancelled. All tasks ended with it, without a planned stop.
    """

    async def scenario(environment):
        await prepare(environment)
        request, answer = await begin_request(environment)

        async def wait_in_vain(*_):
            waited_for = asyncio.get_running_loop().create_future()
            waited_for.cancel()
            await waited_for

        with monkeypatch.context() as patches:
            patches.setattr(environment.store, "renew", wait_in_vain)
            await harness.settle(8)
        assert not environment.task.done()
        answer()
        assert (await request).status == 200
        await registration_works(environment)

    log = run_node(scenario)
    assert b'"task":"registration","error":"CancelledError"' in log


def test_entry_that_raises_does_not_hide_the_others(run_node, monkeypatch):
    """All entries were read again, and those behind it never applied."""

    async def scenario(environment):
        await prepare(environment)
        FailingCalls(
            monkeypatch,
            environment.node._registration,
            "_decode",
            lambda item: item.key == "nodes/n7",
        )
        put_node(environment, "n7")
        put_node(environment, "n8")
        await harness.settle(registration.WATCH_PAUSE_S + 0.1)
        assert "n8" in environment.node._peers._peers

    lines = run_node(scenario)
    assert b'"reason":"entry nodes/n7"' in lines
    assert b'"task_failed"' not in lines


def test_health_check_that_raises_is_logged(run_node, monkeypatch):
    """The error stayed in a task whose result nobody reads."""

    async def scenario(environment):
        async def raise_error(*_):
            raise OverflowError("port must be 0-65535")

        monkeypatch.setattr(
            test_node.node.inbound.local, "check_health", raise_error
        )
        await environment.heartbeat()
        await harness.settle(0.1)
        await environment.heartbeat(2)
        await harness.settle(0.1)
        assert (await environment.request(1)).status == 200

    lines = run_node(scenario)
    assert b'"reason":"health check"' in lines
    assert b'"error":"OverflowError"' in lines


def test_node_starts_while_the_metrics_fail(run_node, monkeypatch):
    faults = []
    listen = test_node.node.Node._listen

    async def failing_listen(self, address, *arguments):
        if address.port == harness.SETTINGS.metrics.port and len(faults) < 3:
            faults.append(address)
            raise UnexpectedError
        return await listen(self, address, *arguments)

    monkeypatch.setattr(test_node.node.Node, "_listen", failing_listen)

    async def scenario(environment):
        await prepare(environment)
        assert (await environment.request(1)).status == 200
        await harness.settle(5)
        assert len(faults) == 3
        await metrics_work(environment)

    assert b'"task":"metrics"' in run_node(scenario)


CHECKS = (
    ("_node", "_on_pause"),
    ("_peers", "check_waiting_links"),
    ("_outbound_proxy", "tick"),
    ("_peers", "tick"),
    ("_inbound_proxy", "tick"),
    ("_node", "_check_connections"),
)


@pytest.mark.parametrize(("owner", "name"), CHECKS)
def test_failing_check_does_not_stop_the_others(
    run_node, monkeypatch, owner, name
):
    """Silent links, overdue attempts and idle connections would stay."""

    async def scenario(environment):
        await prepare(environment)
        request, answer = await begin_request(environment)
        node = environment.node
        owners = {"_node": node}
        check_pause = node._pauses.check
        monkeypatch.setattr(
            node._pauses, "check", lambda: check_pause() or pauses.Pause(0, 0)
        )
        faults = FailingCalls(
            monkeypatch, owners.get(owner) or getattr(node, owner), name
        )
        carried_out = set()
        for other, check in CHECKS:
            if (other, check) != (owner, name):
                monkeypatch.setattr(
                    owners.get(other) or getattr(node, other),
                    check,
                    lambda *_, key=(other, check): carried_out.add(key),
                )
        await harness.settle(3)
        assert faults.count >= 10
        assert carried_out == set(CHECKS) - {(owner, name)}
        assert (await environment.request(2)).status == 200
        answer()
        assert (await request).status == 200

    run_node(scenario)


def test_failing_reload_does_not_end_a_node(run_node, monkeypatch):
    """OverflowError and RecursionError of a settings file ended it."""

    async def scenario(environment):
        await prepare(environment)
        request, answer = await begin_request(environment)
        faults = FailingCalls(
            monkeypatch, environment.node._adapter, "reload_settings"
        )
        for _ in range(3):
            send_signal(signal.SIGHUP)
            await harness.settle(0.01)
        assert faults.count == 3
        answer()
        assert (await request).status == 200
        faults.is_failing = False
        environment.reloaded = environment.settings._replace(service="other")
        send_signal(signal.SIGHUP)
        await harness.settle(0.1)
        assert environment.node._outbound_proxy.service == "other"

    assert b'"task":"signals"' in run_node(scenario)


def test_failing_log_line_does_not_prevent_a_planned_stop(
    run_node, monkeypatch
):
    async def scenario(environment):
        await prepare(environment)
        request, answer = await begin_request(environment)
        FailingCalls(
            monkeypatch,
            environment.node._decisions,
            "write",
            lambda event, *_: event == "stop_requested",
        )
        send_signal(signal.SIGTERM)
        await harness.settle(0.5)
        assert not await environment.is_ready()
        answer()
        assert (await request).status == 200
        async with asyncio.timeout(6):
            await environment.task

    run_node(scenario)


def test_failures_are_counted_by_task_and_error(run_node, monkeypatch):
    async def scenario(environment):
        await prepare(environment)
        patch_registration(monkeypatch, environment)
        await harness.settle(5)
        answer = await test_node.call(
            environment.settings.metrics, b"GET /metrics HTTP/1.1\r\n\r\n"
        )
        (line,) = [
            line
            for line in answer.body.decode().splitlines()
            if "task_failures_total{" in line
        ]
        assert 'task="registration"' in line
        assert 'error="UnexpectedError"' in line

    run_node(scenario)


def test_node_that_never_had_a_configuration_is_not_ready(
    run_node, monkeypatch
):
    """Its callers would all get 503."""

    async def scenario(environment):
        environment.node._outbound_proxy._table = None
        patch_decoder(monkeypatch, environment)
        await harness.settle(8)
        assert not await environment.is_ready()
        assert (await environment.request(1)).status == 503

    run_node(scenario)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        ("_outbound_proxy", "begin_stop"),
        ("_inbound_proxy", "stop"),
        ("_outbound_proxy", "refuse_new_requests"),
        ("_node", "_is_idle"),
        ("_outbound_proxy", "end_all"),
        ("_inbound_proxy", "end_all"),
        ("_peers", "close"),
        ("_connection", "close_idle"),
    ],
)
@pytest.mark.parametrize("limit", [None, 1], ids=["always", "once"])
def test_failing_step_of_a_planned_stop_cuts_no_request(
    run_node, monkeypatch, owner, name, limit
):
    """The process ended at once, with the requests in flight on it."""

    async def scenario(environment):
        await prepare(environment)
        request, answer = await begin_request(environment)
        node = environment.node
        owners = {
            "_node": node,
            "_connection": test_node.node.http1.ServerConnection,
        }
        faults = FailingCalls(
            monkeypatch,
            owners.get(owner) or getattr(node, owner),
            name,
            limit=limit,
        )
        send_signal(signal.SIGTERM)
        await harness.settle(0.3)
        assert not await environment.is_ready()
        assert (await environment.request(2)).status == 200
        await harness.settle(3)
        assert not environment.task.done()
        answer()
        assert (await request).status == 200
        async with asyncio.timeout(2.5):
            await environment.task
        assert faults.count

    lines = run_node(scenario)
    assert b'"event":"node_stopped"' in lines


def test_stop_with_a_failing_step_ends_in_time(run_node, monkeypatch):
    """A process that is still there at the end of the grace is killed."""

    async def scenario(environment):
        await prepare(environment)
        request, _ = await begin_request(environment)
        FailingCalls(monkeypatch, environment.node, "_is_idle")
        send_signal(signal.SIGTERM)
        async with asyncio.timeout(5.5):
            await environment.task
        assert (await request).status == 502

    run_node(scenario)
