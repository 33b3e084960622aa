"""Cost of one node's membership by the number of known members.

The node is a relay, the costliest role. One other ``Membership`` object
stands for the rest of the fleet: it answers for every address, so that the
node sends and receives what it would among real peers, encoded and decoded
with the real codec. Run with ``python -m bench.membership``.
"""

import gc
import random
import time
import tracemalloc
from typing import Any, NamedTuple

import msgspec

from clementinekeel.membership import membership
from clementinekeel.membership import messages
from clementinekeel.membership import records
from clementinekeel.membership import relays
from clementinekeel.nodes import _datagram_filter
from clementinekeel.nodes import codec as codec_module

SIZES = (16, 60, 200, 1_000, 3_000, 27_000)
QUIET_S = 30
CHURN_S = 10
ENDPOINTS_PER_SERVICE = 10
KEY = b"k" * 32
TARGETS = "targets: 1.3% of a core, 32 MB, 12 KB/s"


class Row(NamedTuple):
    """Figures of one run; CPU in microseconds."""

    members: int
    phase: str
    tick_us: float
    probe_us: float
    messages_per_s: float
    bytes_per_s: float
    core_percent: float
    bytes_per_member: float
    known_after: int


def make_record(number: int, zones: int, incarnation: int) -> Any:
    """Return the record of one synthetic member."""
    zone = number % zones
    return records.MemberRecord(
        f"vm-{number:06d}",
        incarnation,
        2,
        f"zone-{zone}",
        f"region-{zone // 3}",
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7400",
        records.MemberState.READY,
        f"service-{number // (ENDPOINTS_PER_SERVICE * zones)}-{zone}",
        f"service-{number // (ENDPOINTS_PER_SERVICE * zones)}-{number}",
        17,
    )


class Bench:
    """One node, the rest of the fleet, and explicit time."""

    def __init__(self, size: int) -> None:
        self._random = random.Random(size)
        self._zones = 4 if size < 1_000 else 9
        self._all = [
            make_record(number, self._zones, self._random.getrandbits(64))
            for number in range(size)
        ]
        zone = [r for r in self._all if r.zone == "zone-0"]
        own = max(zone, key=lambda r: relays.score(r.key, r))
        self._all.remove(own)
        self._by_address = {r.address: r for r in self._all}
        self._now_ms = 1_000
        fleet = self._all[0]
        seeds = [fleet.address]
        self._fleet = membership.Membership(
            fleet, [], random.Random(1), self._now_ms
        )
        self._load(self._fleet, self._all[1:])
        gc.collect()
        tracemalloc.start()
        self.node = membership.Membership(
            own, seeds, random.Random(2), self._now_ms
        )
        self._load(self.node, self._all)
        gc.collect()
        self.memory = tracemalloc.get_traced_memory()[0] / size
        tracemalloc.stop()
        self._load(self._fleet, [own])
        self._codecs = [
            codec_module.Codec(codec_module.Keyring([KEY]), name, 1)
            for name in ("vm-own", "vm-peer")
        ]
        self._sequence = 0
        self._news: list[Any] = []
        self.reset()

    def reset(self) -> None:
        """Start counting."""
        self.cpu_ns = 0
        self.tick_ns: list[int] = []
        self.probe_ns: list[int] = []
        self.messages = 0
        self.bytes = 0

    def run(self, duration_s: int, restarts: int) -> None:
        """Advance time; restart some members evenly over it."""
        ticks = duration_s * 1_000 // membership.TICK_INTERVAL_MS
        for tick in range(ticks):
            self._now_ms += membership.TICK_INTERVAL_MS
            due = restarts * (tick + 1) // ticks - restarts * tick // ticks
            for _ in range(due):
                self._restart()
            self._fleet.tick(self._now_ms)
            started = time.process_time_ns()
            effects = self.node.tick(self._now_ms)
            spent = time.process_time_ns() - started
            self.tick_ns.append(spent)
            self.cpu_ns += spent
            self._send(effects)
            if tick % 10 == 5:
                self._probe_node()
                self._probe_node()
                self._digest_node()

    def _load(self, node: Any, some: list[Any]) -> None:
        node.receive(
            "x:1", messages.Members(some[0], tuple(some)), self._now_ms
        )

    def _restart(self) -> None:
        place = self._random.randrange(1, len(self._all))
        old = self._all[place]
        new = old._replace(incarnation=self._random.getrandbits(64))
        self._all[place] = new
        self._by_address[new.address] = new
        notice = messages.Notice(
            old.key, old.version, messages.Status.REPLACED, (1,)
        )
        self._news += [new, notice]
        del self._news[: -messages.MAX_PIGGYBACKED * 8]
        delta = messages.Delta("", 0, 0, b"", (new,), (notice,), ())
        self._fleet.receive("x:1", delta, self._now_ms)

    def _piggyback(self) -> Any:
        count = min(messages.MAX_PIGGYBACKED, len(self._news))
        chosen = self._random.sample(self._news, count)
        return messages.Piggyback(
            tuple(c for c in chosen if isinstance(c, records.MemberRecord)),
            tuple(c for c in chosen if isinstance(c, messages.Notice)),
            17,
            self._all[0].address,
        )

    def _probe_node(self) -> None:
        sender = self._random.choice(self._all)
        self._receive(
            messages.Probe(
                self._random.getrandbits(62), sender, self._piggyback()
            )
        )

    def _digest_node(self) -> None:
        exchange = self._fleet._anti_entropy
        self._receive(exchange.digest(self._fleet.own, ()))

    def _send(self, effects: Any) -> None:
        for address, payload in effects.messages:
            self._encode(0, payload)
            for answer in self._answers(address, payload):
                self._receive(answer)

    def _answers(self, address: str, payload: Any) -> list[Any]:
        if isinstance(payload, messages.Probe):
            subject = self._by_address.get(address)
            if subject is None:
                return []
            ack = messages.ProbeAck(payload.serial, subject, self._piggyback())
            return [ack]
        if isinstance(payload, messages.Digest | messages.Delta):
            effects = self._fleet.receive("x:1", payload, self._now_ms)
            return [outgoing.payload for outgoing in effects.messages]
        return []

    def _encode(self, side: int, payload: Any) -> bytes:
        self._sequence += 1
        started = time.process_time_ns()
        frames = self._codecs[side].encode(
            payload, b"", _datagram_filter.GOSSIP_SESSION, self._sequence, 1
        )
        data = msgspec.msgpack.encode(frames)
        if side == 0:
            self.cpu_ns += time.process_time_ns() - started
        self.messages += 1
        self.bytes += len(data)
        return data

    def _receive(self, payload: Any) -> None:
        data = self._encode(1, payload)
        started = time.process_time_ns()
        frames = msgspec.msgpack.decode(data)
        message = self._codecs[0].decode(frames, "x:1")
        effects = self.node.receive("x:1", message.payload, self._now_ms)
        spent = time.process_time_ns() - started
        self.cpu_ns += spent
        if isinstance(payload, messages.Probe):
            self.probe_ns.append(spent)
        self._send(effects)

    def row(self, phase: str, duration_s: int) -> Row:
        """Return the figures since the last reset."""
        return Row(
            len(self._all) + 1,
            phase,
            sum(self.tick_ns) / len(self.tick_ns) / 1e3,
            sum(self.probe_ns) / len(self.probe_ns) / 1e3,
            self.messages / duration_s,
            self.bytes / duration_s,
            self.cpu_ns / 1e7 / duration_s,
            self.memory,
            len(self.node.members),
        )


def measure(size: int) -> list[Row]:
    """Return the figures of one size: quiet, restarts, and after them."""
    bench = Bench(size)
    bench.run(10, 0)
    rows = []
    for phase, duration_s, restarts in (
        ("quiet", QUIET_S, 0),
        ("restarts", CHURN_S, size // 10),
        ("after", QUIET_S, 0),
    ):
        bench.reset()
        bench.run(duration_s, restarts)
        rows.append(bench.row(phase, duration_s))
    return rows


def main() -> None:
    """Print one table."""
    print(TARGETS)
    print(
        "members phase     tick_us probe_us  msg/s    B/s  core_%"
        "  B/member  known"
    )
    for size in SIZES:
        for row in measure(size):
            print(
                f"{row.members:7d} {row.phase:9s}{row.tick_us:8.1f}"
                f"{row.probe_us:9.1f}{row.messages_per_s:7.1f}"
                f"{row.bytes_per_s:7.0f}{row.core_percent:8.2f}"
                f"{row.bytes_per_member:10.0f}{row.known_after:7d}",
                flush=True,
            )


if __name__ == "__main__":
    main()
