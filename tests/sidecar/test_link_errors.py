"""Errors in the handling of one frame, and frames that can't be decoded."""

import pytest

from clementinekeel.nodes import frames
from tests.sidecar import harness
from tests.sidecar import test_request_errors


@pytest.mark.parametrize(
    "frame",
    [
        frames.Ping(1),
        frames.ConfigurationRequest(1),
        frames.Cancel(9),
        frames.OfferPart(9, b""),
    ],
)
def test_error_in_one_frame_does_not_end_its_link(monkeypatch, frame):
    """All requests on the link ended with it."""

    async def scenario(fleet):
        sent = [harness.send(fleet.first, b"/b/x")[0] for _ in range(3)]
        await harness.settle(0.01)

        def fail(*_):
            raise test_request_errors.UnexpectedError

        monkeypatch.setattr(fleet.second.peers.versions, "on_frame", fail)
        fleet.first.peers._peers["n2"].link.send(frame)
        await harness.settle(0.01)
        monkeypatch.undo()
        fleet.answer_all()
        await harness.settle(0.01)
        assert test_request_errors.statuses(sent) == [[200], [200], [200]]
        assert len(fleet.errors) == 1

    test_request_errors.run_fleet(scenario)


@pytest.mark.parametrize("to_listener", [True, False])
@pytest.mark.parametrize(
    "content",
    [b"\0\0\0\1\2\xc0", b"\0\0\0\0\xff", b"\0\0\0\3\5\x92\1\2", b"\0\0\0\0\6"],
    ids=["no_offer", "unknown_kind", "no_refusal", "empty_failure"],
)
def test_malformed_frame_does_not_end_its_link(to_listener, content):
    """All requests on the link ended with it."""

    async def scenario(fleet):
        sent = [harness.send(fleet.first, b"/b/x")[0] for _ in range(3)]
        await harness.settle(0.01)
        peer = fleet.first.peers._peers["n2"]
        (inbound_link,) = fleet.second.peers._inbound_links
        (peer.link if to_listener else inbound_link)._write(content)
        await harness.settle(0.01)
        fleet.answer_all()
        await harness.settle(0.01)
        assert test_request_errors.statuses(sent) == [[200], [200], [200]]
        reader = fleet.second if to_listener else fleet.first
        names = [name for name, _ in reader.log.events]
        assert names.count("frame_dropped") == 1

    test_request_errors.run_fleet(scenario)


@pytest.mark.parametrize("content", [b"\0\0\0\1\0\xc0", b"\0\0\0\0\x10"])
def test_link_with_a_malformed_hello_or_resume_ends(content):
    """What the other node expects on it is unknown."""

    async def scenario(fleet):
        peer = fleet.first.peers._peers["n2"]
        link = peer.link
        link._write(content)
        await harness.settle(0.01)
        assert not link.is_open

    test_request_errors.run_fleet(scenario)
