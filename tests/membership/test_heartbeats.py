"""Acceptance of newer heartbeats and refusal of late ones."""

import pytest

from clementinekeel.membership import heartbeats


def make_heartbeat(endpoint="e", incarnation_ms=10, sequence=5):
    return heartbeats.Heartbeat(
        endpoint,
        incarnation_ms,
        sequence,
        "s",
        "a:1",
        2,
        heartbeats.EndpointState.READY,
        0,
    )


@pytest.mark.parametrize(
    ("later", "is_accepted"),
    [
        (make_heartbeat(sequence=6), True),
        (make_heartbeat(sequence=5), False),
        (make_heartbeat(sequence=4), False),
        (make_heartbeat(incarnation_ms=11, sequence=1), True),
        (make_heartbeat(incarnation_ms=9, sequence=99), False),
        (make_heartbeat(endpoint="new", incarnation_ms=11, sequence=1), True),
        (make_heartbeat(endpoint="old", incarnation_ms=3, sequence=99), False),
    ],
    ids=[
        "next",
        "again",
        "late",
        "restarted under the same identity",
        "late, of the incarnation before",
        "successor at the address",
        "late, of the predecessor at the address",
    ],
)
def test_only_newer_heartbeats_are_accepted(later, is_accepted):
    """A heartbeat delayed by a partition arrives after its sender crashed."""
    record = heartbeats.HeartbeatRecord()
    assert record.accept(make_heartbeat(), 0.0)
    assert record.accept(later, 0.0) is is_accepted
    assert record.latest == (later if is_accepted else make_heartbeat())


def test_endpoint_that_left_comes_back_only_after_a_restart():
    record = heartbeats.HeartbeatRecord()
    record.accept(make_heartbeat(), 0.0)
    assert record.remove("e", 1.0)
    assert not record.accept(make_heartbeat(sequence=9), 60.0)
    assert record.accept(make_heartbeat(incarnation_ms=11, sequence=1), 60.0)


def test_unknown_endpoint_that_left_is_refused_for_a_time():
    record = heartbeats.HeartbeatRecord()
    assert not record.remove("e", 1.0)
    assert not record.accept(
        make_heartbeat(), 1.0 + heartbeats.LATE_HEARTBEAT_S / 2
    )
    assert record.accept(make_heartbeat(), 1.0 + heartbeats.LATE_HEARTBEAT_S)
