"""The metrics of a node are read from its counters."""

import anyio
import pytest

from clementinekeel.daemon import node as node_module
from clementinekeel.operators import metrics
from clementinekeel.runtime import invariants
from tests.daemon import daemon_settings

pytestmark = pytest.mark.anyio


@pytest.fixture
async def node(tmp_path):
    loaded = daemon_settings.load(tmp_path)
    created = await node_module.Node.create(loaded)
    yield created
    # The sockets are closed by the tasks that own them.
    for run in (created.server.run, created.gossip.run):
        with anyio.CancelScope() as scope:
            scope.cancel()
            await run()


async def test_every_metric_has_a_value(node, monkeypatch):
    """A documented metric without a value would mislead operators."""
    monkeypatch.setitem(invariants.violations, "some_invariant", 2)
    node.entry.counts.update(completed=3, attempts=5)
    node.entry.problem_counts["overload"] = 4
    node.owner.counts.update(calls=6, refused=7)
    node.gossip.counters.dropped["replay"] = 8
    node.drop_log.record("n2", "stale message: x")
    reporter = node.status_reporter
    samples = list(reporter.samples())
    assert {s.name for s in samples} == {m.name for m in metrics.METRICS}
    counted = metrics.NodeMetrics()
    counted.update(samples)
    lines = counted.render()[0].decode().splitlines()
    for line in (
        'requests_total{outcome="completed"} 3',
        'requests_total{outcome="unknown"} 0',
        'problems_total{reason="overload"} 4',
        "attempts_total 5",
        "calls_received_total 6",
        'calls_ended_total{outcome="refused"} 7',
        'messages_dropped_total{channel="gossip",reason="replay"} 8',
        'messages_dropped_total{channel="session",reason="stale message"} 1',
        'invariant_violations_total{invariant="some_invariant"} 2',
        'state{state="joining"} 1',
    ):
        assert metrics.PREFIX + line in lines
