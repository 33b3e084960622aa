"""The start of a node on the users' platform."""

import pytest

from clementinekeel.platform import main
from clementinekeel.platform import settings
from tests.platform import test_settings


@pytest.fixture
def start(tmp_path, monkeypatch):
    """Start a node whose settings file changes while it waits.

    Returns the exit code, the settings with which the node ran, if it did,
    and the time for which the start waited.
    """
    path = tmp_path / "settings.toml"
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))

    def run(text, later_text=None):
        started, waited = [], []
        path.write_text(text)

        def sleep(seconds):
            waited.append(seconds)
            if later_text is not None and len(waited) == 5:
                path.write_text(later_text)

        monkeypatch.setattr("time.sleep", sleep)
        monkeypatch.setattr(main.uvloop, "install", lambda: None)
        monkeypatch.setattr(
            main.anyio, "run", lambda _, *arguments: started.append(arguments)
        )
        return main.run(), started, sum(waited)

    return run


@pytest.mark.parametrize("share", [0.0, 0.3, 0.6, 0.9])
def test_settings_that_are_being_written_do_not_end_a_start(start, share):
    """The file was read while the platform wrote it, and the process ended."""
    whole = test_settings.FILE
    code, started, _ = start(whole[: round(len(whole) * share)], whole)
    assert code == 0
    assert started[0][0].node == "n"


def test_whole_settings_are_used_at_once(start):
    code, started, waited_s = start(test_settings.FILE)
    assert (code, len(started), waited_s) == (0, 1, 0)


def test_settings_that_stay_faulty_end_a_start(start, capsys):
    code, started, waited_s = start("[")
    assert (code, started) == (main.EXIT_FAULTY, [])
    assert waited_s == pytest.approx(2.0)
    assert "settings.toml" in capsys.readouterr().err
