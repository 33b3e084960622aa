"""Cost of membership at one node by the number of known members.

The node is a relay, the role with the most work. One other ``Membership``
object answers for all peers, so that the node sends and receives the same
messages as among real peers, encoded and decoded with the real codec. Run
with ``python -m bench.membership``.
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
QUIET_DURATION_S = 30
RESTARTS_DURATION_S = 10
ENDPOINTS_PER_SERVICE = 10
KEY = b"k" * 32
TARGETS = "targets: 1.3% of a core, 32 MB, 12 KB/s"


class Row(NamedTuple):
    """Figures of one phase at one number of members.

    Attributes
    ----------
    tick_us, probe_us : float
        Mean CPU time of a tick, and of the receipt of a probe.
    core_percent : float
        CPU time as a share of one core.
    known_after : int
        Members that the node knows at the end of the phase.
    """

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


class NodeBench:
    """The measured node, its peers, and a simulated clock.

    Parameters
    ----------
    size : int
        Number of members.
    """

    def __init__(self, size: int) -> None:
        self._random = random.Random(size)
        self._zones = 4 if size < 1_000 else 9
        self._records = [
            make_record(number, self._zones, self._random.getrandbits(64))
            for number in range(size)
        ]
        zone = [r for r in self._records if r.zone == "zone-0"]
        own = max(zone, key=lambda r: relays.score(r.key, r))
        self._records.remove(own)
        self._by_address = {r.address: r for r in self._records}
        self._now_ms = 1_000
        peers_record = self._records[0]
        seeds = [peers_record.address]
        self._peers = membership.Membership(
            peers_record, [], random.Random(1), self._now_ms
        )
        self._add_members(self._peers, self._records[1:])
        gc.collect()
        tracemalloc.start()
        self.node = membership.Membership(
            own, seeds, random.Random(2), self._now_ms
        )
        self._add_members(self.node, self._records)
        gc.collect()
        self.bytes_per_member = tracemalloc.get_traced_memory()[0] / size
        tracemalloc.stop()
        self._add_members(self._peers, [own])
        self._codecs = [
            codec_module.Codec(codec_module.Keyring([KEY]), name, 1)
            for name in ("vm-own", "vm-peer")
        ]
        self._sequence = 0
        self._updates: list[Any] = []
        self.reset()

    def reset(self) -> None:
        """Reset the counters."""
        self.cpu_ns = 0
        self.tick_ns: list[int] = []
        self.probe_ns: list[int] = []
        self.messages_on_wire = 0
        self.bytes_on_wire = 0

    def run(self, duration_s: int, restarts: int) -> None:
        """Advance time; spread restarts of random members evenly over it."""
        ticks = duration_s * 1_000 // membership.TICK_INTERVAL_MS
        for tick in range(ticks):
            self._now_ms += membership.TICK_INTERVAL_MS
            restart_count = (
                restarts * (tick + 1) // ticks - restarts * tick // ticks
            )
            for _ in range(restart_count):
                self._restart()
            self._peers.tick(self._now_ms)
            started_ns = time.process_time_ns()
            effects = self.node.tick(self._now_ms)
            spent_ns = time.process_time_ns() - started_ns
            self.tick_ns.append(spent_ns)
            self.cpu_ns += spent_ns
            self._deliver(effects)
            if tick % 10 == 5:
                self._receive_probe()
                self._receive_probe()
                self._receive_digest()

    def _add_members(self, node: Any, new_records: list[Any]) -> None:
        node.receive(
            "x:1",
            messages.Members(new_records[0], tuple(new_records)),
            self._now_ms,
        )

    def _restart(self) -> None:
        index = self._random.randrange(1, len(self._records))
        old = self._records[index]
        new = old._replace(incarnation=self._random.getrandbits(64))
        self._records[index] = new
        self._by_address[new.address] = new
        notice = messages.Notice(
            old.key, old.version, messages.Status.REPLACED, (1,)
        )
        self._updates += [new, notice]
        del self._updates[: -messages.MAX_PIGGYBACKED * 8]
        delta = messages.Delta("", 0, 0, b"", (new,), (notice,), ())
        self._peers.receive("x:1", delta, self._now_ms)

    def _piggyback(self) -> Any:
        count = min(messages.MAX_PIGGYBACKED, len(self._updates))
        chosen = self._random.sample(self._updates, count)
        return messages.Piggyback(
            tuple(c for c in chosen if isinstance(c, records.MemberRecord)),
            tuple(c for c in chosen if isinstance(c, messages.Notice)),
            17,
            self._records[0].address,
        )

    def _receive_probe(self) -> None:
        sender = self._random.choice(self._records)
        self._receive(
            messages.Probe(
                self._random.getrandbits(62), sender, self._piggyback()
            )
        )

    def _receive_digest(self) -> None:
        anti_entropy = self._peers._anti_entropy
        self._receive(anti_entropy.digest(self._peers.own, ()))

    def _deliver(self, effects: Any) -> None:
        for address, payload in effects.messages:
            self._encode(0, payload)
            for answer in self._answers(address, payload):
                self._receive(answer)

    def _answers(self, address: str, payload: Any) -> list[Any]:
        if isinstance(payload, messages.Probe):
            record = self._by_address.get(address)
            if record is None:
                return []
            ack = messages.ProbeAck(payload.serial, record, self._piggyback())
            return [ack]
        if isinstance(payload, messages.Digest | messages.Delta):
            effects = self._peers.receive("x:1", payload, self._now_ms)
            return [outgoing.payload for outgoing in effects.messages]
        return []

    def _encode(self, side: int, payload: Any) -> bytes:
        """Encode a message of the node (side 0) or of a peer (side 1)."""
        self._sequence += 1
        started_ns = time.process_time_ns()
        frames = self._codecs[side].encode(
            payload, b"", _datagram_filter.GOSSIP_SESSION, self._sequence, 1
        )
        encoded = msgspec.msgpack.encode(frames)
        if side == 0:
            self.cpu_ns += time.process_time_ns() - started_ns
        self.messages_on_wire += 1
        self.bytes_on_wire += len(encoded)
        return encoded

    def _receive(self, payload: Any) -> None:
        encoded = self._encode(1, payload)
        started_ns = time.process_time_ns()
        frames = msgspec.msgpack.decode(encoded)
        message = self._codecs[0].decode(frames, "x:1")
        effects = self.node.receive("x:1", message.payload, self._now_ms)
        spent_ns = time.process_time_ns() - started_ns
        self.cpu_ns += spent_ns
        if isinstance(payload, messages.Probe):
            self.probe_ns.append(spent_ns)
        self._deliver(effects)

    def make_row(self, phase: str, duration_s: int) -> Row:
        """Return the figures since the last reset."""
        return Row(
            len(self._records) + 1,
            phase,
            sum(self.tick_ns) / len(self.tick_ns) / 1e3,
            sum(self.probe_ns) / len(self.probe_ns) / 1e3,
            self.messages_on_wire / duration_s,
            self.bytes_on_wire / duration_s,
            self.cpu_ns / 1e7 / duration_s,
            self.bytes_per_member,
            len(self.node.members),
        )


def measure(size: int) -> list[Row]:
    """Return the figures of one size: without, during and after restarts."""
    node_bench = NodeBench(size)
    node_bench.run(10, 0)
    rows = []
    for phase, duration_s, restarts in (
        ("quiet", QUIET_DURATION_S, 0),
        ("restarts", RESTARTS_DURATION_S, size // 10),
        ("after", QUIET_DURATION_S, 0),
    ):
        node_bench.reset()
        node_bench.run(duration_s, restarts)
        rows.append(node_bench.make_row(phase, duration_s))
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
