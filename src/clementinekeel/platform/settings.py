"""Reads the settings file that the users' platform writes for a node."""

import os
import stat
import tomllib
from typing import Any

from returns import result

from clementinekeel.platform import _fields
from clementinekeel.runtime import errors
from clementinekeel.sidecar import settings

PATH_VARIABLE = "CLEMENTINEKEEL_SETTINGS"
MS_PER_S = 1000
METRICS_PORT = 9102
"""Port for the metrics according to ``deploy/system.toml``."""
MAX_FILE_BYTES = 256 * 1024
"""The platform's files take a few kilobytes. The node serves no request while
it reads the file, for up to half a second at this length."""
AMOUNTS = _fields.Range(0, 1e9)
POSITIVE_AMOUNTS = _fields.Range(1, 1e9)
WINDOWS_S = _fields.Range(0.001, 1e9)
"""The node counts in milliseconds and divides by the length of a window."""


def settings_path() -> str:
    """Return the path from ``PATH_VARIABLE``; empty if it is not set."""
    return os.environ.get(PATH_VARIABLE, "")


def load_settings(
    path: str,
) -> result.Result[settings.SidecarSettings, errors.StepError]:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of the TOML file.

    Returns
    -------
    Result
        The settings, or an error that names each faulty field, its value and
        what is allowed.
    """
    if not path:
        return _failure(path, f"the variable {PATH_VARIABLE} is not set")
    try:
        content = _read(path)
    # The parser raises more than its own error, for example RecursionError,
    # and any exception from here would end a running node.
    except Exception as error:
        return _failure(path, str(error) or type(error).__name__)
    fields = _fields.Fields(content)
    converted = _convert(fields)
    if fields.faults:
        return _failure(path, "; ".join(fields.faults))
    return result.Success(converted)


def _failure(
    path: str, reason: str
) -> result.Result[settings.SidecarSettings, errors.StepError]:
    return result.Failure(errors.StepError("read settings", path, reason))


def _read(path: str) -> dict[str, Any]:
    with open(path, "rb", opener=_open_at_once) as file:
        if stat.S_ISFIFO(os.fstat(file.fileno()).st_mode):
            raise ValueError("a pipe, which cannot be read again")
        content = file.read(MAX_FILE_BYTES + 1)
    if len(content) > MAX_FILE_BYTES:
        raise ValueError(f"longer than {MAX_FILE_BYTES} bytes")
    return tomllib.loads(content.decode())


def _open_at_once(path: str, flags: int) -> int:
    """Open a file; a pipe without waiting for its writer."""
    return os.open(path, flags | os.O_NONBLOCK)


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)


def _convert(fields: _fields.Fields) -> settings.SidecarSettings:
    """Convert the fields of the file."""
    bounds = "terms.contract_params"
    # Address of the VM.
    ip = fields.host("self.ip")
    return settings.SidecarSettings(
        node=fields.text("self.node_name"),
        # Only compared with those of other nodes; an installation may have
        # just one, without a name.
        zone=fields.label("self.zone"),
        region=fields.label("self.region"),
        service=fields.text("self.service"),
        # Address of the backend server on the same VM.
        backend=fields.address("self.app_addr"),
        outbound=fields.address("network.bind_addrs.outbound"),
        readiness=fields.address("network.bind_addrs.ready"),
        heartbeats=fields.address("network.bind_addrs.control"),
        # First and last port for communication between nodes.
        peers=settings.Address(ip, fields.first_port("network.port_range")),
        metrics=settings.Address(ip, METRICS_PORT),
        store=fields.address("platform.platform.address"),
        lease_min_ms=_ms(
            fields.number("platform.platform.ttl_min_s", AMOUNTS, 1.0)
        ),
        memory_mb=int(
            fields.number("self.limits.memory_mb", POSITIVE_AMOUNTS)
        ),
        max_descriptors=int(
            fields.number("self.limits.max_fds", POSITIVE_AMOUNTS)
        ),
        stop_timeout_ms=_ms(fields.number(f"{bounds}.grace_s", AMOUNTS, 6.0)),
        retry_ratio=fields.number(
            f"{bounds}.retry_budget_ratio", AMOUNTS, 0.2
        ),
        extra_retries=round(
            fields.number(f"{bounds}.budget_extra", AMOUNTS, 48.0)
        ),
        retry_window_ms=_ms(
            fields.number(f"{bounds}.budget_window_s", WINDOWS_S, 10.0)
        ),
    )
