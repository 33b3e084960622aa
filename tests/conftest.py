"""Common configuration and fixtures of the tests."""

import os
import pathlib

import hypothesis
import pytest
import trio.testing

from clementinekeel.runtime import invariants

# Violations of invariants raise, so that they fail the test.
os.environ[invariants.FATAL_VARIABLE] = "1"

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.register_profile(
    "long", max_examples=2_000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Expect the tests that KNOWN-RED.txt lists to fail, and no others.

    A listed test that passes fails the run, so that its entry is removed.
    """
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    listed = {line.removeprefix("test: ") for line in lines}
    for item in items:
        if item.nodeid in listed:
            reason = f"listed in {KNOWN_RED.name}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


@pytest.fixture
def anyio_backend():
    """Run async tests on trio; its clock advances when all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return "trio", {"clock": clock}
