"""Decoding of JSON that another program has written.

Content of other writers may be malformed in any way. Decoding it either
succeeds with values within their bounds or fails with ``DecodingError``.
"""

import re
from typing import Annotated, TypeVar

import msgspec

MAX_PORT = 65_535
MAX_TEXT_LENGTH = 1_024
MAX_COUNT = 1_000_000
"""More than any backend server runs or any fleet has."""
MAX_NUMBER = 2**53 - 1
"""Largest integer that all JSON libraries represent exactly."""
MAX_DURATION_S = 1_000_000.0
"""Eleven days; longer timeouts and warm-ups are faults of the writer."""

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
Token = Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_LENGTH, pattern=r"^[!-~]*$")
]
"""Text of visible ASCII characters that may stand in a request line."""
Host = Annotated[
    str, msgspec.Meta(max_length=253, pattern=r"^[0-9A-Za-z.:-]+$")
]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
DurationS = Annotated[
    float, msgspec.Meta(ge=-MAX_DURATION_S, le=MAX_DURATION_S)
]

T = TypeVar("T")

_DIGITS = re.compile(rb"[0-9]{1,15}")
"""Digits of a number up to ``MAX_NUMBER``; Python converts at most 4,300."""


class DecodingError(ValueError):
    """Content is malformed, or a value is out of its bounds."""


def decode_json(content: bytes, content_type: type[T]) -> T:
    """Decode JSON into a type.

    Raises
    ------
    DecodingError
        With the path and the fault of the first faulty field.
    """
    try:
        return msgspec.json.decode(content, type=content_type)
    except msgspec.DecodeError as error:
        raise DecodingError(str(error)) from error
    except RecursionError as error:
        # Also in a field that the type doesn't have.
        raise DecodingError("nested too deeply") from error


def decode_number(text: bytes) -> int | None:
    """Decode a decimal number in a header; None if it is not one.

    Numbers of more than 15 digits are malformed.
    """
    return int(text) if _DIGITS.fullmatch(text) else None
