"""The reader of the platform's settings file."""

import pytest
from returns import pipeline

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
