"""What a backend server states in the headers of its answers."""

import pytest

from clementinekeel.backends import self_report


def decode(*headers):
    return self_report.decode(headers, b"limit", b"leaving")


@pytest.mark.parametrize(
    ("value", "rate"),
    [(b"27.2", 27.2), (b"0", 0.0), (b" 6 ", 6.0), (b"0.25", 0.25)],
    ids=["decimal", "zero", "spaces", "below one"],
)
def test_limit_is_decoded(value, rate):
    report = decode((b"id", b"r1"), (b"limit", value))
    assert report == self_report.SelfReport(rate, False)


@pytest.mark.parametrize(
    "value",
    [b"", b"-3", b"nan", b"inf", b"1e9", b"1_000", b"9" * 400, b"12,5", b"x"],
)
def test_malformed_limit_is_reported_as_such(value):
    """A limit that can't be read may neither count as a limit nor end one."""
    report = decode((b"limit", value))
    assert report.rate_limit_per_s is None
    assert report.malformed_limit == value[:80]


def test_two_different_limits_in_one_answer_are_malformed():
    assert (
        decode((b"limit", b"5"), (b"limit", b"50")).malformed_limit == b"5, 50"
    )
    assert decode((b"limit", b"5"), (b"limit", b"5")).rate_limit_per_s == 5


@pytest.mark.parametrize(
    ("value", "is_leaving"), [(b"1", True), (b"0", False), (b"", False)]
)
def test_leaving_is_decoded(value, is_leaving):
    assert decode((b"leaving", value)).is_leaving is is_leaving
