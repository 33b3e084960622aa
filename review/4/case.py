"""A planned stop breaks off a call that was sent late in it."""

import asyncio
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import http11  # noqa: E402
from lib import standins  # noqa: E402

PARENT_WORK_S = 3.2
"""The largest work of fee-settle, 1.6 s, at the slowest endpoint (0.5)."""
CALL_WORK_S = 1.6
"""Within the largest work of archive-index and its four calls in a row:
240 ms at speed 0.7 and 4 x 240 ms at speed 0.5 are 2.26 s."""
SENT_AFTER_STOP_S = 0.7
REQUESTS = 8
INTERVAL_S = 0.03
LATEST_EXCUSED_S = 3.0


async def settle(endpoint, request):
    """Work on a request, then make the call that it needs."""
    request_id = request.headers["request-id"]
    await asyncio.sleep(PARENT_WORK_S)
    remaining_ms = int(request.headers["request-deadline"])
    remaining_ms = min(2000, remaining_ms - int(PARENT_WORK_S * 1000))
    answer = await endpoint.call(
        request_id, "/archive-index/1", max(1, remaining_ms)
    )
    if answer is None or answer.status != 200:
        return 500, b"a call failed"
    return 200, b"settled"


async def index(endpoint, request):
    """Work on a call."""
    await asyncio.sleep(CALL_WORK_S)
    return 200, b"indexed"


async def send(record, node):
    """Send one request to the node that stops."""
    request_id = secrets.token_hex(8)
    record.add("request", id=request_id, node="a")
    answer = await http11.exchange(
        node.outbound,
        "POST /fee-settle/1 HTTP/1.1",
        {
            "Host": standins.HOST,
            "Request-Id": request_id,
            "Request-Deadline": "5000",
        },
        b"fee",
    )
    status = answer.status if answer else 0
    record.add("answer", id=request_id, status=status)


async def play(deployment, with_trouble):
    """Stop a node while the endpoint beside it runs a request."""
    record = deployment.record
    await deployment.start(
        [
            ("a", "bursary", settle),
            ("b", "recordings", index),
        ],
        [
            standins.route("fee-settle", "bursary", "non_idempotent", 5.0),
            standins.route("archive-index", "recordings", "idempotent", 2.0),
        ],
    )
    node = deployment.nodes["a"]
    stopped_at = record.now()
    if with_trouble:
        node.terminate()
    await asyncio.sleep(SENT_AFTER_STOP_S)
    async with asyncio.TaskGroup() as tasks:
        for _ in range(REQUESTS):
            tasks.create_task(send(record, node))
            await asyncio.sleep(INTERVAL_S)
    if with_trouble:
        await node.wait_end()
    await asyncio.sleep(1.0)
    violations = []
    for sent_at, call in record.find("call_sent"):
        runs = record.find("run", id=call["id"])
        answers = record.find("call_answered", id=call["id"])
        print(f"call sent {sent_at - stopped_at:.2f} s after the signal:"
              f" {len(runs)} runs, {answers}")
        if sent_at - stopped_at <= LATEST_EXCUSED_S:
            raise RuntimeError("the call was sent too early")
        # Refused with a promise: not passed on, and so not broken off.
        if runs and not any(found["seal"] for _, found in answers):
            at = answers[0][0] if answers else record.now()
            violations.append(
                f"LOST: call {call['id']}, sent {sent_at - stopped_at:.2f} s"
                " after SIGTERM and at work at its endpoint, was broken off"
                f" {at - stopped_at:.2f} s after SIGTERM with"
                f" {answers[0][1]['status'] if answers else 'no answer'}"
            )
    if not record.find("call_sent"):
        raise RuntimeError("no call was sent")
    return violations


standins.main(FOLDER, play)
