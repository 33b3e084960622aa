"""Checks the product's guarantees against recorded observations.

Observations come from clients, backend servers and the operator, and carry
their time; the checker opens no socket and reads no clock. Guarantees with a
time bound hold only for nodes that had no fault for ``SETTLING_S``.
"""

import bisect
import collections
from collections.abc import Iterable
import enum
from typing import NamedTuple

from soak import crashes as crashes_module
from soak import statements as statements_module
from soak import stops as stops_module

# Bounds of the operators' rules for the standard deployments.
SETTLING_S = 4.0
"""Time after a fault during which the node still counts as disrupted."""
CONFIGURATION_APPLY_S = 2.5
ROLLBACK_SLACK_S = 0.25
DRAIN_S = 2.5
RETRY_RATIO = 0.2
RETRY_EXTRA = 48
RETRY_WINDOW_S = 10.0
DEADLINE_SLACK_S = 0.5
ANSWER_SLACK_S = 0.5
DISCONNECT_SLACK_S = 0.5
CLOSE_RACE_S = 0.2
"""A request sent up to this long before its connection was closed may have
missed the node."""
MAX_LATE_REQUESTS = 3
"""Requests of a run that the rules allow to exceed a guarantee's time bound; a
machine that shares its processors with the soak is paused now and then."""
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that state that the request has not run."""


class Guarantee(enum.StrEnum):
    """Guarantee on which callers, backend servers or operators rely."""

    OWN_ANSWER = "own answer"
    ONLY_REQUESTED = "only what was requested"
    AT_MOST_ONCE = "at most once"
    REFUSED_HAS_NOT_RUN = "refused has not run"
    NOTHING_NEW_WHEN_LEAVING = "nothing new when leaving"
    RATE_LIMIT = "rate limit"
    CRASHES_BOUNDED = "crashes by one request bounded"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry budget"
    CANCELLED_WITH_CALLER = "cancelled with its caller"
    NOT_CUT = "no request cut"
    NOT_BROKEN_OFF = "no running request broken off by a planned stop"
    ANSWERED_IN_TIME = "answered in time"
    CONFIGURATION_IN_FORCE = "configuration in force"
    RECOVERY = "recovery"
    NO_UNEXPECTED_EXIT = "no exit of its own"
    NO_INTERNAL_ERROR = "no internal error"


class SentRequest(NamedTuple):
    """A request of a client, or a downstream call of a backend server."""

    at: float
    node: str
    service: str
    is_idempotent: bool
    timeout_s: float


class Run(NamedTuple):
    """One run of a request by a backend server."""

    at: float
    endpoint: str
    node: str


class AnswerRecord(NamedTuple):
    """The answer that a client received; without a seal it is a node's own."""

    at: float
    status: int
    has_seal: bool


class Violation(NamedTuple):
    """A violation of a guarantee."""

    guarantee: Guarantee
    at: float
    detail: str


class Disruption:
    """A fault at a node; its end is infinite while it lasts.

    Attributes
    ----------
    is_planned : bool
        Whether it is the restart after a planned stop, in which requests may
        not be lost.
    """

    def __init__(self, start: float, end: float, is_planned: bool) -> None:
        self.start = start
        self.end = end
        self.is_planned = is_planned


class Disruptions:
    """Disruptions of each node."""

    def __init__(self) -> None:
        self._by_node: dict[str, list[Disruption]] = collections.defaultdict(
            list
        )

    def begin(
        self, node: str, start: float, is_planned: bool = False
    ) -> Disruption:
        """Record the start of a fault."""
        disruption = Disruption(start, float("inf"), is_planned)
        self._by_node[node].append(disruption)
        return disruption

    def end(self, disruption: Disruption, end: float) -> None:
        """Record the end of a fault; the node needs ``SETTLING_S`` more."""
        disruption.end = end + SETTLING_S

    def add(
        self, node: str, start: float, end: float, is_planned: bool = False
    ) -> None:
        """Record a fault whose end is known."""
        self.end(self.begin(node, start, is_planned), end)

    def is_undisrupted(
        self, node: str, start: float, end: float, counts_planned: bool = True
    ) -> bool:
        """Tell whether a node had no disruption from start to end.

        Parameters
        ----------
        counts_planned : bool
            Whether restarts after planned stops are disruptions.
        """
        return not any(
            disruption.start <= end and start <= disruption.end
            for disruption in self._by_node.get(node, ())
            if counts_planned or not disruption.is_planned
        )


class Checker:
    """Collects observations and compares them with the guarantees.

    A request is named by its request identifier; that of a downstream call is
    the identifier of the request that caused it, a dot and a suffix.
    """

    def __init__(self) -> None:
        self.disruptions = Disruptions()
        self.statements = statements_module.Statements()
        self.crashes = crashes_module.Crashes()
        self.stops = stops_module.PlannedStops()
        self._violations: list[Violation] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, SentRequest] = {}
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._answers: dict[str, AnswerRecord] = {}
        self._backend_answers: dict[str, set[tuple[str, int, bytes]]] = (
            collections.defaultdict(set)
        )
        self._left_at: dict[str, float] = {}
        self._arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self._repeats: dict[str, list[float]] = collections.defaultdict(list)
        self._arrived: set[tuple[str, str]] = set()
        self._versions: list[tuple[int, float]] = []
        self._shown_versions: dict[str, tuple[int, float]] = {}
        self._late_deadlines: list[tuple[str, Run, float]] = []
        self._cuts: list[tuple[str, float, bool]] = []
        self._late_counts: collections.Counter[Guarantee] = (
            collections.Counter()
        )

    def on_sent(self, request_id: str, sent: SentRequest) -> None:
        """Record a request of a client, or a downstream call."""
        self._sent[request_id] = sent
        self._arrivals[sent.service].append(sent.at)

    def on_arrival(
        self, at: float, request_id: str, service: str, endpoint: str = ""
    ) -> None:
        """Record that a request reached a backend server, run or not."""
        sent = self._sent.get(request_id)
        if endpoint and sent is not None:
            self.statements.on_arrival(endpoint, sent.node, at)
        if (request_id, service) in self._arrived:
            self._repeats[service].append(at)
        self._arrived.add((request_id, service))

    def on_crashing_run(self, request_id: str, path: str, at: float) -> None:
        """Record that a request runs that will crash the backend server."""
        sent = self._sent.get(request_id)
        if sent is not None:
            self.crashes.on_run(path, sent.node, at)

    def on_run(
        self, request_id: str, run: Run, deadline_s: float | None
    ) -> None:
        """Record that a backend server starts to run a request."""
        self.counts["runs"] += 1
        runs = self._runs[request_id]
        runs.append(run)
        sent = self._sent.get(request_id)
        if sent is None:
            self._record_violation(
                Guarantee.ONLY_REQUESTED,
                run.at,
                f"{request_id} was never sent",
            )
            return
        if not sent.is_idempotent and len(runs) > 1:
            self._record_violation(
                Guarantee.AT_MOST_ONCE, run.at, f"{request_id} ran at {runs}"
            )
        told_at = self.statements.told_leaving_at(run.endpoint, sent.node)
        if (
            told_at is not None
            and sent.at > told_at + DRAIN_S
            and self.disruptions.is_undisrupted(sent.node, told_at, run.at)
        ):
            self._record_violation(
                Guarantee.NOTHING_NEW_WHEN_LEAVING,
                run.at,
                f"{request_id} ran at {run.endpoint} after it stated this",
            )
        left_at = self._left_at.get(run.endpoint)
        if left_at is not None and run.at > left_at + DRAIN_S:
            self._record_violation(
                Guarantee.NOTHING_NEW_WHEN_LEAVING,
                run.at,
                f"{request_id} ran at {run.endpoint}",
            )
        if deadline_s is None:
            self._record_violation(
                Guarantee.DEADLINE, run.at, f"{request_id} has no deadline"
            )
            return
        excess_s = run.at + deadline_s - sent.at - sent.timeout_s
        if excess_s > DEADLINE_SLACK_S:
            self._late_deadlines.append((request_id, run, excess_s))

    def on_backend_answer(
        self, request_id: str, seal: str, status: int, body: bytes
    ) -> None:
        """Record the complete answer that a backend server gives."""
        self._backend_answers[request_id].add((seal, status, body))

    def on_leaving(self, endpoint: str, at: float) -> None:
        """Record that a node acknowledged the leaving of a backend server."""
        self._left_at.setdefault(endpoint, at)

    def on_work_after_disconnect(
        self, request_id: str, at: float, disconnected_at: float
    ) -> None:
        """Record work on a request whose connection was closed."""
        sent = self._sent[request_id]
        run = self._runs[request_id][-1]
        if at - max(disconnected_at, run.at) <= DISCONNECT_SLACK_S:
            return
        if self._are_undisrupted((sent.node, run.node), sent.at, at):
            self._record_late(
                Guarantee.CANCELLED_WITH_CALLER,
                at,
                f"{request_id} still ran at {run.endpoint}",
            )

    def on_answer(
        self, request_id: str, at: float, status: int, seal: str, body: bytes
    ) -> None:
        """Record the answer that a client received."""
        self.counts[f"status {status}"] += 1
        self._answers[request_id] = AnswerRecord(at, status, bool(seal))
        backend_answers = self._backend_answers.get(request_id, set())
        is_own = (seal, status, body) in backend_answers
        if status < 300 and not is_own:
            self._record_violation(
                Guarantee.OWN_ANSWER,
                at,
                f"{request_id} got the answer of another request",
            )
        elif seal and not any(
            seal == s and status == c for s, c, _ in backend_answers
        ):
            self._record_violation(
                Guarantee.OWN_ANSWER,
                at,
                f"{request_id}: {status} has the seal of another answer",
            )
        sent = self._sent[request_id]
        for run in self._runs.get(request_id, ()):
            self.statements.on_answer(run.endpoint, sent.node, at)
        self._check_refusal(request_id)
        late_s = at - sent.at - sent.timeout_s
        if late_s > ANSWER_SLACK_S and self.disruptions.is_undisrupted(
            sent.node, sent.at, at
        ):
            self._record_late(
                Guarantee.ANSWERED_IN_TIME,
                at,
                f"{request_id} was answered {late_s:.2f} s late",
            )

    def on_cut(self, request_id: str, at: float, is_planned: bool) -> None:
        """Record that a request's connection was closed without an answer."""
        self.counts["cut"] += 1
        self._cuts.append((request_id, at, is_planned))

    def on_configuration_written(
        self, version: int, acknowledged_at: float
    ) -> None:
        """Record a configuration that the operator wrote to the store."""
        self._versions.append((version, acknowledged_at))

    def on_probe(
        self, node: str, incarnation: int, version: int, sent_at: float
    ) -> None:
        """Record the version in force at a node when a request was sent."""
        self.counts["probes"] += 1
        process = f"{node}/{incarnation}"
        shown_version, since = self._shown_versions.get(process, (0, 0.0))
        if version < shown_version and sent_at > since + ROLLBACK_SLACK_S:
            self._record_violation(
                Guarantee.CONFIGURATION_IN_FORCE,
                sent_at,
                f"{process} went from {shown_version} to {version}",
            )
        if version > shown_version:
            self._shown_versions[process] = version, sent_at
        due_versions = [
            v
            for v, at in self._versions
            if at + CONFIGURATION_APPLY_S < sent_at
        ]
        if due_versions and version < due_versions[-1]:
            start = sent_at - SETTLING_S
            if self.disruptions.is_undisrupted(node, start, sent_at):
                self._record_violation(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    sent_at,
                    f"{node}: {version} in force, {due_versions[-1]} due",
                )

    def violations(self) -> list[Violation]:
        """Return all violations, with those found only at the end of a run."""
        while self._cuts:
            self._check_cut(*self._cuts.pop())
        while self._late_deadlines:
            self._check_deadline(*self._late_deadlines.pop())
        for request_id in self._answers:
            self._check_refusal(request_id)
            self._check_broken_off(request_id)
        for service, repeats in self._repeats.items():
            self._check_repeats(service, repeats)
        for endpoint, at, count, allowed, nodes in self.statements.excesses():
            start = at - SETTLING_S
            if self._are_undisrupted(nodes, start, at + SETTLING_S):
                self._record_violation(
                    Guarantee.RATE_LIMIT,
                    at,
                    f"{endpoint}: {count} requests, {allowed:.0f} allowed",
                )
        for path, at, count in self.crashes.excesses(
            self.disruptions.is_undisrupted
        ):
            self._record_violation(
                Guarantee.CRASHES_BOUNDED,
                at,
                f"{path} ran {count} times after its third crash",
            )
        return list(dict.fromkeys(self._violations))

    def served_share(self, start: float, end: float) -> float:
        """Return the share of the clients' requests that succeeded.

        It covers the requests sent from start to end, without downstream
        calls.
        """
        sent_requests = [
            request_id
            for request_id, sent in self._sent.items()
            if start <= sent.at < end and "." not in request_id
        ]
        succeeded = sum(
            request_id in self._answers
            and self._answers[request_id].status == 200
            for request_id in sent_requests
        )
        return succeeded / len(sent_requests) if sent_requests else 1.0

    def _are_undisrupted(
        self,
        nodes: Iterable[str],
        start: float,
        end: float,
        counts_planned: bool = True,
    ) -> bool:
        return all(
            self.disruptions.is_undisrupted(node, start, end, counts_planned)
            for node in nodes
        )

    def _check_cut(self, request_id: str, at: float, is_planned: bool) -> None:
        """Check a cut when all disruptions are known.

        A pause of the whole machine is recorded after the cuts in it.
        """
        sent = self._sent[request_id]
        runs = self._runs.get(request_id, [])
        nodes = [sent.node, *(run.node for run in runs)]
        if not self._are_undisrupted(nodes, sent.at, at, not is_planned):
            return
        if not runs and at - sent.at <= CLOSE_RACE_S:
            # The node closed the connection before it read the request.
            return
        detail = f"{request_id} at {sent.node}, ran {len(runs)} times"
        if is_planned:
            self._record_violation(Guarantee.NOT_CUT, at, detail)
        else:
            self._record_late(Guarantee.NOT_CUT, at, detail)

    def _check_deadline(
        self, request_id: str, run: Run, excess_s: float
    ) -> None:
        """Check a deadline that is too late, like a cut."""
        sent = self._sent[request_id]
        if self._are_undisrupted((sent.node, run.node), sent.at, run.at):
            self._record_late(
                Guarantee.DEADLINE,
                run.at,
                f"{request_id} has {excess_s:.2f} s too much left",
            )

    def _check_broken_off(self, request_id: str) -> None:
        """Check that a planned stop did not answer in place of a run.

        The rules excuse the end of a stop at the node that took the request,
        not one at the node of the backend server.
        """
        at, status, has_seal = self._answers[request_id]
        sent = self._sent[request_id]
        budget_ends_at = sent.at + sent.timeout_s - stops_module.BUDGET_SLACK_S
        if has_seal or status < 500 or at >= budget_ends_at:
            return
        nodes = {
            run.node
            for run in self._runs.get(request_id, ())
            if self.stops.is_at_work(request_id, run.endpoint, run.at, at)
        }
        if not nodes:
            return
        nodes.add(sent.node)
        stopping = sorted(n for n in nodes if self.stops.is_stopping(n, at))
        if not stopping or self.stops.excuses(sent.node, sent.at, at):
            return
        if self._are_undisrupted(nodes, sent.at, at, counts_planned=False):
            self._record_violation(
                Guarantee.NOT_BROKEN_OFF,
                at,
                f"{request_id} at {sent.node} got {status} after "
                f"{at - sent.at:.2f} s, stopping: {', '.join(stopping)}",
            )

    def _check_refusal(self, request_id: str) -> None:
        at, status, _ = self._answers[request_id]
        sent = self._sent[request_id]
        runs = self._runs.get(request_id)
        if status in REFUSAL_STATUSES and runs and not sent.is_idempotent:
            self._record_violation(
                Guarantee.REFUSED_HAS_NOT_RUN,
                at,
                f"{request_id} got {status} and ran",
            )

    def _check_repeats(self, service: str, repeats: list[float]) -> None:
        arrivals = sorted(self._arrivals[service])
        for index, start in enumerate(repeats):
            end = start + RETRY_WINDOW_S
            repeat_count = bisect.bisect_left(repeats, end) - index
            sent_count = max(
                _count(arrivals, start - offset_s, end - offset_s)
                for offset_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if repeat_count > RETRY_RATIO * sent_count + RETRY_EXTRA:
                self._record_violation(
                    Guarantee.RETRY_BUDGET,
                    start,
                    f"{service}: {repeat_count} repeats of {sent_count}",
                )
                return

    def _record_late(
        self, guarantee: Guarantee, at: float, detail: str
    ) -> None:
        self._late_counts[guarantee] += 1
        self.counts[f"late {guarantee}"] += 1
        if self._late_counts[guarantee] > MAX_LATE_REQUESTS:
            self._record_violation(guarantee, at, detail)

    def _record_violation(
        self, guarantee: Guarantee, at: float, detail: str
    ) -> None:
        self._violations.append(Violation(guarantee, round(at, 3), detail))


def _count(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def format_violations(violations: Iterable[Violation]) -> str:
    """Return a line for each violation."""
    return "\n".join(
        f"{v.guarantee} at {v.at}: {v.detail}" for v in violations
    )
