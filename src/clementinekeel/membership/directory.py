"""Rules by which records and notices change the view of a node."""

from collections.abc import Iterable
import random as random_module
from typing import Any

from clementinekeel.membership import _packing
from clementinekeel.membership import broadcasts
from clementinekeel.membership import detector as detector_module
from clementinekeel.membership import messages as member_messages
from clementinekeel.membership import records as member_records
from clementinekeel.membership import view as view_module
from clementinekeel.runtime import invariants


class Directory:
    """View of a node, suspicions of its members, and its own record.

    Parameters
    ----------
    own : MemberRecord
        First record of the node itself.
    """

    def __init__(
        self,
        own: member_records.MemberRecord,
        random: random_module.Random,
        now_ms: int,
    ) -> None:
        if _packing.size_of(own) > member_messages.MAX_RECORD_BYTES:
            raise ValueError("the own record is too large")
        self._own = own
        self.own_key = own.key
        self.now_ms = now_ms
        self.effects = member_messages.empty_effects()
        self.view = view_module.View()
        self.detector = detector_module.Detector(random)
        self._broadcasts = broadcasts.Broadcasts()
        self.newest_configuration = (own.configuration_version, own.address)
        self.view.apply(self.own_key, own, now_ms)
        self._broadcasts.add(self.own_key, own)

    @property
    def own(self) -> member_records.MemberRecord:
        """The node's own record."""
        return self._own

    @property
    def zone_peer_keys(self) -> list[int]:
        """Keys of the other members of this node's zone."""
        keys = self.view.keys(self._own.zone)
        keys.remove(self.own_key)
        return keys

    @property
    def zone_peer_count(self) -> int:
        """Number of other members of this node's zone."""
        return self.view.count(self._own.zone) - 1

    def publish(self, **changes: Any) -> None:
        """Change this node's record and raise its version."""
        changes.setdefault("version", self._own.version + 1)
        own = self._own._replace(**changes)
        if _packing.size_of(own) > member_messages.MAX_RECORD_BYTES:
            raise ValueError("the own record is too large")
        invariants.check(own.version > self._own.version, "own_version_grows")
        self._own = own
        # This node's record stays in the view after leaving, so that digests
        # stay comparable until the process ends.
        if own.state is not member_records.MemberState.LEFT:
            self.view.apply(self.own_key, own, self.now_ms)
        self._broadcasts.add(self.own_key, own)
        self.effects.changed.append(own)

    def update_newest_configuration(self, version: int, address: str) -> None:
        """Record the newest configuration version and a node that has it."""
        if version >= self.newest_configuration[0]:
            self.newest_configuration = (version, address)

    def set_own_configuration(self, version: int) -> None:
        """Set this node's configuration version, which is published later."""
        invariants.check(
            version >= self._own.configuration_version,
            "configuration_version_grows",
        )
        self._own = self._own._replace(configuration_version=version)
        self.update_newest_configuration(version, self._own.address)

    def apply_all(
        self,
        records: Iterable[member_records.MemberRecord],
        should_broadcast: bool = True,
    ) -> None:
        """Apply records to the view; broadcast those that change it."""
        for record in records:
            self.apply(record, should_broadcast)

    def apply(
        self,
        record: member_records.MemberRecord,
        should_broadcast: bool = True,
    ) -> None:
        """Apply a record to the view; broadcast it if it changes the view."""
        key = record.key
        if key == self.own_key:
            self._on_own_version(record.version)
            return
        if _packing.size_of(record) > member_messages.MAX_RECORD_BYTES:
            return
        applied = self.view.apply(key, record, self.now_ms)
        if applied.change is view_module.Change.NONE:
            return
        self.detector.end_suspicion(key)
        if should_broadcast:
            self._broadcasts.add(key, record)
        if applied.change is view_module.Change.REMOVED:
            self._report_removed(applied.record)
        elif applied.change is view_module.Change.JOINED:
            self.effects.joined.append(record)
            self._probe_predecessor(key, record)
        else:
            self.effects.changed.append(record)
            self._probe_predecessor(key, record)

    def apply_notices(self, notices: Iterable[member_messages.Notice]) -> None:
        """Apply suspicions and removals."""
        for notice in notices:
            self._apply_notice(notice)

    def suspect(
        self, key: int, version: int, witnesses: tuple[int, ...]
    ) -> None:
        """Start or confirm the suspicion of a member of this node's zone."""
        if self.detector.is_unanswered(key, self.now_ms):
            witnesses = (*witnesses, self.own_key)
        is_new = self.detector.suspect(key, version, witnesses, self.now_ms)
        if is_new:
            known = self.detector.suspicions[key]
            self._broadcasts.add(
                key,
                member_messages.Notice(
                    key,
                    known.version,
                    member_messages.Status.SUSPECT,
                    known.witnesses,
                ),
            )

    def remove(self, notice: member_messages.Notice) -> None:
        """Remove a member and broadcast the notice."""
        record = self.view.get(notice.key)
        if record is not None and record.zone == self._own.zone:
            invariants.check(
                self.is_removable(notice, record),
                "last_endpoint_needs_two_witnesses",
                node_id=record.node_id,
            )
        applied = self.view.remove(notice, self.now_ms)
        if applied.change is view_module.Change.REMOVED:
            self.detector.end_suspicion(notice.key)
            self._broadcasts.add(notice.key, notice)
            self._report_removed(applied.record)

    def is_removable(
        self,
        notice: member_messages.Notice,
        record: member_records.MemberRecord,
    ) -> bool:
        """Tell whether the evidence is enough to remove a member."""
        return (
            notice.status is not member_messages.Status.GONE
            or len(notice.witnesses) >= detector_module.MAX_WITNESSES
            or not self.is_last_endpoint(notice.key, record)
        )

    def is_last_endpoint(
        self, key: int, record: member_records.MemberRecord
    ) -> bool:
        """Tell whether all other endpoints of the service are suspected."""
        if (
            not record.service
            or record.state is not member_records.MemberState.READY
        ):
            return False
        return not any(
            other.state is member_records.MemberState.READY
            and other_key != key
            and other_key not in self.detector.suspicions
            for other_key, other in self.view.service_members(record.service)
        )

    def notices_about(
        self, key: int, version: int
    ) -> tuple[member_messages.Notice, ...]:
        """Return the notice, if any, that a member must know to refute it."""
        removed = self.view.tombstones.find(key, version)
        if removed is not None:
            return (removed,)
        suspicion = self.detector.suspicions.get(key)
        if suspicion is None or suspicion.version < version:
            return ()
        return (
            member_messages.Notice(
                key,
                suspicion.version,
                member_messages.Status.SUSPECT,
                suspicion.witnesses,
            ),
        )

    def piggyback(
        self, used_bytes: int, notices: tuple[member_messages.Notice, ...] = ()
    ) -> member_messages.Piggyback:
        """Return the changes to send with a message.

        Parameters
        ----------
        used_bytes : int
            Size of the message without the changes.
        notices : tuple of Notice
            Notices that the receiver must get in any case.
        """
        version, address = self.newest_configuration
        used_bytes += len(address) + sum(map(_packing.size_of, notices))
        records, others = self._broadcasts.select(
            used_bytes, len(notices), len(self.view)
        )
        return member_messages.Piggyback(
            records, notices + others, version, address
        )

    def apply_piggyback(self, piggyback: member_messages.Piggyback) -> None:
        """Apply the changes that came with a message."""
        self.update_newest_configuration(
            piggyback.configuration_version, piggyback.configuration_address
        )
        self.apply_all(piggyback.records[: member_messages.MAX_PIGGYBACKED])
        self.apply_notices(
            piggyback.notices[: member_messages.MAX_PIGGYBACKED]
        )

    def _on_own_version(self, version: int) -> None:
        if version > self._own.version:
            self.publish(version=version + 1)

    def _apply_notice(self, notice: member_messages.Notice) -> None:
        if notice.key == self.own_key:
            self._refute(notice)
            return
        record = self.view.get(notice.key)
        if record is None:
            if notice.status is not member_messages.Status.SUSPECT:
                self.view.remove(notice, self.now_ms)
            return
        if record.version > notice.version:
            return
        is_own_zone = record.zone == self._own.zone
        if notice.status is member_messages.Status.SUSPECT:
            if is_own_zone:
                self.suspect(notice.key, notice.version, notice.witnesses)
        elif is_own_zone and not self.is_removable(notice, record):
            self.suspect(notice.key, notice.version, notice.witnesses)
        else:
            self.remove(notice)

    def _refute(self, notice: member_messages.Notice) -> None:
        if self._own.state is member_records.MemberState.LEFT:
            return
        if notice.version >= self._own.version:
            self.publish(version=notice.version + 1)

    def _probe_predecessor(
        self, key: int, record: member_records.MemberRecord
    ) -> None:
        # A process that was replaced at its address is probed next instead of
        # in its turn.
        if not record.service:
            return
        for other_key, other in self.view.service_members(record.service):
            if (
                other_key not in (key, self.own_key)
                and other.address == record.address
                and other.zone == self._own.zone
            ):
                self.detector.prioritize(other_key)

    def _report_removed(
        self, record: member_records.MemberRecord | None
    ) -> None:
        if record is not None:
            self.effects.removed.append(record)
