"""Encoding of inventory and rules as the objects that the store holds.

Each object is a JSON value under a name, such as ``service/bookings``.
"""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from returns import result

from clementinekeel.configuration import checks
from clementinekeel.configuration import model
from clementinekeel.configuration import reader
from clementinekeel.runtime import ini

ZONES = "topology/zones"
LINKS = "topology/links"
RULES = "policy/rules"
SERVICE_PREFIX = "service/"
_FIXED_TYPES: dict[str, Any] = {
    ZONES: tuple[model.Zone, ...],
    LINKS: tuple[model.Link, ...],
    RULES: model.Rules,
}

Objects = Mapping[str, bytes]


def encode(inventory: model.Inventory, rules: model.Rules) -> dict[str, bytes]:
    """Encode inventory and rules as objects.

    Returns
    -------
    dict
        Canonical JSON by object name: equal values have equal bytes.
    """
    objects = {
        ZONES: msgspec.json.encode(sorted(inventory.zones)),
        LINKS: msgspec.json.encode(sorted(inventory.links)),
        RULES: msgspec.json.encode(rules),
    }
    for service in inventory.services:
        name = SERVICE_PREFIX + service.name
        objects[name] = msgspec.json.encode(service)
    return objects


def decode(
    version: int, change_id: str, objects: Objects
) -> result.Result[model.Configuration, reader.Faults]:
    """Decode and check the configuration that objects hold.

    Returns
    -------
    Result
        The configuration, or all faults. The ``file`` of a fault is the name
        of the object that cannot be decoded, or ``objects`` for the faults
        that the checks of the decoded values find.
    """
    faults: list[ini.Fault] = []
    values: dict[str, Any] = {}
    for name in sorted({*objects, ZONES, LINKS, RULES}):
        try:
            values[name] = _decode_object(name, objects)
        except msgspec.MsgspecError as error:
            faults.append(ini.Fault(name, 0, "", "", str(error)))
    if faults:
        return result.Failure(tuple(faults))
    rules = values[RULES]
    services = [v for k, v in values.items() if k.startswith(SERVICE_PREFIX)]
    inventory = model.Inventory(values[ZONES], values[LINKS], tuple(services))
    names = [service.name for service in services]
    problems = checks.check_inventory(inventory)
    problems += checks.check_rules(rules, names)
    faults += [ini.Fault("objects", 0, *problem) for problem in problems]
    if faults:
        return result.Failure(ini.sort_faults(faults))
    configuration = model.Configuration(version, change_id, inventory, rules)
    return result.Success(configuration)


def decode_change(
    before: model.Configuration,
    known: Objects,
    version: int,
    change_id: str,
    objects: Objects,
) -> result.Result[model.Configuration, reader.Faults]:
    """Decode the configuration that objects hold, given an earlier one.

    If only services have changed, only these are decoded and checked, which
    takes time in proportion to the change. Whether names are unique among
    all services is left to the full check that is made when a change is
    applied.

    Parameters
    ----------
    before : Configuration
        Earlier configuration.
    known : Objects
        Objects of the earlier configuration.
    """
    changed = [name for name in objects if objects[name] != known.get(name)]
    is_small = objects.keys() == known.keys() and all(
        name.startswith(SERVICE_PREFIX) for name in changed
    )
    if not is_small:
        return decode(version, change_id, objects)
    services: dict[str, model.ServiceSpec] = {}
    for name in changed:
        try:
            service = _decode_object(name, objects)
        except msgspec.MsgspecError as error:
            return result.Failure((ini.Fault(name, 0, "", "", str(error)),))
        services[service.name] = service
    part = before.inventory._replace(services=tuple(services.values()))
    problems = checks.check_inventory(part)
    if problems:
        faults = [ini.Fault("objects", 0, *problem) for problem in problems]
        return result.Failure(ini.sort_faults(faults))
    merged = tuple(
        services.get(service.name, service)
        for service in before.inventory.services
    )
    inventory = before.inventory._replace(services=merged)
    return result.Success(
        model.Configuration(version, change_id, inventory, before.rules)
    )


def difference(old: Objects, new: Objects) -> tuple[str, ...]:
    """Describe the differences between two sets of objects, one a line."""
    lines: list[str] = []
    for name in sorted({*old, *new}):
        if name not in old:
            lines.append(f"{name}: added")
        elif name not in new:
            lines.append(f"{name}: removed")
        elif old[name] != new[name]:
            lines += _describe_change(name, old, new)
    return tuple(lines)


def _object_type(name: str) -> Any:
    if name.startswith(SERVICE_PREFIX):
        return model.ServiceSpec
    return _FIXED_TYPES.get(name)


def _decode_object(name: str, objects: Objects) -> Any:
    object_type = _object_type(name)
    if object_type is None:
        raise msgspec.ValidationError("unknown object")
    if name not in objects:
        raise msgspec.ValidationError("missing object")
    value = msgspec.json.decode(objects[name], type=object_type)
    if name.startswith(SERVICE_PREFIX) and value.name != name.removeprefix(
        SERVICE_PREFIX
    ):
        raise msgspec.ValidationError(f"holds service {value.name!r}")
    return value


def _describe_change(name: str, old: Objects, new: Objects) -> list[str]:
    try:
        before, after = _decode_object(name, old), _decode_object(name, new)
    except msgspec.MsgspecError:
        return [f"{name}: changed"]
    return [f"{name}: {line}" for line in _compare_values("", before, after)]


def _compare_values(path: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if _is_named_tuple(old) and _is_named_tuple(new):
        for field in new._fields:
            item_path = f"{path} {field}".strip()
            yield from _compare_values(
                item_path, getattr(old, field), getattr(new, field)
            )
    elif _holds_named_tuples(old) and _holds_named_tuples(new):
        yield from _compare_items(path, _by_key(old), _by_key(new))
    else:
        yield f"{path}: {_format(old)} -> {_format(new)}"


def _compare_items(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[str]:
    for key in [*old, *(key for key in new if key not in old)]:
        item_path = f"{path} {key}".strip()
        if key not in new:
            yield f"{item_path}: removed"
        elif key not in old:
            yield f"{item_path}: added ({_format(new[key])})"
        else:
            yield from _compare_values(item_path, old[key], new[key])
    common = [key for key in old if key in new]
    if common != [key for key in new if key in old]:
        # The first operation that matches applies, so the order matters.
        yield f"{path}: order changed".strip(": ")


def _is_named_tuple(value: Any) -> bool:
    return hasattr(value, "_fields")


def _holds_named_tuples(value: Any) -> bool:
    is_plain = isinstance(value, tuple) and not _is_named_tuple(value)
    return is_plain and all(_is_named_tuple(item) for item in value)


def _by_key(items: tuple[Any, ...]) -> dict[str, Any]:
    return {_key(item): item for item in items}


def _key(item: Any) -> str:
    if isinstance(item, model.Link):
        return " ".join(item.regions)
    return str(item.name)


def _format(value: Any) -> str:
    if _is_named_tuple(value):
        pairs = zip(value._fields, value, strict=True)
        return ", ".join(f"{name} {_format(item)}" for name, item in pairs)
    if isinstance(value, tuple):
        return " ".join(str(item) for item in value) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
