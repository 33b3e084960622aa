"""Decisions of the owner of a key in fault cases, and memory limits."""

import pytest

from clementinekeel.outcomes import messages
from clementinekeel.outcomes import records
from clementinekeel.runtime import invariants

INCARNATION = 7
LIMITS = records.Limits(4, 100, 2_000, 1_000)
ANSWER = messages.KeptAnswer(200, (("a", "b"),), b"seat 9")
COMPLETED = messages.Outcome.COMPLETED
REFUSED = messages.Outcome.REFUSED
UNKNOWN = messages.Outcome.UNKNOWN


def make_key(serial, expires_ms=10_000, incarnation=INCARNATION):
    name = serial.to_bytes(12, "big")
    return messages.IssuedKey("s", "e", "n", incarnation, expires_ms, name)


def make_records(limits=LIMITS):
    return records.OutcomeRecords(INCARNATION, limits)


def refused(reason):
    return messages.Finished(REFUSED, reason, None)


def unknown(reason):
    return messages.Finished(UNKNOWN, reason, None)


KEY = make_key(1)
RUN, WAIT = messages.Run(), messages.Wait()
DONE = messages.Finished(COMPLETED, "", ANSWER)


def begin(now_ms=0, key=KEY):
    return lambda outcome_records: outcome_records.begin(key, now_ms)


def refuse(successor="", is_runner=False, now_ms=0):
    return lambda outcome_records: outcome_records.refuse(
        KEY, now_ms, "overload", successor, is_runner=is_runner
    )


def finish(outcome=COMPLETED):
    return lambda outcome_records: outcome_records.finish(
        KEY, outcome, "", ANSWER, 0
    )


def inquire(now_ms=0):
    return lambda outcome_records: outcome_records.inquire(KEY, now_ms)


CASES = {
    "duplicate while running": (WAIT, begin(), begin()),
    "copy after the end": (DONE, begin(), finish(), begin()),
    "copy after a refusal": (refused("overload"), refuse(), begin()),
    "copy after an inquiry": (refused("inquired"), inquire(), begin()),
    "inquiry while running": (WAIT, begin(), inquire()),
    "second arrival refuses a running key": (WAIT, begin(), refuse()),
    "refused from the queue": (
        refused("overload"),
        *(begin(), refuse(is_runner=True), begin()),
    ),
    "copy after a move": (messages.Moved("next"), refuse("next"), begin()),
    "move after a refusal that may have been delivered": (
        refused("overload"),
        *(refuse(), refuse("next")),
    ),
    "refusal after the end": (DONE, begin(), finish(), refuse(is_runner=True)),
    "result after the outcome was reported unknown": (
        messages.Finished(UNKNOWN, "", ANSWER),
        *(begin(), finish(UNKNOWN), finish(), inquire()),
    ),
    "expired key without a record": (refused("key_expired"), begin(10_000)),
    "move after an expired key was refused": (
        refused("key_expired"),
        *(begin(10_000), refuse("next", now_ms=10_001)),
    ),
    "last moment of a key": (RUN, begin(9_999)),
    "older than the retention": (unknown("record_expired"), inquire(11_000)),
    "running longer than the retention": (WAIT, begin(), inquire(99_000)),
    "key of another incarnation": (
        unknown("owner_lost"),
        begin(key=make_key(1, incarnation=8)),
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_fault_case(case):
    expected, *steps = case
    outcome_records = make_records()
    assert [step(outcome_records) for step in steps][-1] == expected


def test_refusal_is_recorded_while_the_maximum_of_keys_runs():
    """With no record left, a refusal would be lost or evict a running key."""
    outcome_records = make_records()
    running = [make_key(serial, 10_000 + serial) for serial in range(3)]
    assert [outcome_records.begin(key, 0) for key in running] == [RUN] * 3
    late = make_key(9, 10_500)
    assert outcome_records.begin(late, 0) == refused("records_full")
    outcome_records.finish(running[0], COMPLETED, "", None, 0)
    assert outcome_records.begin(late, 0) == refused("records_full")
    assert [outcome_records.begin(key, 0) for key in running[1:]] == [WAIT] * 2


def test_eviction_takes_the_earliest_expiry_and_advances_the_horizon():
    outcome_records = make_records()
    for expires_ms in (50_000, 20_000, 40_000, 30_000, 60_000):
        key = make_key(expires_ms, expires_ms)
        outcome_records.refuse(key, 0, "overload")
    assert outcome_records.statistics.horizon_ms == 20_000
    assert outcome_records.statistics.evicted == 1
    gone = make_key(20_000, 20_000)
    assert outcome_records.begin(gone, 0) == unknown("record_expired")
    assert outcome_records.begin(make_key(3, 20_000), 0) == unknown(
        "record_expired"
    )
    assert outcome_records.begin(make_key(4, 20_001), 0) == RUN


@pytest.mark.parametrize(
    ("sizes", "kept"),
    [([101], []), ([100], [0]), ([100] * 4, [1, 2, 3])],
    ids=["over the limit", "at the limit", "oldest is evicted"],
)
def test_answers_are_bounded(sizes, kept):
    """The outcome stays recorded when its answer is not kept."""
    outcome_records = make_records(records.Limits(16, 100, 2_000, 1_000))
    for serial, size in enumerate(sizes):
        key = make_key(serial)
        outcome_records.begin(key, 0)
        answer = messages.KeptAnswer(200, (), bytes(size))
        outcome_records.finish(key, COMPLETED, "", answer, 0)
    decisions = [
        outcome_records.begin(make_key(s), 0) for s in range(len(sizes))
    ]
    assert {decision.outcome for decision in decisions} == {COMPLETED}
    assert [
        s for s, decision in enumerate(decisions) if decision.answer
    ] == kept
    assert outcome_records.statistics.answers_bytes <= 2_000


VIOLATIONS = {
    "result of a key that never ran": [finish()],
    "result of a refused key": [refuse(), finish()],
    "refusal as a result": [begin(), finish(REFUSED)],
}


@pytest.mark.parametrize("steps", VIOLATIONS.values(), ids=VIOLATIONS)
def test_violation_is_reported(steps):
    outcome_records = make_records()
    with pytest.raises(invariants.InvariantError):
        for step in steps:
            step(outcome_records)


def test_limits_too_low_for_a_refusal_are_rejected():
    with pytest.raises(ValueError, match="at least 2"):
        make_records(LIMITS._replace(records=1))
