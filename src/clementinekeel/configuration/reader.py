"""Reader and writer of inventory and rules as INI files."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from returns import result

from clementinekeel.configuration import checks
from clementinekeel.configuration import model
from clementinekeel.runtime import ini

Faults = tuple[ini.Fault, ...]

INVENTORY_SECTIONS = ("zone", "link", "service", "endpoint")
RULES_SECTIONS = ("class", "operation", "limits")


def _option(
    section: str, name: str, kind: ini.Kind, default: object = ini.REQUIRED
) -> ini.Option:
    return ini.Option(section, name, kind, default, "", "")


_DEADLINE_KIND = ini.integer(1, checks.MAX_DEADLINE_MS)
OPTIONS = (
    _option("zone", "region", ini.NAME),
    _option("link", "bits_per_s", ini.integer(1, checks.MAX_BITS_PER_S)),
    _option("endpoint", "service", ini.NAME),
    _option("endpoint", "zone", ini.NAME),
    _option("endpoint", "slots", ini.integer(1, checks.MAX_SLOTS)),
    _option("endpoint", "connections", ini.integer(1, checks.MAX_CONNECTIONS)),
    _option("class", "rank", ini.integer(0, checks.MAX_RANK)),
    _option("operation", "service", ini.NAME),
    _option("operation", "methods", ini.list_of(ini.TEXT), ()),
    _option("operation", "path", ini.TEXT),
    _option("operation", "class", ini.NAME),
    _option("operation", "idempotent", ini.BOOLEAN),
    _option("operation", "deadline_ms", _DEADLINE_KIND),
    _option("limits", "default_class", ini.NAME),
    _option("limits", "default_deadline_ms", _DEADLINE_KIND),
    _option(
        "limits", "retry_allowance", ini.integer(0, checks.MAX_RETRY_ALLOWANCE)
    ),
    _option(
        "limits",
        "retry_budget_share",
        ini.number(0, checks.MAX_RETRY_BUDGET_SHARE),
    ),
    _option("limits", "objective", ini.choice(model.Objective)),
)


class Source(NamedTuple):
    """Content of a file, and its name for the reports of faults."""

    file: str
    text: str


class UnversionedConfiguration(NamedTuple):
    """Inventory and rules as read from files, without a version."""

    inventory: model.Inventory
    rules: model.Rules


def read(
    inventory: Source, rules: Source
) -> result.Result[UnversionedConfiguration, Faults]:
    """Read and check inventory and rules together.

    Returns
    -------
    Result
        The typed values, or all faults of both files.
    """
    inventory_file = ini.IniFile(inventory.text, inventory.file)
    rules_file = ini.IniFile(rules.text, rules.file)
    read_inventory = _InventoryReader(inventory_file).read()
    services = [service.name for service in read_inventory.services]
    read_rules = _RulesReader(rules_file).read(services)
    faults = inventory_file.faults + rules_file.faults
    if faults:
        return result.Failure(ini.sort_faults(faults))
    return result.Success(UnversionedConfiguration(read_inventory, read_rules))


def read_inventory(source: Source) -> result.Result[model.Inventory, Faults]:
    """Read and check an inventory."""
    file = ini.IniFile(source.text, source.file)
    inventory = _InventoryReader(file).read()
    if file.faults:
        return result.Failure(ini.sort_faults(file.faults))
    return result.Success(inventory)


def write_inventory(inventory: model.Inventory) -> str:
    """Return an inventory as INI text, which ``read_inventory`` reads."""
    sections = [
        [f"[zone {zone.name}]", f"region = {zone.region}"]
        for zone in inventory.zones
    ]
    sections += [
        [f"[link {' '.join(link.regions)}]", f"bits_per_s = {link.bits_per_s}"]
        for link in inventory.links
    ]
    for service in inventory.services:
        sections.append([f"[service {service.name}]"])
        sections += [_endpoint_lines(item) for item in service.endpoints]
    return "\n".join("\n".join(lines) + "\n" for lines in sections)


def _endpoint_lines(endpoint: model.EndpointSpec) -> list[str]:
    return [
        f"[endpoint {endpoint.name}]",
        f"service = {endpoint.service}",
        f"zone = {endpoint.zone}",
        f"slots = {endpoint.slots}",
        f"connections = {endpoint.connections}",
    ]


class _Reader:
    def __init__(
        self, file: ini.IniFile, known_kinds: tuple[str, ...]
    ) -> None:
        self._file = file
        self._sections_by_kind: dict[str, list[str]] = {
            kind: [] for kind in known_kinds
        }
        for section in file.sections:
            kind = section.partition(" ")[0]
            if kind in self._sections_by_kind:
                self._sections_by_kind[kind].append(section)
            else:
                listed = ", ".join(known_kinds)
                reason = f"unknown section (known: {listed})"
                file.add_fault(section, "", reason)

    def read_section(self, section: str) -> dict[str, Any] | None:
        kind = section.partition(" ")[0]
        options = [item for item in OPTIONS if item.section == kind]
        return self._file.read_section(section, options)

    def named_sections(self, kind: str) -> list[tuple[str, str]]:
        """Return all sections of a kind, each with the name it states."""
        return [
            (section, section.partition(" ")[2].strip())
            for section in self._sections_by_kind[kind]
        ]

    def report_problems(self, problems: Iterable[checks.Problem]) -> None:
        for problem in problems:
            self._file.add_fault(*problem)


class _InventoryReader(_Reader):
    def __init__(self, file: ini.IniFile) -> None:
        super().__init__(file, INVENTORY_SECTIONS)

    def read(self) -> model.Inventory:
        endpoints = self._endpoints()
        names = [name for _, name in self.named_sections("service")]
        for section, _ in self.named_sections("service"):
            self.read_section(section)
        for endpoint in endpoints:
            if endpoint.service not in names:
                section = f"endpoint {endpoint.name}"
                reason = f"unknown service {endpoint.service!r}"
                self._file.add_fault(section, "service", reason)
        services = tuple(
            model.ServiceSpec(
                name, tuple(item for item in endpoints if item.service == name)
            )
            for name in sorted(names)
        )
        inventory = model.Inventory(self._zones(), self._links(), services)
        self.report_problems(checks.check_inventory(inventory))
        return inventory

    def _zones(self) -> tuple[model.Zone, ...]:
        zones = []
        for section, name in self.named_sections("zone"):
            # A zone with a faulty region stays in the inventory, so that its
            # endpoints are not reported too.
            values = self.read_section(section) or {"region": "unknown"}
            zones.append(model.Zone(name, values["region"]))
        return tuple(sorted(zones))

    def _links(self) -> tuple[model.Link, ...]:
        links = []
        for section, name in self.named_sections("link"):
            values = self.read_section(section)
            regions = name.split()
            if len(regions) != 2:
                self._file.add_fault(
                    section, "", "needs the names of two regions"
                )
            elif values is not None:
                pair = (regions[0], regions[1])
                links.append(model.Link(pair, values["bits_per_s"]))
        return tuple(sorted(links))

    def _endpoints(self) -> list[model.EndpointSpec]:
        endpoints = []
        for section, name in self.named_sections("endpoint"):
            values = self.read_section(section)
            if values is not None:
                endpoints.append(model.EndpointSpec(name=name, **values))
        return endpoints


class _RulesReader(_Reader):
    def __init__(self, file: ini.IniFile) -> None:
        super().__init__(file, RULES_SECTIONS)

    def read(self, services: Iterable[str]) -> model.Rules:
        classes = self._classes()
        ranks = {item.name: item.rank for item in classes}
        operations = self._operations(ranks)
        limits = self.read_section("limits")
        has_limits = limits is not None
        if limits is None:
            # Placeholders for the other checks; the fault of the section is
            # already recorded.
            limits = {
                "default_class": "",
                "default_deadline_ms": 1,
                "retry_allowance": 0,
                "retry_budget_share": 0.0,
                "objective": model.Objective.GOODPUT,
            }
        limits["objective"] = model.Objective(limits["objective"])
        rules = model.Rules(classes=classes, operations=operations, **limits)
        problems = checks.check_rules(rules, services)
        if not has_limits:
            problems = [item for item in problems if item.section != "limits"]
        self.report_problems(problems)
        return rules

    def _classes(self) -> tuple[model.RequestClass, ...]:
        return tuple(
            model.RequestClass(
                name, (self.read_section(section) or {"rank": 0})["rank"]
            )
            for section, name in self.named_sections("class")
        )

    def _operations(
        self, ranks: dict[str, int]
    ) -> tuple[model.Operation, ...]:
        operations = []
        for section, name in self.named_sections("operation"):
            values = self.read_section(section)
            if values is None:
                continue
            request_class = values.pop("class")
            operations.append(
                model.Operation(
                    name=name,
                    request_class=request_class,
                    rank=ranks.get(request_class, 0),
                    **values,
                )
            )
        return tuple(operations)
