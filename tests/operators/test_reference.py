"""The committed generated pages are current."""

import pathlib

import pytest

from clementinekeel.operators import reference

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize("name", reference.PAGES)
def test_committed_page_is_current(name, tmp_path):
    """A page must not describe options or metrics of an older version."""
    reference.write(tmp_path)
    assert (tmp_path / name).read_text() == (DOCS / name).read_text()
