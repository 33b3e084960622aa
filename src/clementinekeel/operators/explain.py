"""Joins the log lines of one request, from all nodes, into a time line."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

FAILED_STATUS = 400
GOOD_OUTCOMES = frozenset(("answered", "cancelled"))


class Explanation(NamedTuple):
    """What the logs say of one request.

    Attributes
    ----------
    lines : list of dict
        Its lines and those of its calls, by time.
    cause : dict or None
        The deepest line that tells of a failure, the earliest of those. What
        came after the request had ended is a consequence and no cause.
    damaged : int
        Lines that could not be read.
    """

    lines: list[dict[str, Any]]
    cause: dict[str, Any] | None
    damaged: int


def explain(request_id: str, lines: Iterable[str]) -> Explanation:
    """Find the lines of a request and of the calls made for it.

    Parameters
    ----------
    request_id : str
        Identifier of the request; those of its calls begin with it.
    lines : iterable of str
        Lines of any nodes in any order. What stands before the JSON object
        of a line, such as a collector's time stamp, is passed over.
    """
    found: list[dict[str, Any]] = []
    damaged = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            content = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            damaged += 1
            continue
        if isinstance(content, dict) and _belongs(content, request_id):
            found.append(content)
    found.sort(key=lambda item: item.get("time", 0))
    ended_at = min(
        (item.get("time", 0) for item in found if _is_end(item, request_id)),
        default=float("inf"),
    )
    faults = [
        item
        for item in found
        if _is_fault(item) and item.get("time", 0) <= ended_at
    ]
    cause = max(faults, key=_depth, default=None)
    return Explanation(found, cause, damaged)


def _belongs(content: dict[str, Any], request_id: str) -> bool:
    named = content.get("request_id")
    if not isinstance(named, str):
        return False
    return named == request_id or named.startswith(request_id + ".")


def _is_end(content: dict[str, Any], request_id: str) -> bool:
    return (
        content.get("event") == "request_ended"
        and content["request_id"] == request_id
    )


def _depth(content: dict[str, Any]) -> int:
    return str(content["request_id"]).count(".")


def _is_fault(content: dict[str, Any]) -> bool:
    if content.get("event") == "request_ended":
        return int(content.get("status", 0)) >= FAILED_STATUS
    return content.get("event") == "job_ended" and (
        content.get("outcome") not in GOOD_OUTCOMES
    )
