"""Inventory and rules as the objects that the store holds."""

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
    """Return the objects of a configuration.

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
    """Return the configuration that objects hold.

    Returns
    -------
    Result
        The configuration, or all faults. ``file`` of a fault is the object,
        or ``objects`` when the fault concerns more than one.
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
    """Return the configuration that objects hold, given an earlier one.

    Only services whose objects differ are decoded and checked, which takes
    time in proportion to the change. Whether names are unique among all
    services is left to the full check when the change was applied.

    Parameters
    ----------
    before : Configuration
        Earlier configuration.
    known : Objects
        Objects it was made of.
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
    """Return what differs between two sets of objects, as readable lines."""
    lines: list[str] = []
    for name in sorted({*old, *new}):
        if name not in old:
            lines.append(f"{name}: added")
        elif name not in new:
            lines.append(f"{name}: removed")
        elif old[name] != new[name]:
            lines += _object_difference(name, old, new)
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


def _object_difference(name: str, old: Objects, new: Objects) -> list[str]:
    try:
        before, after = _decode_object(name, old), _decode_object(name, new)
    except msgspec.MsgspecError:
        return [f"{name}: changed"]
    return [f"{name}: {line}" for line in _walk("", before, after)]


def _walk(path: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if _is_record(old) and _is_record(new):
        for field in new._fields:
            step = f"{path} {field}".strip()
            yield from _walk(step, getattr(old, field), getattr(new, field))
    elif _is_keyed(old) and _is_keyed(new):
        yield from _walk_items(path, _by_key(old), _by_key(new))
    else:
        yield f"{path}: {_show(old)} -> {_show(new)}"


def _walk_items(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[str]:
    for key in [*old, *(key for key in new if key not in old)]:
        step = f"{path} {key}".strip()
        if key not in new:
            yield f"{step}: removed"
        elif key not in old:
            yield f"{step}: added ({_show(new[key])})"
        else:
            yield from _walk(step, old[key], new[key])
    kept = [key for key in old if key in new]
    if kept != [key for key in new if key in old]:
        # The first operation that matches applies, so the order matters.
        yield f"{path}: order changed".strip(": ")


def _is_record(value: Any) -> bool:
    return hasattr(value, "_fields")


def _is_keyed(value: Any) -> bool:
    is_plain = isinstance(value, tuple) and not _is_record(value)
    return is_plain and all(_is_record(item) for item in value)


def _by_key(items: tuple[Any, ...]) -> dict[str, Any]:
    return {_key(item): item for item in items}


def _key(item: Any) -> str:
    if isinstance(item, model.Link):
        return " ".join(item.regions)
    return str(item.name)


def _show(value: Any) -> str:
    if _is_record(value):
        pairs = zip(value._fields, value, strict=True)
        return ", ".join(f"{name} {_show(item)}" for name, item in pairs)
    if isinstance(value, tuple):
        return " ".join(str(item) for item in value) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
