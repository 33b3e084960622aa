"""Settings of a node, read from an INI file.

``OPTIONS`` is the single declaration of the options, used by the reader, the
checks and the generated page ``docs/settings.md``.
"""

import pathlib
from typing import Any, NamedTuple

from returns import result

from clementinekeel.runtime import ini

Faults = tuple[ini.Fault, ...]

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
KIB = 1024
MIB = 1024 * KIB


class NodeSettings(NamedTuple):
    """Section ``[node]``."""

    id: str
    zone: str
    region: str
    log_level: str


class NodesSettings(NamedTuple):
    """Section ``[nodes]``.

    Attributes
    ----------
    keys : tuple of bytes
        Accepted keys; the first key signs outgoing messages.
    """

    listen: str
    advertise: str
    seeds: tuple[str, ...]
    keys: tuple[bytes, ...]


class CallersSettings(NamedTuple):
    """Section ``[callers]``."""

    listen: str
    max_body_bytes: int
    max_header_bytes: int
    max_requests: int


class BackendSettings(NamedTuple):
    """Section ``[backend]``."""

    listen: str
    url: str
    max_connections: int
    start_ramp_s: float


class PlatformSettings(NamedTuple):
    """Section ``[platform]``."""

    urls: tuple[str, ...]


class OperatorsSettings(NamedTuple):
    """Section ``[operators]``."""

    listen: str


class OutcomesSettings(NamedTuple):
    """Section ``[outcomes]``."""

    records: int
    key_lifetime_s: float
    retention_s: float
    answer_bytes: int
    answers_bytes: int


class LimitsSettings(NamedTuple):
    """Section ``[limits]``."""

    stop_timeout_s: float
    session_idle_s: float


class PoliciesSettings(NamedTuple):
    """Section ``[policies]``; names of registry entries."""

    limiter: str
    balancer: str
    retry: str


class Settings(NamedTuple):
    """All settings of a node, one field for each section."""

    node: NodeSettings
    nodes: NodesSettings
    callers: CallersSettings
    backend: BackendSettings
    platform: PlatformSettings
    operators: OperatorsSettings
    outcomes: OutcomesSettings
    limits: LimitsSettings
    policies: PoliciesSettings


SECTIONS: dict[str, Any] = {
    "node": NodeSettings,
    "nodes": NodesSettings,
    "callers": CallersSettings,
    "backend": BackendSettings,
    "platform": PlatformSettings,
    "operators": OperatorsSettings,
    "outcomes": OutcomesSettings,
    "limits": LimitsSettings,
    "policies": PoliciesSettings,
}

OPTIONS = (
    ini.Option(
        "node",
        "id",
        ini.NAME,
        ini.REQUIRED,
        "",
        "Name of the node, unique in the fleet.",
    ),
    ini.Option(
        "node",
        "zone",
        ini.NAME,
        ini.REQUIRED,
        "",
        "Availability zone of the VM.",
    ),
    ini.Option(
        "node",
        "region",
        ini.NAME,
        ini.REQUIRED,
        "",
        "Region of the availability zone.",
    ),
    ini.Option(
        "node",
        "log_level",
        ini.choice(LOG_LEVELS),
        "INFO",
        "",
        "Lowest level of the log events that are written.",
    ),
    ini.Option(
        "nodes",
        "listen",
        ini.LISTEN,
        ini.REQUIRED,
        "",
        "Address for other nodes: zmq over TCP, gossip over UDP.",
    ),
    ini.Option(
        "nodes",
        "advertise",
        ini.optional(ini.ADDRESS),
        "",
        "",
        "Address under which other nodes reach this one. Empty: the address"
        " of `listen`, with the port that was bound.",
    ),
    ini.Option(
        "nodes",
        "seeds",
        ini.list_of(ini.ADDRESS),
        (),
        "",
        "Nodes to ask for members and configuration at the start.",
    ),
    ini.Option(
        "nodes",
        "keys",
        ini.list_of(ini.HEX_KEY, min_items=1),
        ini.REQUIRED,
        "",
        "Keys that authenticate messages between nodes. All are accepted,"
        " and the first signs.",
    ),
    ini.Option(
        "callers",
        "listen",
        ini.LISTEN,
        ini.REQUIRED,
        "",
        "Address for callers, over HTTP.",
    ),
    ini.Option(
        "callers",
        "max_body_bytes",
        ini.integer(0, 1024 * MIB),
        64 * MIB,
        "bytes",
        "Largest body of a request.",
    ),
    ini.Option(
        "callers",
        "max_header_bytes",
        ini.integer(KIB, MIB),
        32 * KIB,
        "bytes",
        "Largest head of a request.",
    ),
    ini.Option(
        "callers",
        "max_requests",
        ini.integer(1, 100_000),
        2_000,
        "requests",
        "Requests of callers in flight at a time; more are refused.",
    ),
    ini.Option(
        "backend",
        "listen",
        ini.LISTEN,
        ini.REQUIRED,
        "",
        "Address for the backend server beside the node: its announcements"
        " and its onward calls.",
    ),
    ini.Option(
        "backend",
        "url",
        ini.optional(ini.URL),
        "",
        "",
        "Where the backend server takes requests. Empty: what it announces.",
    ),
    ini.Option(
        "backend",
        "max_connections",
        ini.integer(1, 100_000),
        256,
        "connections",
        "Connections to the backend server at a time. The endpoint's"
        " connections in the inventory apply too.",
    ),
    ini.Option(
        "backend",
        "start_ramp_s",
        ini.number(0, 600),
        10.0,
        "s",
        "Time in which the limit rises from a tenth after a cold start.",
    ),
    ini.Option(
        "platform",
        "urls",
        ini.list_of(ini.URL, min_items=1),
        ini.REQUIRED,
        "",
        "Addresses of the store; each is tried in turn.",
    ),
    ini.Option(
        "operators",
        "listen",
        ini.LISTEN,
        ini.REQUIRED,
        "",
        "Address for operators: status, drains and metrics. It has no"
        " access control, so it must not be reachable for callers.",
    ),
    ini.Option(
        "outcomes",
        "records",
        ini.integer(1, 1_000_000),
        50_000,
        "records",
        "Records of issued keys kept at a time.",
    ),
    ini.Option(
        "outcomes",
        "key_lifetime_s",
        ini.number(1, 3_600),
        60.0,
        "s",
        "Time in which an issued key may run its request.",
    ),
    ini.Option(
        "outcomes",
        "retention_s",
        ini.number(1, 86_400),
        3_900.0,
        "s",
        "Time for which a record is kept after its key has expired. The"
        " default covers a partition of an hour.",
    ),
    ini.Option(
        "outcomes",
        "answer_bytes",
        ini.integer(0, MIB),
        64 * KIB,
        "bytes",
        "Largest answer that is kept for callers that ask again.",
    ),
    ini.Option(
        "outcomes",
        "answers_bytes",
        ini.integer(0, 1024 * MIB),
        4 * MIB,
        "bytes",
        "Size of all kept answers.",
    ),
    ini.Option(
        "limits",
        "stop_timeout_s",
        ini.number(0, 3_600),
        120.0,
        "s",
        "Time after which a planned stop ends requests in flight. The"
        " default is longer than any deadline.",
    ),
    ini.Option(
        "limits",
        "session_idle_s",
        ini.number(1, 3_600),
        300.0,
        "s",
        "Time without calls after which a session with another node is"
        " closed.",
    ),
    ini.Option(
        "policies",
        "limiter",
        ini.NAME,
        "fixed",
        "",
        "Concurrency limiter of the admission.",
    ),
    ini.Option(
        "policies",
        "balancer",
        ini.NAME,
        "two_choices",
        "",
        "Choice between the endpoints of a service.",
    ),
    ini.Option(
        "policies",
        "retry",
        ini.NAME,
        "bounded",
        "",
        "Decision whether a request is retried.",
    ),
)


def parse(text: str, file: str) -> result.Result[Settings, Faults]:
    """Read and check settings.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for faults.

    Returns
    -------
    Result
        The settings, or all faults of the file.
    """
    source = ini.IniFile(text, file)
    for section in source.sections:
        if section not in SECTIONS:
            known = ", ".join(SECTIONS)
            source.add_fault(section, "", f"unknown section (known: {known})")
    sections = {}
    for name, section_type in SECTIONS.items():
        options = [option for option in OPTIONS if option.section == name]
        values = source.read_section(name, options)
        if values is not None:
            sections[name] = section_type(**values)
    _check_across_sections(source, sections)
    if source.faults:
        return result.Failure(ini.sort_faults(source.faults))
    return result.Success(Settings(**sections))


def load(path: str) -> result.Result[Settings, Faults]:
    """Read and check the settings in a file.

    Returns
    -------
    Result
        The settings, or all faults; a single fault if the file is unreadable.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return result.Failure((ini.Fault(path, 0, "", "", reason),))
    return parse(text, path)


def render_reference() -> str:
    """Return the reference of all options, in Markdown."""
    lines = [
        "# Settings of a node",
        "",
        "Generated from `clementinekeel.runtime.settings`; do not edit.",
        "Write the options into an INI file, one section for each heading.",
        "A list is separated by commas or line breaks.",
    ]
    for section in SECTIONS:
        lines += [
            "",
            f"## [{section}]",
            "",
            "| option | type | default | unit | description |",
            "|---|---|---|---|---|",
        ]
        lines += [
            _format_row(item) for item in OPTIONS if item.section == section
        ]
    return "\n".join(lines) + "\n"


def _check_across_sections(
    source: ini.IniFile, sections: dict[str, Any]
) -> None:
    nodes = sections.get("nodes")
    if nodes is not None and not nodes.advertise:
        host = nodes.listen.rpartition(":")[0]
        if host in ("0.0.0.0", "[::]"):
            reason = f"is needed, because others cannot reach {host}"
            source.add_fault("nodes", "advertise", reason)
    outcomes = sections.get("outcomes")
    if outcomes is not None and outcomes.answer_bytes > outcomes.answers_bytes:
        reason = f"is more than answers_bytes ({outcomes.answers_bytes})"
        source.add_fault("outcomes", "answer_bytes", reason)
    _check_listen_addresses(source, sections)


def _check_listen_addresses(
    source: ini.IniFile, sections: dict[str, Any]
) -> None:
    owners: dict[str, str] = {}
    for name, section in sections.items():
        listen = getattr(section, "listen", "")
        if not listen or listen.endswith(":0"):
            continue
        owner = owners.setdefault(listen, name)
        if owner != name:
            source.add_fault(name, "listen", f"{listen} is used by [{owner}]")


def _format_row(option: ini.Option) -> str:
    default = option.default
    if option.is_required:
        text = "required"
    elif default in ("", ()):
        text = "empty"
    else:
        text = (
            f"`{default:g}`" if isinstance(default, float) else f"`{default}`"
        )
    cells = [f"`{option.name}`", option.kind.label, text, option.unit]
    return "| " + " | ".join([*cells, option.description]) + " |"
