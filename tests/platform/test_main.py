"""The start of a node on the users' platform."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from clementinekeel.platform import main
from clementinekeel.platform import settings
from clementinekeel.sidecar import listening
from tests.platform import test_settings
from tests.runtime import test_standard_streams

SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


@pytest.fixture
def start(tmp_path, monkeypatch):
    """Start a node whose settings file changes while it waits.

    Returns the exit code, the settings with which the node ran, if it did,
    and the time for which the start waited.
    """
    path = tmp_path / "settings.toml"
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))

    def run(text, later_text=None, run_node=None):
        started, waited = [], []
        run_node = run_node or (lambda _, *rest: started.append(rest))
        path.write_text(text)

        def sleep(seconds):
            waited.append(seconds)
            if later_text is not None and len(waited) == 5:
                path.write_text(later_text)

        monkeypatch.setattr("time.sleep", sleep)
        monkeypatch.setattr(main.uvloop, "install", lambda: None)
        monkeypatch.setattr(main.anyio, "run", run_node)
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


def test_address_that_cannot_be_used_ends_a_start_with_a_message(
    start, monkeypatch, capsys
):
    """Operators saw the traceback of a group of exceptions."""

    def fail(*_):
        raise listening.ListenError("listen", "10.0.0.1:1", "in use")

    code, _, _ = start(test_settings.FILE, run_node=fail)
    assert code == main.EXIT_FAULTY
    assert capsys.readouterr().err == "listen (10.0.0.1:1): in use\n"


CRASH = """
import sys

from clementinekeel.platform import main

async def fail(*_):
    raise RuntimeError("unexpected")

main._run = fail
sys.exit(main.run())
"""


@pytest.mark.parametrize("is_read", [True, False], ids=["read", "full"])
def test_unexpected_error_does_not_wait_for_a_reader(tmp_path, is_read):
    """The interpreter printed the traceback into a full pipe, and the process
    stayed without serving anything.
    """
    path = tmp_path / "settings.toml"
    path.write_text(test_settings.FILE)
    reader, writer = os.pipe()
    if not is_read:
        test_standard_streams.fill(writer)
    done = subprocess.run(
        [sys.executable, "-c", CRASH],
        env={"PYTHONPATH": "src", settings.PATH_VARIABLE: str(path)},
        stderr=writer,
        timeout=60,
        check=False,
    )
    assert done.returncode == main.EXIT_FAULTY
    if is_read:
        assert b"RuntimeError: unexpected" in os.read(reader, 65536)
    os.close(reader)
    os.close(writer)


def test_signals_do_not_end_a_process_after_its_planned_stop(monkeypatch):
    """A SIGHUP in the last 30 ms ended it with a signal in place of code 0."""

    class StoppedNode:
        def __init__(self, *_):
            pass

        async def run(self):
            pass

    for name in ("collect", "freeze", "set_threshold"):
        monkeypatch.setattr(main.gc, name, lambda *_: None)
    monkeypatch.setattr(main.node, "Node", StoppedNode)
    known = {number: signal.getsignal(number) for number in SIGNALS}
    try:
        asyncio.run(main._run(None, ""))
        handlers = {signal.getsignal(number) for number in SIGNALS}
    finally:
        for number, handler in known.items():
            signal.signal(number, handler)
    assert handlers == {signal.SIG_IGN}
