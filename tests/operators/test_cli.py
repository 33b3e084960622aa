"""Text, JSON and exit codes of the commands."""

import json
import pathlib

from cleo.testers import application_tester
import pytest

from clementinekeel.operators.cli import application
from clementinekeel.store import changes
from tests.operators import fakes

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
OFFICE = EXAMPLES / "office"
FILES = f"--inventory {OFFICE}/inventory.ini --rules {OFFICE}/rules.ini"
STORE = "--store http://127.0.0.1:2379"
NODE = "--node 127.0.0.1:7003"
APPLY = f"apply {FILES} {STORE} --reason first --author ann"


@pytest.fixture
def store():
    return fakes.Store()


@pytest.fixture
def node():
    return fakes.FakeNode()


@pytest.fixture
def run(store, node):
    """Return a function that runs a command.

    It returns the exit code, the output and the error output.
    """

    def run(arguments):
        built = application.build(fakes.make_clients(store, node))
        tester = application_tester.ApplicationTester(built)
        code = tester.execute(arguments)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return run


@pytest.mark.parametrize("name", application.COMMAND_NAMES)
def test_help_has_examples_and_exit_codes(run, name):
    code, output, _ = run(f"{name} --help")
    assert code == 0
    assert f"clementinekeel {name}" in output
    assert "not known yet" in output


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param("aply", id="unknown command"),
        pytest.param("show --colour", id="unknown option"),
        pytest.param("show", id="no store"),
        pytest.param("change", id="no id"),
        pytest.param("check", id="no file"),
        pytest.param("check --rules rules.ini", id="rules without inventory"),
        pytest.param(f"apply {FILES} {STORE}", id="no reason"),
        pytest.param(f"{APPLY} --wait", id="wait without node"),
        pytest.param(f"{APPLY} --base-version x", id="version no number"),
        pytest.param(f"history {STORE} --limit 0", id="limit out of bounds"),
        pytest.param("fleet --node localhost:1", id="node is no address"),
        pytest.param("node", id="no settings"),
    ],
)
def test_wrong_usage(run, store, arguments):
    """Scripts must be able to distinguish wrong usage from a refusal."""
    code, output, errors = run(arguments)
    assert (code, output) == (2, "")
    assert errors.startswith("usage: ")
    assert store.is_empty


def test_check_reports_all_faults(run, tmp_path):
    rules = tmp_path / "rules.ini"
    rules.write_text("[limits]\n")
    settings = tmp_path / "node.ini"
    settings.write_text("")
    inventory = OFFICE / "inventory.ini"
    files = f"--settings {settings} --inventory {inventory} --rules {rules}"
    code, output, errors = run(f"check {files}")
    assert (code, output) == (1, "")
    assert len(errors.splitlines()) == 9 + 5
    code, output, _ = run(f"check {files} --json")
    assert code == 1
    assert json.loads(output)["faults"][-1]["section"] == "limits"
    assert run(f"check {FILES}")[0] == 0


def test_draw_writes_the_committed_inventory(run, tmp_path):
    path = tmp_path / "inventory.ini"
    code, output, _ = run(f"draw {OFFICE}/assets.csv --output {path}")
    assert (code, output) == (0, f"{path}: 16 endpoints\n")
    committed = (OFFICE / "inventory.ini").read_text()
    assert path.read_text() == committed
    assert run(f"draw {OFFICE}/assets.csv")[1] == committed
    assert run(f"draw {tmp_path}/none.csv")[0] == 1


def test_apply_show_diff_history(run, store):
    code, output, _ = run(APPLY)
    assert code == 0
    assert output.startswith("accepted as version 1, change ")
    assert "service/bookings: added" in output
    assert run(APPLY)[1].startswith("version 1 already holds this")
    assert fakes.run(store.load).version == 1
    assert "book-seat" in run(f"show {STORE}")[1]
    assert "no difference" in run(f"diff {FILES} {STORE}")[1]
    shown = json.loads(run(f"show {STORE} --json")[1])
    assert len(shown["inventory"]["services"]) == 4
    code, output, _ = run(f"history {STORE} --json")
    (entry,) = json.loads(output)["entries"]
    assert (entry["author"], entry["reason"]) == ("ann", "first")
    code, output, _ = run(f"change {entry['change_id']} {STORE}")
    assert (code, "was accepted as 1" in output) == (0, True)


def make_concurrent_change(store):
    """Return a function that applies a change of another operator."""

    async def apply_change():
        objects = {"service/a": b"1"}
        await store.apply(
            changes.Change("c9", "bob", "h", "VM", 0, objects, ("x",))
        )

    return apply_change


@pytest.mark.parametrize(
    "request_number",
    [
        pytest.param(1, id="before the accepted version is read"),
        pytest.param(2, id="after the accepted version was read"),
        pytest.param(3, id="before the objects are written"),
        pytest.param(4, id="before the head is replaced"),
    ],
)
def test_conflict_names_the_other_operator(run, store, request_number):
    """Of two concurrent changes, the second must not replace the first."""
    store.interruptions[request_number] = make_concurrent_change(store)
    code, output, errors = run(f"{APPLY} --base-version 0")
    assert (code, output) == (1, "")
    assert "made from version 0, accepted is version 1" in errors
    assert "version 1 by bob from h: VM\n    x\n" in errors
    assert "would change in version 1:" in errors
    assert "service/bookings: added" in errors
    assert "service/a: removed" in errors
    assert fakes.run(store.load).change_id == "c9"


def test_base_version_that_the_store_never_had(run, store):
    """A store restored from a backup must not be reported as a conflict."""
    code, _, errors = run(f"{APPLY} --base-version 7")
    assert (code, "the store was restored" in errors) == (1, True)
    assert store.is_empty


HELD_WRITE = {"spare_writes": 1, "hold_writes": 1}
"""Holds the write that replaces the head, after the one of the objects."""


def test_held_change_is_undetermined_and_not_applied_twice(run, store):
    """A change whose last write is held is neither accepted nor refused.

    Repeating the change after it was accepted must not apply it again.
    """
    store.set_faults(**HELD_WRITE)
    code, output, errors = run(f"{APPLY} --change-id c1")
    assert (code, output) == (3, "")
    assert f"clementinekeel change c1 {STORE}\n" in errors
    assert run(f"change c1 {STORE}")[0] == 3
    store.set_faults(down="503")
    assert run(f"change c1 {STORE}")[0] == 3
    store.set_faults()
    store.application.release()
    assert run(f"change c1 {STORE}")[0] == 0
    # The base version is outdated by the change itself.
    code, output, _ = run(f"{APPLY} --change-id c1 --base-version 0")
    assert (code, output) == (0, "accepted as version 1, change c1\n")
    assert fakes.run(store.load).version == 1


def test_lost_answer_that_is_read_back(run, store):
    """The command reads the outcome from the store if an answer is lost."""
    store.set_faults(spare_writes=1, lose_answers=1)
    assert run(f"{APPLY} --change-id c1")[0] == 0


def test_held_change_that_another_change_replaces(run, store):
    """A delayed transaction must not be accepted after another change."""
    store.set_faults(**HELD_WRITE)
    assert run(f"{APPLY} --change-id c1")[0] == 3
    fakes.run(make_concurrent_change(store))
    for arguments in (f"change c1 {STORE}", f"{APPLY} --change-id c1"):
        code, _, errors = run(arguments)
        assert (code, "version 1 was accepted instead" in errors) == (1, True)
    store.application.release()
    assert fakes.run(store.load).change_id == "c9"


def test_change_unknown_to_the_store(run):
    """Its first write may be delayed, so the change may still be accepted."""
    code, _, errors = run(f"change c2 {STORE}")
    assert (code, "may still arrive" in errors) == (3, True)


def test_rejected_change(run, store):
    code, _, errors = run(f"{APPLY} --change-id a/b")
    assert (code, "invalid change id" in errors) == (1, True)
    assert store.is_empty


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param(APPLY, id="apply"),
        pytest.param(f"show {STORE}", id="show"),
        pytest.param(f"history {STORE}", id="history"),
        pytest.param(f"fleet {NODE}", id="fleet"),
        pytest.param(
            f"drain bookings-1 --reason x {NODE} {STORE}", id="drain"
        ),
        pytest.param(f"why r1 {NODE}", id="why"),
    ],
)
def test_unreachable_peer(run, store, node, arguments):
    store.set_faults(down="503")
    node.is_down = True
    code, output, errors = run(arguments)
    assert (code, output) == (4, "")
    assert errors


def test_wait_until_in_force(run, node):
    node.state["newest_version"] = 1
    code, output, _ = run(f"{APPLY} --wait {NODE}")
    assert code == 0
    assert "in force at 2 endpoints" in output


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        pytest.param(
            lambda node: node.endpoints.append(
                fakes.make_endpoint("sales-2", 0)
            ),
            "sales-2 at node-sales-2 (z1): version 0",
            id="node behind",
        ),
        pytest.param(
            lambda node: node.state.update(unreachable_zones=["z2"]),
            "zone z2 is unreachable",
            id="zone unreachable",
        ),
        pytest.param(
            lambda node: setattr(node, "is_down", True),
            "connection refused",
            id="node unreachable after the change",
        ),
    ],
)
def test_wait_that_ends_early(run, node, fault, expected):
    """An accepted change must not be reported as refused or as in force."""
    fault(node)
    code, _, errors = run(f"{APPLY} --wait {NODE} --timeout 0")
    assert code == 3
    assert "accepted as version 1" in errors
    assert expected in errors


def test_fleet_and_endpoint(run):
    code, output, _ = run(f"fleet {NODE}")
    assert code == 0
    assert "3 (behind)" in output
    code, output, _ = run(f"fleet {NODE} --service sales --json")
    assert [e["endpoint"] for e in json.loads(output)["endpoints"]] == [
        "sales-1"
    ]
    assert "slots: 20" in run(f"endpoint bookings-1 {NODE}")[1]
    assert "slots" not in run(f"endpoint sales-1 {NODE}")[1]
    assert run(f"endpoint none-1 {NODE}")[0] == 1


DRAIN = f"drain bookings-1 {NODE} {STORE} --reason rack --author ann"


def read_history(run):
    return json.loads(run(f"history {STORE} --json")[1])["entries"]


def test_drain_and_undrain(run, node):
    code, output, _ = run(DRAIN)
    assert (code, "is leaving" in output) == (0, True)
    assert "entry 1 of drains" in output
    assert run(f"un{DRAIN}")[0] == 0
    assert node.state["state"] == "ready"
    undrain, drain = read_history(run)
    assert (drain["action"], undrain["action"]) == ("drain", "undrain")
    assert (drain["author"], drain["reason"]) == ("ann", "rack")
    assert "drain of bookings-1" in run(f"history {STORE}")[1]


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        pytest.param(
            f"drain sales-1 {NODE} {STORE} --reason x",
            1,
            "serves 'bookings-1', not 'sales-1'",
            id="other node",
        ),
        pytest.param(
            f"drain bookings-1 {NODE} {STORE}", 2, "reason", id="no reason"
        ),
        pytest.param(
            f"drain bookings-1 {NODE} --reason x", 2, "store", id="no store"
        ),
        pytest.param(
            f"{DRAIN} --unrecorded --author {'x' * 20_000}",
            1,
            "exceed",
            id="entry too large",
        ),
    ],
)
def test_refused_drain(run, store, node, arguments, code, expected):
    """A refused drain must not change the node or write an audit entry."""
    found, output, errors = run(arguments)
    assert (found, output, expected in errors) == (code, "", True)
    assert node.state["state"] == "ready"
    assert store.is_empty


@pytest.mark.parametrize(
    ("faults", "code", "expected"),
    [
        pytest.param({"down": "503"}, 4, "is not in the", id="store down"),
        pytest.param({"hold_writes": 99}, 3, "may be in the", id="held"),
    ],
)
def test_drain_while_the_store_is_away(
    run, store, node, faults, code, expected
):
    """The operator must learn that a drain has no confirmed audit entry."""
    store.set_faults(**faults)
    found, _, errors = run(DRAIN)
    assert (found, expected in errors) == (code, True)
    assert "--unrecorded" in errors
    assert node.state["state"] == "ready"
    found, output, _ = run(f"{DRAIN} --unrecorded")
    assert (found, expected in output) == (0, True)
    assert node.state["state"] == "leaving"


def test_recorded_drain_that_the_node_refuses(run, node):
    """The report names the entry, which was written before the refusal."""
    node.drain_failure = "the node stops"
    code, _, errors = run(f"un{DRAIN}")
    assert (code, "the node stops" in errors) == (1, True)
    assert "entry 1 of drains" in errors
    assert read_history(run)[0]["action"] == "undrain"


def test_why(run, node):
    """Values of other parties must not control the operator's terminal."""
    node.reports["r/1"] = {
        "request_id": "r/1",
        "service": "bookings",
        "operation": "book-seat",
        "request_class": "booking",
        "rank": 0,
        "idempotent": False,
        "outcome": "refused",
        "steps": [
            {
                "at_ms": 2,
                "step": "admission",
                "peer": "n1\x1b[2J<info>",
                "decision": "refused",
                "reason": "overload",
            }
        ],
    }
    code, output, _ = run(f"why r/1 {NODE}")
    assert code == 0
    assert "n1\\x1b[2J<info>  refused   overload" in output
    assert run(f"why r2 {NODE}")[0] == 1


def test_node_runs_the_daemon_with_checked_settings(
    run, tmp_path, monkeypatch
):
    seen = []

    def run_node(_, settings):
        seen.append(settings)

    monkeypatch.setattr("clementinekeel.daemon.main._start", run_node)
    path = tmp_path / "node.ini"
    path.write_text("[node]\nid = n1\n")
    assert run(f"node --settings {path}")[0] == 1
    assert seen == []
    path.write_text(
        "[node]\nid = n1\nzone = z\nregion = r\n"
        f"[nodes]\nlisten = 127.0.0.1:0\nkeys = {'00' * 16}\n"
        "[callers]\nlisten = 127.0.0.1:0\n"
        "[backend]\nlisten = 127.0.0.1:0\n"
        "[operators]\nlisten = 127.0.0.1:0\n"
        "[platform]\nurls = http://127.0.0.1:1\n"
    )
    assert run(f"node --settings {path}")[0] == 0
    assert seen[0].node.id == "n1"
    path.write_text(path.read_text() + "[policies]\nretry = none\n")
    assert run(f"node --settings {path}")[0] == 1
    assert len(seen) == 1


def test_store_urls_come_from_the_settings(run, store, tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("[platform]\nurls = x\n")
    assert run(f"show --settings {path}")[0] == 1
    run(f"show --store http://a --store http://b --settings {path}")
    assert store.urls == ("http://a", "http://b")
