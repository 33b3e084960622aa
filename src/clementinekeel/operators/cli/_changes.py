"""Reports of changes."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from clementinekeel.configuration import objects
from clementinekeel.operators import status as node_status
from clementinekeel.operators import store_access
from clementinekeel.operators.cli import _command

MAX_LISTED = 20
HISTORY_LIMIT = 100
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


async def conflict(
    store: store_access.Store,
    base: int,
    version: int,
    proposed: Mapping[str, bytes],
) -> _command.CommandError:
    """Return the report of a conflict: by whom, and what differs."""
    lines = [f"conflict: based on version {base}, accepted is {version}"]
    data: dict[str, Any] = {"base_version": base, "version": version}
    try:
        entries = await store.history(HISTORY_LIMIT)
        snapshot = await store.load()
    except store_access.StoreUnavailableError as error:
        lines.append(f"who changed it and what is not known: {error}")
    else:
        others = [entry for entry in entries if entry.version > base]
        difference = objects.difference(snapshot.objects, proposed)
        lines += [
            f"  version {e.version} by {e.author} from {e.origin}: {e.reason}"
            for e in others
        ]
        lines.append("what your files would change in the accepted version:")
        lines += [f"  {line}" for line in difference or ("nothing",)]
        data |= {"accepted": others, "difference": difference}
    code = _command.ExitCode.REFUSED
    return _command.CommandError(code, lines, {"conflict": data})


def failure(
    outcome: store_access.Outcome, change_id: str
) -> _command.CommandError:
    """Return the report of a change that is not known to be accepted."""
    if isinstance(outcome, store_access.Undetermined):
        command = f"clementinekeel change {change_id}"
        lines = [
            f"not known yet whether the change was accepted: {outcome.reason}",
            f"to find out: {command}",
            f"to repeat it safely: apply --change-id {change_id}",
        ]
        data = {"change_id": change_id, "undetermined": outcome.reason}
        code = _command.ExitCode.UNDETERMINED
        return _command.CommandError(code, lines, data)
    if isinstance(outcome, store_access.Conflict):
        reason = f"version {outcome.version} was accepted instead"
    else:
        reason = str(getattr(outcome, "reason", outcome))
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
