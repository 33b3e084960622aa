"""Write the generated pages: ``python -m clementinekeel.operators.reference``.

Takes the folder of the pages as its only argument, by default ``docs``.
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
    for name, page in PAGES.items():
        (folder / name).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    write(pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "docs"))
