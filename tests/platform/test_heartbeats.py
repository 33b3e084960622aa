"""The decoder of the platform's heartbeats."""

import json

import pytest
from returns import pipeline

from clementinekeel.membership import heartbeats
from clementinekeel.platform import heartbeats as platform_heartbeats
from tests.sidecar import odd_content

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


def body_with(path, value):
    body = json.loads(json.dumps(BODY))
    target = body
    for name in path[:-1]:
        target = target[name]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return json.dumps(body).encode()


def test_heartbeat_is_decoded():
    heartbeat = platform_heartbeats.decode_heartbeat(
        "e", json.dumps(BODY).encode()
    ).unwrap()
    assert heartbeat == heartbeats.Heartbeat(
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
        body_with(["address"], None),
        body_with(["status", "state"], "asleep"),
        body_with(["status", "seq"], "4"),
        body_with(["info", "concurrency"], 0),
        body_with(["info", "service"], 7),
        body_with(["born"], "soon"),
        *(
            odd_content.with_field(BODY, name, value)
            for name, value in (
                ("unknown", odd_content.NESTED),
                ("info.unknown", odd_content.NESTED),
                ("status.seq", odd_content.HUGE.encode()),
                ("status.seq", -1),
                ("status.cold_left_s", 1e308),
                ("info.concurrency", odd_content.HUGE.encode()),
                ("born", odd_content.HUGE.encode()),
                ("born", -1),
                ("address", "a" * 5_000),
            )
        ),
    ],
)
def test_faulty_heartbeat_is_an_error(body):
    """A faulty heartbeat names no endpoint to which requests can be sent."""
    assert not pipeline.is_successful(
        platform_heartbeats.decode_heartbeat("e", body)
    )
