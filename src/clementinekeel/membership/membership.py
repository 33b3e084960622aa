"""Membership protocol of one node, without sockets and clocks."""

from collections.abc import Iterable, Sequence
import random as random_module
from typing import Any

from clementinekeel.membership import _packing
from clementinekeel.membership import anti_entropy
from clementinekeel.membership import detector as detector_module
from clementinekeel.membership import directory
from clementinekeel.membership import joining
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records
from clementinekeel.membership import token_bucket
from clementinekeel.membership import zones as zones_module
from clementinekeel.routing import messages as routing_messages
from clementinekeel.runtime import invariants

TICK_INTERVAL_MS = 100
PAUSE_THRESHOLD_MS = 2_000
"""After a tick that is this late, other nodes may have missed our acks."""
ISOLATION_TIMEOUT_MS = 5_000
"""Without an ack for this long, this node's own link has probably failed."""
REJOIN_TIMEOUT_MS = 10_000
"""Without any message for this long, the node joins again."""
DIGEST_INTERVAL_MS = 5_000
CATCH_UP_INTERVAL_MS = 500
RELAY_INTERVAL_MS = 1_000
ENTRY_DIGEST_INTERVAL_MS = 30_000
"""Digests to entry points find parts of the fleet that do not know each other.
"""
RECONNECT_INTERVAL_MS = 5_000
READY_WITHOUT_ACK_MS = 10_000
"""Without any ack for this long after a pause, a node that had been confirmed
becomes ready again: a zone that is cut off must continue to serve with the
members that it knows."""
CONFIRM_INTERVAL_MS = 500
CONFIRM_PROBES = 3
IMMEDIATE_PROBES = 3
MEMBERS_PER_JOIN = 64
JOINS_PER_S = 100
RANDOM_MEMBER_SHARE = 0.25
"""Share of a relay's probes that go to a random member of another zone, since
all of its relays in the view may be gone."""
CONFIGURATION_PUBLISH_MS_PER_MEMBER = 100
"""Each configuration changes the record of every member; 0.5 changes/s and
27,000 members would give 14,000 records/s. Probes carry the version at once;
records follow at 10 records/s in the whole fleet."""
WITNESS_PROBES_PER_S = 10
"""Probes a second, by all members of the zone together, of a suspect that
needs a second witness."""
_HEADER_BYTES = 60
_OWN_FIELDS = frozenset(
    {"region", "state", "service", "endpoint", "configuration_version"}
)


class Membership:
    """Members of the fleet as one node sees them.

    The class opens no socket and reads no clock. Each method that takes the
    time returns the messages to send and the records that have changed.

    Parameters
    ----------
    own : MemberRecord
        First record of the node.
    seeds : sequence of str
        Addresses of entry points from the settings.
    random : random.Random
        Source of all random choices.
    now_ms : int
        Monotonic time.
    """

    def __init__(
        self,
        own: member_records.MemberRecord,
        seeds: Sequence[str],
        random: random_module.Random,
        now_ms: int,
    ) -> None:
        self._random = random
        self._requested_state = own.state
        if own.state is member_records.MemberState.READY:
            own = own._replace(state=member_records.MemberState.JOINING)
        self._directory = directory.Directory(own, random, now_ms)
        self._view = self._directory.view
        self._detector = self._directory.detector
        self._anti_entropy = anti_entropy.AntiEntropy(
            self._view, random, now_ms
        )
        self._joining = joining.Joining(own.address, seeds, random, now_ms)
        self._confirmation = joining.Confirmation()
        self._other_zones = zones_module.OtherZones()
        self._join_limit = token_bucket.TokenBucket(
            JOINS_PER_S, JOINS_PER_S, now_ms
        )
        self._now_ms = now_ms
        self._last_tick_ms = now_ms
        self._last_message_ms = now_ms
        self._last_ack_ms = now_ms - ISOLATION_TIMEOUT_MS
        self._was_ever_confirmed = False
        self._last_pause_ms = now_ms
        self._has_joined = False
        self._was_relay = False
        self._last_publish_ms = now_ms
        self._due_ms: dict[str, int] = {}
        self._timers = (
            (self._probe_zone, detector_module.PROBE_INTERVAL_MS),
            (self._probe_other_zone, RELAY_INTERVAL_MS),
            (self._digest_other_zone, RELAY_INTERVAL_MS),
            (self._digest_zone, DIGEST_INTERVAL_MS),
            (self._digest_entry_point, ENTRY_DIGEST_INTERVAL_MS),
            (self._reconnect, RECONNECT_INTERVAL_MS),
            (self._confirm, CONFIRM_INTERVAL_MS),
        )
        for action, interval_ms in self._timers:
            # Nodes that start at the same time must not send at the same time.
            offset_ms = random.randrange(interval_ms)
            self._due_ms[action.__name__] = now_ms + offset_ms
        self._handlers: dict[type[Any], Any] = {
            member_messages.Probe: self.on_probe,
            member_messages.ProbeAck: self.on_probe_ack,
            member_messages.ProbeRequest: self.on_probe_request,
            member_messages.Join: self.on_join,
            member_messages.Members: self.on_members,
            member_messages.Digest: self.on_digest,
            member_messages.Delta: self.on_delta,
        }

    @property
    def own(self) -> member_records.MemberRecord:
        """The node's own record."""
        return self._directory.own

    @property
    def members(self) -> list[member_records.MemberRecord]:
        """Records of all members, the node itself included."""
        return list(self._view.records())

    @property
    def is_relay(self) -> bool:
        """Whether the node is one of its zone's relays."""
        key = self._directory.own_key
        return key in self._view.relays(self.own.zone)

    @property
    def is_confirmed(self) -> bool:
        """Whether enough members have answered since a start or a pause."""
        return self._confirmation.is_complete

    @property
    def unreachable_zones(self) -> tuple[str, ...]:
        """Other zones that the node or its zone's relays cannot reach."""
        return self._other_zones.unreachable(self.is_relay, self._now_ms)

    @property
    def suspects(self) -> list[member_records.MemberRecord]:
        """Members that did not answer and have not been removed."""
        found = map(self._view.get, self._detector.suspicions)
        return [record for record in found if record is not None]

    @property
    def _is_isolated(self) -> bool:
        return self._now_ms - self._last_ack_ms >= ISOLATION_TIMEOUT_MS

    def members_of(self, zone: str) -> list[member_records.MemberRecord]:
        """Return the records of a zone's members."""
        return self._records(self._view.keys(zone))

    def find(
        self, member_id: member_records.MemberId
    ) -> member_records.MemberRecord | None:
        """Return the record of a member."""
        return self._view.get(member_id.key)

    def endpoints(self, service: str) -> list[routing_messages.Candidate]:
        """Return the endpoints of a service that take new work."""
        return [
            routing_messages.Candidate(
                record.endpoint,
                record.service,
                record.zone,
                record.region,
                record.node_id,
                record.incarnation,
                record.address,
            )
            for _, record in self._view.service_members(service)
            if record.state is member_records.MemberState.READY
        ]

    def relays(self, zone: str) -> list[member_records.MemberRecord]:
        """Return a zone's relays, best first."""
        return self._records(self._view.relays(zone))

    def newest_configuration(self) -> tuple[int, str]:
        """Return the newest configuration version and a node that has it."""
        return self._directory.newest_configuration

    def add_entry_points(self, addresses: Iterable[str]) -> None:
        """Add addresses of entry points, for example from the store."""
        self._joining.add(addresses, self._now_ms)

    def update_own(
        self, now_ms: int, **changes: Any
    ) -> member_messages.Effects:
        """Change fields of this node's record.

        A state of ``READY`` is published once the node is confirmed. The next
        probe carries a new configuration version; the record that other nodes
        store is published later.

        Raises
        ------
        ValueError
            If a field is part of the identity, or the record is too large.
        """
        effects = self._begin(now_ms)
        if not _OWN_FIELDS.issuperset(changes):
            raise ValueError(f"fixed field in {sorted(changes)}")
        if "configuration_version" in changes:
            version = changes.pop("configuration_version")
            self._directory.set_own_configuration(version)
            # With one probe a second, the version would take 8 s to reach
            # 3,000 nodes.
            self._probe_random(IMMEDIATE_PROBES)
        is_urgent = "state" in changes
        if is_urgent:
            self._requested_state = changes["state"]
            changes["state"] = self._allowed_state()
        changes = {
            name: value
            for name, value in changes.items()
            if getattr(self.own, name) != value
        }
        if changes:
            self._publish(**changes)
            if is_urgent:
                self._probe_random(IMMEDIATE_PROBES)
        return effects

    def leave(self, now_ms: int) -> member_messages.Effects:
        """Announce that the node takes no new work."""
        return self.update_own(
            now_ms, state=member_records.MemberState.LEAVING
        )

    def confirm_by_store(self, now_ms: int) -> member_messages.Effects:
        """Confirm the node, as the store gave it the newest configuration.

        A node whose entry points are all gone can thus become ready, although
        no member has answered.
        """
        effects = self._begin(now_ms)
        self._confirmation.waive()
        self._publish_allowed_state()
        return effects

    def tick(self, now_ms: int) -> member_messages.Effects:
        """Run the timers that are due; called every ``TICK_INTERVAL_MS``."""
        effects = self._begin(now_ms)
        self._last_tick_ms = now_ms
        if self._requested_state is member_records.MemberState.LEFT:
            return effects
        self._view.tombstones.expire(now_ms)
        self._ask_helpers()
        self._process_timed_out_probes()
        self._process_expired_suspicions()
        self._update_relay_role()
        for action, interval_ms in self._timers:
            if now_ms >= self._due_ms[action.__name__]:
                self._due_ms[action.__name__] = now_ms + interval_ms
                action()
        self._join()
        self._publish_configuration()
        return effects

    def receive(
        self, sender_address: str, message: Any, now_ms: int
    ) -> member_messages.Effects:
        """Handle a message from another node."""
        effects = self._begin(now_ms)
        handler = self._handlers.get(type(message))
        if (
            handler is not None
            and self._requested_state is not member_records.MemberState.LEFT
        ):
            self._last_message_ms = now_ms
            handler(sender_address, message)
        return effects

    def on_probe(self, address: str, message: member_messages.Probe) -> None:
        """Answer a probe, with notices that the sender must know of."""
        self._process_sender(message.sender)
        self._directory.apply_piggyback(message.piggyback)
        sender = message.sender
        notices = self._directory.notices_about(sender.key, sender.version)
        piggyback = self._directory.piggyback(self._own_bytes(), notices)
        self._send(
            address,
            member_messages.ProbeAck(message.serial, self.own, piggyback),
        )

    def on_probe_ack(
        self, address: str, message: member_messages.ProbeAck
    ) -> None:
        """Accept an ack as evidence only if it answers a pending probe."""
        self._process_sender(message.subject)
        self._directory.apply_piggyback(message.piggyback)
        pending = self._detector.complete_probe(message.serial)
        if pending is None:
            return
        subject = message.subject
        key = subject.key
        if pending.requester:
            piggyback = self._directory.piggyback(self._own_bytes())
            forwarded = member_messages.ProbeAck(
                pending.requester_serial, subject, piggyback
            )
            self._send(pending.requester, forwarded)
        self._record_ack(subject)
        self._detector.end_suspicion(key)
        if key != pending.target:
            self._remove_replaced(pending.target, subject)
        is_relay = key in self._view.relays(subject.zone)
        others = self._directory.zone_peer_count or len(self._view) - 1
        self._confirmation.record_answer(key, is_relay, others)
        self._publish_allowed_state()

    def on_probe_request(
        self, address: str, message: member_messages.ProbeRequest
    ) -> None:
        """Probe a member as a helper of the sender."""
        self._process_sender(message.sender)
        self._directory.apply_piggyback(message.piggyback)
        self._probe(message.target, message.address, True, message, address)

    def on_join(self, address: str, message: member_messages.Join) -> None:
        """Answer a join with random members and the relays."""
        self._process_sender(message.sender)
        if not self._join_limit.try_consume(self._now_ms):
            return
        zone = message.sender.zone
        keys = self._view.pick(zone, MEMBERS_PER_JOIN, self._random)
        for other in self._view.zones:
            remaining = MEMBERS_PER_JOIN - len(keys)
            if other != zone and remaining > 0:
                keys += self._view.pick(other, remaining, self._random)
        for relays_zone in {zone, self.own.zone}:
            keys += self._view.relays(relays_zone)
        records = self._records(dict.fromkeys(keys))
        max_bytes = member_messages.MAX_PAYLOAD_BYTES - self._own_bytes()
        for part in anti_entropy.split_by_size(records, max_bytes):
            self._send(address, member_messages.Members(self.own, tuple(part)))

    def on_members(
        self, address: str, message: member_messages.Members
    ) -> None:
        """Apply the answer to a join."""
        self._process_sender(message.sender)
        self._directory.apply_all(message.records, should_broadcast=False)
        if not self._has_joined:
            self._has_joined = True
            self._due_ms["_digest_zone"] = self._now_ms

    def on_digest(self, address: str, message: member_messages.Digest) -> None:
        """Answer with the next step of the exchange if the views differ."""
        self._process_sender(message.sender)
        is_from_relay = message.sender.key in self._view.relays(self.own.zone)
        if message.buckets:
            answers = list(
                self._anti_entropy.on_buckets(address, message, self._now_ms)
            )
            if len(answers) >= anti_entropy.RANGES_PER_EXCHANGE:
                self._schedule_zone_digest()
        else:
            answers = list(
                self._anti_entropy.on_zones(address, message, self.own)
            )
            if is_from_relay:
                self._other_zones.on_report(message.unreachable, self._now_ms)
        self._directory.effects.messages.extend(answers)

    def on_delta(self, address: str, message: member_messages.Delta) -> None:
        """Apply the records and answer with those that the sender lacks."""
        # Changes in another zone reach this one through its relays.
        self._directory.apply_all(
            message.records, should_broadcast=self.is_relay
        )
        self._directory.apply_notices(message.notices)
        answers = self._anti_entropy.on_delta(address, message, self._now_ms)
        self._directory.effects.messages.extend(answers)

    def _begin(self, now_ms: int) -> member_messages.Effects:
        effects = member_messages.empty_effects()
        self._directory.effects = effects
        self._directory.now_ms = now_ms
        self._now_ms = now_ms
        if now_ms - self._last_tick_ms >= PAUSE_THRESHOLD_MS:
            self._last_tick_ms = now_ms
            self._on_pause()
        return effects

    def _on_pause(self) -> None:
        # Answers that arrived during the pause were not read, so an expired
        # timer does not show that a member failed; and the other nodes may
        # have removed this one.
        self._detector.reset()
        self._other_zones.reset(self._now_ms)
        self._was_ever_confirmed |= self.is_confirmed
        self._last_pause_ms = self._now_ms
        self._confirmation.reset()
        self._last_ack_ms = self._now_ms - ISOLATION_TIMEOUT_MS
        self._joining.restart(self._now_ms)
        for name in self._due_ms:
            self._due_ms[name] = max(self._due_ms[name], self._now_ms)
        self._due_ms["_confirm"] = self._now_ms
        if self.own.state is member_records.MemberState.READY:
            self._publish(state=member_records.MemberState.JOINING)

    def _allowed_state(self) -> member_records.MemberState:
        requested = self._requested_state
        if (
            requested is member_records.MemberState.READY
            and not self.is_confirmed
        ):
            return member_records.MemberState.JOINING
        return requested

    def _publish_allowed_state(self) -> None:
        state = self._allowed_state()
        if self.own.state is not state:
            self._publish(state=state)
            self._probe_random(IMMEDIATE_PROBES)

    def _publish(self, **changes: Any) -> None:
        self._last_publish_ms = self._now_ms
        self._directory.publish(**changes)
        invariants.check(
            self.own.state is not member_records.MemberState.READY
            or self.is_confirmed,
            "ready_only_when_confirmed",
        )

    def _publish_configuration(self) -> None:
        stored = self._view.get(self._directory.own_key)
        if stored is None:
            return
        version = self.own.configuration_version
        interval_ms = CONFIGURATION_PUBLISH_MS_PER_MEMBER * len(self._view)
        if (
            stored.configuration_version != version
            and self._now_ms - self._last_publish_ms >= interval_ms
        ):
            self._publish()

    def _records(
        self, keys: Iterable[int]
    ) -> list[member_records.MemberRecord]:
        found = map(self._view.get, keys)
        return [record for record in found if record is not None]

    def _own_bytes(self) -> int:
        return _HEADER_BYTES + _packing.size_of(self.own)

    def _send(self, address: str, payload: Any) -> None:
        self._directory.effects.messages.append(
            member_messages.Outgoing(address, payload)
        )

    def _process_sender(self, sender: member_records.MemberRecord) -> None:
        self._directory.apply(sender)
        self._directory.update_newest_configuration(
            sender.configuration_version, sender.address
        )
        if sender.zone != self.own.zone:
            self._other_zones.on_heard(sender.zone, self._now_ms)

    def _probe(
        self,
        key: int,
        address: str,
        raises_suspicion: bool,
        request: member_messages.ProbeRequest | None = None,
        requester: str = "",
    ) -> None:
        serial = self._detector.start_probe(
            detector_module.PendingProbe(
                key,
                address,
                self._now_ms,
                raises_suspicion,
                requester,
                0 if request is None else request.serial,
                False,
            )
        )
        if serial is None:
            return
        notices = self._directory.notices_about(key, 0)
        piggyback = self._directory.piggyback(self._own_bytes(), notices)
        self._send(address, member_messages.Probe(serial, self.own, piggyback))

    def _probe_random(self, count: int) -> None:
        keys = self._view.pick(self.own.zone, count + 1, self._random)
        keys = [key for key in keys if key != self._directory.own_key]
        for record in self._records(keys[:count]):
            self._probe(record.key, record.address, False)

    def _probe_zone(self) -> None:
        key = self._detector.next_target(
            self._view.__contains__, lambda: self._directory.zone_peer_keys
        )
        record = None if key is None else self._view.get(key)
        if key is not None and record is not None:
            self._probe(key, record.address, True)

    def _ask_helpers(self) -> None:
        for serial, pending in self._detector.mark_due_for_helpers(
            self._now_ms
        ):
            excluded = (self._directory.own_key, pending.target)
            keys = self._view.pick(
                self.own.zone,
                detector_module.HELPERS + len(excluded),
                self._random,
            )
            keys = [key for key in keys if key not in excluded]
            helpers = self._records(keys[: detector_module.HELPERS])
            for helper in helpers:
                piggyback = self._directory.piggyback(
                    self._own_bytes() + len(pending.address)
                )
                request = member_messages.ProbeRequest(
                    serial,
                    self.own,
                    pending.target,
                    pending.address,
                    piggyback,
                )
                self._send(helper.address, request)

    def _process_timed_out_probes(self) -> None:
        for pending in self._detector.pop_timed_out(self._now_ms):
            record = self._view.get(pending.target)
            if (
                record is None
                or not pending.raises_suspicion
                or self._is_isolated
            ):
                continue
            if pending.requester:
                self._detector.record_unanswered(pending.target, self._now_ms)
                continue
            witnesses = (self._directory.own_key,)
            self._directory.suspect(pending.target, record.version, witnesses)

    def _process_expired_suspicions(self) -> None:
        if self._is_isolated:
            self._end_own_suspicions()
            return
        since_ms = self._now_ms - detector_module.SUSPICION_MS
        for key, suspicion in self._detector.expired_suspicions(self._now_ms):
            record = self._view.get(key)
            if record is None or record.version > suspicion.version:
                self._detector.end_suspicion(key)
            elif self._last_ack_ms >= since_ms:
                self._decide_suspicion(key, suspicion, record)

    def _decide_suspicion(
        self,
        key: int,
        suspicion: detector_module.Suspicion,
        record: member_records.MemberRecord,
    ) -> None:
        notice = member_messages.Notice(
            key,
            suspicion.version,
            member_messages.Status.GONE,
            suspicion.witnesses,
        )
        if self._directory.is_removable(notice, record):
            self._directory.remove(notice)
            return
        wait_ms = detector_module.SUSPICION_MS
        self._detector.postpone_suspicion(key, self._now_ms + wait_ms)
        # A second witness is needed, but not all members should probe.
        probes_per_s = self._directory.zone_peer_count * 1_000 / wait_ms
        share = WITNESS_PROBES_PER_S / max(1, probes_per_s)
        is_witness = self._directory.own_key in suspicion.witnesses
        if is_witness or self._random.random() < share:
            self._detector.prioritize(key)

    def _record_ack(self, subject: member_records.MemberRecord) -> None:
        # A node that reaches other zones but not its own has lost its own
        # link and must not suspect the members of its zone.
        is_own_zone = subject.zone == self.own.zone
        if not is_own_zone and self._directory.zone_peer_count > 1:
            return
        if self._is_isolated:
            self._end_own_suspicions()
        self._last_ack_ms = self._now_ms

    def _end_own_suspicions(self) -> None:
        own_witnesses = (self._directory.own_key,)
        for key, suspicion in list(self._detector.suspicions.items()):
            if suspicion.witnesses == own_witnesses:
                self._detector.end_suspicion(key)

    def _remove_replaced(
        self, key: int, subject: member_records.MemberRecord
    ) -> None:
        record = self._view.get(key)
        if record is None or record.address != subject.address:
            return
        witnesses = (self._directory.own_key,)
        self._directory.remove(
            member_messages.Notice(
                key, record.version, member_messages.Status.REPLACED, witnesses
            )
        )

    def _update_relay_role(self) -> None:
        is_relay = self.is_relay
        if is_relay:
            others = [z for z in self._view.zones if z != self.own.zone]
            self._other_zones.watch(others, self._now_ms)
            if not self._was_relay:
                self._other_zones.reset(self._now_ms)
        self._was_relay = is_relay

    def _pick_in_other_zone(self) -> member_records.MemberRecord | None:
        zone = (
            self._other_zones.pick(self._random) if self._was_relay else None
        )
        if zone is None:
            return None
        keys = self._view.relays(zone)
        if not keys or self._random.random() < RANDOM_MEMBER_SHARE:
            keys = self._view.pick(zone, 1, self._random)
        return self._view.get(self._random.choice(keys)) if keys else None

    def _probe_other_zone(self) -> None:
        record = self._pick_in_other_zone()
        if record is not None:
            self._probe(record.key, record.address, False)

    def _digest_other_zone(self) -> None:
        record = self._pick_in_other_zone()
        if record is not None:
            self._send_digest(record.address)

    def _digest_zone(self) -> None:
        keys = self._view.pick(self.own.zone, 2, self._random)
        keys = [key for key in keys if key != self._directory.own_key]
        for record in self._records(keys[:1]):
            self._send_digest(record.address)

    def _digest_entry_point(self) -> None:
        entry_points = self._joining.entry_points
        if self._was_relay and entry_points:
            self._send_digest(self._random.choice(entry_points))

    def _send_digest(self, address: str) -> None:
        unreachable = self.unreachable_zones if self._was_relay else ()
        digest = self._anti_entropy.digest(self.own, unreachable)
        self._send(address, digest)

    def _schedule_zone_digest(self) -> None:
        due_ms = self._now_ms + CATCH_UP_INTERVAL_MS
        self._due_ms["_digest_zone"] = min(
            self._due_ms["_digest_zone"], due_ms
        )

    def _reconnect(self) -> None:
        tombstone = self._view.tombstones.pick_possibly_alive(
            self.own.zone, self._random
        )
        if tombstone is not None:
            self._probe(tombstone.notice.key, tombstone.address, False)

    def _confirm(self) -> None:
        if self.is_confirmed:
            return
        own_key = self._directory.own_key
        relays = [
            key
            for zone in self._view.zones
            for key in self._view.relays(zone)
            if key != own_key
        ]
        count = min(CONFIRM_PROBES, len(relays))
        for record in self._records(self._random.sample(relays, count)):
            self._probe(record.key, record.address, False)
        is_first = len(self._view) == 1 and not self._joining.entry_points
        unanswered_ms = self._now_ms - self._last_pause_ms
        has_waited_long = (
            self._was_ever_confirmed and unanswered_ms >= READY_WITHOUT_ACK_MS
        )
        if is_first or has_waited_long:
            self._confirmation.waive()
            self._publish_allowed_state()

    def _join(self) -> None:
        is_silent = self._now_ms - self._last_message_ms >= REJOIN_TIMEOUT_MS
        if self._has_joined and not is_silent:
            return
        known = [record.address for record in self.relays(self.own.zone)]
        address = self._joining.next_address(self._now_ms, known)
        if address is not None:
            self._send(address, member_messages.Join(self.own))
