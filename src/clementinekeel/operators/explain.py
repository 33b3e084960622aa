"""Collects the log lines of one request, from all nodes, in order of time."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

MIN_FAILURE_STATUS = 400
NON_FAILURE_OUTCOMES = frozenset(("answered", "cancelled"))


class Explanation(NamedTuple):
    """The log lines of one request, and the cause of its failure.

    Attributes
    ----------
    lines : list of dict
        Lines of the request and of its downstream calls, by time.
    cause : dict or None
        The line that reports a failure at the greatest call depth, the
        earliest if there are several. Lines after the end of the request are
        left aside, since they report consequences and not the cause.
    damaged : int
        Number of lines that could not be decoded.
    """

    lines: list[dict[str, Any]]
    cause: dict[str, Any] | None
    damaged: int


def explain(request_id: str, lines: Iterable[str]) -> Explanation:
    """Find the log lines of a request and of the downstream calls made for it.

    Parameters
    ----------
    request_id : str
        Id of the request; the ids of its downstream calls begin with it.
    lines : iterable of str
        Lines of any nodes in any order. Text before the JSON object of a
        line, such as a log collector's time stamp, is ignored.
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
        if isinstance(content, dict) and _is_of_request(content, request_id):
            found.append(content)
    found.sort(key=lambda content: content.get("time", 0))
    ended_at = min(
        (
            content.get("time", 0)
            for content in found
            if _is_end(content, request_id)
        ),
        default=float("inf"),
    )
    failures = [
        content
        for content in found
        if _is_failure(content) and content.get("time", 0) <= ended_at
    ]
    cause = max(failures, key=_call_depth, default=None)
    return Explanation(found, cause, damaged)


def _is_of_request(content: dict[str, Any], request_id: str) -> bool:
    line_id = content.get("request_id")
    if not isinstance(line_id, str):
        return False
    return line_id == request_id or line_id.startswith(request_id + ".")


def _is_end(content: dict[str, Any], request_id: str) -> bool:
    return (
        content.get("event") == "request_ended"
        and content["request_id"] == request_id
    )


def _call_depth(content: dict[str, Any]) -> int:
    return str(content["request_id"]).count(".")


def _is_failure(content: dict[str, Any]) -> bool:
    if content.get("event") == "request_ended":
        return int(content.get("status", 0)) >= MIN_FAILURE_STATUS
    return content.get("event") == "job_ended" and (
        content.get("outcome") not in NON_FAILURE_OUTCOMES
    )
