"""Judges the promises from what callers and backend servers see.

It opens no socket and reads no clock: observations carry their time. Promises
with a time bound hold only for nodes that were without a fault for some
seconds.
"""

import bisect
import collections
from collections.abc import Iterable
import enum
from typing import NamedTuple

# Bounds of the operators' rules for the standard deployments.
STABLE_S = 4.0
APPLY_S = 2.5
ROLLBACK_SLACK_S = 0.25
DRAIN_S = 2.5
RETRY_RATIO = 0.2
RETRY_EXTRA = 48
RETRY_WINDOW_S = 10.0
DEADLINE_SLACK_S = 0.5
HELD_SLACK_S = 0.5
LEFT_SLACK_S = 0.5
LOSS_SLACK_S = 0.2
MAX_LATE_ENDS = 3
"""Requests that the rules allow to be ended late, held or worked on longer;
a machine that shares its processors with the soak is paused now and then."""
NOT_RUN = frozenset((408, 421, 429, 503))


class Promise(enum.StrEnum):
    """What callers, backend servers and operators rely on."""

    OWN_ANSWER = "own answer"
    REQUESTED = "only what was requested"
    AT_MOST_ONCE = "at most once"
    TRUE_REFUSAL = "refused has not run"
    LEAVING = "nothing new when leaving"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry budget"
    CANCELLED = "cancelled with its caller"
    NOT_CUT = "no request cut"
    ANSWERED_IN_TIME = "answered in time"
    CONFIGURATION = "configuration in force"
    RECOVERY = "recovery"
    NO_EXIT = "no exit of its own"
    NO_INTERNAL_ERROR = "no internal error"


class Sent(NamedTuple):
    """A request of a client."""

    at: float
    node: str
    service: str
    is_idempotent: bool
    timeout_s: float


class Run(NamedTuple):
    """A request that a backend server began to work on."""

    at: float
    endpoint: str
    node: str


class Broken(NamedTuple):
    """A promise that was broken."""

    promise: Promise
    at: float
    detail: str


class Disruption:
    """A fault at a node; its end is unknown while it lasts."""

    def __init__(self, start: float, end: float) -> None:
        self.start = start
        self.end = end


class Disruptions:
    """Which nodes were disrupted, and when."""

    def __init__(self) -> None:
        self._spans: dict[str, list[Disruption]] = collections.defaultdict(
            list
        )

    def begin(self, node: str, start: float) -> Disruption:
        """Note the start of a fault."""
        span = Disruption(start, float("inf"))
        self._spans[node].append(span)
        return span

    def end(self, span: Disruption, end: float) -> None:
        """Note the end of a fault; it counts for some time after."""
        span.end = end + STABLE_S

    def add(self, node: str, start: float, end: float) -> None:
        """Note a fault whose end is known."""
        self.end(self.begin(node, start), end)

    def is_undisrupted(self, node: str, start: float, end: float) -> bool:
        """Tell whether no fault counted during a whole span."""
        return not any(
            span.start <= end and start <= span.end
            for span in self._spans.get(node, ())
        )


class Judge:
    """Collects observations; ``verdict`` compares them."""

    def __init__(self) -> None:
        self.disruptions = Disruptions()
        self.broken: list[Broken] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, Sent] = {}
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._answers: dict[str, tuple[float, int]] = {}
        self._made: dict[str, set[tuple[str, int, bytes]]] = (
            collections.defaultdict(set)
        )
        self._left: dict[str, float] = {}
        self._arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self._repeats: dict[str, list[float]] = collections.defaultdict(list)
        self._seen: set[tuple[str, str]] = set()
        self._versions: list[tuple[int, float]] = []
        self._shown: dict[str, tuple[int, float]] = {}
        self._late: collections.Counter[Promise] = collections.Counter()

    def on_sent(self, request: str, sent: Sent) -> None:
        """Note a request of a client, or a call of a backend server."""
        self._sent[request] = sent
        self._arrivals[sent.service].append(sent.at)

    def on_arrival(self, at: float, request: str, service: str) -> None:
        """Note that a request reached a backend server, run or not."""
        if (request, service) in self._seen:
            self._repeats[service].append(at)
        self._seen.add((request, service))

    def on_run(self, request: str, run: Run, deadline_s: float | None) -> None:
        """Note that a backend server begins to work on a request."""
        self.counts["runs"] += 1
        runs = self._runs[request]
        runs.append(run)
        sent = self._sent.get(request)
        if sent is None:
            self._break(Promise.REQUESTED, run.at, f"{request} was never sent")
            return
        if not sent.is_idempotent and len(runs) > 1:
            self._break(
                Promise.AT_MOST_ONCE, run.at, f"{request} ran at {runs}"
            )
        left_at = self._left.get(run.endpoint)
        if left_at is not None and run.at > left_at + DRAIN_S:
            self._break(
                Promise.LEAVING, run.at, f"{request} at {run.endpoint}"
            )
        if deadline_s is None:
            self._break(Promise.DEADLINE, run.at, f"{request} has no deadline")
        elif self._are_undisrupted((sent.node, run.node), sent.at, run.at):
            excess_s = run.at + deadline_s - sent.at - sent.timeout_s
            if excess_s > DEADLINE_SLACK_S:
                self._note_late(
                    Promise.DEADLINE, run.at, f"{request} {excess_s:.2f}"
                )

    def on_made(
        self, request: str, seal: str, status: int, body: bytes
    ) -> None:
        """Note a whole answer that a backend server made."""
        self._made[request].add((seal, status, body))

    def on_leaving(self, endpoint: str, at: float) -> None:
        """Note that the leaving of a backend server was acknowledged."""
        self._left.setdefault(endpoint, at)

    def on_worked_on(self, request: str, at: float, left_at: float) -> None:
        """Note work on an idempotent request whose client left."""
        sent = self._sent[request]
        run = self._runs[request][-1]
        if at - max(left_at, run.at) <= LEFT_SLACK_S:
            return
        if self._are_undisrupted((sent.node, run.node), sent.at, at):
            self._note_late(
                Promise.CANCELLED, at, f"{request} at {run.endpoint}"
            )

    def on_answer(
        self, request: str, at: float, status: int, seal: str, body: bytes
    ) -> None:
        """Note what a client was told."""
        self.counts[f"status {status}"] += 1
        self._answers[request] = at, status
        made = self._made.get(request, set())
        is_own = (seal, status, body) in made
        if status < 300 and not is_own:
            self._break(
                Promise.OWN_ANSWER, at, f"{request} got another's answer"
            )
        elif seal and not any(seal == s and status == c for s, c, _ in made):
            self._break(
                Promise.OWN_ANSWER, at, f"{request}: {status} under a seal"
            )
        sent = self._sent[request]
        self._check_refused(request)
        held_s = at - sent.at - sent.timeout_s
        if held_s > HELD_SLACK_S and self.disruptions.is_undisrupted(
            sent.node, sent.at, at
        ):
            self._note_late(
                Promise.ANSWERED_IN_TIME,
                at,
                f"{request} for {held_s:.2f} s more",
            )

    def on_cut(self, request: str, at: float, is_planned: bool) -> None:
        """Note a connection that ended without an answer."""
        self.counts["cut"] += 1
        sent = self._sent[request]
        runs = self._runs.get(request, [])
        nodes = [sent.node, *(run.node for run in runs)]
        if not self._are_undisrupted(nodes, sent.at, at):
            return
        if not runs and at - sent.at <= LOSS_SLACK_S:
            # It crossed the close of the connection and was not read.
            return
        detail = f"{request} at {sent.node}, ran {len(runs)} times"
        if is_planned:
            self._break(Promise.NOT_CUT, at, detail)
        else:
            self._note_late(Promise.NOT_CUT, at, detail)

    def on_version(self, version: int, acknowledged_at: float) -> None:
        """Note a configuration that the operator's write put in the store."""
        self._versions.append((version, acknowledged_at))

    def on_probe(
        self, node: str, incarnation: int, version: int, sent_at: float
    ) -> None:
        """Note which version a node showed for a request sent at a time."""
        self.counts["probes"] += 1
        process = f"{node}/{incarnation}"
        shown, since = self._shown.get(process, (0, 0.0))
        if version < shown and sent_at > since + ROLLBACK_SLACK_S:
            self._break(
                Promise.CONFIGURATION,
                sent_at,
                f"{process} went from {shown} to {version}",
            )
        if version > shown:
            self._shown[process] = version, sent_at
        due = [v for v, at in self._versions if at + APPLY_S < sent_at]
        if due and version < due[-1]:
            start = sent_at - STABLE_S
            if self.disruptions.is_undisrupted(node, start, sent_at):
                self._break(
                    Promise.CONFIGURATION,
                    sent_at,
                    f"{node}: {version}, due {due[-1]}",
                )

    def verdict(self) -> list[Broken]:
        """Return all broken promises, those judged at the end included."""
        for request in self._answers:
            self._check_refused(request)
        for service, repeats in self._repeats.items():
            self._check_repeats(service, repeats)
        return list(dict.fromkeys(self.broken))

    def served_share(self, start: float, end: float) -> float:
        """Return the share of the requests of a span that succeeded."""
        asked = [
            request
            for request, sent in self._sent.items()
            if start <= sent.at < end and "." not in request
        ]
        good = sum(
            self._answers.get(request, (0.0, 0))[1] == 200 for request in asked
        )
        return good / len(asked) if asked else 1.0

    def _are_undisrupted(
        self, nodes: Iterable[str], start: float, end: float
    ) -> bool:
        return all(
            self.disruptions.is_undisrupted(node, start, end) for node in nodes
        )

    def _check_refused(self, request: str) -> None:
        at, status = self._answers[request]
        sent = self._sent[request]
        runs = self._runs.get(request)
        if status in NOT_RUN and runs and not sent.is_idempotent:
            self._break(
                Promise.TRUE_REFUSAL, at, f"{request} got {status} and ran"
            )

    def _check_repeats(self, service: str, repeats: list[float]) -> None:
        arrivals = sorted(self._arrivals[service])
        for index, start in enumerate(repeats):
            end = start + RETRY_WINDOW_S
            used = bisect.bisect_left(repeats, end) - index
            asked = max(
                _count(arrivals, start - back, end - back)
                for back in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if used > RETRY_RATIO * asked + RETRY_EXTRA:
                self._break(
                    Promise.RETRY_BUDGET,
                    start,
                    f"{service}: {used} of {asked}",
                )
                return

    def _note_late(self, promise: Promise, at: float, detail: str) -> None:
        self._late[promise] += 1
        self.counts[f"late {promise}"] += 1
        if self._late[promise] > MAX_LATE_ENDS:
            self._break(promise, at, detail)

    def _break(self, promise: Promise, at: float, detail: str) -> None:
        self.broken.append(Broken(promise, round(at, 3), detail))


def _count(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def report(broken: Iterable[Broken]) -> str:
    """Return a line for each broken promise."""
    return "\n".join(f"{b.promise} at {b.at}: {b.detail}" for b in broken)
