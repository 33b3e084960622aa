"""A caller that follows docs/callers.md: one key, asks again, tells truth."""

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
"""This attempt has carried nothing, which says nothing about earlier ones."""
REPEATABLE = {"refused", "unknown"}


class Request(NamedTuple):
    """A request as the caller means it.

    Attributes
    ----------
    run : str
        Identifies it in the counts of the backend servers.
    plan : dict
        What the backend server does; see ``standins.backend``.
    body_bytes : int
        Size of the body.
    """

    run: str
    kind: str
    service: str
    method: str
    path: str
    idempotent: bool
    plan: dict[str, Any]
    body_bytes: int
    timeout_ms: int


class Ending(NamedTuple):
    """What the caller was told in the end.

    Attributes
    ----------
    outcome : str
        ``completed``, ``refused``, ``failed`` or ``unknown``.
    is_own : bool
        Whether a completed answer was whole and the request's own.
    latency_s : float
        From the intended time of sending.
    """

    request: Request
    outcome: str
    reason: str
    is_own: bool
    attempts: int
    latency_s: float


ChooseNode = Callable[[], str]
"""Returns the ``ip:port`` of a node for callers."""


class Caller:
    """Sends requests through any node.

    Parameters
    ----------
    http : httpx.AsyncClient
        Client to use.
    choose_node : Callable
        Chooses the node for each attempt.
    random_source : random.Random
        Jitter between attempts.
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

    async def run(self, request: Request, intended_s: float) -> Ending:
        """Send a request until its outcome is known or attempts run out.

        Parameters
        ----------
        intended_s : float
            Monotonic time at which it was meant to be sent.
        """
        key = ""
        outcome, reason, is_own = "refused", "not_sent", False
        maybe_ran = False
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            attempts += 1
            if not request.idempotent and not key:
                key = await self._fetch_key(request)
                if not key:
                    await self._pause(0.1)
                    continue
            outcome, reason, is_own, pause_s = await self._attempt(
                request, key
            )
            if outcome not in REPEATABLE:
                break
            if outcome == "unknown":
                maybe_ran = True
            if reason in ("owner_lost", "record_expired"):
                break
            if outcome == "refused" and reason != NOT_CONNECTED:
                # "Not run" is final for a key, so the next try needs a new
                # one.
                key = ""
                maybe_ran = False
            await self._pause(pause_s)
        if maybe_ran and outcome == "refused":
            outcome = "unknown"
        latency_s = time.monotonic() - intended_s
        return Ending(request, outcome, reason, is_own, attempts, latency_s)

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
            "standin-run": request.run,
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
        is_own = outcome == "completed" and _is_own(request, answer)
        return outcome, reason, is_own, hint_ms / 1000

    async def _pause(self, hint_s: float) -> None:
        await anyio.sleep(
            min(MAX_PAUSE_S, hint_s * (1 + self._random.random()))
        )


def _is_own(request: Request, answer: httpx.Response) -> bool:
    try:
        content = answer.json()
    except ValueError:
        return False
    return bool(
        content.get("run") == request.run
        and content.get("received_bytes") == request.body_bytes
        and len(answer.content) >= request.plan.get("answer_bytes", 0)
    )
