"""Which requests are refused because backend servers end while they run."""

import random

import pytest

from clementinekeel.admission import quarantine
from clementinekeel.membership import statements

CRASHING = 1
NOW = 1_000.0


def crash(number, *fingerprints):
    incarnation = statements.Incarnation(f"e{number % 4}", number)
    return quarantine.Crash(incarnation, fingerprints)


def make_quarantine():
    return quarantine.Quarantine(random.Random(1))


def quarantined(crashes=quarantine.CRASH_LIMIT):
    kept = make_quarantine()
    for number in range(crashes):
        kept.record(crash(number, CRASHING), NOW)
    return kept


def test_request_is_refused_after_its_third_crash():
    kept = make_quarantine()
    refused_s = []
    for number in range(3):
        kept.record(crash(number, CRASHING, 10 + number), NOW)
        refused_s.append(kept.remaining_s(CRASHING, NOW))
    assert refused_s[0] == 0
    assert refused_s[2] >= quarantine.QUARANTINE_S
    assert not any(kept.remaining_s(10 + n, NOW) for n in range(3))


def test_copies_of_a_request_wait_after_its_second_crash():
    """They would end the remaining endpoints before the third is known."""
    kept = quarantined(2)
    remaining_s = kept.remaining_s(CRASHING, NOW)
    assert quarantine.BACKOFF_S <= remaining_s <= 2 * quarantine.BACKOFF_S
    later = NOW + remaining_s
    kept.on_start(CRASHING, later)
    assert kept.remaining_s(CRASHING, later) == quarantine.BACKOFF_S
    kept.on_answer(CRASHING)
    assert not kept.remaining_s(CRASHING, later)


def test_one_crash_counts_once():
    """Several nodes may report it, and runs may be noticed one by one."""
    kept = make_quarantine()
    for _ in range(10):
        kept.record(crash(0, CRASHING), NOW)
    assert not kept.remaining_s(CRASHING, NOW)
    assert kept.record(crash(0, 2), NOW) == []
    assert kept.crashes(NOW) == [
        quarantine.Crash(statements.Incarnation("e0", 0), (CRASHING, 2))
    ]


def test_answer_clears_a_request():
    kept = quarantined(2)
    assert kept.on_answer(CRASHING)
    kept.record(crash(7, CRASHING), NOW)
    assert not kept.remaining_s(CRASHING, NOW)


def test_answer_of_an_earlier_run_ends_the_refusal():
    kept = quarantined()
    assert kept.on_answer(CRASHING)
    assert not kept.remaining_s(CRASHING, NOW)
    assert not kept.on_answer(CRASHING)


def test_requests_of_many_callers_are_not_refused_with_the_cause():
    """They run at all backend servers that another request ends."""
    kept = make_quarantine()
    popular = range(100, 120)
    for fingerprint in popular:
        kept.on_answer(fingerprint)
    for number in range(3):
        refused = kept.record(crash(number, *popular, CRASHING), NOW)
    assert refused == [CRASHING]


def test_request_that_was_answered_before_it_began_to_crash_is_refused():
    """At most two retries follow the third crash."""
    kept = make_quarantine()
    kept.on_answer(CRASHING)
    for number in range(quarantine.ANSWERED_CRASH_LIMIT):
        remaining_s = kept.remaining_s(CRASHING, NOW)
        assert remaining_s <= 2 * quarantine.BACKOFF_S
        kept.record(crash(number, CRASHING), NOW)
    assert kept.remaining_s(CRASHING, NOW) >= quarantine.QUARANTINE_S
    assert quarantine.ANSWERED_CRASH_LIMIT <= 3 + 3


def test_request_runs_once_after_its_quarantine():
    kept = quarantined()
    later = NOW + kept.remaining_s(CRASHING, NOW)
    assert not kept.remaining_s(CRASHING, later)
    kept.on_start(CRASHING, later)
    assert kept.remaining_s(CRASHING, later)


def test_quarantine_grows_with_each_crash():
    kept = quarantined()
    now, durations = NOW, []
    for number in range(10, 20):
        now += kept.remaining_s(CRASHING, now)
        kept.on_start(CRASHING, now)
        kept.record(crash(number, CRASHING), now)
        durations.append(kept.remaining_s(CRASHING, now))
    assert min(durations) >= 2 * quarantine.QUARANTINE_S
    assert max(durations) <= 2 * quarantine.MAX_QUARANTINE_S
    # Three crashes after the first quarantine take an hour or more.
    assert sum(durations[:2]) > 3_600


def test_quarantines_of_several_nodes_end_one_after_the_other():
    """Otherwise, a request would crash one endpoint a node."""
    ends = []
    for seed in range(8):
        kept = quarantine.Quarantine(random.Random(seed))
        for number in range(3):
            kept.record(crash(number, CRASHING), NOW)
        ends.append(kept.remaining_s(CRASHING, NOW))
    ends.sort()
    assert ends[1] - ends[0] > 1


def test_crashes_are_forgotten():
    kept = quarantined(2)
    later = NOW + quarantine.CRASH_MEMORY_S + 1
    assert kept.record(crash(9, CRASHING), later) == []
    assert kept.suspects == 1


@pytest.mark.parametrize("crashes", [100, 1_000])
def test_memory_is_bounded(crashes):
    """Callers can't fill the memory of a node with requests that crash."""
    kept = make_quarantine()
    for number in range(crashes):
        runs = range(number * 1_000, (number + 1) * 1_000)
        kept.record(crash(number, *runs), NOW)
    most = quarantine.MAX_CRASHES * quarantine.MAX_RUNS_PER_CRASH
    assert kept.suspects <= most
    assert len(kept.crashes(NOW)) == quarantine.MAX_CRASHES


def test_number_of_refused_requests_is_bounded():
    kept = make_quarantine()
    for number in range(3 * 600):
        kept.record(crash(number, number // 3), NOW + number)
    assert kept.quarantined == quarantine.MAX_QUARANTINED


def test_crash_after_many_others_is_still_counted():
    """Other requests that crash must not hide one that comes again."""
    kept = make_quarantine()
    for number in range(quarantine.MAX_CRASHES // 3):
        kept.record(crash(2 * number, 1_000 + number), NOW)
        if number % 5 == 0:
            kept.record(crash(2 * number + 1, CRASHING), NOW)
    assert kept.remaining_s(CRASHING, NOW)
