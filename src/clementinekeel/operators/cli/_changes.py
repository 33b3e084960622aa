"""Reports on changes of the configuration, as text and in JSON.

A *report* states that a change succeeded; an *error* ends the command.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from clementinekeel.configuration import objects
from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _command
from clementinekeel.store import changes

MAX_LISTED = 20
_LEFT_STATE = "left"


class Report(NamedTuple):
    """Report on a change: lines of text, and the same as data for JSON."""

    version: int
    lines: list[str]
    data: dict[str, Any]


def accepted_report(
    version: int, change_id: str, difference: tuple[str, ...]
) -> Report:
    """Return the report on an accepted change."""
    lines = [f"accepted as version {version}, change {change_id}"]
    lines += [f"  {line}" for line in difference]
    data = {
        "version": version,
        "change_id": change_id,
        "difference": difference,
    }
    return Report(version, lines, data)


def unchanged_report(version: int) -> Report:
    """Return the report on a change without any difference."""
    lines = [f"version {version} already holds this; nothing is changed"]
    return Report(version, lines, {"version": version, "difference": ()})


def conflict_error(
    error: changes.Conflict,
    snapshot: snapshots.Snapshot | None,
    proposed: Mapping[str, bytes],
) -> _command.CommandError:
    """Return the error for a conflict, with its authors and the difference.

    Parameters
    ----------
    snapshot : Snapshot or None
        Accepted version, or None if it could not be read.
    proposed : Mapping of str to bytes
        Objects of the change that was not accepted.
    """
    lines = [
        f"conflict: made from version {error.base_version},"
        f" accepted is version {error.head_version}"
    ]
    for entry in error.accepted_entries:
        lines.append(
            f"  version {entry.version} by {entry.author}"
            f" from {entry.origin}: {entry.reason}"
        )
        lines += [f"    {line}" for line in entry.difference]
    data: dict[str, Any] = {
        "base_version": error.base_version,
        "version": error.head_version,
        "accepted": error.accepted_entries,
    }
    if snapshot is None:
        lines.append("the accepted version could not be read to compare it")
    else:
        difference = objects.difference(snapshot.objects, proposed)
        lines.append(
            f"what your files would change in version {snapshot.version}:"
        )
        lines += [f"  {line}" for line in difference or ("nothing",)]
        data["difference"] = difference
    code = _command.ExitCode.REFUSED
    return _command.CommandError(code, lines, {"conflict": data})


def undetermined_error(
    change_id: str, reason: str, store_arguments: str
) -> _command.CommandError:
    """Return the error for a change that may have been accepted."""
    command = f"clementinekeel change {change_id} {store_arguments}"
    lines = [
        f"not known yet whether the change was accepted: {reason}",
        f"to find out: {command}",
        f"to repeat it safely: the same apply with --change-id {change_id}",
    ]
    data = {
        "change_id": change_id,
        "undetermined": reason,
        "command": command,
    }
    code = _command.ExitCode.UNDETERMINED
    return _command.CommandError(code, lines, data)


def not_accepted_error(outcome: changes.NotAccepted) -> _command.CommandError:
    """Return the error for a change that can no longer be accepted."""
    version = outcome.head_version
    reason = f"version {version} was accepted instead"
    return rejected_error(outcome.change_id, reason)


def rejected_error(change_id: str, reason: str) -> _command.CommandError:
    """Return the error for a change that had no effect."""
    lines = [f"change {change_id} was not accepted: {reason}"]
    data = {"change_id": change_id, "rejected": reason}
    return _command.CommandError(_command.ExitCode.REFUSED, lines, data)


def describe_outdated(fleet: node_status.Fleet, version: int) -> list[str]:
    """Return a line for each unreachable zone and each outdated endpoint."""
    lines = [
        f"zone {zone} is unreachable" for zone in fleet["unreachable_zones"]
    ]
    lines += [
        f"{endpoint['endpoint']} at {endpoint['node']} ({endpoint['zone']}):"
        f" version {endpoint['configuration_version']}"
        for endpoint in fleet["endpoints"]
        if endpoint["configuration_version"] < version
        and endpoint["state"] != _LEFT_STATE
    ]
    return lines


def in_force_report(report: Report, fleet: node_status.Fleet) -> Report:
    """Return the report on a change that is in force at all nodes."""
    count = len(fleet["endpoints"])
    line = f"in force at {count} endpoints, as {fleet['node']} sees them"
    data = {**report.data, "in_force": True, "endpoints": count}
    return Report(report.version, [*report.lines, line], data)


def not_in_force_error(report: Report, *reasons: str) -> _command.CommandError:
    """Return the error for a wait that ended before all nodes confirmed."""
    lines = [*report.lines, "not known yet to be in force everywhere:"]
    lines += [f"  {reason}" for reason in reasons[:MAX_LISTED]]
    if len(reasons) > MAX_LISTED:
        lines.append(f"  and {len(reasons) - MAX_LISTED} more")
    data = {**report.data, "in_force": False, "behind": reasons}
    code = _command.ExitCode.UNDETERMINED
    return _command.CommandError(code, lines, data)
