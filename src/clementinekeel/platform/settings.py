"""Reads the settings file that the users' platform writes for a node."""

import os
import pathlib
import tomllib

import msgspec
from returns import result

from clementinekeel.runtime import errors
from clementinekeel.sidecar import settings

PATH_VARIABLE = "CLEMENTINEKEEL_SETTINGS"
MS_PER_S = 1000
METRICS_PORT = 9102
"""Port for the metrics according to ``deploy/system.toml``."""


class _Limits(msgspec.Struct):
    memory_mb: int
    max_fds: int


class _Self(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    region: str
    # Address of the backend server on the same VM.
    app_addr: str
    service: str
    limits: _Limits


class _Listen(msgspec.Struct):
    outbound: str
    ready: str
    control: str


class _Network(msgspec.Struct):
    # First and last port for communication between nodes.
    port_range: tuple[int, int]
    bind_addrs: _Listen


class _Store(msgspec.Struct):
    address: str
    ttl_min_s: float = 1.0


class _Platform(msgspec.Struct):
    platform: _Store


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 48.0


class _Terms(msgspec.Struct):
    contract_params: _Bounds = msgspec.field(default_factory=_Bounds)


class _File(msgspec.Struct):
    # VM and node; the underscore avoids the name of the instance argument.
    self_: _Self = msgspec.field(name="self")
    network: _Network = msgspec.field()
    platform: _Platform = msgspec.field()
    terms: _Terms = msgspec.field(default_factory=_Terms)


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
        The settings, or an error that names the faulty field.
    """
    try:
        content = tomllib.loads(pathlib.Path(path).read_text())
        return result.Success(_convert(msgspec.convert(content, _File)))
    except (OSError, ValueError) as error:
        return result.Failure(
            errors.StepError("read settings", path, str(error))
        )


def _address(text: str) -> settings.Address:
    host, _, port = text.rpartition(":")
    return settings.Address(host, int(port))


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)


def _convert(file: _File) -> settings.SidecarSettings:
    machine, listen = file.self_, file.network.bind_addrs
    first_port = file.network.port_range[0]
    bounds, store = file.terms.contract_params, file.platform.platform
    return settings.SidecarSettings(
        node=machine.node_name,
        zone=machine.zone,
        region=machine.region,
        service=machine.service,
        backend=_address(machine.app_addr),
        outbound=_address(listen.outbound),
        readiness=_address(listen.ready),
        heartbeats=_address(listen.control),
        peers=settings.Address(machine.ip, first_port),
        metrics=settings.Address(machine.ip, METRICS_PORT),
        store=_address(store.address),
        lease_min_ms=_ms(store.ttl_min_s),
        memory_mb=machine.limits.memory_mb,
        max_descriptors=machine.limits.max_fds,
        stop_timeout_ms=_ms(bounds.grace_s),
        retry_ratio=bounds.retry_budget_ratio,
        extra_retries=round(bounds.budget_extra),
        retry_window_ms=_ms(bounds.budget_window_s),
    )
