"""Common configuration and fixtures of the tests."""

import os

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


@pytest.fixture
def anyio_backend():
    """Run async tests on trio; its clock advances when all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return "trio", {"clock": clock}
