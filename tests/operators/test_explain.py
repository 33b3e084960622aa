"""Search for the cause of a failed request in the logs of all nodes."""

import json

from clementinekeel.operators import explain
from clementinekeel.operators.cli import application


def line(event, request_id, time, **fields):
    content = {"time": time, "event": event, "node": "n", **fields}
    return json.dumps({**content, "request_id": request_id})


LINES = [
    line("request_ended", "a", 3.0, status=500, reason="answered"),
    "  2.1 n1 " + line("job_ended", "a.b", 2.0, outcome="answered"),
    line("request_ended", "a.b.c", 1.0, status=503, reason="overload"),
    line("request_ended", "ab", 1.0, status=503, reason="other"),
    '{"time":1,"event":"request_en',
    "no log line",
]


def test_cause_is_the_deepest_failure():
    explanation = explain.explain("a", LINES)
    assert [item["request_id"] for item in explanation.lines] == [
        "a.b.c",
        "a.b",
        "a",
    ]
    assert explanation.cause["reason"] == "overload"


def test_failure_after_the_end_is_not_the_cause():
    """A call that is refused after its caller gave up is not the cause."""
    lines = [
        line("request_ended", "a", 1.0, status=502, reason="link_lost"),
        line("request_ended", "a.b", 2.0, status=503, reason="deadline"),
    ]
    assert explain.explain("a", lines).cause["reason"] == "link_lost"


def test_damaged_lines_are_counted_and_not_fatal():
    assert explain.explain("a", LINES).damaged == 1


def test_request_without_failure_has_no_cause():
    lines = [line("request_ended", "a", 1.0, status=200, reason="answered")]
    assert explain.explain("a", lines).cause is None


def run(arguments, capsys):
    from cleo.io.inputs import string_input

    command_line = application.build()
    code = command_line.run(string_input.StringInput(arguments))
    return code, *capsys.readouterr()


def test_command_shows_lines_and_cause(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    code, output, _ = run(f"explain a {path}", capsys)
    assert code == 0
    assert output.splitlines()[-1] == (
        "cause: request_ended at n for a.b.c: 503 overload"
    )
    assert "1 lines could not be read" in output


def test_command_fails_for_an_unknown_request(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    code, _, errors = run(f"explain zz {path}", capsys)
    assert code == 1
    assert "no line on request zz" in errors
    assert run(f"explain a {tmp_path}/none", capsys)[0] == 1
