"""What a backend server states about itself in the headers of its answers."""

from collections.abc import Iterable
import re
from typing import NamedTuple

MAX_LOGGED_BYTES = 80
LEAVING = b"1"
"""Value of the header for leaving; other values don't state anything."""
_RATE = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?")
"""Decimal number, bounded in length; signs, exponents and names of special
floating-point values are malformed."""


class SelfReport(NamedTuple):
    """Statements of a backend server in one answer.

    Attributes
    ----------
    rate_limit_per_s : float or None
        Requests a second that the backend server takes from all nodes
        together; None if it states no limit.
    is_leaving : bool
        Whether it is about to stop.
    malformed_limit : bytes or None
        Limit that can't be decoded, shortened. Such an answer tells nothing
        about the limit.
    """

    rate_limit_per_s: float | None
    is_leaving: bool
    malformed_limit: bytes | None = None


def decode(
    headers: Iterable[tuple[bytes, bytes]],
    rate_limit_header: bytes,
    leaving_header: bytes,
) -> SelfReport:
    """Decode the statements in the headers of an answer.

    Parameters
    ----------
    headers : iterable of tuple
        Names in lower case and values.
    rate_limit_header, leaving_header : bytes
        Names, in lower case, of the headers with the statements.
    """
    stated: list[bytes] = []
    is_leaving = False
    for name, value in headers:
        if name == rate_limit_header:
            stated.append(value.strip())
        elif name == leaving_header and value.strip() == LEAVING:
            is_leaving = True
    if not stated:
        return SelfReport(None, is_leaving)
    if len(set(stated)) > 1 or not _RATE.fullmatch(stated[0]):
        malformed = b", ".join(stated)[:MAX_LOGGED_BYTES]
        return SelfReport(None, is_leaving, malformed)
    return SelfReport(float(stated[0]), is_leaving)
