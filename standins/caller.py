"""Caller that follows docs/callers.md.

It sends a request that is not idempotent with an idempotency key, which it
keeps until an attempt is refused, and repeats a request while the outcome
allows that. It reports the outcome ``unknown`` if the request may have run.
"""

from collections.abc import Callable
import json
import random
import time
from typing import Any, NamedTuple

import anyio
import httpx

MAX_ATTEMPTS = 6
MAX_PAUSE_S = 2.0
NOT_CONNECTED = "not_connected"
"""Reason of an attempt without a connection.

Nothing was sent in this attempt; earlier attempts may have run all the same.
"""
REPEATABLE_OUTCOMES = {"refused", "unknown"}


class Request(NamedTuple):
    """A request of a caller, however many attempts it takes.

    Attributes
    ----------
    run_id : str
        Identifies the request's runs in the counts of the backend servers.
    kind : str
        Group of the request in reports.
    plan : dict
        Work of the backend server; see ``standins.backend``.
    body_bytes : int
        Size of the request body.
    """

    run_id: str
    kind: str
    service: str
    method: str
    path: str
    idempotent: bool
    plan: dict[str, Any]
    body_bytes: int
    timeout_ms: int


class RequestResult(NamedTuple):
    """Final result of a request, as the caller received it.

    Attributes
    ----------
    outcome : str
        ``completed``, ``refused``, ``failed`` or ``unknown``.
    has_valid_answer : bool
        Whether the request completed, and its answer was complete and
        belonged to it.
    latency_s : float
        Time from the intended time of sending to the end.
    """

    request: Request
    outcome: str
    reason: str
    has_valid_answer: bool
    attempts: int
    latency_s: float


ChooseNode = Callable[[], str]
"""Returns the address of a node for callers, as ``ip:port``."""


class Caller:
    """Sends requests through any node.

    Parameters
    ----------
    http : httpx.AsyncClient
        HTTP client.
    choose_node : Callable
        Chooses the node for each attempt.
    random_source : random.Random
        Source of the jitter between attempts.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        choose_node: ChooseNode,
        random_source: random.Random,
    ) -> None:
        self._http = http
        self._choose_node = choose_node
        self._random = random_source

    async def run(self, request: Request, intended_s: float) -> RequestResult:
        """Send a request until its outcome is known or attempts run out.

        Parameters
        ----------
        intended_s : float
            Monotonic time at which the request was due to be sent.
        """
        key = ""
        outcome, reason, has_valid_answer = "refused", "not_sent", False
        may_have_run = False
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            attempts += 1
            if not request.idempotent and not key:
                key = await self._fetch_key(request)
                if not key:
                    await self._pause(0.1)
                    continue
            outcome, reason, has_valid_answer, pause_s = await self._attempt(
                request, key
            )
            if outcome not in REPEATABLE_OUTCOMES:
                break
            if outcome == "unknown":
                may_have_run = True
            if reason in ("owner_lost", "record_expired"):
                break
            if outcome == "refused" and reason != NOT_CONNECTED:
                # The outcome ``refused`` is final for a key, so that the next
                # attempt needs a new key.
                key = ""
                may_have_run = False
            await self._pause(pause_s)
        if may_have_run and outcome == "refused":
            outcome = "unknown"
        latency_s = time.monotonic() - intended_s
        return RequestResult(
            request, outcome, reason, has_valid_answer, attempts, latency_s
        )

    async def _fetch_key(self, request: Request) -> str:
        url = f"http://{self._choose_node()}/v1/keys/{request.service}"
        try:
            answer = await self._http.post(url)
        except httpx.HTTPError:
            return ""
        if answer.status_code != 201:
            return ""
        return str(answer.json()["idempotency_key"])

    async def _attempt(
        self, request: Request, key: str
    ) -> tuple[str, str, bool, float]:
        headers = {
            "standin-plan": json.dumps(request.plan),
            "standin-run": request.run_id,
            "clementinekeel-timeout-ms": str(request.timeout_ms),
        }
        if key:
            headers["idempotency-key"] = key
        url = (
            f"http://{self._choose_node()}/services/"
            f"{request.service}{request.path}"
        )
        try:
            answer = await self._http.request(
                request.method,
                url,
                headers=headers,
                content=bytes(request.body_bytes) or None,
                timeout=request.timeout_ms / 1000 + 5,
            )
        except httpx.ConnectError:
            return "refused", NOT_CONNECTED, False, 0.1
        except httpx.HTTPError as error:
            return "unknown", type(error).__name__, False, 0.1
        outcome = answer.headers.get("clementinekeel-outcome", "unknown")
        reason = answer.headers.get("clementinekeel-reason", "")
        hint_ms = int(answer.headers.get("clementinekeel-retry-after-ms", 50))
        has_valid_answer = outcome == "completed" and _is_valid_answer(
            request, answer
        )
        return outcome, reason, has_valid_answer, hint_ms / 1000

    async def _pause(self, hint_s: float) -> None:
        await anyio.sleep(
            min(MAX_PAUSE_S, hint_s * (1 + self._random.random()))
        )


def _is_valid_answer(request: Request, answer: httpx.Response) -> bool:
    try:
        content = answer.json()
    except ValueError:
        return False
    return bool(
        content.get("run") == request.run_id
        and content.get("received_bytes") == request.body_bytes
        and len(answer.content) >= request.plan.get("answer_bytes", 0)
    )
