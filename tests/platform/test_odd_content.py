"""Content of other writers, drawn at random.

Decoders either return a value or one kind of error; any other exception ends
the task that reads the content, and with it the node.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from clementinekeel.platform import configuration
from clementinekeel.platform import heartbeats
from clementinekeel.runtime import decoding
from clementinekeel.sidecar import entry as entry_module
from tests.platform import test_configuration
from tests.platform import test_heartbeats
from tests.sidecar import test_entry

CONFIGURATION = json.loads(
    test_configuration.encode_configuration(test_configuration.ROUTE)
)
VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(min_value=2**53),
    strategies.floats(allow_nan=True, allow_infinity=True),
    strategies.text(max_size=8),
    strategies.lists(strategies.integers(), max_size=3),
    strategies.integers(min_value=1, max_value=30_000).map(
        lambda depth: "[" * depth
    ),
)


def paths(content, path=()):
    """Yield the path of each field, at any depth."""
    items = content.items() if isinstance(content, dict) else []
    if isinstance(content, list):
        items = enumerate(content)
    for name, value in items:
        yield (*path, name)
        yield from paths(value, (*path, name))


def changed(content, path, value):
    """Return encoded content in which one field has another value."""
    copied = json.loads(json.dumps(content))
    target = copied
    for name in path[:-1]:
        target = target[name]
    is_nested = isinstance(value, str) and value.startswith("[")
    target[path[-1]] = "nested" if is_nested else value
    encoded = json.dumps(copied).encode()
    # An unclosed array, which is nested as deeply as the text is long.
    nested = value.encode() if is_nested else b""
    return encoded.replace(b'"nested"', nested) if is_nested else encoded


def decode_entry(content):
    try:
        return result.Success(entry_module.decode_entry(content))
    except decoding.DecodingError as error:
        return result.Failure(error)


@pytest.mark.parametrize(
    ("content", "decode"),
    [
        pytest.param(test_entry.ENTRY, decode_entry, id="entry"),
        pytest.param(
            test_heartbeats.BODY,
            lambda body: heartbeats.decode_heartbeat("e", body),
            id="heartbeat",
        ),
        pytest.param(
            CONFIGURATION,
            configuration.decode_configuration,
            id="configuration",
        ),
    ],
)
@hypothesis.given(data=strategies.data())
def test_field_with_any_value_is_decoded_or_an_error(content, decode, data):
    path = data.draw(strategies.sampled_from(list(paths(content))))
    value = data.draw(VALUES)
    outcome = decode(changed(content, path, value))
    assert isinstance(outcome, result.Result)


@pytest.mark.parametrize(
    "decode",
    [
        decode_entry,
        lambda body: heartbeats.decode_heartbeat("e", body),
        configuration.decode_configuration,
    ],
    ids=["entry", "heartbeat", "configuration"],
)
@hypothesis.given(content=strategies.binary(max_size=200))
def test_any_bytes_are_an_error(decode, content):
    assert isinstance(decode(content), result.Failure)
