"""The source imports modules and not names, so that origins are visible."""

import ast
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "clementinekeel"


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            module = str(node.module)
            if module.startswith("clementinekeel"):
                for alias in node.names:
                    yield f"{module}.{alias.name}"


def is_module(name):
    path = SOURCE.parent.joinpath(*name.split("."))
    return path.is_dir() or path.with_suffix(".py").is_file()


@pytest.mark.parametrize(
    "path",
    [path for path in SOURCE.rglob("*.py") if path.name != "__init__.py"],
    ids=lambda path: str(path.relative_to(SOURCE)),
)
def test_only_modules_are_imported(path):
    assert [name for name in imported_names(path) if not is_module(name)] == []
