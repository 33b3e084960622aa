"""In-memory network between several ``Membership`` objects."""

import heapq
import itertools
import random

from clementinekeel.membership import membership
from clementinekeel.membership import messages
from clementinekeel.membership import records

TICK_MS = membership.TICK_INTERVAL_MS


class Network:
    """Nodes by address; time advances only through ``run``."""

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        self.nodes = {}
        self.paused = set()
        self.cut = set()
        self.loss = 0.0
        self.sent = []
        self._queue = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)

    def start(self, name, zone="z", service="", seeds=(), address=None):
        own = records.MemberRecord(
            node_id=name,
            incarnation=next(self._incarnations),
            version=1,
            zone=zone,
            region="r",
            address=address or f"{name}:1",
            state=records.MemberState.JOINING,
            service=service,
            endpoint=name,
            configuration_version=0,
        )
        node = membership.Membership(
            own, seeds, random.Random(self.random.random()), self.now_ms
        )
        self.nodes[own.address] = node
        self.paused.discard(own.address)
        ready = records.MemberState.READY
        self.deliver(node, node.update_own(self.now_ms, state=ready))
        return node

    def start_zone(self, zone, names, service="", seeds=()):
        return [self.start(name, zone, service, seeds) for name in names]

    def kill(self, node):
        del self.nodes[node.own.address]

    def pause(self, node):
        self.paused.add(node.own.address)

    def resume(self, node):
        self.paused.discard(node.own.address)

    def cut_link(self, source, target):
        self.cut.add((source.own.address, target.own.address))

    def cut_between(self, some, others):
        for one, other in itertools.product(some, others):
            self.cut_link(one, other)
            self.cut_link(other, one)

    def deliver(self, node, effects):
        source = node.own.address
        for address, payload in effects.messages:
            self.sent.append((source, address, payload))
            is_lost = self.random.random() < self.loss
            if (source, address) not in self.cut and not is_lost:
                due_ms = self.now_ms + 1
                item = (due_ms, next(self._order), source, address, payload)
                heapq.heappush(self._queue, item)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._flush()
            for address, node in list(self.nodes.items()):
                if address not in self.paused:
                    self.deliver(node, node.tick(self.now_ms))
            self._flush()

    def _flush(self):
        # Messages to a paused node wait, as in its socket buffer.
        undelivered = []
        while self._queue:
            item = heapq.heappop(self._queue)
            _, _, source, address, payload = item
            if address in self.paused:
                undelivered.append(item)
            elif address in self.nodes:
                node = self.nodes[address]
                effects = node.receive(source, payload, self.now_ms)
                self.deliver(node, effects)
        self._queue = undelivered[-1_000:]
        heapq.heapify(self._queue)


def names(node):
    return sorted(record.node_id for record in node.members)


def view_of(node):
    return sorted(
        (r.node_id, r.incarnation, r.version, str(r.state))
        for r in node.members
    )


def status_of(notices):
    return {messages.Status(notice.status) for notice in notices}
