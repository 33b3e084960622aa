"""The log never blocks, and counts the lines that it left out."""

import fcntl
import json
import os

import pytest

from clementinekeel.runtime import decision_log


def test_lines_are_json_with_the_node(tmp_path):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    log = decision_log.DecisionLog("n1", descriptor)
    log.write("request_ended", False, request_id="r", status=503)
    log.flush()
    os.close(descriptor)
    (line,) = path.read_text().splitlines()
    content = json.loads(line)
    assert (content["node"], content["request_id"]) == ("n1", "r")


class Unprintable:
    def __str__(self):
        raise RuntimeError


@pytest.mark.parametrize(
    "value",
    ["\udcff", OSError("\udcff"), 10**5_000, Unprintable()],
    ids=["surrogate", "error", "long_integer", "unprintable"],
)
def test_value_that_cannot_be_encoded_does_not_raise(tmp_path, value):
    """The path of the settings was no UTF-8; a node that logged a failed
    reload ended with all its requests.
    """
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    log = decision_log.DecisionLog("n1", descriptor)
    log.write("reload_failed", False, status=503, reason=value)
    log.flush()
    os.close(descriptor)
    content = json.loads(path.read_text())
    assert content["event"] == "reload_failed"
    assert content["status"] == 503
    assert content["time"] > 0
    assert content["reason"]


def test_full_pipe_loses_lines_without_blocking():
    """A reader that stops reading must not block the node."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = decision_log.DecisionLog("n1", writer)
    for _ in range(60):
        for _ in range(decision_log.MAX_LINES_PER_FLUSH):
            log.write("job_ended", False, text="x" * 200)
        log.flush()
    assert log.lines_left_out["pipe"] > 0
    assert len(log._pending) < 2 * decision_log.MAX_BUFFER_BYTES
    os.close(reader)
    os.close(writer)


def test_pipe_that_another_process_sets_to_blocking_does_not_block(
    monkeypatch,
):
    """All processes that have the pipe share this setting, and the node
    stopped for as long as nobody read its log.
    """
    reader, writer = os.pipe()
    # The size with pages of 4 KiB; larger pages give larger pipes.
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 64 * 1024)
    write, written = os.write, []

    def record(descriptor, content):
        assert not os.get_blocking(descriptor)
        written.append(write(descriptor, content))
        return written[-1]

    monkeypatch.setattr(decision_log.os, "write", record)
    log = decision_log.DecisionLog("n1", writer)
    for _ in range(5):
        os.set_blocking(writer, True)
        for _ in range(decision_log.MAX_LINES_PER_FLUSH):
            log.write("job_ended", False, text="x" * 200)
        log.flush()
    assert 0 < sum(written) < len(log._pending)
    os.close(reader)
    os.close(writer)


def test_successes_are_left_out_before_failures():
    reader, writer = os.pipe()
    log = decision_log.DecisionLog("n1", writer)
    for _ in range(100):
        log.write("request_ended", True, status=200)
        log.write("request_ended", False, status=503)
    assert log.lines_left_out == {
        "routine": 100 - decision_log.MAX_ROUTINE_LINES_PER_FLUSH,
        "volume": 0,
        "pipe": 0,
    }
    log.flush()
    os.close(reader)
    os.close(writer)


def test_closed_pipe_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    log = decision_log.DecisionLog("n1", writer)
    log.write("request_ended", False)
    log.flush()
    os.close(writer)
