"""The reader of the platform's settings file."""

import copy
import math
import os
import tomllib

import hypothesis
from hypothesis import strategies
import pytest
from returns import pipeline
from returns import result

from clementinekeel.platform import settings
from clementinekeel.sidecar import settings as sidecar_settings

FILE = """
[self]
node_name = "n"
ip = "10.0.0.1"
zone = "z"
region = "r"
app_addr = "10.0.0.1:80"
service = "s"
later = "ignored"
[self.limits]
memory_mb = 300
max_fds = 4100
[network]
port_range = [7000, 7015]
[network.bind_addrs]
outbound = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
[platform.platform]
address = "10.0.0.9:8"
[terms.contract_params]
grace_s = 5
drain_s = 2.5
"""


def load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return settings.load_settings(str(path))


def test_settings_are_converted(tmp_path):
    loaded = load(tmp_path, FILE).unwrap()
    assert loaded.peers == sidecar_settings.Address("10.0.0.1", 7000)
    assert loaded.store == sidecar_settings.Address("10.0.0.9", 8)
    assert loaded.backend == sidecar_settings.Address("10.0.0.1", 80)
    assert (loaded.stop_timeout_ms, loaded.extra_retries) == (5_000, 48)
    assert loaded.max_descriptors == 4_100


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[",
        FILE.replace('"10.0.0.1:80"', '"10.0.0.1:eighty"'),
        FILE.replace("300", '"much"'),
        FILE.replace('zone = "z"', ""),
    ],
)
def test_faulty_settings_are_an_error_that_names_the_file(tmp_path, text):
    loaded = load(tmp_path, text)
    assert not pipeline.is_successful(loaded)
    assert "settings.toml" in str(loaded.failure())


def test_missing_file_is_an_error():
    assert not pipeline.is_successful(settings.load_settings("/none"))


NESTED = "[" * 3_000 + "]" * 3_000


@pytest.mark.parametrize(
    ("text", "changed"),
    [
        pytest.param("memory_mb = 300", "memory_mb = 1e400", id="infinite"),
        pytest.param("grace_s = 5", "grace_s = inf", id="infinite_time"),
        pytest.param("grace_s = 5", "budget_extra = 1e400", id="retries"),
        pytest.param("grace_s = 5", f"grace_s = {NESTED}", id="nested"),
        pytest.param("grace_s = 5", f"new = {NESTED}", id="nested_unknown"),
        pytest.param("max_fds = 4100", f"max_fds = 0x{'f' * 9_000}", id="big"),
    ],
)
def test_content_that_no_type_holds_is_an_error(tmp_path, text, changed):
    """These raised exceptions, which ended a running node at a reload."""
    assert text in FILE
    loaded = load(tmp_path, FILE.replace(text, changed))
    assert not pipeline.is_successful(loaded)
    assert "settings.toml" in str(loaded.failure())


@pytest.mark.parametrize(
    ("text", "changed", "message"),
    [
        (
            "memory_mb = 300",
            "memory_mb = 0",
            "self.limits.memory_mb is 0, must be a number from 1 to 1e+09",
        ),
        ("max_fds = 4100", "max_fds = -1", "self.limits.max_fds is -1, must"),
        ("max_fds = 4100", "max_fds = true", "self.limits.max_fds is True,"),
        (
            "grace_s = 5",
            "grace_s = -1",
            "terms.contract_params.grace_s is -1, must be a number from 0 to",
        ),
        ("grace_s = 5", "grace_s = nan", "contract_params.grace_s is nan"),
        (
            "grace_s = 5",
            "budget_window_s = 0",
            "contract_params.budget_window_s is 0, must be a number from 0.00",
        ),
        ("grace_s = 5", "budget_extra = -1", "budget_extra is -1"),
        (
            "grace_s = 5",
            'retry_budget_ratio = "x"',
            "retry_budget_ratio is 'x'",
        ),
        ('service = "s"', 'service = ""', "self.service is '', must be a str"),
        ('service = "s"', r'service = "s\r\na: b"', "self.service is "),
        (
            'service = "s"',
            "service = [1]",
            "self.service is a value of type l",
        ),
        ('zone = "z"', "", "self.zone is missing"),
        (
            "port_range = [7000, 7015]",
            "port_range = [99999, 7015]",
            "network.port_range.0 is 99999, must be a number from 1 to 65535",
        ),
        ("port_range = [7000, 7015]", "port_range = []", "network.port_range"),
        (
            'ready = "10.0.0.1:2"',
            'ready = "10.0.0.1:0"',
            "network.bind_addrs.ready is '10.0.0.1:0', must be HOST:PORT with",
        ),
        ('"10.0.0.9:8"', '"10.0.0.9:65536"', "platform.platform.address is "),
        ('"10.0.0.9:8"', '":8"', "platform.platform.address is ':8'"),
        ('"10.0.0.9:8"', '"a..b:8"', "platform.platform.address is 'a..b:8'"),
        ('"10.0.0.1:80"', '"é10.0.0.1:80"', "self.app_addr is 'é10.0.0.1:80'"),
        ('ip = "10.0.0.1"', 'ip = "10.0.0.1 "', "self.ip is '10.0.0.1 '"),
        ("[self.limits]", "[self.other]", "self.limits.max_fds is missing"),
        (
            "[terms.contract_params]",
            "[ignored]\n[terms]\ncontract_params=1\n[rest]",
            "terms.contract_params.grace_s is not in a table",
        ),
    ],
)
def test_value_that_cannot_be_used_is_named(tmp_path, text, changed, message):
    """Ports were wrapped, and limits of nothing kept a node from serving."""
    assert text in FILE
    loaded = load(tmp_path, FILE.replace(text, changed))
    assert message in str(loaded.failure())


def test_all_faults_are_reported_at_once(tmp_path):
    text = FILE.replace("300", "0").replace("grace_s = 5", "grace_s = -1")
    message = str(load(tmp_path, text).failure())
    assert "memory_mb" in message
    assert "grace_s" in message


@pytest.mark.parametrize(
    ("text", "changed", "field", "value"),
    [
        ("grace_s = 5", "grace_s = 0", "stop_timeout_ms", 0),
        ("grace_s = 5", "grace_s = 0.25", "stop_timeout_ms", 250),
        ("memory_mb = 300", "memory_mb = 299.5", "memory_mb", 299),
        ("max_fds = 4100", "max_fds = 1", "max_descriptors", 1),
        ("grace_s = 5", "retry_budget_ratio = 0", "retry_ratio", 0),
        ("[7000, 7015]", "[7000]", "peers", ("10.0.0.1", 7000)),
        ('service = "s"', 'service = "größe 2"', "service", "größe 2"),
        ('zone = "z"', 'zone = ""', "zone", ""),
        ('region = "r"', 'region = ""', "region", ""),
    ],
)
def test_unusual_value_that_can_be_used_is_not_refused(
    tmp_path, text, changed, field, value
):
    """A refused start counts like a process that ends by itself."""
    loaded = load(tmp_path, FILE.replace(text, changed)).unwrap()
    assert getattr(loaded, field) == value


def test_file_that_is_too_long_is_an_error(tmp_path):
    """A long file keeps a node from its requests while it is read."""
    padding = "#" * settings.MAX_FILE_BYTES
    assert "bytes" in str(load(tmp_path, FILE + padding).failure())


def test_pipe_is_an_error(tmp_path):
    """A running node waited for a writer and served nothing meanwhile."""
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    assert "a pipe" in str(settings.load_settings(str(path)).failure())


def test_missing_variable_is_named():
    loaded = settings.load_settings("")
    assert settings.PATH_VARIABLE in str(loaded.failure())


def fields(table, path=()):
    """Yield the path of each field, at any depth."""
    for name, value in table.items():
        yield (*path, name)
        if isinstance(value, dict):
            yield from fields(value, (*path, name))


def encode(value):
    """Return a value in TOML; tables are written inline."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        escaped = "".join(f"\\U{ord(c):08x}" for c in value)
        return f'"{escaped}"'
    if isinstance(value, dict):
        items = (f"{encode(k)} = {encode(v)}" for k, v in value.items())
        return "{" + ", ".join(items) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(encode, value)) + "]"
    if isinstance(value, int):
        return hex(value) if value > 2**63 else str(value)
    return repr(value)


def encode_file(content):
    return "\n".join(f"{encode(k)} = {encode(v)}" for k, v in content.items())


COMPLETE = tomllib.loads(FILE)
COMPLETE["platform"]["platform"]["ttl_min_s"] = 1
COMPLETE["terms"]["contract_params"] |= {
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 48,
}
SCALARS = strategies.one_of(
    strategies.sampled_from([math.inf, -math.inf, math.nan, 0, -1, 10**400]),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(0, 5_000).map(lambda bits: 1 << 4 * bits),
    strategies.floats(),
    strategies.text(strategies.characters(codec="utf-8"), max_size=8),
    strategies.builds(
        "{}:{}".format,
        strategies.text("a.0é", max_size=4),
        strategies.integers(-1, 70_000),
    ),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text("ab", max_size=2), inner)
    ),
    max_leaves=5,
)


def check_outcome(loaded):
    """Check that settings can be used, or that an error names the file."""
    assert isinstance(loaded, result.Result)
    if not pipeline.is_successful(loaded):
        assert "settings.toml" in str(loaded.failure())
        return
    used = loaded.unwrap()
    for value in used:
        if isinstance(value, sidecar_settings.Address):
            assert value.host
            assert 1 <= value.port <= 65535
        elif isinstance(value, str):
            assert value
        else:
            assert math.isfinite(value)
            assert value >= 0
    assert used.memory_mb > 0
    assert used.max_descriptors > 0
    assert used.retry_window_ms > 0


@pytest.mark.parametrize("path", list(fields(COMPLETE)), ids=".".join)
@hypothesis.settings(max_examples=25)
@hypothesis.given(value=VALUES)
def test_any_value_in_any_field_is_used_or_refused(
    tmp_path_factory, path, value
):
    """An exception from the reader ended the node with all its requests."""
    content = copy.deepcopy(COMPLETE)
    target = content
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = value
    check_outcome(load(tmp_path_factory.getbasetemp(), encode_file(content)))


@hypothesis.given(
    content=strategies.dictionaries(
        strategies.sampled_from(["self", "network", "platform", "terms", "a"]),
        VALUES,
    )
)
def test_any_toml_is_used_or_refused(tmp_path_factory, content):
    check_outcome(load(tmp_path_factory.getbasetemp(), encode_file(content)))


@hypothesis.given(
    content=strategies.binary()
    | strategies.tuples(
        strategies.integers(0, len(FILE)),
        strategies.integers(0, 20),
        strategies.binary(max_size=20),
    ).map(
        lambda cut: (
            FILE.encode()[: cut[0]] + cut[2] + FILE.encode()[cut[0] + cut[1] :]
        )
    )
)
def test_any_bytes_are_used_or_refused(tmp_path_factory, content):
    path = tmp_path_factory.getbasetemp() / "settings.toml"
    path.write_bytes(content)
    check_outcome(settings.load_settings(str(path)))
