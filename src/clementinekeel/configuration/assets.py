"""Reader of an inventory from an asset register in CSV.

Rows of type ``vm`` are VMs that run one endpoint each. Rows of type
``circuit`` are network links between two regions. Rows with status
``retired`` are ignored, whatever their other columns hold.
"""

import csv
import io
from typing import Any, NamedTuple

from returns import result

from clementinekeel.configuration import checks
from clementinekeel.configuration import model
from clementinekeel.configuration import reader
from clementinekeel.runtime import ini

COLUMNS = (
    "asset_tag",
    "type",
    "host_name",
    "service",
    "endpoint",
    "region",
    "zone",
    "peer_region",
    "slots",
    "connections",
    "bits_per_s",
    "status",
)
STATUSES = ("active", "maintenance", "retired")
RETIRED = "retired"

_VM_COLUMNS = {
    "host_name": ini.NAME,
    "service": ini.NAME,
    "endpoint": ini.NAME,
    "region": ini.NAME,
    "zone": ini.NAME,
    "slots": ini.integer(1, checks.MAX_SLOTS),
    "connections": ini.integer(1, checks.MAX_CONNECTIONS),
}
_CIRCUIT_COLUMNS = {
    "region": ini.NAME,
    "peer_region": ini.NAME,
    "bits_per_s": ini.integer(1, checks.MAX_BITS_PER_S),
}
_COLUMNS = {"vm": _VM_COLUMNS, "circuit": _CIRCUIT_COLUMNS}
_UNIQUE_COLUMNS = ("asset_tag", "host_name", "endpoint")


class _Row(NamedTuple):
    line: int
    cells: dict[str, str]


class _InventoryBuilder:
    def __init__(self, file: str) -> None:
        self.faults: list[ini.Fault] = []
        self.zones: dict[str, str] = {}
        self.links: dict[tuple[str, str], int] = {}
        self.endpoints: list[model.EndpointSpec] = []
        self._file = file
        self._first_lines: dict[tuple[str, str], int] = {}
        self._section_lines: dict[str, int] = {}

    def add_fault(self, line: int, column: str, reason: str) -> None:
        self.faults.append(ini.Fault(self._file, line, "", column, reason))

    def add_row(self, row: _Row) -> None:
        status = row.cells["status"]
        if status not in STATUSES:
            reason = f"{status!r} is none of: {', '.join(STATUSES)}"
            self.add_fault(row.line, "status", reason)
            return
        if status == RETIRED:
            return
        columns = _COLUMNS.get(row.cells["type"])
        if columns is None:
            reason = f"{row.cells['type']!r} is none of: {', '.join(_COLUMNS)}"
            self.add_fault(row.line, "type", reason)
            return
        self._check_unique(row)
        values = self._parse(row, columns)
        if len(values) < len(columns):
            return
        if columns is _VM_COLUMNS:
            self._add_endpoint(row.line, values)
        else:
            self._add_link(row.line, values)

    def build(self) -> model.Inventory:
        names = sorted({endpoint.service for endpoint in self.endpoints})
        services = tuple(
            model.ServiceSpec(
                name, tuple(e for e in self.endpoints if e.service == name)
            )
            for name in names
        )
        zones = [model.Zone(*item) for item in self.zones.items()]
        links = [model.Link(*item) for item in self.links.items()]
        inventory = model.Inventory(
            tuple(sorted(zones)), tuple(sorted(links)), services
        )
        if not self.faults:
            for problem in checks.check_inventory(inventory):
                line = self._section_lines.get(problem.section, 0)
                self.add_fault(line, problem.option, problem.reason)
        return inventory

    def _check_unique(self, row: _Row) -> None:
        if not row.cells["asset_tag"]:
            self.add_fault(row.line, "asset_tag", "is empty")
        for column in _UNIQUE_COLUMNS:
            value = row.cells[column]
            first = self._first_lines.setdefault((column, value), row.line)
            if value and first != row.line:
                reason = f"{value!r} is already in line {first}"
                self.add_fault(row.line, column, reason)

    def _parse(
        self, row: _Row, columns: dict[str, ini.Kind]
    ) -> dict[str, object]:
        values = {}
        for column, kind in columns.items():
            try:
                values[column] = kind.parse(row.cells[column])
            except ValueError as error:
                self.add_fault(row.line, column, str(error))
        return values

    def _add_endpoint(self, line: int, values: dict[str, object]) -> None:
        del values["host_name"]
        zone, region = str(values["zone"]), str(values.pop("region"))
        if self.zones.setdefault(zone, region) != region:
            reason = f"zone {zone!r} is in region {self.zones[zone]!r}"
            self.add_fault(line, "region", f"{reason} in an earlier row")
        values["name"] = values.pop("endpoint")
        endpoint = model.EndpointSpec(**values)  # type: ignore[arg-type]
        self._section_lines[f"endpoint {endpoint.name}"] = line
        self.endpoints.append(endpoint)

    def _add_link(self, line: int, values: dict[str, object]) -> None:
        first, second = sorted(
            [str(values["region"]), str(values["peer_region"])]
        )
        if (first, second) in self.links:
            reason = "a circuit between these regions is in an earlier row"
            self.add_fault(line, "peer_region", reason)
        self._section_lines[f"link {first} {second}"] = line
        self.links[first, second] = int(str(values["bits_per_s"]))


def read_inventory(
    source: reader.Source,
) -> result.Result[model.Inventory, reader.Faults]:
    """Read and check the inventory of an asset register.

    Returns
    -------
    Result
        The inventory, or all faults with their file, line and column.
    """
    builder = _InventoryBuilder(source.file)
    rows = csv.reader(io.StringIO(source.text, newline=""), strict=True)
    try:
        _read_rows(rows, builder)
    except csv.Error as error:
        builder.add_fault(rows.line_num, "", f"no CSV: {error}")
    inventory = builder.build()
    if builder.faults:
        return result.Failure(ini.sort_faults(builder.faults))
    return result.Success(inventory)


def _read_rows(rows: Any, builder: _InventoryBuilder) -> None:
    header = [cell.strip() for cell in next(rows, [])]
    missing = [column for column in COLUMNS if column not in header]
    unknown = [column for column in header if column not in COLUMNS]
    for column in missing:
        builder.add_fault(1, column, "missing column")
    for column in unknown:
        known = ", ".join(COLUMNS)
        builder.add_fault(1, column, f"unknown column (known: {known})")
    if missing or unknown:
        return
    for cells in rows:
        if not any(cell.strip() for cell in cells):
            continue
        if len(cells) != len(header):
            reason = f"{len(cells)} cells, expected {len(header)}"
            builder.add_fault(rows.line_num, "", reason)
            continue
        stripped = [cell.strip() for cell in cells]
        row = dict(zip(header, stripped, strict=True))
        builder.add_row(_Row(rows.line_num, row))
