"""Backend servers that state how many requests a second they take.

The bound is the operators' rule: from four seconds after the first statement,
no more requests in any four seconds than one and a half times what the limit
allows, and five.
"""

import asyncio

import pytest

from tests import memory_loop
from tests.sidecar import harness

WINDOW_S = 4.0
THROTTLE_RECOVERY_S = 10
"""Time in which the throttle of a route admits all requests again."""
SETTLING_S = 4.0


class LimitedServer(harness.BackendServer):
    """A backend server that states a limit and answers after a while."""

    def __init__(self, host, limit=None, work_s=0.1):
        super().__init__(host, self.run)
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.work_s = work_s
        self.arrivals = []

    def run(self, connection, headers, request_id):
        self.arrivals.append(self.loop.time())
        self.loop.call_later(self.work_s, self.finish, connection, request_id)

    def finish(self, connection, request_id):
        extra = (
            b"" if self.limit is None else b"Rate-Limit: %s\r\n" % self.limit
        )
        connection.answer(request_id, extra=extra)

    def most_in_a_window(self, start):
        times = [at for at in self.arrivals if at >= start]
        return max(
            (sum(at <= t < at + WINDOW_S for t in times) for at in times),
            default=0,
        )


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


async def send_steadily(members, rate, seconds, path=b"/a/x"):
    """Send requests at a rate, from the members in turn."""
    connections = []
    for number in range(round(rate * seconds)):
        member = members[number % len(members)]
        connections.append(harness.send(member, path=path)[0])
        await asyncio.sleep(1 / rate)
        if number % 10 == 0:
            for each in members:
                each.tick()
    await asyncio.sleep(1.5)
    return connections


def served_share(connections):
    statuses = [c.answers[0][0] for c in connections if c.answers]
    return sum(status == 200 for status in statuses) / len(connections)


def run_members(function, limits, slots=50, others=0):
    """Run a scenario with one member for each limit (None for none).

    ``others`` is the number of further members, without a backend server.
    """

    async def main():
        members = [
            harness.Member(f"n{i + 1}") for i in range(len(limits) + others)
        ]
        servers = [
            LimitedServer(m.settings.node, limit)
            for m, limit in zip(members, limits, strict=False)
        ]
        for member in members:
            for other in members:
                member.add_peer(other)
        await harness.settle()
        for member in members[: len(limits)]:
            member.inbound_proxy.on_heartbeat(
                harness.heartbeat(member.settings.node, slots=slots)
            )
        await harness.settle()
        await function(members, servers)

    memory_loop.run(main)


@pytest.mark.parametrize("limit", [b"20", b"5", b"1.5", b"0"])
def test_backend_server_gets_no_more_requests_than_its_limit(limit):
    async def scenario(members, servers):
        start = servers[0].loop.time() + SETTLING_S
        await send_steadily(members, 60, 14)
        assert servers[0].most_in_a_window(start) <= allowed(float(limit))
        assert len([t for t in servers[0].arrivals if t > start]) >= 2

    run_members(scenario, [limit], others=1)


def test_requests_go_to_endpoints_without_a_limit():
    """Requests that a limited endpoint doesn't take are not refused while
    another endpoint has free slots.
    """

    async def scenario(members, servers):
        connections = await send_steadily(members, 60, 10)
        assert servers[0].most_in_a_window(0.0) <= allowed(5) + 60
        assert served_share(connections) > 0.99

    run_members(scenario, [b"5", None])


def test_waiting_requests_do_not_exceed_a_limit_that_falls():
    """Requests that wait for a slot are sent when slots become free."""

    async def scenario(members, servers):
        servers[0].work_s = 0.3
        await send_steadily(members, 60, 3)
        servers[0].limit = b"4"
        start = servers[0].loop.time() + SETTLING_S
        await send_steadily(members, 60, 10)
        assert servers[0].most_in_a_window(start) <= allowed(4)

    run_members(scenario, [None, None], slots=6)


def test_important_requests_are_served_within_the_limit():
    """Lookups are refused first when all endpoints have limits."""

    async def scenario(members, servers):
        lookups, bookings = await asyncio.gather(
            send_steadily(members, 40, 12),
            send_steadily(members, 6, 12, path=b"/b/x"),
        )
        assert served_share(bookings) > 0.95
        assert served_share(lookups) < 0.7

    run_members(scenario, [b"10", b"10"])


def test_limit_ends_when_answers_no_longer_state_it():
    async def scenario(members, servers):
        await send_steadily(members, 40, 8)
        servers[0].limit = None
        await send_steadily(members, 40, THROTTLE_RECOVERY_S)
        served = await send_steadily(members, 40, 5)
        assert served_share(served) > 0.99

    run_members(scenario, [b"5"])


def test_limit_of_zero_ends_when_answers_no_longer_state_it():
    """Without any request, no answer could tell that the limit has ended."""

    async def scenario(members, servers):
        await send_steadily(members, 20, 8)
        servers[0].limit = None
        await send_steadily(members, 20, 2 + THROTTLE_RECOVERY_S)
        served = await send_steadily(members, 20, 5)
        assert served_share(served) > 0.99

    run_members(scenario, [b"0"])


@pytest.mark.parametrize("value", [b"-1", b"much", b"inf", b""])
def test_malformed_limit_does_not_end_a_limit(value):
    async def scenario(members, servers):
        start = servers[0].loop.time() + SETTLING_S
        await send_steadily(members, 60, 6)
        servers[0].limit = value
        await send_steadily(members, 60, 8)
        assert servers[0].most_in_a_window(start) <= allowed(5)

    run_members(scenario, [b"5", None])


def test_earlier_answer_without_a_limit_does_not_end_a_limit():
    """An answer to a request that was sent before the limit was stated may
    arrive after the statement.
    """

    async def scenario(members, servers):
        start = servers[0].loop.time() + SETTLING_S
        late = []

        def run(connection, headers, request_id):
            servers[0].arrivals.append(servers[0].loop.time())
            if len(servers[0].arrivals) <= 20:
                late.append((connection, request_id))
                return
            connection.answer(request_id, extra=b"Rate-Limit: 5\r\n")
            if late:
                late_connection, late_id = late.pop()
                late_connection.answer(late_id)

        servers[0].behave = run
        await send_steadily(members, 60, 14)
        assert servers[0].most_in_a_window(start) <= allowed(5)

    run_members(scenario, [b"5"])


def test_limit_belongs_to_the_incarnation_that_stated_it():
    """A backend server that starts at the same address takes all requests."""

    async def scenario(members, servers):
        await send_steadily(members, 40, 8)
        servers[0].limit = None
        members[0].inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", slots=50, incarnation_ms=2)
        )
        await send_steadily(members, 40, THROTTLE_RECOVERY_S)
        assert served_share(await send_steadily(members, 40, 5)) > 0.99

    run_members(scenario, [b"5"])


def test_restarted_node_keeps_to_a_limit_that_other_nodes_know():
    """A restarted node fills all slots before the first answer tells it of
    the limit; with slow answers these are many requests.
    """

    async def scenario(members, servers):
        await send_steadily(members[1:], 60, 8)
        servers[0].work_s = 2.0
        members[0].peers.close()
        await harness.settle(1.0)
        restarted = harness.Member("n1")
        restarted.add_peer(members[1])
        restarted.inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 2, slots=50)
        )
        start = servers[0].loop.time()
        await harness.settle(1.0)
        for member in members[1:]:
            member.tick()
        await harness.settle(0.5)
        await send_steadily(members[1:], 60, 4)
        assert restarted.inbound_proxy.status.endpoint == "e-n1"
        assert any(t > start for t in servers[0].arrivals)
        assert servers[0].most_in_a_window(start) <= allowed(5)

    run_members(scenario, [b"5"], others=1)


def test_status_of_a_new_incarnation_has_no_limit_of_the_earlier_one():
    """Other nodes would send it less than it takes."""

    async def scenario(members, servers):
        await send_steadily(members, 40, 2)
        members[0].inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", slots=50, incarnation_ms=2)
        )
        status = members[0].inbound_proxy.status
        assert (status.started_ms, status.rate_limit_per_s) == (2, None)

    run_members(scenario, [b"5"])


def test_other_nodes_learn_the_incarnation_that_a_heartbeat_completes():
    """They could not assign a statement after a restart of the node."""

    async def scenario(members, servers):
        members[0].inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", is_from_health_check=True)
        )
        await harness.settle()
        members[0].inbound_proxy.on_heartbeat(
            harness.heartbeat("n1", 3, slots=50, incarnation_ms=9)
        )
        await harness.settle()
        (peer,) = [p for p in members[1].peers.known if p.node == "n1"]
        assert peer.status.started_ms == 9

    run_members(scenario, [None], others=1)
