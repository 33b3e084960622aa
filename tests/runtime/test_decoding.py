"""JSON of other writers."""

import msgspec
import pytest

from clementinekeel.runtime import decoding


class Content(msgspec.Struct):
    port: decoding.Port = 1
    number: decoding.Number = 0
    duration_s: decoding.DurationS = 0.0
    token: decoding.Token = ""


@pytest.mark.parametrize(
    "content",
    [
        b'{"unknown":' + b"[" * 100_000,
        b'{"unknown":' + b'{"a":' * 100_000,
        b'{"port":65536}',
        b'{"number":' + b"9" * 5_000 + b"}",
        b'{"number":9007199254740992}',
        b'{"duration_s":1e308}',
        b'{"duration_s":1e999}',
        b'{"duration_s":NaN}',
        b'{"token":"a\\nb"}',
        b"\xff",
    ],
)
def test_malformed_content_is_one_kind_of_error(content):
    """Another kind of error ended the task that read the content."""
    with pytest.raises(decoding.DecodingError):
        decoding.decode_json(content, Content)


def test_values_at_their_bounds_are_decoded():
    content = b'{"port":65535,"number":9007199254740991,"duration_s":1e6}'
    decoded = decoding.decode_json(content, Content)
    assert decoded == Content(65_535, 9_007_199_254_740_991, 1e6)


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (b"0", 0),
        (b"5000", 5_000),
        (b"9" * 15, 999_999_999_999_999),
        (b"9" * 16, None),
        (b"9" * 5_000, None),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b" 1", None),
        ("\u0661".encode(), None),
    ],
)
def test_number_in_a_header(text, number):
    """Python refuses to convert more than 4,300 digits."""
    assert decoding.decode_number(text) == number
