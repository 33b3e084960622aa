"""How long idempotent requests wait for an answer, under replayed load."""

import random

import pytest

from clementinekeel.retries import attempt_timeout


@pytest.mark.parametrize(
    ("service_ms", "transit_ms", "left_ms", "expected"),
    [
        (160, 2, 1_500, 962),
        (10, 0, 1_000, 250),
        (41, 60, 700, 310),
        (160, 60, 700, 400),
        (300, 60, 700, float("inf")),
        (41, 2, 60, float("inf")),
    ],
    ids=[
        "usual",
        "not within a pause of the processor",
        "other region",
        "earlier when time is short",
        "no time for two",
        "no time at all",
    ],
)
def test_wait(service_ms, transit_ms, left_ms, expected):
    found = attempt_timeout.timeout_ms(service_ms, transit_ms, left_ms)
    assert found == pytest.approx(expected)


def served_share(waits, mute_share):
    """Replay lookups of 160 ms at endpoints that don't answer a part.

    One in a hundred takes three times as long, and objectives are 1,500 ms,
    as on the operators' sheet.
    """
    draw = random.Random(1)

    def duration_ms():
        if draw.random() < mute_share:
            return float("inf")
        tail = 3 if draw.random() < 0.01 else 1
        return draw.lognormvariate(0, 0.5) * 140 * tail

    served = repeats = 0
    for _ in range(5_000):
        first = duration_ms()
        wait = (
            attempt_timeout.timeout_ms(160, 2, 1_500)
            if waits
            else float("inf")
        )
        if first > wait:
            repeats += 1
            first = wait + duration_ms()
        served += first <= 1_500
    return served / 5_000, repeats / 5_000


def test_mute_endpoints_cost_few_requests():
    """3 in 100 requests without an answer: of 10 endpoints one is mute to 0.3
    of its requests.
    """
    baseline, _ = served_share(waits=False, mute_share=0.03)
    served, repeats = served_share(waits=True, mute_share=0.03)
    assert baseline < 0.975
    assert served > 0.997
    assert repeats < 0.05
