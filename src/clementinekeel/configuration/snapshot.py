"""An accepted version of the configuration as nodes pass it on."""

from typing import NamedTuple


class Snapshot(NamedTuple):
    """All objects of an accepted version.

    Attributes
    ----------
    version : int
        Grows by one with each accepted change.
    objects : dict of str to bytes
        Object name, such as ``service/bookings``, to its JSON.
    """

    version: int
    change_id: str
    objects: dict[str, bytes]
