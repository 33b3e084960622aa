"""Faulty settings are rejected with a report of all faults."""

import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest

from clementinekeel.runtime import settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
KEY = "00" * 32
TEXT = f"""\
[node]
id = n1
zone = z1
region = north
[nodes]
listen = 127.0.0.1:0
keys =
    {KEY}
    {"11" * 16}
[callers]
listen = 127.0.0.1:0
[backend]
listen = 127.0.0.1:0
[platform]
urls = http://127.0.0.1:2379/, https://store.internal
[operators]
listen = [::1]:0
"""


def test_valid_settings():
    value = settings.parse(TEXT, "node.ini").unwrap()
    assert value.nodes.keys == (bytes(32), b"\x11" * 16)
    assert value.platform.urls == (
        "http://127.0.0.1:2379",
        "https://store.internal",
    )
    assert value.outcomes == settings.OutcomesSettings(
        50_000, 60.0, 3_900.0, 65_536, 4_194_304
    )
    assert value.backend.url == ""


def test_options_match_the_section_types():
    """An option without a field, or a field without an option, would fail."""
    fields = [
        (name, field)
        for name, section in settings.SECTIONS.items()
        for field in section._fields
    ]
    assert [(o.section, o.name) for o in settings.OPTIONS] == fields
    assert tuple(settings.SECTIONS) == settings.Settings._fields


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            "id = n1\n", "", "node.ini:1 [node] id: missing", id="missing"
        ),
        pytest.param(
            "id = n1",
            "id = n1\nname = n",
            "node.ini:3 [node] name: unknown option"
            " (known: id, zone, region, log_level)",
            id="unknown option",
        ),
        pytest.param(
            "[node]",
            "[disk]\n[node]",
            "node.ini:1 [disk]: unknown section (known: node, nodes, callers,"
            " backend, platform, operators, outcomes, limits, policies)",
            id="unknown section",
        ),
        pytest.param(
            "[platform]\nurls =",
            "[platform]\nurl =",
            "node.ini:14 [platform] urls: missing",
            id="misspelt option",
        ),
        pytest.param(
            "[::1]:0",
            "::1:0",
            "node.ini:17 [operators] listen:"
            " '::1' is no IP address (IPv6 needs brackets)",
            id="IPv6 without brackets",
        ),
        pytest.param(
            "[::1]:0",
            "host:80",
            "node.ini:17 [operators] listen: 'host' is no IP address",
            id="host name for an address",
        ),
        pytest.param(
            "[::1]:0",
            "127.0.0.1:65536",
            "node.ini:17 [operators] listen:"
            " port 65536 is not within 0 to 65535",
            id="port too high",
        ),
        pytest.param(
            "[callers]",
            "seeds = 127.0.0.1:0\n[callers]",
            "node.ini:10 [nodes] seeds: port 0 is not within 1 to 65535",
            id="seed without port",
        ),
        pytest.param(
            KEY,
            "00ff",
            "node.ini:7 [nodes] keys: is not within 16 to 64 bytes",
            id="short key",
        ),
        pytest.param(
            KEY,
            "secret",
            "node.ini:7 [nodes] keys: is not hexadecimal",
            id="key that is not hexadecimal, without the secret",
        ),
        pytest.param(
            "http://127.0.0.1:2379/",
            "127.0.0.1:2379",
            "node.ini:15 [platform] urls:"
            " '127.0.0.1:2379' is no http or https URL",
            id="URL without scheme",
        ),
        pytest.param(
            "[nodes]\nlisten = 127.0.0.1:0",
            "[nodes]\nlisten = 0.0.0.0:7000",
            "node.ini:5 [nodes] advertise:"
            " is needed, because others cannot reach 0.0.0.0",
            id="wildcard without advertise",
        ),
        pytest.param(
            "127.0.0.1:0",
            "127.0.0.1:7000",
            "node.ini:11 [callers] listen: 127.0.0.1:7000 is used by [nodes]",
            id="one port twice",
        ),
        pytest.param(
            "[platform]",
            "[limits]\nsession_idle_s = inf\n[platform]",
            "node.ini:15 [limits] session_idle_s: inf is not within 1 to 3600",
            id="infinite time",
        ),
        pytest.param(
            "[platform]",
            "[outcomes]\nanswers_bytes = 10\n[platform]",
            "node.ini:14 [outcomes] answer_bytes:"
            " is more than answers_bytes (10)",
            id="one answer larger than all",
        ),
    ],
)
def test_faulty_settings(old, new, expected):
    faults = settings.parse(TEXT.replace(old, new), "node.ini").failure()
    assert expected in [str(fault) for fault in faults]


def test_empty_file_reports_every_missing_option():
    faults = settings.parse("", "node.ini").failure()
    required = [o for o in settings.OPTIONS if o.is_required]
    assert len(faults) == len(required) == 9


def test_unreadable_file_is_reported(tmp_path):
    path = str(tmp_path / "none.ini")
    faults = settings.load(path).failure()
    assert str(faults[0]) == f"{path}: No such file or directory"


def test_committed_reference_is_current():
    """The page must list the options that the reader accepts."""
    page = (DOCS / "settings.md").read_text(encoding="utf-8")
    assert page == settings.render_reference()


@hypothesis.example(["[node]", "[x", " id"])
@hypothesis.given(
    st.lists(
        st.sampled_from(["[node]", "[x", "id = 1", " id", "= 2", "#", "é\x85"])
        | st.text(max_size=8)
    )
)
def test_any_text_gives_faults_and_no_exception(lines):
    """A damaged file must give faults, never an exception."""
    faults = settings.parse("\n".join(lines), "node.ini").failure()
    assert all(
        fault.line <= "\n".join(lines).count("\n") + 1 for fault in faults
    )
