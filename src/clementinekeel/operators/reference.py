"""Generator of reference pages from the declared settings and metrics.

``python -m clementinekeel.operators.reference [FOLDER]`` writes the pages to a
folder, by default ``docs``.
"""

import pathlib
import sys

from clementinekeel.operators import metrics
from clementinekeel.runtime import settings

PAGES = {
    "metrics.md": metrics.render_reference,
    "settings.md": settings.render_reference,
}


def write(folder: pathlib.Path) -> None:
    """Write all generated pages to a folder."""
    for name, render in PAGES.items():
        (folder / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    write(pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "docs"))
