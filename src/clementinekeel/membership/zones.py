"""Reachability of the other zones."""

import random as random_module

UNREACHABLE_MS = 10_000
UNREACHABLE_MS_PER_ZONE = 3_000
"""A relay probes one other zone a second, so more zones need more time."""
REPORT_MS = 60_000
"""A relay's report is older than this only if the relay is gone."""


class OtherZones:
    """Time of the last message from each other zone."""

    def __init__(self) -> None:
        self._last_heard_ms: dict[str, int] = {}
        self._reported_unreachable: tuple[str, ...] = ()
        self._reported_ms = 0

    def on_heard(self, zone: str, now_ms: int) -> None:
        """Record a message from a member of a zone."""
        self._last_heard_ms[zone] = now_ms

    def on_report(self, unreachable: tuple[str, ...], now_ms: int) -> None:
        """Record the unreachable zones that a relay of the zone reports."""
        self._reported_unreachable = unreachable
        self._reported_ms = now_ms

    def reset(self, now_ms: int) -> None:
        """Restart all timeouts, after a pause or on becoming a relay."""
        for zone in self._last_heard_ms:
            self._last_heard_ms[zone] = now_ms

    def watch(self, zones: list[str], now_ms: int) -> None:
        """Watch only the given zones; the timeouts of new ones start now."""
        self._last_heard_ms = {
            zone: self._last_heard_ms.get(zone, now_ms) for zone in zones
        }

    def unreachable(self, is_relay: bool, now_ms: int) -> tuple[str, ...]:
        """Return the zones that the node or its zone's relays cannot reach."""
        if not is_relay:
            is_recent = now_ms - self._reported_ms < REPORT_MS
            return self._reported_unreachable if is_recent else ()
        limit_ms = max(
            UNREACHABLE_MS, UNREACHABLE_MS_PER_ZONE * len(self._last_heard_ms)
        )
        return tuple(
            zone
            for zone, heard_ms in self._last_heard_ms.items()
            if now_ms - heard_ms >= limit_ms
        )

    def pick(self, random: random_module.Random) -> str | None:
        """Return a random other zone."""
        return (
            random.choice(list(self._last_heard_ms))
            if self._last_heard_ms
            else None
        )
