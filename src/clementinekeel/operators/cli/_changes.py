"""Reports of changes."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from clementinekeel.configuration import objects
from clementinekeel.configuration import snapshot as snapshots
from clementinekeel.operators import status as node_status
from clementinekeel.operators.cli import _command
from clementinekeel.store import changes

MAX_LISTED = 20
_GONE_STATE = "left"


class Report(NamedTuple):
    """What became of a change, as text and for JSON."""

    version: int
    lines: list[str]
    data: dict[str, Any]


def accepted(
    version: int, change_id: str, difference: tuple[str, ...]
) -> Report:
    """Return the report of an accepted change."""
    lines = [f"accepted as version {version}, change {change_id}"]
    lines += [f"  {line}" for line in difference]
    data = {
        "version": version,
        "change_id": change_id,
        "difference": difference,
    }
    return Report(version, lines, data)


def unchanged(version: int) -> Report:
    """Return the report of a change that changes nothing."""
    lines = [f"version {version} already holds this; nothing is changed"]
    return Report(version, lines, {"version": version, "difference": ()})


def conflict(
    error: changes.Conflict,
    snapshot: snapshots.Snapshot | None,
    proposed: Mapping[str, bytes],
) -> _command.CommandError:
    """Return the report of a conflict: by whom, and what differs.

    Parameters
    ----------
    snapshot : Snapshot or None
        Accepted version, None if it could not be read.
    proposed : Mapping of str to bytes
        Objects that were not accepted.
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


def not_known(
    change_id: str, reason: str, store_arguments: str
) -> _command.CommandError:
    """Return the report of a change that may have been accepted."""
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


def not_accepted(outcome: changes.NotAccepted) -> _command.CommandError:
    """Return the report of a change that can no longer be accepted."""
    version = outcome.head_version
    reason = f"version {version} was accepted instead"
    return rejected(outcome.change_id, reason)


def rejected(change_id: str, reason: str) -> _command.CommandError:
    """Return the report of a change that had no effect."""
    lines = [f"change {change_id} was not accepted: {reason}"]
    data = {"change_id": change_id, "rejected": reason}
    return _command.CommandError(_command.ExitCode.REFUSED, lines, data)


def behind(fleet: node_status.Fleet, version: int) -> list[str]:
    """Return where a version is not known to be in force."""
    lines = [
        f"zone {zone} is unreachable" for zone in fleet["unreachable_zones"]
    ]
    lines += [
        f"{item['endpoint']} at {item['node']} ({item['zone']}):"
        f" version {item['configuration_version']}"
        for item in fleet["endpoints"]
        if item["configuration_version"] < version
        and item["state"] != _GONE_STATE
    ]
    return lines


def in_force(report: Report, fleet: node_status.Fleet) -> Report:
    """Return the report with the end of the wait added."""
    count = len(fleet["endpoints"])
    line = f"in force at {count} endpoints, as {fleet['node']} sees them"
    data = {**report.data, "in_force": True, "endpoints": count}
    return Report(report.version, [*report.lines, line], data)


def not_in_force(report: Report, *reasons: str) -> _command.CommandError:
    """Return the report of a wait that ended before all nodes followed."""
    lines = [*report.lines, "not known yet to be in force everywhere:"]
    lines += [f"  {reason}" for reason in reasons[:MAX_LISTED]]
    if len(reasons) > MAX_LISTED:
        lines.append(f"  and {len(reasons) - MAX_LISTED} more")
    data = {**report.data, "in_force": False, "behind": reasons}
    code = _command.ExitCode.UNDETERMINED
    return _command.CommandError(code, lines, data)
