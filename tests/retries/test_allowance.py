"""Extra attempts that may have been made are never granted twice."""

import pytest

from clementinekeel.retries import allowance
from clementinekeel.retries import calls


@pytest.mark.parametrize(
    ("total", "draws"),
    [(0, [0, 0]), (1, [1, 0]), (2, [1, 1, 0]), (7, [4, 2, 1, 0]), (-3, [0])],
)
def test_draw_takes_half_rounded_up(total, draws):
    pool = allowance.AllowancePool(total)
    assert [pool.reserve().amount for _ in draws] == draws


ONWARD_ENDS = {
    "partly used": (lambda p, d: p.release(d, 1), 3),
    "unused": (lambda p, d: p.release(d, 0), 4),
    "answer lost": (lambda p, d: p.mark_used(d), 2),
    "late answer": (lambda p, d: (p.mark_used(d), p.release(d, 0)), 2),
    "twice": (lambda p, d: (p.release(d, 0), p.release(d, 0)), 4),
    "used too much": (lambda p, d: p.release(d, 3), 2),
    "used negative": (lambda p, d: p.release(d, -9), 2),
    "no pool": (lambda p, d: p.release(allowance.Reservation(0, 9), 0), 2),
    "after giving up": (lambda p, d: (p.exhaust(), p.release(d, 0)), 0),
}


@pytest.mark.parametrize(
    ("end", "left"), ONWARD_ENDS.values(), ids=ONWARD_ENDS
)
def test_end_of_an_onward_call(end, left):
    pool = allowance.AllowancePool(4)
    end(pool, pool.reserve())
    assert (pool.remaining, pool.used) == (left, 4 - left)


def test_onward_call_without_context_has_no_allowance():
    assert allowance.reserve_downstream(None).amount == 0
    assert allowance.reserve_downstream(allowance.AllowancePool(2)).amount == 1


ATTEMPT_ENDS = {
    "refused": (lambda c: c.on_refused(), 5, False),
    "partly used": (lambda c: c.on_answer(1), 4, False),
    "all used": (lambda c: c.on_answer(2), 3, True),
    "used too much": (lambda c: c.on_answer(3), 3, True),
    "used negative": (lambda c: c.on_answer(-1), 3, True),
    "answer lost": (lambda c: c.on_lost(), 3, False),
    "late answer": (lambda c: (c.on_lost(), c.on_answer(0)), 3, False),
}


@pytest.mark.parametrize(
    ("end", "left", "stopped"), ATTEMPT_ENDS.values(), ids=ATTEMPT_ENDS
)
def test_end_of_an_attempt(end, left, stopped):
    call = calls.CallAllowance(5)
    assert call.grant() == 2
    end(call)
    assert (call.remaining, call.used, call.grant_exhausted) == (
        left,
        5 - left,
        stopped,
    )


def test_sender_keeps_an_extra_attempt_when_the_answer_is_lost():
    call = calls.CallAllowance(1)
    assert call.grant() == 0
    call.on_lost()
    assert [call.try_consume(), call.try_consume()] == [True, False]
