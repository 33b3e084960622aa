"""Heartbeat bodies of the platform, whole and faulty."""

import json

import pytest
from returns import pipeline

from clementinekeel.membership import heartbeats
from clementinekeel.platform import heartbeats as adapter

BODY = {
    "address": "10.0.0.1:80",
    "info": {
        "service": "s",
        "version": "v1",
        "zone": "z",
        "concurrency": 25,
    },
    "status": {"state": "draining", "seq": 4, "cold_left_s": 1.5},
    "born": 17,
}


def change(path, value):
    body = json.loads(json.dumps(BODY))
    target = body
    for name in path[:-1]:
        target = target[name]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return json.dumps(body).encode()


def test_fields_are_named_after_what_they_hold():
    beat = adapter.decode_heartbeat("e", json.dumps(BODY).encode()).unwrap()
    assert beat == heartbeats.Heartbeat(
        "e",
        17,
        4,
        "s",
        "10.0.0.1:80",
        25,
        heartbeats.EndpointState.DRAINING,
        1_500,
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        change(["address"], None),
        change(["status", "state"], "asleep"),
        change(["status", "seq"], "4"),
        change(["info", "concurrency"], 0),
        change(["info", "service"], 7),
        change(["born"], "soon"),
    ],
)
def test_entry_of_another_writer_is_not_used(body):
    """Such an entry names no endpoint; using it would send work nowhere."""
    assert not pipeline.is_successful(adapter.decode_heartbeat("e", body))
