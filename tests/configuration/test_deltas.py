"""A node that applies deltas holds the objects that the store accepted."""

import hypothesis
from hypothesis import strategies as st
import pytest

from clementinekeel.configuration import deltas
from clementinekeel.configuration import snapshot as snapshots

OBJECTS = st.dictionaries(
    st.sampled_from(["service/a", "service/b", "policy/rules"]),
    st.sampled_from([b"1", b"2", b"3"]),
    max_size=3,
)


def transfer(history, snapshot, behind):
    """Send a delta to a node that is behind and apply it there."""
    version = behind.version if behind else 0
    delta = history.delta(snapshot, version)
    body = b"".join(deltas.to_parts(delta))
    return delta, deltas.apply(body, behind).unwrap()


@hypothesis.given(
    st.lists(OBJECTS, min_size=1, max_size=8),
    st.lists(st.integers(0, 7), min_size=8, max_size=8),
)
def test_follower_at_any_version_gets_the_newest(contents, indices):
    """A delta over several versions neither loses nor restores objects."""
    history = deltas.History()
    recorded = []
    for version, objects in enumerate(contents, 1):
        snapshot = snapshots.Snapshot(version, f"c{version}", objects)
        history.record(recorded[-1] if recorded else None, snapshot)
        recorded.append(snapshot)
        for behind in [
            None,
            *(recorded[i] for i in indices if i < len(recorded)),
        ]:
            _, reached = transfer(history, snapshot, behind)
            assert reached == snapshot


def test_delta_moves_only_what_changed():
    history = deltas.History()
    old = snapshots.Snapshot(4, "c4", {f"service/{n}": b"x" for n in "abc"})
    new = snapshots.Snapshot(5, "c5", {**old.objects, "service/a": b"y"})
    history.record(None, old)
    history.record(old, new)
    delta, _ = transfer(history, new, old)
    assert delta.objects == {"service/a": b"y"}


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\x95\x01\x02", id="truncated"),
        pytest.param(
            b"".join(
                deltas.to_parts(
                    deltas.Delta(3, 4, "c4", {"service/a": b""}, ())
                )
            ),
            id="for another base version",
        ),
    ],
)
def test_unusable_delta_is_rejected(data):
    current = snapshots.Snapshot(2, "c2", {})
    assert deltas.apply(data, current).failure()


def test_too_old_base_gets_all_objects():
    history = deltas.History()
    before = None
    for version in range(1, deltas.HISTORY_VERSIONS + 3):
        snapshot = snapshots.Snapshot(version, "c", {"service/a": b"x"})
        history.record(before, snapshot)
        before = snapshot
    assert history.delta(before, 1).base_version == deltas.NO_BASE_VERSION
