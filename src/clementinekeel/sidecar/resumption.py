"""Continues the requests of a silent link on the one that replaces it."""

from collections.abc import MutableSet

from clementinekeel.nodes import frames
from clementinekeel.nodes import link as link_module
from clementinekeel.sidecar import inbound


def resume(
    link: link_module.Link,
    frame: frames.Resume,
    inbound_links: MutableSet[link_module.Link],
    inbound_proxy: inbound.InboundProxy,
) -> None:
    """Tell the other node the fate of each of its offers.

    The silent links end first, so that nothing more is read from them. An
    offer that has not arrived is refused: it has not run and never will. One
    that waits or runs continues, and its result is sent on the new link. A
    result that was sent is sent again. Of any other offer nothing is known
    any more, and it fails.

    Parameters
    ----------
    link : Link
        The new link.
    inbound_links : set of Link
        Links that other nodes have opened; the silent ones are removed.
    """
    hello = link.peer
    if hello is None:
        link.abort()
        return
    silent = [
        other
        for other in inbound_links
        if other is not link
        and other.peer is not None
        and other.peer.node == hello.node
        and other.peer.incarnation == hello.incarnation
        and other.number in frame.links
    ]
    for other in silent:
        other.replace()
        inbound_links.discard(other)
        link.replaced_links |= {other.number} | other.replaced_links
        link.last_stream = max(link.last_stream, other.last_stream)
    knows_all = link.replaced_links.issuperset(frame.links)
    for stream in frame.streams:
        if any(_continue(stream, other, link) for other in silent):
            continue
        if knows_all and _has_not_arrived(stream, silent, link):
            queue = inbound_proxy.queue
            link.send_result(
                frames.Refusal(
                    stream,
                    frames.NOT_RECEIVED,
                    0,
                    queue.running,
                    queue.queued,
                )
            )
        else:
            link.send_result(frames.Failure(stream, "link_lost"))
    for other in silent:
        # Requests that the other node has cancelled, and incomplete ones.
        inbound_proxy.cancel_all(other)
    link.send(frames.Resumed())


def _continue(
    stream: int, silent: link_module.Link, link: link_module.Link
) -> bool:
    """Move a request to the new link, or send its result there again."""
    job = silent.streams.get(stream)
    if job is not None:
        if job.missing_bytes > 0:
            return False
        del silent.streams[stream]
        job.sender = link
        link.streams[stream] = job
        return True
    results = silent.results.recall(stream)
    for sent in results:
        link.send_again(sent)
    return bool(results)


def _has_not_arrived(
    stream: int, silent: list[link_module.Link], link: link_module.Link
) -> bool:
    """Tell whether an offer has not arrived, or without all of its body.

    Offers arrive in the order of their numbers.
    """
    is_incomplete = any(stream in other.streams for other in silent)
    return is_incomplete or stream > link.last_stream
