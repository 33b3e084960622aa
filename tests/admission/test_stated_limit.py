"""The limit in force when answers overtake each other."""

import pytest

from clementinekeel.admission import stated_limit


def limit_after(*answers):
    """Apply answers as (stated limit, sent at, received at)."""
    limit = stated_limit.StatedLimit(0.0)
    for stated, sent_at, now in answers:
        limit.on_answer(stated, sent_at, now)
    return limit.limit_per_s


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([(None, 1, 2)], None),
        ([(5.0, 1, 2)], 5.0),
        ([(5.0, 1, 2), (None, 1.5, 3)], 5.0),
        ([(5.0, 1, 2), (None, 2.5, 3)], None),
        ([(5.0, 1, 2), (5.0, 2.5, 3), (None, 2.6, 4)], 5.0),
        ([(5.0, 1, 2), (3.0, 1.5, 3)], 3.0),
        ([(5.0, 1, 2), (9.0, 1.5, 3)], 5.0),
        ([(5.0, 1, 2), (9.0, 2.5, 3)], 9.0),
        ([(0.0, 1, 2), (None, 1.5, 3)], 0.0),
        ([(5.0, -1, 2)], None),
    ],
    ids=[
        "none",
        "stated",
        "older answer without",
        "later answer without",
        "without, sent before the last statement",
        "lower",
        "higher in an older answer",
        "higher in a later answer",
        "zero",
        "answer of an earlier incarnation",
    ],
)
def test_limit_in_force(answers, expected):
    assert limit_after(*answers) == expected
