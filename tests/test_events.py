"""The documentation of log events agrees with the source."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parents[1]
DEFAULT_LEVEL = "INFO"
OPEN_FIELDS = "..."
"""Stands for fields that are passed as ``**fields``."""


def constant_value(node):
    return node.value if isinstance(node, ast.Constant) else None


def calls_of(tree, name):
    return [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and ast.unparse(node.func) == name
    ]


def event_names(tree, call):
    """Return the event names of a call.

    If the name is a parameter of a helper, the names are those that the
    callers of the helper pass.
    """
    name = constant_value(call.args[0])
    if name is not None:
        return [name]
    (helper,) = [
        node.name
        for node in ast.walk(tree)
        if isinstance(node, ast.FunctionDef) and call in ast.walk(node)
    ]
    return [constant_value(c.args[0]) for c in calls_of(tree, helper)]


def events_of(tree):
    for call in calls_of(tree, "log.event"):
        keywords = {item.arg: item.value for item in call.keywords}
        level = DEFAULT_LEVEL
        if "level" in keywords:
            level = constant_value(keywords.pop("level"))
        fields = [name or OPEN_FIELDS for name in keywords]
        for name in event_names(tree, call):
            yield name, level, ", ".join(f"`{field}`" for field in fields)


def test_reference_lists_all_events_and_fields():
    """A new event or field must be documented for operators."""
    used = set()
    for path in (ROOT / "src").rglob("*.py"):
        used |= set(events_of(ast.parse(path.read_text())))
    documented = []
    for line in (ROOT / "docs" / "events.md").read_text().splitlines():
        if line.startswith("| `"):
            name, level, fields, meaning = line.strip("| ").split(" | ")
            assert meaning
            documented.append((name.strip("`"), level, fields.strip()))
    assert set(documented) == used
    assert documented == sorted(documented)


def decision_events():
    for path in (ROOT / "src").rglob("*.py"):
        for call in calls_of(
            ast.parse(path.read_text()), "self._decisions.write"
        ):
            name = call.args[0]
            if isinstance(name, ast.IfExp):
                yield constant_value(name.body)
                yield constant_value(name.orelse)
            else:
                yield constant_value(name)


def test_operations_page_lists_all_events_of_forwarding_nodes():
    """Operators cannot look up an event that is not documented."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page[: page.index("## From the id")]
    missing = {name for name in decision_events() if f"`{name}`" not in table}
    assert missing == set()
