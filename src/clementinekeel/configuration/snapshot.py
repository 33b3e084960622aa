"""Accepted version of the configuration, in the form that nodes exchange."""

from typing import NamedTuple


class Snapshot(NamedTuple):
    """All objects of an accepted version.

    Attributes
    ----------
    version : int
        Number that increases by one with each accepted change.
    objects : dict of str to bytes
        JSON of each object by its name, such as ``service/bookings``.
    """

    version: int
    change_id: str
    objects: dict[str, bytes]
