"""Back-off of joins, and confirmation of this node by the fleet."""

from collections.abc import Iterable
import random as random_module

FIRST_DELAY_MS = 500
MAX_DELAY_MS = 10_000
"""Joins of 3,000 nodes that start at the same time are spread over this time.
"""
MAX_ENTRY_POINTS = 256
ANSWERED_SHARE = 1 / 3


class Joining:
    """Schedule of joins and choice of the entry points to send them to.

    Parameters
    ----------
    own_address : str
        Address that no join is sent to.
    seeds : iterable of str
        Entry points from the settings.
    """

    def __init__(
        self,
        own_address: str,
        seeds: Iterable[str],
        random: random_module.Random,
        now_ms: int,
    ) -> None:
        self._own_address = own_address
        self._random = random
        self._entry_points: dict[str, None] = {}
        self._candidates: list[str] = []
        self._attempts = 0
        self._next_join_ms = now_ms
        self.add(seeds, now_ms)
        random.shuffle(self._candidates)

    @property
    def entry_points(self) -> list[str]:
        """Addresses that may be asked for members."""
        return list(self._entry_points)

    def add(self, addresses: Iterable[str], now_ms: int) -> None:
        """Add entry points; remove the oldest beyond ``MAX_ENTRY_POINTS``."""
        for address in addresses:
            if address == self._own_address or address in self._entry_points:
                continue
            self._entry_points[address] = None
            # Asked before the others, which have not answered.
            self._candidates.append(address)
            self.restart(now_ms)
            if len(self._entry_points) > MAX_ENTRY_POINTS:
                del self._entry_points[next(iter(self._entry_points))]

    def restart(self, now_ms: int) -> None:
        """Start again with the shortest delay."""
        self._attempts = 0
        self._next_join_ms = now_ms + self._delay_ms()

    def next_address(
        self, now_ms: int, extra_addresses: list[str]
    ) -> str | None:
        """Return the address to send a join to now, if one is due.

        Parameters
        ----------
        extra_addresses : list of str
            Further addresses, for example of known relays.
        """
        if now_ms < self._next_join_ms:
            return None
        self._attempts += 1
        self._next_join_ms = now_ms + self._delay_ms()
        if not self._candidates:
            self._candidates = [
                address
                for address in dict.fromkeys(
                    [*self._entry_points, *extra_addresses]
                )
                if address != self._own_address
            ]
            self._random.shuffle(self._candidates)
        return self._candidates.pop() if self._candidates else None

    def _delay_ms(self) -> int:
        # Full jitter, so that nodes that start at the same time do not send
        # their joins at the same time.
        bound = min(MAX_DELAY_MS, FIRST_DELAY_MS << min(self._attempts, 16))
        return self._random.randint(1, bound)


class Confirmation:
    """Whether enough of the fleet has answered since a start or a pause.

    A node that was removed while it was paused learns of its removal from the
    first acks; until then it does not publish the state ready.
    """

    def __init__(self) -> None:
        self._answered: set[int] = set()
        self.is_complete = False

    def reset(self) -> None:
        """Require new answers."""
        self._answered.clear()
        self.is_complete = False

    def record_answer(
        self, key: int, is_relay: bool, known_members: int
    ) -> None:
        """Count the answer of a member.

        Parameters
        ----------
        known_members : int
            Other members that the node knows.
        """
        if self.is_complete:
            return
        self._answered.add(key)
        self.is_complete = (
            is_relay or len(self._answered) >= known_members * ANSWERED_SHARE
        )
        if self.is_complete:
            self._answered.clear()

    def waive(self) -> None:
        """Require no answers, for example if there is no member to ask."""
        self.is_complete = True
