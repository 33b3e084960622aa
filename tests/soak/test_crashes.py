"""The soak's judge of requests that crash backend servers."""

import pytest

from soak import crashes as crashes_module


def excesses(ends, runs, is_undisrupted=True):
    crashes = crashes_module.Crashes()
    for at in ends:
        crashes.on_end("p", at)
    for at in runs:
        crashes.on_run("p", "n1", at)
    return list(crashes.excesses(lambda *_span: is_undisrupted))


def test_runs_long_after_the_third_crash_are_found():
    assert excesses([1, 2, 3, 9], [8, 9, 10, 11]) == [("p", 3, 4)]


@pytest.mark.parametrize(
    ("ends", "runs", "is_undisrupted"),
    [
        pytest.param([1, 2], [8, 9, 10, 11], True, id="two crashes"),
        pytest.param([1, 2, 3], [8, 9, 10], True, id="three runs"),
        pytest.param([1, 2, 3], [4, 5, 6, 7], True, id="soon after"),
        pytest.param([1, 2, 3], [8, 9, 10, 11], False, id="disrupted"),
    ],
)
def test_permitted_runs_are_not_found(ends, runs, is_undisrupted):
    assert excesses(ends, runs, is_undisrupted) == []
