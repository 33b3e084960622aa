"""A departure that a node has acknowledged is forgotten by its restart."""

import asyncio
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import http11  # noqa: E402
from lib import standins  # noqa: E402

WORK_S = 0.21
PING_LATENESS_S = 3.5
OUTAGE_S = 3.0
SERVES_AFTER_ACK_S = 9.0


async def handle(endpoint, request):
    """Work on a request."""
    await asyncio.sleep(WORK_S)
    return 200, b"done"


async def settle_fees(deployment):
    """Send a request every 20 ms through the nodes on machines a and c."""
    record = deployment.record

    async def send(node):
        request_id = secrets.token_hex(8)
        record.add("request", id=request_id, node=node.name)
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

    async with asyncio.TaskGroup() as tasks:
        while True:
            for name in ("a", "c"):
                tasks.create_task(send(deployment.nodes[name]))
            await asyncio.sleep(0.02)


async def late_ping(endpoint, body):
    """Deliver a ping late."""
    await asyncio.sleep(PING_LATENESS_S)
    await endpoint.send("PUT", body, note="late ping, sent while ready")


async def play(deployment, with_trouble):
    """Let an endpoint leave while the store is down; kill its node."""
    record = deployment.record
    routes = [
        standins.route("fee-settle", "bursary", "non_idempotent", 5.0),
        standins.route("timetable-read", "timetable", "idempotent", 5.0),
    ]
    await deployment.start(
        [
            ("a", "bursary", handle),
            ("b", "bursary", handle),
            ("c", "timetable", handle),
        ],
        routes,
    )
    leaving, node = deployment.endpoints["a"], deployment.nodes["a"]
    load = asyncio.create_task(settle_fees(deployment))
    await asyncio.sleep(2)
    if with_trouble:
        record.add("store_down", how="busy")
        deployment.store.outage = "busy"
    await asyncio.sleep(0.5)
    # This ping is sent now, before the departure, and arrives late.
    late = asyncio.create_task(late_ping(leaving, leaving.ping_body()))
    await asyncio.sleep(0.2)
    leaving.is_leaving = True
    if await leaving.send("DELETE", b"") != 200:
        raise RuntimeError("the departure was not acknowledged")
    acked_at = record.now()
    await asyncio.sleep(0.5)
    touched_at = acked_at
    if with_trouble:
        node.kill()
        await asyncio.sleep(standins.RESTART_S)
        node.start()
        await asyncio.sleep(OUTAGE_S - 1.7)
        record.add("store_up")
        deployment.store.outage = ""
        touched_at = max(node.started_at, record.now()) + standins.STABLE_S
    await late
    await asyncio.sleep(acked_at + SERVES_AFTER_ACK_S - record.now())
    leaving.exit()
    await asyncio.sleep(1.0)
    load.cancel()
    await asyncio.wait([load])
    # Bounds hold for machines in touch: a and c are from touched_at on.
    bound_from = max(acked_at + standins.DRAIN_S, touched_at)
    sent = {f["id"]: at for at, f in record.find("request")}
    late_runs = [
        (at, f["id"])
        for at, f in record.find("run", endpoint=leaving.id)
        if at > bound_from and sent.get(f["id"], 0) > touched_at
    ]
    all_late = [
        at
        for at, _ in record.find("run", endpoint=leaving.id)
        if at > acked_at + standins.DRAIN_S
    ]
    cut = [f["id"] for _, f in record.find("run_cut", endpoint=leaving.id)]
    record.add(
        "summary",
        acked_at=round(acked_at, 3),
        in_touch_from=round(touched_at, 3),
        runs_after_drain_s=len(all_late),
        of_these_in_touch=len(late_runs),
        cut_by_exit=len(cut),
        answers_of_cut=[
            f["status"]
            for i in cut
            for _, f in record.find("answer", id=i)
        ],
    )
    print(record.lines[-1][2])
    if not late_runs:
        return []
    return [
        f"DRAIN: {len(late_runs)} requests reached {leaving.id} more than"
        f" {standins.DRAIN_S} s after its departure was acknowledged, the"
        f" last {late_runs[-1][0] - acked_at:.1f} s after it"
    ]


standins.main(FOLDER, play)
