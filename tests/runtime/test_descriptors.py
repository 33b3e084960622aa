"""The limit on descriptors, with real processes."""

import subprocess
import sys

import pytest

PROGRAM = """
import resource
import sys

from clementinekeel.runtime import descriptors

soft, hard, wanted = map(int, sys.argv[1:])
resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
descriptors.raise_limit(wanted)
print(descriptors.limit(wanted))
assert resource.getrlimit(resource.RLIMIT_NOFILE)[1] == hard
"""


@pytest.mark.parametrize(
    ("soft", "hard", "wanted", "usable"),
    [
        pytest.param(100, 400, 300, 300, id="raised"),
        pytest.param(100, 200, 300, 200, id="raised_in_part"),
        pytest.param(100, 100, 300, 100, id="cannot_be_raised"),
        pytest.param(300, 400, 200, 200, id="high_enough"),
    ],
)
def test_limit_is_raised_as_far_as_allowed(soft, hard, wanted, usable):
    """A node counted on descriptors that it could not open."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(soft), str(hard), str(wanted)],
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert int(done.stdout) == usable
